#include "tier/cluster/scale_planner.h"

#include <algorithm>
#include <cmath>

namespace shelflink::cluster {

int WantedInZone(const configuration::Service& service, const ScaleLoad& load, std::size_t zones,
                 const ScaleTuning& tuning) {
  const int least = service.autoscale->min;
  const int most = std::max(service.autoscale->max, least);
  if (!service.engine || service.engine->kv_tokens == 0 || zones == 0) return least;
  const double tokens = static_cast<double>(load.tokens_running + load.tokens_waiting);
  const double room = static_cast<double>(service.engine->kv_tokens) * tuning.target_fill;
  const double in_zone = tokens / room / static_cast<double>(zones);
  const int wanted = static_cast<int>(std::ceil(std::min(in_zone, static_cast<double>(most))));
  return std::clamp(wanted, least, most);
}

int ScalePlanner::NextDesired(net::Time now, ZoneState& zone, int wanted) const {
  if (wanted >= zone.desired) {
    zone.less_would_do = false;
    return wanted;
  }
  if (!zone.less_would_do) {
    zone.less_would_do = true;
    zone.enough_since = now;
  }
  const bool long_enough = now - zone.enough_since >= tuning_.fall_after;
  if (!long_enough || now - zone.last_fall < tuning_.fall_step) return zone.desired;
  zone.last_fall = now;
  return zone.desired - 1;
}

std::vector<platform::ScaleOrder> ScalePlanner::Plan(net::Time now,
                                                     const configuration::Service& service,
                                                     const ScaleLoad& load) {
  std::vector<platform::ScaleOrder> orders;
  if (!service.autoscale || !load.known) return orders;
  const int wanted = WantedInZone(service, load, load.standing.size(), tuning_);
  for (const auto& [zone_name, standing] : load.standing) {
    const auto [entry, is_new] = zones_.try_emplace({service.name, zone_name});
    ZoneState& zone = entry->second;
    if (is_new) {
      zone.desired = std::clamp(standing, service.autoscale->min,
                                std::max(service.autoscale->max, service.autoscale->min));
    }
    const int next = NextDesired(now, zone, wanted);
    if (next == zone.desired && (zone.ordered || next == standing)) continue;
    zone.desired = next;
    zone.ordered = true;
    orders.push_back({service.name, zone_name, next});
  }
  return orders;
}

}  // namespace shelflink::cluster
