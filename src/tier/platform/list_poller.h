// Reads the platform's list again and again with a ListReader: makes its calls when they are due
// and hands on every whole list with the time at which its walk began. Used by the core's primary
// (cluster/endpoint_watch.h) and, while the core's lists are late, by proxies
// (proxy/list_fallback.h).
#ifndef SHELFLINK_TIER_PLATFORM_LIST_POLLER_H_
#define SHELFLINK_TIER_PLATFORM_LIST_POLLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "net/loop.h"
#include "tier/platform/list_reader.h"

namespace shelflink::platform {

class ListPoller {
 public:
  struct Events {
    // A whole list, by id; none of it was true before `read_at`.
    std::function<void(std::vector<cluster::EndpointEntry> entries, net::Time read_at)> read;
    // A call has failed or its answer is late. May be empty.
    std::function<void(const CallError& error)> failed = {};
    // A page that others follow has come with so many entries. May be empty.
    std::function<void(std::size_t entries)> page = {};
  };

  ListPoller(net::Loop& loop, Platform& platform, const ListReader::Options& options,
             Events events);
  ~ListPoller();
  ListPoller(const ListPoller&) = delete;
  ListPoller& operator=(const ListPoller&) = delete;

  // The first call goes out at `first`.
  void Start(net::Time first);
  void Stop();
  bool running() const { return reader_.running(); }
  // Holds from the next call on.
  void SetShareOfRate(double share) { reader_.SetShareOfRate(share); }
  // When the platform was last seen in trouble: a call failed or its answer was slow
  // (ListReader::slow_answer), which includes a call that has waited for so long now. net::Time():
  // never.
  net::Time trouble_seen_at() const;

 private:
  struct Call {
    std::uint64_t number = 0;
    ListRequest request;
    net::Time sent{};
  };

  void Schedule();
  void OnTimer();
  void CallNext();
  void OnAnswer(const Call& call, CallResult<InstancePage> answer);
  void Fail(const CallError& error);

  net::Loop& loop_;
  Platform& platform_;
  ListReader reader_;
  Events events_;
  net::TimerPtr timer_;
  std::uint64_t last_call_ = 0;
  bool awaiting_ = false;  // The last call has neither been answered nor been given up.
  net::Time give_up_at_{};
  net::Time awaited_since_{};
  net::Time trouble_ended_{};  // As far as it has been seen.
  std::shared_ptr<char> run_;  // Of the calls since the last start.
};

}  // namespace shelflink::platform

#endif  // SHELFLINK_TIER_PLATFORM_LIST_POLLER_H_
