#include "tier/cluster/use_counts.h"

#include <algorithm>

namespace shelflink::cluster {

void UseCounts::Count(std::uint64_t window, const std::string& tenant) {
  ++windows_[window][tenant].counted;
  while (windows_.size() > kMostCountedWindows) windows_.erase(windows_.begin());
}

std::vector<UseCount> UseCounts::Unacknowledged() const {
  std::vector<UseCount> uses;
  for (const auto& [window, counters] : windows_) {
    for (const auto& [tenant, counter] : counters) {
      if (counter.acknowledged < counter.counted) uses.push_back({window, tenant, counter.counted});
    }
  }
  return uses;
}

void UseCounts::Acknowledge(std::uint64_t core_incarnation, const std::vector<UseCount>& uses) {
  if (core_incarnation != core_incarnation_) {  // It knows nothing of what another was told.
    core_incarnation_ = core_incarnation;
    for (auto& [window, counters] : windows_) {
      for (auto& [tenant, counter] : counters) counter.acknowledged = 0;
    }
  }
  for (const UseCount& use : uses) {
    const auto window = windows_.find(use.window);
    if (window == windows_.end()) continue;
    const auto counter = window->second.find(use.tenant);
    if (counter == window->second.end()) continue;
    counter->second.acknowledged = std::max(counter->second.acknowledged, use.count);
  }
}

void UseCounts::Settle(std::uint64_t settled_before) {
  windows_.erase(windows_.begin(), windows_.lower_bound(settled_before));
}

}  // namespace shelflink::cluster
