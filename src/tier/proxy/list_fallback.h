// Keeps a proxy's list of endpoints fresh while the core's lists are late, whatever the reason: no
// primary, a primary that does not reach the platform, or a stalled path from the primary to here.
//
// The agent knows when the reading of the platform's list began that the core's list stands for.
// Once that is longer ago than LateThreshold, the fallback is active until the core's lists are
// fresh again: it reads the platform's list itself, or fetches the list of another proxy that does
// (proxy/reader_choice.h decides which). The result is used in this process alone. It is not
// published as a version of the core's list, and the core's list replaces it once that is known to
// be newer. While inactive, the fallback checks by a timer once in each LateThreshold.
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
#include "tier/proxy/local_endpoint_list.h"
#include "tier/proxy/reader_choice.h"
#include "tier/proxy/reading_plan.h"
#include "tier/transport/hub.h"

namespace shelflink::proxy {

class ListFallback {
 public:
  // Makes the platform's client; called whenever this process starts to read. Empty: no platform is
  // configured.
  using PlatformFactory = std::function<std::unique_ptr<platform::Platform>()>;

  // `changed` is called when list() has changed without a new list from the core. Registers a
  // handler for calls of other proxies at the hub.
  ListFallback(net::Loop& loop, transport::Hub& hub, const cluster::Agent& agent,
               const ProcessSettings& settings, PlatformFactory make_platform,
               std::function<void()> changed);
  ~ListFallback();
  ListFallback(const ListFallback&) = delete;
  ListFallback& operator=(const ListFallback&) = delete;

  // To be called when the agent has received a list from the core.
  void OnCoreList();
  // The list to use; null: none yet.
  std::shared_ptr<const cluster::EndpointList> list() const;
  // When the reading of the platform's list began that list() stands for; net::Time(): unknown.
  net::Time read_at() const;
  ListState State() const;
  // Whether the core's lists are late, so that this process reads or asks other proxies.
  bool active() const { return active_; }

 private:
  using Entries = std::vector<cluster::EndpointEntry>;

  void OnTimer();
  void DetectPause(net::Time now);
  bool PlatformIsFailing(net::Time now) const;
  bool IsFresh(net::Time now) const;
  bool RecentlyResumed(net::Time now) const;
  bool FirstListIsUnverified(net::Time now) const;
  void OnFirstCoreList();
  void RecordFreshness();
  void DropOutdatedLocalList();
  bool CoreListIsFresh(net::Time now) const;
  net::Span LateThreshold() const;
  void ArmAt(net::Time due);

  void Refresh();
  void Activate();
  void Deactivate();
  void UpdatePlan();
  void StartOrStopReading();
  void StartReading();
  void StopReading();
  void OnPage(std::size_t entries);
  std::vector<net::Address> ListedProxies() const;
  void StoreList(Entries entries, net::Time read_at);
  void FetchFromReader();
  void OnFetched(std::size_t rank, net::Time sent, const Result<std::string>& body);
  ReaderAnswer StoreFetchedList(net::Time sent, std::string_view body);
  bool LocalReadsFail(net::Time now) const;
  bool IsRecentFailure(net::Time seen_at, net::Time now) const;
  Result<std::string> AnswerFetch(std::string_view body);

  net::Loop& loop_;
  transport::Hub& hub_;
  const cluster::Agent& agent_;
  ProcessSettings settings_;
  PlatformFactory make_platform_;
  std::function<void()> changed_;
  net::TimerPtr timer_;
  net::Time timer_due_{};
  net::Time resumed_at_{};  // When this process started or last resumed after a pause.
  bool has_list_ = false;
  bool has_been_fresh_ = false;  // Some list has been known to be no older than `drainMs`.

  bool active_ = false;
  // When the platform was last found to be failing by other proxies or by a poller that has been
  // stopped, or when no attempt could be made. A running poller keeps its own time.
  net::Time platform_failed_at_{};
  std::unique_ptr<platform::Platform> platform_;
  std::unique_ptr<platform::ListPoller> poller_;  // Null unless this process reads.
  bool is_listed_ = true;                         // The list of members names this process.
  // Reads one whole list although it is not one of the readers.
  bool needs_initial_read_ = false;
  std::vector<net::Address> proxies_by_rank_;  // Empty unless active.
  ReadingPlan plan_;
  ReaderChoice choice_;
  bool fetching_ = false;                                  // A call to another proxy is in flight.
  std::size_t entries_per_page_ = kDefaultEntriesPerPage;  // Updated from the platform's pages.

  LocalEndpointList local_list_;  // While it has no list, the core's list is used.
  // Callbacks check it through a weak pointer, since they may run after destruction.
  std::shared_ptr<char> lifetime_token_ = std::make_shared<char>();
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_LIST_FALLBACK_H_
