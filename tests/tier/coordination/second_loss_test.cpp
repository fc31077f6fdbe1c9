// Simultaneous losses, and losses that follow a repair or a replacement: the guarantees for each
// number of members and each fault tolerance.
#define BOOST_TEST_MODULE coordination_second_loss
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "coordination/world.h"

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A machine counts as lost until this long after its return.
constexpr net::Span kCatchUpTime = milliseconds(5200);
constexpr net::Span kRestartDelay = milliseconds(300);
constexpr net::Span kRecoveryTimeout = seconds(6);

struct Size {
  std::size_t members = 0;
  std::size_t failures = 0;
};

// A core that is serving and has acknowledged an order. `spares` more machines are not started yet.
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

  // Runs with a continuous sequence of orders.
  void RunUnderLoad(net::Span span, const World::Trouble& trouble = {}) {
    const net::Time until = world.now + span;
    while (world.now < until) {
      if (world.orders[0].base < world.history.newest()) world.NextOrder(0);
      if (const auto primary = world.Primary()) world.Submit(*primary, 0);
      world.Run(milliseconds(10), trouble);
    }
  }

  void CheckServesAcknowledged(const std::string& what) {
    world.NextOrder(0);
    BOOST_TEST(world.Acknowledges(0, kRecoveryTimeout), what << "\n" << world.Describe());
    if (const auto primary = world.Primary()) {
      world.history.CheckFinalState(world.DocumentAt(*primary));
    }
    for (const std::string& finding : world.history.findings()) BOOST_ERROR(what << finding);
  }

  const Record& NewestRecord() const {
    const Record* newest = nullptr;
    for (const Node& node : world.nodes) {
      if (!node.member) continue;
      const Record& record = node.member->record();
      if (newest == nullptr || record.epoch > newest->epoch) newest = &record;
    }
    BOOST_REQUIRE(newest != nullptr);
    return *newest;
  }

  // Checks that the record names only existing disks, and enough of them.
  void CheckRedundant(const std::string& what) const {
    CheckAllExist(NewestRecord().witnesses, what);
    CheckReplicasExist(what);
  }

  void CheckReplicasExist(const std::string& what) const {
    const Record& record = NewestRecord();
    BOOST_TEST(record.replicas.size() >= size_.failures + 1, what);
    CheckAllExist(record.replicas, what);
  }

  void CheckAllExist(const std::vector<CoreMember>& members, const std::string& what) const {
    for (const CoreMember& member : members) {
      const bool exists = std::any_of(running.begin(), running.end(), [&](std::size_t node) {
        return world.up(node) && world.nodes[node].identity == member.disk;
      });
      BOOST_TEST(exists, what << " names " << member.disk << "\n" << world.Describe());
    }
  }

  // The machines in `wiped` lose their disks while all others lose power.
  void LoseDisksAtOnce(const std::vector<std::size_t>& wiped) {
    for (const std::size_t node : running) {
      if (std::find(wiped.begin(), wiped.end(), node) != wiped.end()) {
        world.Wipe(node);
      } else {
        world.Crash(node, 0);
      }
    }
    world.flights.clear();
    world.Run(kRestartDelay);
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

// All subsets of {0, ..., size - 1} with `count` elements.
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

const std::vector<Size> kMajoritySurvives = {{3, 1}, {4, 1}, {5, 1}, {6, 1}, {7, 1}, {9, 1},
                                             {5, 2}, {6, 2}, {7, 2}, {8, 2}, {9, 2}};
// No majority remains, but the remaining half can continue with the machines that return.
const std::vector<Size> kHalfSuffices = {{2, 1}, {4, 2}, {6, 3}};

BOOST_AUTO_TEST_CASE(the_tolerated_number_of_disks_is_lost_at_once) {
  std::vector<Size> sizes = kMajoritySurvives;
  sizes.insert(sizes.end(), kHalfSuffices.begin(), kHalfSuffices.end());
  for (const Size size : sizes) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures)) {
      Core core = founded;
      core.LoseDisksAtOnce(wiped);
      std::string what = NameOf(size, "lost");
      for (const std::size_t node : wiped) what += std::to_string(node) + " ";
      core.CheckServesAcknowledged(what);
    }
  }
}

