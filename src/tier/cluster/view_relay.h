// The node of the relay tree in one process: receives the parts of the view from its parent or the
// core, forwards them to its children, answers fetches, and fetches parts that no push has
// delivered. The tree only makes distribution fast. The versions in each renewal's answer make it
// reliable.
#ifndef SHELFLINK_TIER_CLUSTER_VIEW_RELAY_H_
#define SHELFLINK_TIER_CLUSTER_VIEW_RELAY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/core_finder.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/view_store.h"
#include "tier/foundation/result.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class ViewRelay {
 public:
  static constexpr std::size_t kMostAskers = 64;

  struct User {
    // A newer version of that part is stored in the view and has been sent to the children.
    std::function<void(Part part)> taken;
    // The parent did not answer; the core should be asked for another parent.
    std::function<void()> parent_silent;
  };

  // Handles kPushKind and kFetchKind from now on. The arguments must outlive this object.
  ViewRelay(net::Loop& loop, transport::Hub& hub, const CoreFinder& finder, User user);
  ViewRelay(const ViewRelay&) = delete;
  ViewRelay& operator=(const ViewRelay&) = delete;

  const View& view() const { return store_.view(); }
  const PartVersions& versions() const { return store_.versions(); }
  const std::optional<net::Address>& parent() const { return parent_; }
  bool parent_silent() const { return parent_silent_; }
  // The primary has announced a newer version.
  bool IsStale(Part part) const { return store_.versions()[part] < newest_[part]; }

  // Position in the tree, as assigned by the primary. Without a parent this process receives from
  // the core itself.
  void SetPlace(const std::optional<net::Address>& parent, std::vector<net::Address> children);
  // The primary has announced its newest versions; parts that are not delivered in time are
  // fetched.
  void Repair(const PartVersions& newest);
  // The same for versions that another sidecar forwarded (Detours); they are fetched from it at
  // once.
  void RepairFrom(const net::Address& peer, const PartVersions& newest);

 private:
  using Fetched = std::function<void(const Result<std::string>& body)>;
  struct FetchState {
    std::optional<net::Address> source;  // None: no fetch is in flight.
    std::uint64_t number = 0;            // Fetches so far.
    bool asked_again = false;            // Requested again while one was in flight.
    net::TimerPtr timer;
    Fetched after;
  };

  bool MayPush(const transport::PeerIdentity& from) const;
  void OnPush(const transport::PeerIdentity& from, std::string_view body);
  void Take(const net::Address& from, const Push& push);
  void AskForSteps(const net::Address& from, const Push& push);
  void PassOn(Part part, const Version& before);
  Result<std::string> OnFetch(const transport::PeerIdentity& from, std::string_view body);
  void FetchStale();
  bool FetchesFromParent() const { return parent_ && !parent_silent_; }
  bool ComesByParent(Part part) const;
  void FetchPart(Part part);
  void FetchFromCore(Part part);
  void AfterParent(Part part, const Result<std::string>& body);
  void FetchFrom(const net::Address& source, Part part, std::chrono::milliseconds patience,
                 Fetched after);
  void OnFetched(const net::Address& source, Part part, std::uint64_t number,
                 const Result<std::string>& body);
  void OnPatienceEnds(Part part);
  void EndFetch(Part part, const Result<std::string>& outcome);

  net::Loop& loop_;
  transport::Hub& hub_;
  const CoreFinder& finder_;
  User user_;
  net::TimerPtr repair_timer_;
  ViewStore store_;
  std::optional<net::Address> parent_;
  bool parent_silent_ = false;
  std::vector<net::Address> children_;
  PartVersions newest_;        // Announced by the primary last.
  PartVersions named_before_;  // Announced by the answer to the renewal before.
  Version had_at_renewal_;     // Version of the configuration held at the last renewal;
  bool moved_ = false;         // whether it was newer than at the renewal before.
  FetchState fetches_[kParts];
  // Processes that fetched a version that is not held here yet; they are notified once it is. At
  // most kMostAskers, all others have to fetch again.
  std::set<net::Address> askers_[kParts];
  std::uint64_t pushes_refused_ = 0;
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_RELAY_H_
