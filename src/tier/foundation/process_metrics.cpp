#include "tier/foundation/process_metrics.h"

#include <cstddef>

namespace shelflink {
namespace {

constexpr MetricFamily kInfo{"shelflink_process_info", MetricType::kGauge,
                             "Always 1; names the node and the role of the process."};
constexpr MetricFamily kUptime{"shelflink_process_uptime_seconds", MetricType::kGauge,
                               "Time since the process began."};
constexpr MetricFamily kViolations{"shelflink_invariant_violations_total", MetricType::kCounter,
                                   "Violations of what must hold in this process."};

}  // namespace

void AddProcessMetrics(MetricsText& text, const ProcessFigures& process,
                       const Invariants& invariants) {
  text.Add(kInfo, std::uint64_t{1}, {{"node", process.node}, {"role", process.role}});
  text.AddSeconds(kUptime, process.uptime);
  for (std::size_t i = 0; i < kInvariants; ++i) {
    const auto invariant = static_cast<Invariant>(i);
    text.Add(kViolations, invariants.violations(invariant), {{"invariant", NameOf(invariant)}});
  }
}

}  // namespace shelflink
