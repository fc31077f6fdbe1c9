// Difficult failure cases of the core, each produced deterministically.
#define BOOST_TEST_MODULE coordination_hard_cases
#include <boost/test/unit_test.hpp>

#include "coordination/world.h"

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr net::Span kLease = milliseconds(1000);
constexpr net::Span kFailover = kLease + milliseconds(500);
constexpr std::size_t kAllBatches = 1000;

// A core of `size` members that is serving and has acknowledged one order.
struct Core {
  explicit Core(std::size_t size) : world(size, 1) {
    world.NextOrder(0);
    world.NextOrder(1);
    for (std::size_t node = 0; node < size; ++node) world.Start(node, true);
    world.Run(seconds(2));
    BOOST_REQUIRE(world.Acknowledges(0, seconds(1)));
    world.Run(milliseconds(400));
    primary = world.Primary().value();
    for (std::size_t node = 0; node < size; ++node) {
      const bool replica = FindDisk(Record().replicas, world.nodes[node].identity) != nullptr;
      if (node != primary) (replica ? replicas : others).push_back(node);
    }
    world.NextOrder(0);
    world.NextOrder(1);
  }
  const coordination::Record& Record() const { return world.nodes[primary].member->record(); }
  // The order is acknowledged, but the reply does not reach the client, which will repeat it.
  void AcknowledgeWithoutReply() {
    const std::size_t before = world.history.acknowledged();
    world.Submit(primary, 0);
    for (int i = 0; i < 100 && world.history.acknowledged() == before; ++i) {
      world.Run(milliseconds(1));
    }
    BOOST_REQUIRE(world.history.acknowledged() == before + 1);
  }
  // The time until some member serves.
  net::Span TimeUntilServed(const World::Trouble& trouble = {}) {
    const net::Time from = world.now;
    while (world.now - from < seconds(10)) {
      const auto serving = world.Primary();
      if (serving && !(trouble.still && trouble.still(*serving))) return world.now - from;
      world.Run(milliseconds(5), trouble);
    }
    return seconds(10);
  }
  void CheckAcknowledgedKept() {
    world.Run(milliseconds(100));
    const auto serving = world.Primary();
    BOOST_REQUIRE(serving.has_value());
    world.history.CheckFinalState(world.DocumentAt(*serving));
    for (const std::string& finding : world.history.findings()) BOOST_ERROR(finding);
  }

  World world;
  std::size_t primary = 0;
  std::vector<std::size_t> replicas;  // Replicas of the record other than the primary.
  std::vector<std::size_t> others;
};

BOOST_AUTO_TEST_CASE(an_order_with_a_lost_acknowledgement_is_repeated_during_failover) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    core.AcknowledgeWithoutReply();
    const Order order = core.world.orders[0];
    core.world.Crash(core.primary, 0);
    BOOST_TEST((core.TimeUntilServed() <= kFailover));
    const std::size_t other = core.world.Primary().value();
    BOOST_TEST(other != core.primary);
    const std::size_t before = core.world.history.findings().size();
    core.world.Submit(other, 0);
    BOOST_TEST(core.world.history.findings().size() == before);
    BOOST_TEST((core.world.DocumentAt(other) == Document{order.base + 1, order.content}));
    core.CheckAcknowledgedKept();
  }
}

// The order is stored by one replica only and the primary has crashed. It may be committed or not,
// but the result never changes.
BOOST_AUTO_TEST_CASE(an_order_on_a_single_replica_has_one_final_result) {
  for (const bool kept : {false, true}) {
    Core core(3);
    const std::size_t holder = core.replicas[0];
    const std::size_t other = core.replicas[1];
    core.world.Submit(core.primary, 0);
    const Order order = core.world.orders[0];
    for (std::size_t i = 0; i < core.world.flights.size(); ++i) {
      if (core.world.flights[i].to == holder) core.world.Deliver(i--);
    }
    core.world.EndSync(holder);
    core.world.flights.clear();
    core.world.Crash(core.primary, 0);
    const std::size_t silent = kept ? other : holder;
    const World::Trouble trouble{nullptr, [&](std::size_t node) { return node == silent; }};
    core.world.Run(seconds(3),
                   trouble);  // Too few to acknowledge, but the next primary is determined.
    core.world.Run(seconds(3));
    core.world.Start(core.primary);
    core.world.Run(seconds(2));
    const auto serving = core.world.Primary();
    BOOST_REQUIRE(serving.has_value());
    core.world.Submit(*serving, 1);  // Based on the same version: rejected or acknowledged.
    core.world.Run(milliseconds(100));
    const Document now = core.world.DocumentAt(*serving);
    BOOST_TEST(now.version == order.base + 1);
    for (const std::string& finding : core.world.history.findings()) BOOST_ERROR(finding);
  }
}

