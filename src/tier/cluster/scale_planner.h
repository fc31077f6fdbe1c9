// How many endpoints of a service to order in each zone. Pure: the load as the sidecars tell it and
// the time go in, orders come out.
//
// Rises at once, for a new endpoint serves only after its boot; falls slowly, one at a time, for a
// load that comes back finds nothing. Until a load has been told, what stands is held.
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
  double target_fill = 0.5;                         // Of an endpoint's token memory.
  net::Span fall_after = std::chrono::seconds(15);  // The load has asked for less for so long.
  net::Span fall_step = std::chrono::seconds(5);    // Between two steps down in a zone.
};

struct ScaleLoad {
  bool known = false;
  std::uint64_t tokens_running = 0;
  std::uint64_t tokens_waiting = 0;
  std::map<std::string, int> standing;  // Endpoints not draining, by zone in which it runs.
};

// Endpoints that the load asks for in one of `zones` zones, within the service's bounds.
int WantedInZone(const configuration::Service& service, const ScaleLoad& load, std::size_t zones,
                 const ScaleTuning& tuning);

class ScalePlanner {
 public:
  explicit ScalePlanner(ScaleTuning tuning) : tuning_(tuning) {}
  // The orders that differ from what was ordered before (by this planner; a new holder repeats).
  std::vector<platform::ScaleOrder> Plan(net::Time now, const configuration::Service& service,
                                         const ScaleLoad& load);
  void Clear() { zones_.clear(); }

 private:
  struct ZoneState {
    int desired = 0;
    bool ordered = false;
    net::Time enough_since;  // Since when less would do.
    bool less_would_do = false;
    net::Time last_fall;
  };
  int NextDesired(net::Time now, ZoneState& zone, int wanted) const;

  ScaleTuning tuning_;
  std::map<std::pair<std::string, std::string>, ZoneState> zones_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_SCALE_PLANNER_H_