// Like the test above, but under load and without power loss at the other machines.
BOOST_AUTO_TEST_CASE(the_tolerated_number_of_disks_is_lost_while_the_others_serve) {
  for (const Size size : {Size{4, 1}, Size{4, 2}, Size{5, 2}, Size{8, 2}}) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures)) {
      Core core = founded;
      for (const std::size_t node : wiped) core.world.Wipe(node);
      core.RunUnderLoad(kRestartDelay);
      for (const std::size_t node : wiped) core.world.Start(node);
      core.RunUnderLoad(kCatchUpTime);
      const std::string what = NameOf(size, "after");
      core.CheckServesAcknowledged(what);
      core.CheckRedundant(what);
    }
  }
}

// The lost witnesses may have decided a record that no other member knows. The others must not
// decide a different one, even though the core stops.
BOOST_AUTO_TEST_CASE(lost_witnesses_that_may_have_decided_alone_block_the_others) {
  for (const Size size : {Size{3, 2}, Size{5, 3}}) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures)) {
      Core core = founded;
      core.LoseDisksAtOnce(wiped);
      core.world.Run(seconds(10));
      BOOST_TEST(!core.world.Primary().has_value(), NameOf(size, "continues\n")
                                                        << core.world.Describe());
      for (const std::string& finding : core.world.history.findings()) BOOST_ERROR(finding);
    }
  }
}

// One disk more than tolerated is lost: either the new primary has everything that was
// acknowledged, or there is no primary.
BOOST_AUTO_TEST_CASE(no_primary_lacks_acknowledged_writes_after_losses_beyond_tolerance) {
  std::size_t continued = 0;
  std::size_t stopped = 0;
  for (const Size size : {Size{3, 1}, Size{5, 2}, Size{6, 2}, Size{7, 2}}) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures + 1)) {
      Core core = founded;
      core.LoseDisksAtOnce(wiped);
      core.world.Run(seconds(10));
      const auto primary = core.world.Primary();
      ++(primary ? continued : stopped);
      if (primary) core.world.history.CheckFinalState(core.world.DocumentAt(*primary));
      for (const std::string& finding : core.world.history.findings()) {
        BOOST_ERROR(NameOf(size, finding) << core.world.Describe());
      }
    }
  }
  BOOST_TEST(continued > 0U);
  BOOST_TEST(stopped > 0U);
}

// Each machine in turn is lost twice. The next loss follows as soon as the previous machine counts
// again.
BOOST_AUTO_TEST_CASE(disks_are_lost_one_after_the_other_under_load) {
  std::vector<Size> sizes = kMajoritySurvives;
  sizes.insert(sizes.end(), kHalfSuffices.begin(), kHalfSuffices.end());
  for (const Size size : sizes) {
    Core core(size);
    for (std::size_t loss = 0; loss < 2 * size.members; ++loss) {
      const std::size_t node = loss % size.members;
      core.world.Wipe(node);
      core.RunUnderLoad(kRestartDelay);
      core.world.Start(node);
      core.RunUnderLoad(kCatchUpTime);
      const std::string what = NameOf(size, "loss " + std::to_string(loss));
      core.CheckServesAcknowledged(what);
      core.CheckRedundant(what);
    }
  }
}

// The tolerated number of disks is lost repeatedly, each time as soon as the previous machines
// count again.
BOOST_AUTO_TEST_CASE(pairs_of_disks_are_lost_one_after_the_other_under_load) {
  for (const Size size : {Size{4, 2}, Size{5, 2}, Size{8, 2}}) {
    Core core(size);
    for (std::size_t loss = 0; loss < 2 * size.members; ++loss) {
      const std::vector<std::size_t> lost = {loss % size.members, (loss + 1) % size.members};
      for (const std::size_t node : lost) core.world.Wipe(node);
      core.RunUnderLoad(kRestartDelay);
      for (const std::size_t node : lost) core.world.Start(node);
      core.RunUnderLoad(kCatchUpTime);
      const std::string what = NameOf(size, "pair " + std::to_string(loss));
      core.CheckServesAcknowledged(what);
      core.CheckRedundant(what);
    }
  }
}

