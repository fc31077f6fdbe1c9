// Priority levels of a configuration: one for each priority that a route or a tenant has, the most
// urgent first, and a last one for batch items. Pure.
#ifndef SHELFLINK_TIER_PROXY_PRIORITY_LEVELS_H_
#define SHELFLINK_TIER_PROXY_PRIORITY_LEVELS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "tier/configuration/model.h"

namespace shelflink::proxy {

// Maps configured priorities to consecutive levels; level 0 is the most urgent one.
class PriorityLevels {
 public:
  PriorityLevels() = default;
  explicit PriorityLevels(const configuration::Configuration& configuration) {
    for (const configuration::Route& route : configuration.routes) {
      if (route.kind != configuration::RouteKind::kBatch) priorities_.push_back(route.priority);
    }
    for (const configuration::Tenant& tenant : configuration.tenants) {
      if (tenant.priority) priorities_.push_back(*tenant.priority);
    }
    std::sort(priorities_.begin(), priorities_.end());
    priorities_.erase(std::unique(priorities_.begin(), priorities_.end()), priorities_.end());
  }

  std::uint32_t count() const { return batch_level() + 1; }
  std::uint32_t batch_level() const {
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, priorities_.size()));
  }
  // Level of a client's request. A priority that is not in the configuration gets the level of the
  // next less urgent one, at most the last level before the batch level.
  std::uint32_t LevelOf(int priority) const {
    const auto at = std::lower_bound(priorities_.begin(), priorities_.end(), priority);
    return std::min(static_cast<std::uint32_t>(at - priorities_.begin()), batch_level() - 1);
  }

 private:
  std::vector<int> priorities_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_PRIORITY_LEVELS_H_
