#include "tier/proxy/reading_plan.h"

#include <algorithm>
#include <cmath>

namespace shelflink::proxy {

ReadingPlan PlanReading(double rate_per_s, std::chrono::milliseconds drain, std::size_t endpoints,
                        std::size_t proxies, std::size_t entries_per_page) {
  const std::size_t pages =
      std::max<std::size_t>(1, (endpoints + entries_per_page - 1) / entries_per_page);
  const double walk_s = std::chrono::duration<double>(drain).count() / kWalkDivisor;
  const double pages_per_walk = std::max(0.0, rate_per_s) * kProxiesShareOfRate * walk_s;
  const double max_readers = std::max<double>(1.0, static_cast<double>(proxies));
  const double readers =
      std::clamp(std::floor(pages_per_walk / static_cast<double>(pages)), 1.0, max_readers);
  return {static_cast<std::size_t>(readers), kProxiesShareOfRate / readers};
}

}  // namespace shelflink::proxy
