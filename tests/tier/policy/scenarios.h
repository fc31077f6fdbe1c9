// Requirements on the decision module that hold for every seed: scenarios with simulated endpoints,
// and sequences of random events. Each returns the requirements that were not met.
#ifndef SHELFLINK_TESTS_TIER_POLICY_SCENARIOS_H_
#define SHELFLINK_TESTS_TIER_POLICY_SCENARIOS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shelflink::policy::testing {

using Findings = std::vector<std::string>;

struct Scenario {
  const char* name;
  Findings (*run)(std::uint64_t seed);
  std::uint64_t seeds;  // Number of seeds that the test runs.
};

// Light load: no call is queued or refused, and first events are fast.
Findings LightLoad(std::uint64_t seed);
// A flood of calls of one level does not affect a more urgent one.
Findings LevelIsolation(std::uint64_t seed);
// All levels together stay within the limit, each within its own pool.
Findings PoolLimits(std::uint64_t seed);
// If hung calls fill the pool, new calls are refused soon.
Findings HungCallsFillPool(std::uint64_t seed);
// A tenant that floods its level does not starve the others, and no call waits longer than allowed.
Findings TenantFairness(std::uint64_t seed);
// Sidecars with the same information do not all choose the same endpoint.
Findings NoHerding(std::uint64_t seed);
// One endpoint that becomes unresponsive, failing, unreachable or slow affects few calls.
Findings OneUnresponsive(std::uint64_t seed);
// The owner of the prefix that all calls share becomes unresponsive.
Findings UnresponsivePrefixOwner(std::uint64_t seed);
Findings OneFailing(std::uint64_t seed);
Findings OneUnreachable(std::uint64_t seed);
Findings OneSlow(std::uint64_t seed);
// Endpoints are replaced one after the other: old ones drain, new ones start cold.
Findings RollingReplacement(std::uint64_t seed);
// All endpoints become unresponsive: calls are still sent, and succeed again soon after recovery.
Findings AllUnresponsive(std::uint64_t seed);
// All endpoints reject every call: there are few retries, and every call is refused soon.
Findings AllRejecting(std::uint64_t seed);
// Batch items started according to the reported room progress and hardly slow live calls down.
Findings BatchBesideLive(std::uint64_t seed);
// Batch jobs that fit the capacity of the fleet meet their deadline, whichever sidecars run them,
// and first events of live calls take as long as without jobs. With 70 and with 255 sidecars, and
// no load reports from the endpoints.
Findings FleetFinishesBatch(std::uint64_t seed);
Findings LargeFleetFinishesBatch(std::uint64_t seed);
// Calls with shared prompt parts go to the endpoints that have cached them.
Findings PrefixAffinity(std::uint64_t seed);
// Calls with one prefix spread to other endpoints once its owner is loaded.
Findings HotPrefix(std::uint64_t seed);
// If level 0 alone could use every slot, the other levels still get some.
Findings NoStarvation(std::uint64_t seed);
// Calls with long answers and cached prompts are spread over the slots as well.
Findings LongAnswers(std::uint64_t seed);
// A single sidecar uses as many endpoints as its load needs.
Findings SubsetGrowth(std::uint64_t seed);
// Random events never break the rules on retries, attempts, draining and final answers.
Findings RandomEvents(std::uint64_t seed);

const std::vector<Scenario>& AllScenarios();

}  // namespace shelflink::policy::testing

#endif  // SHELFLINK_TESTS_TIER_POLICY_SCENARIOS_H_