// Each machine in turn is replaced by an empty one at another address and never returns.
BOOST_AUTO_TEST_CASE(machines_are_replaced_at_other_addresses_one_after_the_other) {
  for (const Size size : kMajoritySurvives) {
    Core core(size, size.members);
    for (std::size_t loss = 0; loss < size.members; ++loss) {
      core.world.Crash(core.running.front(), 0);
      core.running.erase(core.running.begin());
      core.RunUnderLoad(seconds(1));
      const std::size_t successor = size.members + loss;
      core.world.seeds.assign(core.running.begin(), core.running.begin() + 2);
      core.running.push_back(successor);
      core.world.Start(successor);
      core.RunUnderLoad(kCatchUpTime);
      const std::string what = NameOf(size, "replacement " + std::to_string(loss));
      core.CheckServesAcknowledged(what);
      core.CheckRedundant(what);
    }
  }
}

// A machine is asked to shut down while another is permanently lost and the successor of that one
// is still copying. It may end only once enough others have the whole map and are named in the
// record.
BOOST_AUTO_TEST_CASE(a_machine_stays_until_enough_others_have_the_whole_map) {
  for (const Size size : {Size{3, 1}, Size{4, 2}, Size{5, 2}}) {
    for (const bool primary_leaves : {false, true}) {
      for (std::size_t lost = 0; lost < size.members; ++lost) {
        // After these losses exactly enough replicas remain to acknowledge writes.
        Core core(size, 1);
        const std::size_t lost_count = size.members - size.failures - 1;
        std::size_t leaver = core.world.Primary().value();
        std::vector<std::size_t> lost_nodes;
        for (std::size_t i = 0; lost_nodes.size() < lost_count; ++i) {
          const std::size_t node = (lost + i) % size.members;
          if (node != leaver) lost_nodes.push_back(node);
        }
        for (const std::size_t node : lost_nodes) {
          core.world.Wipe(node);
          std::erase(core.running, node);
        }
        core.RunUnderLoad(seconds(2));
        if (!primary_leaves) {
          const auto other = std::find_if(core.running.begin(), core.running.end(),
                                          [&](std::size_t node) { return node != leaver; });
          leaver = *other;
        }
        core.world.seeds = core.running;
        const std::size_t successor = size.members;
        core.world.Start(successor);
        core.running.push_back(successor);
        // Messages to and from the successor are delayed for some time.
        const World::Trouble slow{[&](std::size_t from, std::size_t to) {
                                    return from != to && (to == successor || from == successor);
                                  },
                                  nullptr};
        core.world.Transfer(leaver);
        const auto left = [&] { return core.world.nodes[leaver].transferred.value_or(false); };
        core.RunUnderLoad(seconds(1), slow);
        const std::string what = NameOf(size, primary_leaves ? "the primary" : "a replica");
        BOOST_TEST(!left(), what << "left too early\n" << core.world.Describe());
        for (int i = 0; i < 300 && !left(); ++i) core.RunUnderLoad(milliseconds(10));
        BOOST_TEST(left(), what << "never left\n" << core.world.Describe());
        // The machine is removed together with its disk.
        core.world.Wipe(leaver);
        std::erase(core.running, leaver);
        const Record record = core.NewestRecord();
        BOOST_TEST(FindDisk(record.replicas, core.world.nodes[successor].identity) != nullptr);
        core.CheckServesAcknowledged(what);
        core.CheckReplicasExist(what);
      }
    }
  }
}

// With enough other replicas there is no wait.
BOOST_AUTO_TEST_CASE(a_machine_with_enough_other_replicas_leaves_at_once) {
  for (const Size size : {Size{3, 1}, Size{4, 1}, Size{4, 2}, Size{5, 2}, Size{8, 2}}) {
    for (std::size_t leaver = 0; leaver < size.members; ++leaver) {
      Core core(size);
      core.world.Transfer(leaver);
      core.RunUnderLoad(milliseconds(200));
      BOOST_TEST(core.world.nodes[leaver].transferred.value_or(false),
                 NameOf(size, "leaver") << leaver << "\n"
                                        << core.world.Describe());
    }
  }
}

}  // namespace
}  // namespace shelflink::coordination
