// Computes the number of endpoints of a service to order in each zone from the load reported by the
// sidecars. Pure.
//
// The number rises at once, because a new endpoint has to boot first, and falls slowly, one at a
// time, because the load may return. It is kept unchanged until a load has been reported.
#ifndef SHELFLINK_TIER_CLUSTER_SCALE_PLANNER_H_
#define SHELFLINK_TIER_CLUSTER_SCALE_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/configuration/model.h"
#include "tier/platform/platform.h"

namespace shelflink::cluster {

struct ScaleTuning {
  double target_fill = 0.5;                         // Share of an endpoint's token memory.
  net::Span fall_after = std::chrono::seconds(15);  // Duration of a lower load before a step down.
  net::Span fall_step = std::chrono::seconds(5);    // Between two steps down in a zone.
};

struct ScaleLoad {
  bool known = false;
  std::uint64_t tokens_running = 0;
  std::uint64_t tokens_waiting = 0;
  std::map<std::string, int> standing;  // Endpoints that are not draining, by zone.
};

// Endpoints required by the load in each of `zones` zones, within the service's bounds.
int WantedInZone(const configuration::Service& service, const ScaleLoad& load, std::size_t zones,
                 const ScaleTuning& tuning);

class ScalePlanner {
 public:
  explicit ScalePlanner(ScaleTuning tuning) : tuning_(tuning) {}
  // The orders that differ from this planner's earlier ones; a new primary repeats all of them.
  std::vector<platform::ScaleOrder> Plan(net::Time now, const configuration::Service& service,
                                         const ScaleLoad& load);
  void Clear() { zones_.clear(); }

 private:
  struct ZoneState {
    int desired = 0;
    bool ordered = false;
    net::Time enough_since;  // Since when fewer are sufficient.
    bool less_would_do = false;
    net::Time last_fall;
  };
  int NextDesired(net::Time now, ZoneState& zone, int wanted) const;

  ScaleTuning tuning_;
  std::map<std::pair<std::string, std::string>, ZoneState> zones_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_SCALE_PLANNER_H_
