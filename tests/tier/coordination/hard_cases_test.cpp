// The hard cases of the core, each with its fault brought about every time.
#define BOOST_TEST_MODULE coordination_hard_cases
#include <boost/test/unit_test.hpp>

#include "coordination/world.h"

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr net::Span kLease = milliseconds(1000);
constexpr net::Span kFailover = kLease + milliseconds(500);
constexpr std::size_t kAll = 1000;

// A core of that size that serves and has acknowledged one order.
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
  // The order is acknowledged, but its client never hears of it: it repeats it.
  void AcknowledgeUnheard() {
    const std::size_t before = world.history.acknowledged();
    world.Submit(primary, 0);
    for (int i = 0; i < 100 && world.history.acknowledged() == before; ++i) {
      world.Run(milliseconds(1));
    }
    BOOST_REQUIRE(world.history.acknowledged() == before + 1);
  }
  // How long nobody serves from now on.
  net::Span UntilServed(const World::Trouble& trouble = {}) {
    const net::Time from = world.now;
    while (world.now - from < seconds(10)) {
      const auto serving = world.Primary();
      if (serving && !(trouble.still && trouble.still(*serving))) return world.now - from;
      world.Run(milliseconds(5), trouble);
    }
    return seconds(10);
  }
  void CheckKept() {
    world.Run(milliseconds(100));
    const auto serving = world.Primary();
    BOOST_REQUIRE(serving.has_value());
    world.history.AtTheEnd(world.DocumentAt(*serving));
    for (const std::string& finding : world.history.findings()) BOOST_ERROR(finding);
  }

  World world;
  std::size_t primary = 0;
  std::vector<std::size_t> replicas;  // Of the record, without the primary.
  std::vector<std::size_t> others;
};

BOOST_AUTO_TEST_CASE(an_unheard_acknowledgement_is_repeated_at_another_replica_during_failover) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    core.AcknowledgeUnheard();
    const Order order = core.world.orders[0];
    core.world.Crash(core.primary, 0);
    BOOST_TEST((core.UntilServed() <= kFailover));
    const std::size_t other = core.world.Primary().value();
    BOOST_TEST(other != core.primary);
    const std::size_t before = core.world.history.findings().size();
    core.world.Submit(other, 0);
    BOOST_TEST(core.world.history.findings().size() == before);
    BOOST_TEST((core.world.DocumentAt(other) == Document{order.base + 1, order.content}));
    core.CheckKept();
  }
}

// Stored by one replica only, its primary dead: in force or not, but one answer for ever.
BOOST_AUTO_TEST_CASE(an_order_on_one_replica_alone_has_one_fate) {
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
    core.world.Run(seconds(3), trouble);  // Too few to acknowledge; the next primary is fixed.
    core.world.Run(seconds(3));
    core.world.Start(core.primary);
    core.world.Run(seconds(2));
    const auto serving = core.world.Primary();
    BOOST_REQUIRE(serving.has_value());
    core.world.Submit(*serving, 1);  // On the same version: certain refusal or acknowledgement.
    core.world.Run(milliseconds(100));
    const Document now = core.world.DocumentAt(*serving);
    BOOST_TEST(now.version == order.base + 1);
    for (const std::string& finding : core.world.history.findings()) BOOST_ERROR(finding);
  }
}

