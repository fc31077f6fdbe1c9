// Explores a mutated state machine until something is found broken: succeeds if it is.
//
//   tier_mutant_NAME [FULL_DISKS]   so many disks at most fill on a walk; none by default
#include <cstdlib>
#include <iostream>

#include "coordination/explorer.h"

namespace {

constexpr std::size_t kRounds = 60;
constexpr std::size_t kWalksARound = 8;
constexpr std::size_t kLength = 400;

}  // namespace

int main(int argc, char** argv) {
  using shelflink::coordination::Beginnings;
  std::vector<shelflink::coordination::NamedWorld> beginnings = Beginnings(3);
  for (auto& beginning : Beginnings(4)) beginnings.push_back(std::move(beginning));
  const std::uint64_t full_disks = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 0;
  std::size_t steps = 0;
  for (std::size_t round = 0; round < kRounds; ++round) {
    for (const auto& beginning : beginnings) {
      const auto result = shelflink::coordination::ExploreAtRandom(
          beginning, 1 + round * kWalksARound, kWalksARound, kLength, full_disks);
      steps += result.steps;
      if (!result.finding) continue;
      std::cout << "found after " << steps << " steps: " << beginning.name << ": "
                << result.finding->substr(0, result.finding->find('\n')) << "\n";
      return EXIT_SUCCESS;
    }
  }
  std::cout << "nothing found in " << steps << " steps\n";
  return EXIT_FAILURE;
}
