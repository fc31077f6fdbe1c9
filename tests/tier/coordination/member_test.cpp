// Single steps of a member that long explorations seldom meet.
#define BOOST_TEST_MODULE coordination_member
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

#include "coordination/world.h"

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

World Serving(std::size_t size) {
  World world(size, 1);
  world.NextOrder(0);
  for (std::size_t node = 0; node < size; ++node) world.Start(node, true);
  world.Run(seconds(2));
  BOOST_REQUIRE(world.Primary().has_value());
  return world;
}

// Delivers a record as decided.
void Decide(World& world, std::size_t node, const Record& record) {
  const std::size_t other = (node + 1) % world.nodes.size();
  const Member::Options& from = world.nodes[other].member->options();
  world.flights.push_back({{from.self, from.incarnation}, node, Decided{record}});
  world.Deliver(world.flights.size() - 1);
}

BOOST_AUTO_TEST_CASE(a_record_that_names_an_earlier_life_of_the_disk_is_not_acted_on) {
  World world = Serving(3);
  const std::size_t primary = world.Primary().value();
  Record next = world.nodes[primary].member->record();
  ++next.epoch;
  world.Crash(primary, 1000);
  world.Start(primary);
  Decide(world, primary, next);
  const Member& member = *world.nodes[primary].member;
  BOOST_TEST(member.record().epoch == next.epoch);
  BOOST_TEST(!member.replica().acting());
  world.Run(seconds(3));
  // Someone has it, under a number of its own.
  BOOST_REQUIRE(world.Primary().has_value());
  BOOST_TEST(world.nodes[*world.Primary()].member->epoch() > next.epoch);
}

BOOST_AUTO_TEST_CASE(a_primary_that_offers_its_place_to_another_acts_no_more) {
  World world = Serving(3);
  const std::size_t primary = world.Primary().value();
  const Member& member = *world.nodes[primary].member;
  world.Transfer(primary);
  // Until the others are asked to accept it; their answers are never delivered.
  bool offered = false;
  for (int i = 0; i < 100 && !offered; ++i) {
    world.EndSync(primary);
    for (std::size_t flight = 0; flight < world.flights.size(); ++flight) {
      const Flight& one = world.flights[flight];
      offered = offered || std::holds_alternative<Accept>(one.message);
    }
    if (offered) break;
    for (std::size_t node = 0; node < 3; ++node) {
      if (!world.nodes[node].syncs.empty()) world.EndSync(node);
    }
    if (!world.flights.empty()) world.Deliver(0);
    if (world.nodes[primary].syncs.empty()) world.Fire(primary);
  }
  BOOST_TEST(offered);
  BOOST_TEST(!member.HasLease(world.now));
  BOOST_TEST(!member.primary());
}

BOOST_AUTO_TEST_CASE(a_member_without_a_disk_only_learns_who_is_primary) {
  World world(4, 1);
  world.nodes[3].identity.clear();
  world.NextOrder(0);
  for (std::size_t node = 0; node < 4; ++node) world.Start(node, true);
  world.Run(seconds(2));
  const Member& member = *world.nodes[3].member;
  BOOST_REQUIRE(world.Primary().has_value());
  BOOST_TEST(member.primary_address().has_value());
  BOOST_TEST(FindDisk(MembersOf(member.record()), "") == nullptr);
  const std::size_t primary = world.Primary().value();
  world.Crash(primary, 0);
  world.Run(seconds(3));
  BOOST_REQUIRE(world.Primary().has_value());
  BOOST_TEST((member.primary_address().value() ==
              world.nodes[*world.Primary()].member->options().self.address));
}

BOOST_AUTO_TEST_CASE(a_stalled_disk_costs_the_primary_its_place) {
  World world = Serving(3);
  const std::size_t primary = world.Primary().value();
  const net::Time from = world.now;
  World::Trouble trouble;
  trouble.stalled = [primary](std::size_t node) { return node == primary; };
  BOOST_TEST(world.Acknowledges(0, seconds(4), trouble));
  BOOST_TEST((world.now - from <= milliseconds(2600)));
  BOOST_TEST(world.Primary().value() != primary);
  BOOST_TEST(world.history.findings().empty());
}

// ---- Repair begins when a loss is known, not with the next renewal.

constexpr net::Span kLease = seconds(1);
constexpr net::Span kSilentAfter = kLease * 11 / 20;
// A record takes a round of messages to prepare and one to accept, with a sync each.
constexpr net::Span kDecidesWithin = milliseconds(12);

