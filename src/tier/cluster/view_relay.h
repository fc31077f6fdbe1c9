// A process's place in the relay tree: takes the parts of the view from its parent or the core,
// passes them on to its children, answers who asks for one, and asks for what a push has not
// brought. Trees are for speed; the versions in each renewal's answer make certain.
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
    // The view has taken a newer one of that part, and the children have been sent it.
    std::function<void(Part part)> taken;
    // The parent did not answer: the core should be told, and name another.
    std::function<void()> parent_silent;
  };

  // Takes kPushKind and answers kFetchKind from now on. All of them outlive it.
  ViewRelay(net::Loop& loop, transport::Hub& hub, const CoreFinder& finder, User user);
  ViewRelay(const ViewRelay&) = delete;
  ViewRelay& operator=(const ViewRelay&) = delete;

  const View& view() const { return store_.view(); }
  const PartVersions& versions() const { return store_.versions(); }
  const std::optional<net::Address>& parent() const { return parent_; }
  bool parent_silent() const { return parent_silent_; }
  // The primary has told of a newer one.
  bool IsStale(Part part) const { return store_.versions()[part] < newest_[part]; }

  // As the primary tells: without a parent this process hears the core itself.
  void SetPlace(const std::optional<net::Address>& parent, std::vector<net::Address> children);
  // The primary names its newest versions: what does not come by itself is asked for.
  void Repair(const PartVersions& newest);
  // The same, of another sidecar that has served a detour, at once.
  void RepairFrom(const net::Address& peer, const PartVersions& newest);

 private:
  using Fetched = std::function<void(const Result<std::string>& body)>;
  struct FetchState {
    std::optional<net::Address> source;  // None: nothing is under way.
    std::uint64_t number = 0;            // Of the fetches so far.
    bool asked_again = false;            // While it was under way.
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
  PartVersions newest_;        // As the primary told last.
  PartVersions named_before_;  // The same, by the renewal before.
  Version had_at_renewal_;     // Of the configuration, at the newest renewal;
  bool moved_ = false;         // whether it was newer than at the one before.
  FetchState fetches_[kParts];
  // Who asked for what was not here, told once it is; kMostAskers at most, the others ask again.
  std::set<net::Address> askers_[kParts];
  std::uint64_t pushes_refused_ = 0;
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_RELAY_H_
