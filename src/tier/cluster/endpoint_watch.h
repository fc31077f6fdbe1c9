// Reads the platform's endpoint list on the core's primary and publishes each list that differs
// from the one published before. While the platform is down the last list remains in force.
#ifndef SHELFLINK_TIER_CLUSTER_ENDPOINT_WATCH_H_
#define SHELFLINK_TIER_CLUSTER_ENDPOINT_WATCH_H_

#include <functional>
#include <optional>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/view.h"
#include "tier/platform/list_poller.h"

namespace shelflink::cluster {

class EndpointWatch {
 public:
  // Returns whether the list has been published; otherwise it is offered again.
  using Publish = std::function<bool(const std::vector<EndpointEntry>& entries)>;

  EndpointWatch(net::Loop& loop, platform::Platform& platform,
                const platform::ListReader::Options& options, Publish publish);
  ~EndpointWatch();
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  void Start();
  void Stop();
  // None: no complete list has been read since the start.
  const std::optional<std::vector<EndpointEntry>>& entries() const { return entries_; }
  // When the reading of that list began; none: no complete list has been read by this process.
  std::optional<net::Time> read_at() const { return read_at_; }
  // Offers the newest list again if it is not published.
  void PublishPending();
  bool published() const { return published_; }

 private:
  void OnRead(std::vector<EndpointEntry> entries, net::Time read_at);
  void OnFailed(const platform::CallError& error);

  net::Loop& loop_;
  platform::ListPoller poller_;
  Publish publish_;
  std::optional<std::vector<EndpointEntry>> entries_;
  std::optional<net::Time> read_at_;
  bool published_ = true;  // The newest list or an equal one.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ENDPOINT_WATCH_H_
