// Losses at one instant, and losses that follow a repair or a replacement: what is promised for
// each number of members against each fault tolerance.
#define BOOST_TEST_MODULE coordination_second_loss
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "coordination/world.h"

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A machine counts as lost until so long after its return.
constexpr net::Span kCatchUp = milliseconds(5200);
constexpr net::Span kReturnsAfter = milliseconds(300);
constexpr net::Span kRecoversWithin = seconds(6);

struct Size {
  std::size_t members = 0;
  std::size_t failures = 0;
};

// A core that serves and has acknowledged an order; `spares` machines have not been started yet.
class Core {
 public:
  explicit Core(Size size, std::size_t spares = 0)
      : world(size.members + spares, size.failures), size_(size) {
    world.NextOrder(0);
    for (std::size_t node = 0; node < size.members; ++node) {
      world.Start(node, true);
      running.push_back(node);
    }
    world.Run(seconds(2));
    BOOST_REQUIRE(world.Acknowledges(0, seconds(1)));
    RunUnderLoad(seconds(2));
  }

  // Orders follow each other without a pause.
  void RunUnderLoad(net::Span span, const World::Trouble& trouble = {}) {
    const net::Time until = world.now + span;
    while (world.now < until) {
      if (world.orders[0].base < world.history.newest()) world.NextOrder(0);
      if (const auto primary = world.Primary()) world.Submit(*primary, 0);
      world.Run(milliseconds(10), trouble);
    }
  }

  void CheckServesAll(const std::string& what) {
    world.NextOrder(0);
    BOOST_TEST(world.Acknowledges(0, kRecoversWithin), what << "\n" << world.Describe());
    if (const auto primary = world.Primary()) {
      world.history.AtTheEnd(world.DocumentAt(*primary));
    }
    for (const std::string& finding : world.history.findings()) BOOST_ERROR(what << finding);
  }

  const Record& NewestRecord() const {
    const Record* newest = nullptr;
    for (const Node& node : world.nodes) {
      if (!node.member) continue;
      const Record& record = node.member->record();
      if (newest == nullptr || record.number > newest->number) newest = &record;
    }
    BOOST_REQUIRE(newest != nullptr);
    return *newest;
  }

  // Only disks that exist are named, as many as there should be.
  void CheckRedundant(const std::string& what) const {
    const Record& record = NewestRecord();
    BOOST_TEST(record.replicas.size() >= size_.failures + 1, what);
    BOOST_TEST(record.replicas.size() ==
                   std::min(running.size(), std::max(record.replicas.size(), size_.failures + 1)),
               what);
    for (const CoreMember& member : MembersOf(record)) {
      const bool exists = std::any_of(running.begin(), running.end(), [&](std::size_t node) {
        return world.up(node) && world.nodes[node].identity == member.disk;
      });
      BOOST_TEST(exists, what << " names " << member.disk << "\n" << world.Describe());
    }
  }

  // These lose their disks, all others lose power, at this instant.
  void LoseAtOnce(const std::vector<std::size_t>& wiped) {
    for (const std::size_t node : running) {
      if (std::find(wiped.begin(), wiped.end(), node) != wiped.end()) {
        world.Wipe(node);
      } else {
        world.Crash(node, 0);
      }
    }
    world.flights.clear();
    world.Run(kReturnsAfter);
    for (const std::size_t node : running) world.Start(node);
  }

  World world;
  std::vector<std::size_t> running;

 private:
  Size size_;
};

std::string NameOf(Size size, const std::string& what) {
  return std::to_string(size.members) + " members, tolerance " + std::to_string(size.failures) +
         ": " + what + " ";
}

// All sets of `count` of the numbers below `size`.
std::vector<std::vector<std::size_t>> Subsets(std::size_t size, std::size_t count) {
  std::vector<std::vector<std::size_t>> all;
  for (std::size_t bits = 0; bits < (std::size_t{1} << size); ++bits) {
    std::vector<std::size_t> one;
    for (std::size_t i = 0; i < size; ++i) {
      if ((bits >> i & 1U) != 0) one.push_back(i);
    }
    if (one.size() == count) all.push_back(std::move(one));
  }
  return all;
}

