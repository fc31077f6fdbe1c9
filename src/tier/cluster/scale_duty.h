// Orders endpoints from the platform, on the core's primary: one order for each service with
// autoscaling and each zone in which it runs, when the number changes.
#ifndef SHELFLINK_TIER_CLUSTER_SCALE_DUTY_H_
#define SHELFLINK_TIER_CLUSTER_SCALE_DUTY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/duty_pace.h"
#include "tier/cluster/member_table.h"
#include "tier/cluster/scale_planner.h"
#include "tier/configuration/model.h"
#include "tier/coordination/replicator.h"
#include "tier/platform/platform.h"

namespace shelflink::cluster {

class ScaleDuty {
 public:
  struct Parts {
    net::Loop& loop;
    coordination::Replicator& replicator;
    platform::Platform& platform;
    const MemberTable& members;
    DutyPace& pace;
  };

  ScaleDuty(Parts parts, std::string node, ScaleTuning tuning);

  void Start(std::uint64_t epoch);
  void Stop();
  // Continues under a later epoch of the same primary.
  void SetFence(std::uint64_t epoch) { epoch_ = epoch; }
  // `endpoints`: the current list of the platform; none: nothing is ordered.
  void Tick(const configuration::Configuration* configuration,
            const std::optional<std::vector<EndpointEntry>>& endpoints);

 private:
  using Subject = std::pair<std::string, std::string>;  // Service and zone.
  void Plan(const configuration::Configuration& configuration,
            const std::vector<EndpointEntry>& endpoints);
  ScaleLoad LoadOf(const configuration::Service& service,
                   const std::vector<EndpointEntry>& endpoints) const;
  void SendNext();
  void OnOrdered(const platform::ScaleOrder& order, std::uint64_t fence,
                 const platform::CallResult<void>& result);

  Parts parts_;
  std::string node_;
  ScalePlanner planner_;
  bool running_ = false;
  std::uint64_t epoch_ = 0;
  std::map<Subject, int> waiting_;  // The newest desired number of each.
  bool ordering_ = false;
  net::Time next_order_{};
  net::Span pause_{};
  std::shared_ptr<char> run_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_SCALE_DUTY_H_
