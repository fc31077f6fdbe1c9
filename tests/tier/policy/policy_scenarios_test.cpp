// Runs every scenario of the decision module for its number of seeds; all must pass.
#define BOOST_TEST_MODULE tier_policy_scenarios
#include <boost/test/unit_test.hpp>

#include "policy/scenarios.h"

namespace shelflink::policy::testing {

BOOST_AUTO_TEST_CASE(scenarios_hold_for_every_seed) {
  for (const Scenario& scenario : AllScenarios()) {
    BOOST_TEST_CONTEXT(scenario.name) {
      std::uint64_t failed_seeds = 0;
      for (std::uint64_t seed = 1; seed <= scenario.seeds; ++seed) {
        const Findings findings = scenario.run(seed);
        if (findings.empty()) continue;
        ++failed_seeds;
        if (failed_seeds <= 3) {
          for (const std::string& finding : findings) {
            BOOST_TEST_MESSAGE(scenario.name << ", seed " << seed << ": " << finding);
          }
        }
      }
      BOOST_TEST(failed_seeds == 0U);
    }
  }
}

}  // namespace shelflink::policy::testing
