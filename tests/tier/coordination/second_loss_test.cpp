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

// Those that are lost may have decided a record that nobody else knows: the rest must not decide
// another one, though that means that it stands still.
BOOST_AUTO_TEST_CASE(lost_witnesses_that_may_have_decided_alone_stop_the_rest) {
  for (const Size size : {Size{3, 2}, Size{5, 3}}) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures)) {
      Core core = founded;
      core.LoseAtOnce(wiped);
      core.world.Run(seconds(10));
      BOOST_TEST(!core.world.Primary().has_value(), NameOf(size, "goes on\n")
                                                        << core.world.Describe());
      for (const std::string& finding : core.world.history.findings()) BOOST_ERROR(finding);
    }
  }
}

// One disk more than is promised: whoever goes on has everything that was acknowledged, else nobody
// does.
BOOST_AUTO_TEST_CASE(beyond_the_tolerance_nothing_is_invented) {
  std::size_t went_on = 0;
  std::size_t stood_still = 0;
  for (const Size size : {Size{3, 1}, Size{5, 2}, Size{6, 2}, Size{7, 2}}) {
    const Core founded(size);
    for (const auto& wiped : Subsets(size.members, size.failures + 1)) {
      Core core = founded;
      core.LoseAtOnce(wiped);
      core.world.Run(seconds(10));
      const auto primary = core.world.Primary();
      ++(primary ? went_on : stood_still);
      if (primary) core.world.history.AtTheEnd(core.world.DocumentAt(*primary));
      for (const std::string& finding : core.world.history.findings()) {
        BOOST_ERROR(NameOf(size, finding) << core.world.Describe());
      }
    }
  }
  BOOST_TEST(went_on > 0U);
  BOOST_TEST(stood_still > 0U);
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

// A machine is told to end while another is lost for good and the successor of that one still
// copies: it ends only once enough others have everything and are named.
BOOST_AUTO_TEST_CASE(nothing_leaves_before_enough_others_have_everything) {
  for (const Size size : {Size{3, 1}, Size{4, 2}, Size{5, 2}}) {
    for (const bool primary_leaves : {false, true}) {
      for (std::size_t lost = 0; lost < size.members; ++lost) {
        // With that, exactly enough replicas are left to acknowledge.
        Core core(size, 1);
        const std::size_t gone = size.members - size.failures - 1;
        std::size_t leaver = core.world.Primary().value();
        std::vector<std::size_t> lost_ones;
        for (std::size_t i = 0; lost_ones.size() < gone; ++i) {
          const std::size_t node = (lost + i) % size.members;
          if (node != leaver) lost_ones.push_back(node);
        }
        for (const std::size_t node : lost_ones) {
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
        // What the successor needs is held up for a while.
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
        // Taken away, disk and all.
        core.world.Wipe(leaver);
        std::erase(core.running, leaver);
        const Record record = core.NewestRecord();
        BOOST_TEST(FindDisk(record.replicas, core.world.nodes[successor].identity) != nullptr);
        core.CheckServesAll(what);
        core.CheckReplicasExist(what);
      }
    }
  }
}

// With enough others nothing is waited for.
BOOST_AUTO_TEST_CASE(a_machine_that_holds_nothing_alone_leaves_at_once) {
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