BOOST_AUTO_TEST_CASE(a_primary_cut_off_in_one_direction_loses_its_place) {
  for (const std::size_t size : {3U, 4U}) {
    for (const bool deaf : {false, true}) {
      Core core(size);
      core.world.Submit(core.primary, 0);
      const std::size_t cut_off = core.primary;
      const World::Trouble trouble{[&](std::size_t from, std::size_t to) {
                                     return from != to && (deaf ? to : from) == cut_off;
                                   },
                                   nullptr};
      core.world.Run(milliseconds(950), trouble);
      BOOST_TEST(!core.world.nodes[cut_off].member->HasLease(core.world.now));
      core.UntilServed(trouble);
      BOOST_REQUIRE(core.world.Primary().has_value());
      BOOST_TEST(core.world.Primary().value() != cut_off);
      core.world.NextOrder(1);
      BOOST_TEST(core.world.Acknowledges(1, seconds(1), trouble));
      core.world.Run(seconds(2));
      core.CheckKept();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_disk_lost_after_an_acknowledgement_while_the_others_lose_power) {
  for (const std::size_t size : {3U, 4U}) {
    for (std::size_t lost = 0; lost < size; ++lost) {
      Core core(size);
      core.AcknowledgeUnheard();
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
      BOOST_TEST((core.UntilServed() <= 2 * kLease));
      core.CheckKept();
      core.world.NextOrder(0);
      BOOST_TEST(core.world.Acknowledges(0, seconds(2)));
      core.CheckKept();
    }
  }
}

BOOST_AUTO_TEST_CASE(all_killed_and_disks_lost_beyond_tolerance_invents_nothing) {
  Core core(3);
  core.AcknowledgeUnheard();
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

// Both replicas of a record lost; a third disk, left out before, has an older state.
BOOST_AUTO_TEST_CASE(an_older_state_never_leads_when_the_newer_ones_are_lost) {
  Core core(3);
  const std::size_t old_one = core.replicas[1];
  core.world.Run(seconds(1), {nullptr, [&](std::size_t node) { return node == old_one; }});
  core.AcknowledgeUnheard();  // By the record without it.
  BOOST_TEST(FindDisk(core.Record().replicas, core.world.nodes[old_one].identity) == nullptr);
  core.world.Wipe(core.primary);
  core.world.Wipe(core.replicas[0]);
  core.world.flights.clear();
  core.world.Start(core.primary);
  core.world.Start(core.replicas[0]);
  core.world.Run(seconds(20));
  BOOST_TEST(!core.world.Primary().has_value());
  for (const std::string& finding : core.world.history.findings()) BOOST_ERROR(finding);
}

BOOST_AUTO_TEST_CASE(a_replica_returns_with_an_older_state_after_an_epoch_it_never_saw) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    const std::size_t old_one = core.replicas[1];
    core.world.Crash(old_one, 0);
    core.world.Run(seconds(1));
    core.AcknowledgeUnheard();
    const std::uint64_t epoch = core.Record().number;
    core.world.NextOrder(0);
    core.world.Crash(core.primary, 0);  // And an election it does not see either.
    core.world.Start(core.primary);
    BOOST_REQUIRE(core.world.Acknowledges(0, seconds(4)));
    core.world.Start(old_one);
    core.world.Run(seconds(2));
    const Member& member = *core.world.nodes[old_one].member;
    BOOST_TEST(member.record().number > epoch);
    BOOST_TEST(core.world.Primary().value() != old_one);
    if (size == 3) {
      BOOST_TEST(FindDisk(member.record().replicas, core.world.nodes[old_one].identity) != nullptr);
      BOOST_TEST(
          (core.world.DocumentAt(old_one) == core.world.DocumentAt(core.world.Primary().value())));
    }
    core.CheckKept();
  }
}

BOOST_AUTO_TEST_CASE(two_replacements_in_a_row) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    for (const std::size_t node : {core.primary, core.replicas[0], core.replicas[1]}) {
      core.AcknowledgeUnheard();
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
      // Only disks that exist are named.
      for (const CoreMember& member : MembersOf(record)) {
        BOOST_TEST(std::any_of(core.world.nodes.begin(), core.world.nodes.end(),
                               [&](const Node& one) { return one.identity == member.disk; }));
      }
      core.CheckKept();
      core.world.NextOrder(0);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_frozen_primary_wakes_without_a_lease_and_without_a_vote) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    const std::size_t frozen = core.primary;
    const std::uint64_t epoch = core.Record().number;
    core.world.Submit(frozen, 0);
    const World::Trouble trouble{nullptr, [&](std::size_t node) { return node == frozen; }};
    BOOST_TEST(core.world.Acknowledges(1, kFailover + milliseconds(300), trouble));
    const Member& member = *core.world.nodes[frozen].member;
    BOOST_TEST(member.record().number == epoch);   // It knows of nothing,
    BOOST_TEST(!member.HasLease(core.world.now));  // and yet does not act.
    BOOST_TEST(core.world.nodes[core.world.Primary().value()].member->epoch() > epoch);
    core.world.Run(seconds(2));
    BOOST_TEST(core.world.Primary().value() != frozen);
    core.CheckKept();
  }
}

BOOST_AUTO_TEST_CASE(a_restarted_primary_needs_a_new_epoch) {
  Core core(3);
  const std::uint64_t epoch = core.Record().number;
  core.world.Crash(core.primary, kAll);
  core.world.Start(core.primary);
  BOOST_TEST((core.UntilServed() <= kFailover));
  BOOST_TEST(core.world.nodes[core.world.Primary().value()].member->epoch() > epoch);
  core.CheckKept();
}

BOOST_AUTO_TEST_CASE(a_planned_transfer_takes_a_moment) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    core.world.Transfer(core.primary);
    core.world.Run(milliseconds(20));
    BOOST_TEST((core.UntilServed() <= milliseconds(180)));
    BOOST_TEST(core.world.Primary().value() != core.primary);
    core.CheckKept();
  }
}

BOOST_AUTO_TEST_CASE(one_machine_in_any_trouble_is_got_over_within_a_lease_and_a_half) {
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