bool AsksForCopy(const World& world) {
  return std::any_of(world.flights.begin(), world.flights.end(), [](const Flight& flight) {
    const auto* request = std::get_if<CatchUpRequest>(&flight.message);
    return request != nullptr && request->start;
  });
}

// How long until a spare asks the primary for its first bytes.
net::Span UntilACopyBegins(World& world, const World::Trouble& trouble) {
  const net::Time from = world.now;
  while (!AsksForCopy(world) && world.now < from + seconds(3)) {
    world.Run(milliseconds(1), trouble);
  }
  return world.now - from;
}

std::size_t ReplicaBesides(const World& world, std::size_t primary) {
  const Record& record = world.nodes[primary].member->record();
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    const bool named = FindDisk(record.replicas, world.nodes[node].identity) != nullptr;
    if (node != primary && named) return node;
  }
  throw std::runtime_error("there is no other replica");
}

// At any place between two renewals.
const std::vector<milliseconds> kPhases = {milliseconds(0),   milliseconds(60),  milliseconds(120),
                                           milliseconds(180), milliseconds(240), milliseconds(300)};

BOOST_AUTO_TEST_CASE(a_spare_copies_as_soon_as_a_replica_has_been_silent_for_too_long) {
  const World serving = Serving(4);
  for (const milliseconds phase : kPhases) {
    World world = serving;
    world.Run(phase);
    const std::size_t lost = ReplicaBesides(world, world.Primary().value());
    world.Crash(lost, 0);
    // It was heard of a renewal ago at most, and what it sent last is still on its way.
    const net::Span until = UntilACopyBegins(world, {});
    BOOST_TEST((until <= kSilentAfter + kDecidesWithin));
  }
}

BOOST_AUTO_TEST_CASE(a_spare_copies_as_soon_as_a_replica_has_owed_for_too_long) {
  const World serving = Serving(4);
  for (const milliseconds phase : kPhases) {
    World world = serving;
    world.Run(phase);
    const std::size_t primary = world.Primary().value();
    const std::size_t stalled = ReplicaBesides(world, primary);
    World::Trouble trouble;
    trouble.stalled = [stalled](std::size_t node) { return node == stalled; };
    world.Submit(primary, 0);
    const net::Span until = UntilACopyBegins(world, trouble);
    BOOST_TEST((until >= kSilentAfter));
    BOOST_TEST((until <= kSilentAfter + kDecidesWithin),
               "phase " << phase.count() << " ms: " << until / milliseconds(1));
  }
}

BOOST_AUTO_TEST_CASE(a_machine_that_returns_without_its_disk_copies_at_once) {
  const World serving = Serving(4);
  for (const milliseconds phase : kPhases) {
    World world = serving;
    world.Run(phase);
    const std::size_t lost = ReplicaBesides(world, world.Primary().value());
    world.Wipe(lost);
    world.Start(lost);
    BOOST_TEST((UntilACopyBegins(world, {}) <= kDecidesWithin));
  }
}

BOOST_AUTO_TEST_CASE(a_replica_whose_disk_refuses_is_replaced_at_once) {
  const World serving = Serving(4);
  for (const milliseconds phase : kPhases) {
    World world = serving;
    world.Run(phase);
    world.FillDisk(ReplicaBesides(world, world.Primary().value()), 0);
    BOOST_TEST((UntilACopyBegins(world, {}) <= kDecidesWithin));
  }
}

// ---- How members stand, as an operator is told.

DiskState StandingOf(const World& world, std::size_t primary, const std::string& disk) {
  const ReplicationStatus copies = world.nodes[primary].member->replication_status(world.now);
  for (const MemberStatus& member : copies.members) {
    if (member.member.disk == disk) return member.disk_state;
  }
  throw std::runtime_error("the record does not name " + disk);
}

BOOST_AUTO_TEST_CASE(the_primary_tells_how_the_disks_of_its_record_stand) {
  // Of two, none can be replaced by another: the record goes on naming both.
  const World serving = Serving(2);
  const std::size_t primary = serving.Primary().value();
  const std::size_t other = 1 - primary;
  const std::string disk = serving.nodes[other].identity;
  BOOST_TEST((StandingOf(serving, primary, disk) == DiskState::kTakesWrites));
  BOOST_TEST(serving.nodes[primary].member->replication_status(serving.now).wanted == 2U);

  World silent = serving;
  silent.Crash(other, 0);
  silent.Run(milliseconds(600));
  BOOST_TEST((StandingOf(silent, primary, disk) == DiskState::kSilent));

  World refusing = serving;
  refusing.FillDisk(other, 0);
  refusing.Run(milliseconds(50));
  BOOST_TEST((StandingOf(refusing, primary, disk) == DiskState::kRefusesWrites));
  const ReplicationStatus copies = refusing.nodes[primary].member->replication_status(refusing.now);
  for (const MemberStatus& member : copies.members) BOOST_TEST(member.heard_at.has_value());

  World replaced = serving;
  replaced.Wipe(other);
  replaced.Start(other);
  bool seen = false;
  for (int step = 0; step < 100 && !seen; ++step) {
    replaced.Run(milliseconds(1));
    const ReplicationStatus now = replaced.nodes[primary].member->replication_status(replaced.now);
    for (const MemberStatus& member : now.members) {
      seen = seen || member.disk_state == DiskState::kReplaced;
    }
  }
  BOOST_TEST(seen);
}