BOOST_AUTO_TEST_CASE(a_primary_isolated_in_one_direction_is_replaced) {
  for (const std::size_t size : {3U, 4U}) {
    for (const bool cannot_receive : {false, true}) {
      Core core(size);
      core.world.Submit(core.primary, 0);
      const std::size_t cut_off = core.primary;
      const World::Trouble trouble{[&](std::size_t from, std::size_t to) {
                                     return from != to && (cannot_receive ? to : from) == cut_off;
                                   },
                                   nullptr};
      core.world.Run(milliseconds(950), trouble);
      BOOST_TEST(!core.world.nodes[cut_off].member->HasLease(core.world.now));
      core.TimeUntilServed(trouble);
      BOOST_REQUIRE(core.world.Primary().has_value());
      BOOST_TEST(core.world.Primary().value() != cut_off);
      core.world.NextOrder(1);
      BOOST_TEST(core.world.Acknowledges(1, seconds(1), trouble));
      core.world.Run(seconds(2));
      core.CheckAcknowledgedKept();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_disk_lost_after_an_acknowledgement_while_the_others_lose_power) {
  for (const std::size_t size : {3U, 4U}) {
    for (std::size_t lost = 0; lost < size; ++lost) {
      Core core(size);
      core.AcknowledgeWithoutReply();
      for (std::size_t node = 0; node < size; ++node) {
        if (node == lost) {
          core.world.Wipe(node);
        } else {
          core.world.Crash(node, 0);
        }
      }
      core.world.flights.clear();
      core.world.Run(milliseconds(300));
      for (std::size_t node = 0; node < size; ++node) core.world.Start(node);
      BOOST_TEST((core.TimeUntilServed() <= 2 * kLease));
      core.CheckAcknowledgedKept();
      core.world.NextOrder(0);
      BOOST_TEST(core.world.Acknowledges(0, seconds(2)));
      core.CheckAcknowledgedKept();
    }
  }
}

BOOST_AUTO_TEST_CASE(no_primary_exists_after_all_disks_are_lost) {
  Core core(3);
  core.AcknowledgeWithoutReply();
  for (std::size_t node = 0; node < 3; ++node) core.world.Wipe(node);
  core.world.flights.clear();
  for (std::size_t node = 0; node < 3; ++node) core.world.Start(node);
  core.world.Run(seconds(20));
  BOOST_TEST(!core.world.Primary().has_value());
  for (std::size_t node = 0; node < 3; ++node) {
    BOOST_TEST(core.world.nodes[node].member->IsStuck(core.world.now, seconds(8)));
    BOOST_TEST(!core.world.nodes[node].member->replica().complete());
  }
}

// Both replicas of the record are lost. A third disk that was dropped earlier has an older state.
BOOST_AUTO_TEST_CASE(a_replica_with_older_state_never_becomes_primary) {
  Core core(3);
  const std::size_t stale = core.replicas[1];
  core.world.Run(seconds(1), {nullptr, [&](std::size_t node) { return node == stale; }});
  core.AcknowledgeWithoutReply();  // Under the record without the stale disk.
  BOOST_TEST(FindDisk(core.Record().replicas, core.world.nodes[stale].identity) == nullptr);
  core.world.Wipe(core.primary);
  core.world.Wipe(core.replicas[0]);
  core.world.flights.clear();
  core.world.Start(core.primary);
  core.world.Start(core.replicas[0]);
  core.world.Run(seconds(20));
  BOOST_TEST(!core.world.Primary().has_value());
  for (const std::string& finding : core.world.history.findings()) BOOST_ERROR(finding);
}

BOOST_AUTO_TEST_CASE(a_replica_returns_with_older_state_after_an_epoch_it_missed) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    const std::size_t stale = core.replicas[1];
    core.world.Crash(stale, 0);
    core.world.Run(seconds(1));
    core.AcknowledgeWithoutReply();
    const std::uint64_t epoch = core.Record().epoch;
    core.world.NextOrder(0);
    core.world.Crash(core.primary, 0);  // Causes an election that it misses too.
    core.world.Start(core.primary);
    BOOST_REQUIRE(core.world.Acknowledges(0, seconds(4)));
    core.world.Start(stale);
    core.world.Run(seconds(2));
    const Member& member = *core.world.nodes[stale].member;
    BOOST_TEST(member.record().epoch > epoch);
    BOOST_TEST(core.world.Primary().value() != stale);
    if (size == 3) {
      BOOST_TEST(FindDisk(member.record().replicas, core.world.nodes[stale].identity) != nullptr);
      BOOST_TEST(
          (core.world.DocumentAt(stale) == core.world.DocumentAt(core.world.Primary().value())));
    }
    core.CheckAcknowledgedKept();
  }
}

