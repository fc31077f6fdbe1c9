// Mutation test: for each fault compiled into the decision module, a scenario must fail for at
// least one of 60 seeds.
#define BOOST_TEST_MODULE tier_policy_mutants
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "policy/scenarios.h"
#include "tier/policy/mutant.h"

namespace shelflink::policy::testing {

struct Case {
  const char* name;
  Mutant mutant;
  Findings (*scenario)(std::uint64_t seed);
};

std::ostream& operator<<(std::ostream& out, const Case& tested) { return out << tested.name; }

namespace {

const Case kCases[] = {
    {"shared pools", Mutant::kSharedPools, PoolLimits},
    {"single flow", Mutant::kSingleFlow, TenantFairness},
    {"unbounded wait", Mutant::kUnboundedWait, HungCallsFillPool},
    {"retry non-repeatable", Mutant::kRetryNonRepeatable, RandomEvents},
    {"refuse failures", Mutant::kRefuseFailures, RandomEvents},
    {"extra attempts", Mutant::kExtraAttempts, RandomEvents},
    {"retry rejecting endpoint", Mutant::kRetryRejectingEndpoint, RandomEvents},
    {"ignore draining", Mutant::kIgnoreDraining, RandomEvents},
    {"ignore silence", Mutant::kIgnoreSilence, UnresponsivePrefixOwner},
    {"never eject", Mutant::kNeverEject, OneFailing},
    {"ignore latency ratio", Mutant::kIgnoreLatencyRatio, OneSlow},
    {"ignore load", Mutant::kIgnoreLoad, LongAnswers},
    {"ignore prefix", Mutant::kIgnorePrefix, PrefixAffinity},
    {"no retry budget", Mutant::kNoRetryBudget, AllRejecting},
    {"no panic", Mutant::kNoPanic, AllUnresponsive},
    {"unbounded batch", Mutant::kUnboundedBatch, BatchBesideLive},
    {"use reserved slots", Mutant::kUseReservedSlots, LevelIsolation},
    {"starve lower levels", Mutant::kStarveLowerLevels, NoStarvation},
    {"fixed subset", Mutant::kFixedSubset, SubsetGrowth},
};

// Activates a mutant for its lifetime.
struct ActiveMutant {
  explicit ActiveMutant(Mutant mutant) { active_mutant = mutant; }
  ~ActiveMutant() { active_mutant = Mutant::kNone; }
  ActiveMutant(const ActiveMutant&) = delete;
  ActiveMutant& operator=(const ActiveMutant&) = delete;
};

}  // namespace

BOOST_DATA_TEST_CASE(is_detected_within_sixty_seeds, boost::unit_test::data::make(kCases), tested) {
  constexpr std::uint64_t kSeeds = 60;
  const ActiveMutant active(tested.mutant);
  std::uint64_t seed = 1;
  while (seed <= kSeeds && tested.scenario(seed).empty()) ++seed;
  BOOST_TEST(seed <= kSeeds);
}

}  // namespace shelflink::policy::testing