// ---- Members whose disks refuse.

CoreMember MemberAt(std::size_t node, const std::string& disk) {
  return {"node" + std::to_string(node), "zone", disk,
          net::Address::V4(0x0a000001 + static_cast<std::uint32_t>(node), 7361)};
}

// Two of four witnesses promise, the others' processes answer without a disk: those still have
// their votes, which may count for another proposal.
BOOST_AUTO_TEST_CASE(an_answer_without_a_disk_is_that_of_no_replaced_witness) {
  Record base;
  base.epoch = 3;
  for (std::size_t node = 0; node < 4; ++node) {
    base.witnesses.push_back(MemberAt(node, "disk" + std::to_string(node)));
  }
  Proposer proposer(base, {1, "disk0", 7});
  PrepareReply reply;
  reply.epoch = 4;
  reply.ballot = proposer.ballot();
  reply.promised = true;
  proposer.OnReply(base.witnesses[0], reply);
  proposer.OnReply(base.witnesses[1], reply);
  reply.promised = false;
  proposer.OnReply(MemberAt(2, ""), reply);
  proposer.OnReply(MemberAt(3, ""), reply);
  BOOST_TEST((proposer.phase() == Proposer::Phase::kPreparing));
  // With disks of another identity they would be gone.
  proposer.OnReply(MemberAt(2, "new2"), reply);
  proposer.OnReply(MemberAt(3, "new3"), reply);
  BOOST_TEST((proposer.phase() == Proposer::Phase::kPrepared));
}

// Half of the witnesses refuse: were they taken for replaced ones, the rest would be a quorum.
BOOST_AUTO_TEST_CASE(a_primary_does_not_take_witnesses_without_a_disk_for_replaced_ones) {
  World world(4, 2);
  world.NextOrder(0);
  for (std::size_t node = 0; node < 4; ++node) world.Start(node, true);
  world.Run(seconds(2));
  BOOST_REQUIRE(world.Primary().has_value());
  const std::size_t primary = *world.Primary();
  BOOST_REQUIRE(world.nodes[primary].member->record().witnesses.size() == 4U);
  world.FillDisk((primary + 1) % 4, 0);
  world.FillDisk((primary + 2) % 4, 0);
  world.Run(seconds(2));
  BOOST_TEST(!world.Primary().has_value());
  bool renews = false;
  for (int i = 0; i < 300; ++i) {
    world.Run(milliseconds(2));
    for (const Flight& flight : world.flights) {
      renews = renews || std::holds_alternative<Renew>(flight.message);
    }
  }
  BOOST_TEST(!renews);
  world.MakeRoom((primary + 1) % 4);
  world.MakeRoom((primary + 2) % 4);
  BOOST_TEST(world.Acknowledges(0, seconds(9)));
}

// The disk still has its vote; the process between must not answer for it.
BOOST_AUTO_TEST_CASE(a_member_whose_disk_refuses_promises_nothing_and_grants_nothing) {
  World world = Serving(3);
  const std::size_t primary = world.Primary().value();
  const std::size_t full = (primary + 1) % 3;
  world.FillDisk(full, 0);
  for (int i = 0; i < 2000; ++i) {
    world.Run(milliseconds(1));
    for (const Flight& flight : world.flights) {
      if (flight.from.member.node != "node" + std::to_string(full)) continue;
      BOOST_TEST(flight.from.member.disk.empty());
      if (const auto* reply = std::get_if<RenewReply>(&flight.message)) {
        BOOST_TEST(!reply->granted);
      }
      BOOST_TEST(!std::holds_alternative<PrepareReply>(flight.message));
      BOOST_TEST(!std::holds_alternative<AcceptReply>(flight.message));
    }
  }
  BOOST_TEST(world.nodes[full].member->primary_address().has_value());
}

}  // namespace
}  // namespace shelflink::coordination
