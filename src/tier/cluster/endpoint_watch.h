// The one reader of the platform's list of endpoints: walks it on the core's primary and tells of
// each list that differs from the one before. While the platform is down the last list stands.
#ifndef SHELFLINK_TIER_CLUSTER_ENDPOINT_WATCH_H_
#define SHELFLINK_TIER_CLUSTER_ENDPOINT_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/view.h"
#include "tier/platform/list_reader.h"

namespace shelflink::cluster {

class EndpointWatch {
 public:
  using Changed = std::function<void(const std::vector<EndpointEntry>& entries)>;

  EndpointWatch(net::Loop& loop, platform::Platform& platform,
                const platform::ListReader::Options& options, Changed changed);
  ~EndpointWatch();
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  void Start();
  void Stop();
  // None: no whole list has been read since the start.
  const std::optional<std::vector<EndpointEntry>>& entries() const { return entries_; }
  // When a whole list was read last, also before the last start; none: never in this process.
  std::optional<net::Time> read_at() const { return read_at_; }

 private:
  void Schedule();
  void CallNext();
  void OnAnswer(platform::CallResult<platform::InstancePage> answer);

  net::Loop& loop_;
  platform::Platform& platform_;
  platform::ListReader reader_;
  Changed changed_;
  std::optional<std::vector<EndpointEntry>> entries_;
  std::optional<net::Time> read_at_;
  net::TimerPtr timer_;
  std::shared_ptr<char> run_;  // Of the calls since the last start.
};

// Whether somebody who sends requests would act differently.
bool SameEndpoints(const std::vector<EndpointEntry>& a, const std::vector<EndpointEntry>& b);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ENDPOINT_WATCH_H_
