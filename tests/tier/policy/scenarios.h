// What must hold of the decision module for every seed: scenarios among simple endpoints, and rows
// of random events. Each returns what it found wrong.
#ifndef SHELFLINK_TESTS_TIER_POLICY_SCENARIOS_H_
#define SHELFLINK_TESTS_TIER_POLICY_SCENARIOS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shelflink::policy::testing {

using Findings = std::vector<std::string>;

struct Scenario {
  const char* name;
  Findings (*play)(std::uint64_t seed);
  std::uint64_t seeds;  // How many a test plays.
};

// Nothing is held or refused, and prompts are answered promptly.
Findings LightLoad(std::uint64_t seed);
// A flood of one level takes nothing from another.
Findings LevelIsolation(std::uint64_t seed);
// All levels together keep to the limit, each to its own pool.
Findings PoolLimits(std::uint64_t seed);
// Where seats are stuck what comes is told soon that it can neither run nor wait.
Findings HungCallsFillPool(std::uint64_t seed);
// A tenant that floods its level doesn't starve the others, and nobody waits beyond the cap.
Findings TenantFairness(std::uint64_t seed);
// Sidecars that know the same don't all go to one endpoint.
Findings NoHerding(std::uint64_t seed);
// One endpoint that goes dark, fails, or turns slow costs little.
Findings OneUnresponsive(std::uint64_t seed);
// The endpoint that keeps what most calls share goes dark.
Findings UnresponsivePrefixOwner(std::uint64_t seed);
Findings OneFailing(std::uint64_t seed);
Findings OneUnreachable(std::uint64_t seed);
Findings OneSlow(std::uint64_t seed);
// Endpoints are replaced one after the other: drained, new ones cold.
Findings RollingReplacement(std::uint64_t seed);
// All endpoints go silent: calls go on being tried, and are served again soon after.
Findings AllUnresponsive(std::uint64_t seed);
// All endpoints turn everything away: few sends, and every call is told soon.
Findings AllRejecting(std::uint64_t seed);
// Batch items taken up by the room that is told don't slow live calls, and get on.
Findings BatchBesideLive(std::uint64_t seed);
// Batch jobs that the fleet's endpoints have room for are done when due, whoever holds them, and
// live calls get their first events as without them: 70 and 255 sidecars that are not told of any
// load.
Findings FleetFinishesBatch(std::uint64_t seed);
Findings LargeFleetFinishesBatch(std::uint64_t seed);
// Calls with shared prompt parts meet where the parts are kept.
Findings PrefixAffinity(std::uint64_t seed);
// Many calls of one prefix spread once their endpoint is loaded.
Findings HotPrefix(std::uint64_t seed);
// Where the first level alone would take every slot, the others get something.
Findings NoStarvation(std::uint64_t seed);
// Long answers that cost no reading spread over the slots all the same.
Findings LongAnswers(std::uint64_t seed);
// One sidecar alone brings as many endpoints into use as its load takes.
Findings SubsetGrowth(std::uint64_t seed);
// Whatever the events are: rules on repeats, attempts, drains and final answers.
Findings RandomEvents(std::uint64_t seed);

const std::vector<Scenario>& AllScenarios();

}  // namespace shelflink::policy::testing

#endif  // SHELFLINK_TESTS_TIER_POLICY_SCENARIOS_H_