BOOST_AUTO_TEST_CASE(two_replacements_in_a_row) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    for (const std::size_t node : {core.primary, core.replicas[0], core.replicas[1]}) {
      core.AcknowledgeWithoutReply();
      core.world.NextOrder(0);
      core.world.Wipe(node);
      core.world.Run(milliseconds(500));
      core.world.Start(node);
      BOOST_TEST(core.world.Acknowledges(0, milliseconds(3500)));
      core.world.Run(seconds(2));
      core.primary = core.world.Primary().value();
      const Record record = core.Record();
      BOOST_TEST(record.replicas.size() == 3U);
      BOOST_TEST(record.witnesses.size() == 3U);
      // The record names only existing disks.
      for (const CoreMember& member : MembersOf(record)) {
        BOOST_TEST(std::any_of(core.world.nodes.begin(), core.world.nodes.end(),
                               [&](const Node& one) { return one.identity == member.disk; }));
      }
      core.CheckAcknowledgedKept();
      core.world.NextOrder(0);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_paused_primary_resumes_without_a_lease) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    const std::size_t paused = core.primary;
    const std::uint64_t epoch = core.Record().epoch;
    core.world.Submit(paused, 0);
    const World::Trouble trouble{nullptr, [&](std::size_t node) { return node == paused; }};
    BOOST_TEST(core.world.Acknowledges(1, kFailover + milliseconds(300), trouble));
    const Member& member = *core.world.nodes[paused].member;
    BOOST_TEST(member.record().epoch == epoch);    // It knows no newer record,
    BOOST_TEST(!member.HasLease(core.world.now));  // but does not act as primary.
    BOOST_TEST(core.world.nodes[core.world.Primary().value()].member->epoch() > epoch);
    core.world.Run(seconds(2));
    BOOST_TEST(core.world.Primary().value() != paused);
    core.CheckAcknowledgedKept();
  }
}

BOOST_AUTO_TEST_CASE(a_restarted_primary_needs_a_new_epoch) {
  Core core(3);
  const std::uint64_t epoch = core.Record().epoch;
  core.world.Crash(core.primary, kAllBatches);
  core.world.Start(core.primary);
  BOOST_TEST((core.TimeUntilServed() <= kFailover));
  BOOST_TEST(core.world.nodes[core.world.Primary().value()].member->epoch() > epoch);
  core.CheckAcknowledgedKept();
}

BOOST_AUTO_TEST_CASE(a_planned_transfer_takes_at_most_200_ms) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    core.world.Transfer(core.primary);
    core.world.Run(milliseconds(20));
    BOOST_TEST((core.TimeUntilServed() <= milliseconds(180)));
    BOOST_TEST(core.world.Primary().value() != core.primary);
    core.CheckAcknowledgedKept();
  }
}

BOOST_AUTO_TEST_CASE(failover_from_any_single_fault_takes_at_most_a_lease_and_a_half) {
  for (const std::size_t size : {3U, 4U}) {
    for (std::size_t node = 0; node < size; ++node) {
      for (const int kind : {0, 1, 2}) {
        Core core(size);
        World::Trouble trouble;
        if (kind == 0) core.world.Crash(node, 0);
        if (kind == 1) core.world.Wipe(node);
        if (kind == 2) trouble.still = [node](std::size_t one) { return one == node; };
        const net::Time from = core.world.now;
        BOOST_TEST(core.world.Acknowledges(0, seconds(4), trouble));
        BOOST_TEST((core.world.now - from <= kFailover + milliseconds(100)));
        BOOST_TEST(core.world.history.findings().empty());
      }
    }
  }
}

}  // namespace
}  // namespace shelflink::coordination
