// Helpers of the scenarios: generates calls at random times and counts their results.
#ifndef SHELFLINK_TESTS_TIER_POLICY_SCENARIO_TOOLS_H_
#define SHELFLINK_TESTS_TIER_POLICY_SCENARIO_TOOLS_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "policy/scenarios.h"
#include "policy/simulation.h"

namespace shelflink::policy::testing {

using MakeCall = std::function<Call()>;

// Poisson arrivals at one sidecar, and at all of them.
inline void GenerateCalls(Simulation& simulation, std::size_t sidecar, Micros from, Micros until,
                          double per_second, const MakeCall& make) {
  const double gap = -std::log(1.0 - simulation.draws.Unit()) / per_second * 1e6;
  const Micros at = from + static_cast<Micros>(gap);
  if (at >= until) return;
  simulation.Schedule(at, [&simulation, sidecar, at, until, per_second, make] {
    simulation.SubmitCall(sidecar, make());
    GenerateCalls(simulation, sidecar, at, until, per_second, make);
  });
}

inline void GenerateFleetCalls(Simulation& simulation, Micros until, double per_second,
                               const MakeCall& make) {
  for (std::size_t i = 0; i < simulation.sidecars(); ++i)
    GenerateCalls(simulation, i, 0, until, per_second, make);
}

// Counts of the calls that arrived within a time span.
struct Tally {
  double total = 0;
  double served = 0;
  double refused = 0;
  double lost = 0;          // Neither served nor refused.
  double delayed = 0;       // Sent later than they arrived.
  Micros longest_wait = 0;  // From arrival until sent or refused.
  std::vector<Micros> first_events;

  // Quantile of the time to the first event.
  Micros FirstEvent(double quantile) {
    if (first_events.empty()) return 0;
    const auto at =
        static_cast<std::ptrdiff_t>(quantile * static_cast<double>(first_events.size() - 1));
    std::nth_element(first_events.begin(), first_events.begin() + at, first_events.end());
    return first_events[static_cast<std::size_t>(at)];
  }
};

using Filter = std::function<bool(const CallRecord&)>;

inline Tally Count(const Simulation& simulation, Micros from, Micros until,
                   const Filter& filter = {}) {
  Tally tally;
  for (const auto& [id, record] : simulation.records()) {
    if (record.arrived_at < from || record.arrived_at >= until || (filter && !filter(record)))
      continue;
    ++tally.total;
    if (record.served) ++tally.served;
    if (record.refused) ++tally.refused;
    if (!record.served && !record.refused) ++tally.lost;
    if (record.first_sent_at > record.arrived_at) ++tally.delayed;
    const Micros waited_until = record.first_sent_at >= 0 ? record.first_sent_at : record.ended_at;
    tally.longest_wait = std::max(tally.longest_wait, waited_until - record.arrived_at);
    if (record.first_event_at >= 0)
      tally.first_events.push_back(record.first_event_at - record.arrived_at);
  }
  return tally;
}

inline void Expect(Findings& findings, bool holds, const std::string& what, double measured) {
  if (!holds) findings.push_back(what + " (" + std::to_string(measured) + ")");
}

}  // namespace shelflink::policy::testing

#endif  // SHELFLINK_TESTS_TIER_POLICY_SCENARIO_TOOLS_H_
