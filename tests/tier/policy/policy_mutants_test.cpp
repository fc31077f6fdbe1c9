// A test that never fails proves nothing: for each fault compiled into the decision module a
// scenario finds it out.
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
    {"lend pools", Mutant::kLendPools, PoolsKeepApart},
    {"one flow", Mutant::kOneFlow, FairTenants},
    {"wait long", Mutant::kWaitLong, StuckSeats},
    {"repeat anything", Mutant::kRepeatAnything, Lawful},
    {"refuse failures", Mutant::kRefuseFailures, Lawful},
    {"many attempts", Mutant::kManyAttempts, Lawful},
    {"ask again", Mutant::kAskAgain, Lawful},
    {"deaf to drains", Mutant::kDeafToDrains, Lawful},
    {"trust silence", Mutant::kTrustSilence, DarkOwner},
    {"never eject", Mutant::kNeverEject, OneFailing},
    {"ignore pace", Mutant::kIgnorePace, OneSlow},
    {"ignore load", Mutant::kIgnoreLoad, LongAnswers},
    {"ignore prefix", Mutant::kIgnorePrefix, Stickiness},
    {"no retry budget", Mutant::kNoRetryBudget, AllFull},
    {"no panic", Mutant::kNoPanic, AllDark},
    {"batch unbounded", Mutant::kBatchUnbounded, BatchYields},
    {"fill last slots", Mutant::kFillLastSlots, Isolation},
    {"starve others", Mutant::kStarveOthers, NobodyStarves},
    {"subset stays", Mutant::kSubsetStays, SubsetGrows},
};

struct Active {
  explicit Active(Mutant mutant) { active_mutant = mutant; }
  ~Active() { active_mutant = Mutant::kNone; }
  Active(const Active&) = delete;
  Active& operator=(const Active&) = delete;
};

}  // namespace

BOOST_DATA_TEST_CASE(is_found_within_sixty_seeds, boost::unit_test::data::make(kCases), tested) {
  constexpr std::uint64_t kSeeds = 60;
  const Active active(tested.mutant);
  std::uint64_t seed = 1;
  while (seed <= kSeeds && tested.scenario(seed).empty()) ++seed;
  BOOST_TEST(seed <= kSeeds);
}

}  // namespace shelflink::policy::testing
