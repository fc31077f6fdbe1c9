// Figures that every process of the tier tells of itself.
#ifndef SHELFLINK_TIER_FOUNDATION_PROCESS_METRICS_H_
#define SHELFLINK_TIER_FOUNDATION_PROCESS_METRICS_H_

#include <chrono>
#include <string>

#include "tier/foundation/invariants.h"
#include "tier/foundation/metrics_text.h"

namespace shelflink {

struct ProcessFigures {
  std::string node;
  std::string role;  // "proxy", "core", "store"
  std::chrono::nanoseconds uptime{0};
};

void AddProcessMetrics(MetricsText& text, const ProcessFigures& process,
                       const Invariants& invariants);

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_PROCESS_METRICS_H_
