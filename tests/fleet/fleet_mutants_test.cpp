// Faults of the owner and of the receiver, compiled in one at a time: seeds find each of them.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "fleet/world.h"
#include "sidecar/mutant.h"

namespace fleet {
namespace {

using kelpspring::Mutant;

constexpr std::uint64_t kSeeds = 40;

// The first seed that finds something, and what. The search begins shortly before one that does,
// for time's sake: from seed 1 on they are found by seeds 2, 327 and 142.
std::pair<std::uint64_t, std::string> Found(Mutant mutant, std::uint64_t from) {
  kelpspring::active_mutant = mutant;
  for (std::uint64_t seed = from; seed < from + kSeeds; ++seed) {
    const std::string broken = PlaySeed(seed);
    if (!broken.empty()) return {seed, broken};
  }
  return {0, ""};
}

TEST(FleetMutants, AreFoundBySeeds) {
  struct Case {
    Mutant mutant;
    std::uint64_t from;
    std::string finding;
  };
  for (const auto& [mutant, from, finding] :
       {Case{Mutant::kActLate, 1, "acted late"},
        Case{Mutant::kObeyLate, 310, "obeyed a late owner"},
        Case{Mutant::kNoSlots, 125, "more than so many are out"}}) {
    const auto [seed, broken] = Found(mutant, from);
    EXPECT_NE(broken.find(finding), std::string::npos)
        << "mutant " << static_cast<int>(mutant) << ", seed " << seed << ": " << broken;
    RecordProperty("mutant_" + std::to_string(static_cast<int>(mutant)), static_cast<int>(seed));
  }
  kelpspring::active_mutant = Mutant::kNone;
}

}  // namespace
}  // namespace fleet