const std::vector<Size> kFullyPromised = {{3, 1}, {4, 1}, {5, 1}, {6, 1}, {7, 1}, {9, 1},
                                          {5, 2}, {6, 2}, {7, 2}, {8, 2}, {9, 2}};
// No majority is left, but the half that is left and the machines that return go on together.
const std::vector<Size> kHalfSuffices = {{2, 1}, {4, 2}, {6, 3}};

BOOST_AUTO_TEST_CASE(as_many_disks_as_tolerated_are_lost_at_one_instant) {
  std::vector<Size> sizes = kFullyPromised;
  sizes.insert(sizes.end(), kHalfSuffices.begin(), kHalfSuffices.end());
  for (const Size size : sizes) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures)) {
      Core core = founded;
      core.LoseAtOnce(wiped);
      std::string what = NameOf(size, "lost");
      for (const std::size_t node : wiped) what += std::to_string(node) + " ";
      core.CheckServesAll(what);
    }
  }
}

// The same without loss of power for the others, under load.
BOOST_AUTO_TEST_CASE(as_many_disks_as_tolerated_are_lost_while_the_others_serve) {
  for (const Size size : {Size{4, 1}, Size{4, 2}, Size{5, 2}, Size{8, 2}}) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures)) {
      Core core = founded;
      for (const std::size_t node : wiped) core.world.Wipe(node);
      core.RunUnderLoad(kReturnsAfter);
      for (const std::size_t node : wiped) core.world.Start(node);
      core.RunUnderLoad(kCatchUp);
      const std::string what = NameOf(size, "after");
      core.CheckServesAll(what);
      core.CheckRedundant(what);
    }
  }
}

// Each machine in turn, twice round: by the time one counts again, the next may go.
BOOST_AUTO_TEST_CASE(disks_are_lost_one_after_the_other_under_load) {
  std::vector<Size> sizes = kFullyPromised;
  sizes.insert(sizes.end(), kHalfSuffices.begin(), kHalfSuffices.end());
  for (const Size size : sizes) {
    Core core(size);
    for (std::size_t loss = 0; loss < 2 * size.members; ++loss) {
      const std::size_t node = loss % size.members;
      core.world.Wipe(node);
      core.RunUnderLoad(kReturnsAfter);
      core.world.Start(node);
      core.RunUnderLoad(kCatchUp);
      const std::string what = NameOf(size, "loss " + std::to_string(loss));
      core.CheckServesAll(what);
      core.CheckRedundant(what);
    }
  }
}

// As many as are tolerated at once, again and again, each set as soon as the last one counts.
BOOST_AUTO_TEST_CASE(pairs_of_disks_are_lost_one_after_the_other_under_load) {
  for (const Size size : {Size{4, 2}, Size{5, 2}, Size{8, 2}}) {
    Core core(size);
    for (std::size_t loss = 0; loss < 2 * size.members; ++loss) {
      const std::vector<std::size_t> lost = {loss % size.members, (loss + 1) % size.members};
      for (const std::size_t node : lost) core.world.Wipe(node);
      core.RunUnderLoad(kReturnsAfter);
      for (const std::size_t node : lost) core.world.Start(node);
      core.RunUnderLoad(kCatchUp);
      const std::string what = NameOf(size, "pair " + std::to_string(loss));
      core.CheckServesAll(what);
      core.CheckRedundant(what);
    }
  }
}

// Each machine is replaced in turn by an empty one at another address, and is never seen again.
BOOST_AUTO_TEST_CASE(machines_are_replaced_at_other_addresses_one_after_the_other) {
  for (const Size size : kFullyPromised) {
    Core core(size, size.members);
    for (std::size_t loss = 0; loss < size.members; ++loss) {
      core.world.Crash(core.running.front(), 0);
      core.running.erase(core.running.begin());
      core.RunUnderLoad(seconds(1));
      const std::size_t successor = size.members + loss;
      core.world.seeds.assign(core.running.begin(), core.running.begin() + 2);
      core.running.push_back(successor);
      core.world.Start(successor);
      core.RunUnderLoad(kCatchUp);
      const std::string what = NameOf(size, "replacement " + std::to_string(loss));
      core.CheckServesAll(what);
      core.CheckRedundant(what);
    }
  }
}

}  // namespace
}  // namespace shelflink::coordination
