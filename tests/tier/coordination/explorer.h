// Plays every choice of a world to a depth, and long random sequences of choices beyond it.
#ifndef SHELFLINK_TESTS_TIER_COORDINATION_EXPLORER_H_
#define SHELFLINK_TESTS_TIER_COORDINATION_EXPLORER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/world.h"

namespace shelflink::coordination {

// How often each fault may befall the world on one path.
struct Faults {
  int losses = 1;
  int repetitions = 1;
  int reorderings = 1;
  int crashes = 1;
  int wipes = 1;
  int full_disks = 0;
  int late_timers = 2;  // A timer fires although others were due before: those stood still.
};

struct Exploration {
  std::size_t states = 0;
  std::size_t steps = 0;
  int depth = 0;                       // Reached in full.
  std::size_t recoveries = 0;          // States from which a fair run was played.
  std::optional<std::string> finding;  // What was broken, and where.
};

struct NamedWorld {
  std::string name;
  World world;
  std::size_t failures = 1;  // Disks that may be lost at one time.
};
// Worlds worth starting from: serving with an order under way, without a primary, changing members.
std::vector<NamedWorld> Beginnings(std::size_t nodes, std::size_t failures = 1);

// Breadth first, each state once, to `depth` or until `most_states`. One in `recover_one_in` states
// must acknowledge again in a fair run.
Exploration ExploreAll(const NamedWorld& from, const Faults& faults, int depth,
                       std::size_t most_states, std::uint64_t recover_one_in);
// `walks` random paths of `length` choices each, with up to `full_disks` disks that fill; every one
// must recover at its end.
Exploration ExploreAtRandom(const NamedWorld& from, std::uint64_t seed, std::size_t walks,
                            std::size_t length, std::uint64_t full_disks = 0);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_EXPLORER_H_
