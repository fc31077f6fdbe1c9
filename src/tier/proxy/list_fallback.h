// Keeps a proxy's list of endpoints fresh while the core's lists are late, for whatever reason: no
// primary, a primary that does not reach the platform, a way to it that stands still.
//
// The agent knows when the reading began that the core's list stands for. Once that is longer ago
// than LateAfter, this reads the platform's list itself, or asks another proxy that does
// (proxy/reader_choice.h says who), until the core's lists are fresh again. What is read holds in
// this process alone: it is told as the list to act by, never as a version of the core's, and the
// core's list replaces it as soon as that is known to be newer. At rest there is one check by a
// timer in each LateAfter.
#ifndef SHELFLINK_TIER_PROXY_LIST_FALLBACK_H_
#define SHELFLINK_TIER_PROXY_LIST_FALLBACK_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/agent.h"
#include "tier/foundation/settings.h"
#include "tier/platform/list_poller.h"
#include "tier/platform/platform.h"
#include "tier/proxy/list_state.h"
#include "tier/proxy/own_reading.h"
#include "tier/proxy/reader_choice.h"
#include "tier/proxy/reading_plan.h"
#include "tier/transport/hub.h"

namespace shelflink::proxy {

class ListFallback {
 public:
  // Makes the platform's client, on first need. Empty: there is no platform.
  using PlatformFactory = std::function<std::unique_ptr<platform::Platform>()>;

  // `changed`: another list is to be acted by. Registers its handler at the hub.
  ListFallback(net::Loop& loop, transport::Hub& hub, const cluster::Agent& agent,
               const ProcessSettings& settings, PlatformFactory make_platform,
               std::function<void()> changed);
  ~ListFallback();
  ListFallback(const ListFallback&) = delete;
  ListFallback& operator=(const ListFallback&) = delete;

  // The agent has another list from the core.
  void OnCoreList();
  // The list to act by; null: none yet.
  std::shared_ptr<const cluster::EndpointList> list() const;
  // When the reading began that it stands for.
  net::Time read_at() const;
  ListState State() const;
  // Whether this process reads or asks by itself at present.
  bool active() const { return active_; }

 private:
  using Entries = std::vector<cluster::EndpointEntry>;

  void OnTimer();
  void NoteStandstill(net::Time now);
  bool PlatformInTrouble(net::Time now) const;
  bool IsFresh(net::Time now) const;
  bool JustBegun(net::Time now) const;
  bool FirstListIsUnchecked(net::Time now) const;
  void OnFirstList();
  void NoteFreshness();
  void DropOlderOwnList();
  bool CoreIsFresh(net::Time now) const;
  net::Span LateAfter() const;
  void ArmAt(net::Time due);

  void Refresh();
  void Activate();
  void Deactivate();
  void MakePlan();
  void ReadIfChosen();
  void StartReading();
  void StopReading();
  void NotePage(std::size_t entries);
  std::vector<net::Address> ListedProxies() const;
  void Take(Entries entries, net::Time read_at);
  void Fetch();
  void OnFetched(std::size_t rank, net::Time sent, const Result<std::string>& body);
  ReaderAnswer TakeFetched(net::Time sent, std::string_view body);
  bool OwnReadingFails(net::Time now) const;
  bool IsRecentTrouble(net::Time seen_at, net::Time now) const;
  Result<std::string> AnswerFetch(std::string_view body);

  net::Loop& loop_;
  transport::Hub& hub_;
  const cluster::Agent& agent_;
  ProcessSettings settings_;
  PlatformFactory make_platform_;
  std::function<void()> changed_;
  net::TimerPtr timer_;
  net::Time timer_due_{};
  net::Time resumed_at_{};  // When this process started or went on after a standstill.
  bool has_list_ = false;
  bool was_fresh_ = false;  // Some list was known to be no older than `drainMs`.

  bool active_ = false;
  net::Time trouble_seen_at_{};  // As far as others said it, or no try could be made.
  std::unique_ptr<platform::Platform> platform_;
  std::unique_ptr<platform::ListPoller> poller_;  // Null unless this process reads.
  bool is_listed_ = true;                         // In the list of members.
  bool owes_walk_ = false;             // One whole reading, though it is not among the readers.
  std::vector<net::Address> proxies_;  // By rank; empty unless active.
  ReadingPlan plan_;
  ReaderChoice choice_;
  bool fetching_ = false;
  std::size_t entries_of_page_ = kEntriesOfPage;  // As the platform's pages have shown.

  OwnReading own_;  // Holds no list: the core's is acted by.
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_LIST_FALLBACK_H_
