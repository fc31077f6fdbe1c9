// Exploration of the real state machines: what no sequence of choices may break.
//
//   tier_explorer_test [-- FIRST_SEED WALKS]
#define BOOST_TEST_MODULE coordination_explorer
#include "coordination/explorer.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <limits>

namespace shelflink::coordination {
namespace {

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

std::uint64_t Argument(int index, std::uint64_t otherwise) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > index ? std::strtoull(suite.argv[index], nullptr, 10) : otherwise;
}

void Report(const std::string& name, const Exploration& result) {
  std::cout << name << ": " << result.states << " states, " << result.steps << " steps, depth "
            << result.depth << ", " << result.recoveries << " recoveries\n";
  if (result.finding) BOOST_ERROR(name << ": " << *result.finding);
}

BOOST_AUTO_TEST_CASE(every_choice_to_a_depth) {
  for (const std::size_t nodes : {std::size_t{3}, std::size_t{4}}) {
    for (const NamedWorld& from : Beginnings(nodes)) {
      const Exploration result = ExploreAll(from, {}, nodes == 3 ? 4 : 3, 200000, 512);
      Report(std::to_string(nodes) + " members, " + from.name, result);
    }
  }
}

// Two disks are lost, as many as are tolerated: half of the witnesses of four, fewer of five.
BOOST_AUTO_TEST_CASE(every_choice_to_a_depth_with_two_losses) {
  Faults faults;
  faults.wipes = 2;
  for (const std::size_t nodes : {std::size_t{4}, std::size_t{5}}) {
    for (const NamedWorld& from : Beginnings(nodes, 2)) {
      const Exploration result = ExploreAll(from, faults, nodes == 4 ? 3 : 2, 60000, 256);
      Report(std::to_string(nodes) + " members, two losses, " + from.name, result);
    }
  }
}

BOOST_AUTO_TEST_CASE(long_random_walks) {
  const std::uint64_t first = Argument(1, 1);
  const std::size_t walks = Argument(2, 40);
  for (const std::size_t nodes : {std::size_t{3}, std::size_t{4}}) {
    for (const NamedWorld& from : Beginnings(nodes)) {
      Report(std::to_string(nodes) + " members, walks, " + from.name,
             ExploreAtRandom(from, first, walks, 400));
    }
  }
}

BOOST_AUTO_TEST_CASE(long_random_walks_with_two_losses) {
  const std::uint64_t first = Argument(1, 1);
  const std::size_t walks = Argument(2, 40);
  for (const std::size_t nodes : {std::size_t{4}, std::size_t{5}}) {
    for (const NamedWorld& from : Beginnings(nodes, 2)) {
      Report(std::to_string(nodes) + " members, walks with two losses, " + from.name,
             ExploreAtRandom(from, first, walks, 400));
    }
  }
}

BOOST_AUTO_TEST_CASE(every_choice_to_a_depth_with_a_full_disk) {
  Faults faults;
  faults.full_disks = 1;
  for (const NamedWorld& from : Beginnings(3)) {
    Report("3 members, a full disk, " + from.name, ExploreAll(from, faults, 3, 60000, 256));
  }
}

// Disks that fill and have room again, together with crashes, lost messages and lost disks. The
// depth is a part of what is claimed: a run that stops short of it has failed.
BOOST_AUTO_TEST_CASE(every_choice_to_a_depth_with_full_disks_and_losses) {
  struct Exploring {
    std::size_t nodes;
    std::size_t failures;
    int depth;
  };
  for (const Exploring& one : {Exploring{3, 1, 3}, Exploring{5, 2, 2}}) {
    Faults faults;
    faults.full_disks = 2;
    faults.losses = 2;
    faults.crashes = 2;
    faults.wipes = static_cast<int>(one.failures);
    for (const NamedWorld& from : Beginnings(one.nodes, one.failures)) {
      const std::string name =
          std::to_string(one.nodes) + " members, full disks and losses, " + from.name;
      const Exploration result = ExploreAll(from, faults, one.depth, kNoLimit, 256);
      Report(name, result);
      BOOST_TEST((result.finding || result.depth == one.depth), name << " ends before its depth");
    }
  }
}

BOOST_AUTO_TEST_CASE(long_random_walks_with_full_disks) {
  const std::uint64_t first = Argument(1, 1);
  const std::size_t walks = Argument(2, 40);
  for (const std::size_t nodes : {std::size_t{3}, std::size_t{4}, std::size_t{5}}) {
    const std::size_t failures = nodes == 5 ? 2 : 1;
    for (const NamedWorld& from : Beginnings(nodes, failures)) {
      Report(std::to_string(nodes) + " members, walks with full disks, " + from.name,
             ExploreAtRandom(from, first, walks, 400, 6));
    }
  }
}

}  // namespace
}  // namespace shelflink::coordination
