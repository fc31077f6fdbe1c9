// Groups over real hubs on the virtual network: normal operation and its latency.
#define BOOST_TEST_MODULE coordination_group
#include "tier/coordination/group.h"

#include <boost/test/unit_test.hpp>

#include "coordination/cluster.h"

namespace shelflink::coordination {
namespace {

BOOST_AUTO_TEST_CASE(groups_of_any_size_elect_a_primary_and_acknowledge) {
  for (std::size_t machines = 1; machines <= 5; ++machines) {
    Cluster cluster(machines, machines, machines == 1 ? 0 : 1);
    cluster.StartAll();
    BOOST_TEST(cluster.RunUntil([&] { return cluster.Primary() != nullptr; }, seconds(2)));
    const net::Time before = cluster.net.Now();
    BOOST_TEST(cluster.Put("a", "1", seconds(1)));
    BOOST_TEST((cluster.net.Now() - before < milliseconds(100)));
    BOOST_TEST(cluster.ThePrimary().group().contents().at("a") == "1");
    BOOST_TEST(cluster.ThePrimary().group().epoch() >= 1U);
  }
}

// A core of `size` members with a primary and one acknowledged write.
struct Core {
  explicit Core(std::size_t size, std::uint64_t seed = 1, std::uint64_t link_bytes_per_second = 0)
      : cluster(size, seed, 1, link_bytes_per_second) {
    cluster.StartAll();
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Primary() != nullptr; }, seconds(3)));
    BOOST_REQUIRE(cluster.Put("first", "1", seconds(1)));
    cluster.Run(seconds(1));
  }
  Cluster cluster;
};

Result<void> SubmitTo(Cluster& cluster, Machine& machine, Replicator::Plan plan) {
  std::optional<Result<void>> received;
  machine.group().Submit(std::move(plan),
                         [&](Result<void> result) { received = std::move(result); });
  BOOST_TEST(!received.has_value());  // `done` is not called from within Submit.
  BOOST_REQUIRE(cluster.RunUntil([&] { return received.has_value(); }, seconds(4)));
  return *received;
}

Replicator::Plan PlanToPut(std::string key, std::string value) {
  return [key = std::move(key),
          value = std::move(value)](const Contents&) -> Result<std::vector<Write>> {
    return std::vector<Write>{{key, value}};
  };
}

BOOST_AUTO_TEST_CASE(only_the_primary_accepts_plans_and_every_member_knows_it) {
  Core core(4);
  Machine& primary = core.cluster.ThePrimary();
  for (auto& machine : core.cluster.machines) {
    BOOST_TEST((machine->group().primary() == primary.address()));
    if (machine.get() == &primary) continue;
    const Result<void> refused = SubmitTo(core.cluster, *machine, PlanToPut("key", "value"));
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().code == ErrorCode::kUnavailable));
  }
}

BOOST_AUTO_TEST_CASE(a_plan_that_finds_a_conflict_or_nothing_to_do_changes_nothing) {
  Core core(3);
  Machine& primary = core.cluster.ThePrimary();
  const Result<void> refused =
      SubmitTo(core.cluster, primary, [](const Contents& contents) -> Result<std::vector<Write>> {
        BOOST_TEST(contents.at("first") == "1");
        return MakeError(ErrorCode::kConflict, "another version");
      });
  BOOST_TEST((refused.error().code == ErrorCode::kConflict));
  const Result<void> read =
      SubmitTo(core.cluster, primary,
               [](const Contents&) -> Result<std::vector<Write>> { return std::vector<Write>{}; });
  BOOST_TEST(read.has_value());
  BOOST_TEST(primary.group().contents().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_to_an_isolated_primary_has_an_unknown_result) {
  Core core(3);
  Machine& primary = core.cluster.ThePrimary();
  core.cluster.net.SetCutOff(primary.host(), true);
  const Result<void> result = SubmitTo(core.cluster, primary, PlanToPut("key", "value"));
  BOOST_REQUIRE(result.has_error());
  BOOST_TEST((result.error().code == ErrorCode::kUnknown));
  BOOST_TEST(core.cluster.RunUntil(
      [&] { return core.cluster.Primary() != nullptr && core.cluster.Primary() != &primary; },
      seconds(1)));
}

// Lease messages are sent between the parts of the entry.
BOOST_AUTO_TEST_CASE(a_large_entry_in_transit_does_not_cost_the_primary_its_lease) {
  constexpr std::uint64_t kLinkBytesPerSecond =
      65536 * 10;  // A 64 KiB window with a round trip of 100 ms.
  Core core(3, 1, kLinkBytesPerSecond);
  Machine& primary = core.cluster.ThePrimary();
  net::Weather narrow;
  narrow.latency_low = narrow.latency_high = milliseconds(50);
  core.cluster.net.SetWeather(narrow);
  core.cluster.Run(seconds(2));
  bool lost = false;
  primary.role = [&](bool is_primary, std::uint64_t) { lost = lost || !is_primary; };
  constexpr std::size_t kLargeEntryBytes = 1U << 20;  // Takes 1.6 s to send; a lease lasts 1 s.
  const Result<void> result =
      SubmitTo(core.cluster, primary, PlanToPut("key", std::string(kLargeEntryBytes, 'x')));
  BOOST_TEST(result.has_value(), (result ? "" : result.error().text));
  core.cluster.Run(seconds(2));
  BOOST_TEST(!lost);
}

BOOST_AUTO_TEST_CASE(replicas_follow_and_a_restarted_replica_keeps_its_state) {
  Core core(3);
  for (auto& machine : core.cluster.machines) {
    BOOST_TEST(machine->group().contents().size() == 1U);
  }
  Machine& other = core.cluster.Other(core.cluster.ThePrimary());
  other.Stop();
  other.Start(false);
  BOOST_TEST(core.cluster.RunUntil([&] { return other.group().contents().size() == 1U; },
                                   milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_transfer_ends_within_the_time_limit_of_a_stop) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    Machine& primary = core.cluster.ThePrimary();
    const net::Time before = core.cluster.net.Now();
    std::optional<bool> moved;
    primary.group().Transfer([&](bool done) { moved = done; });
    BOOST_REQUIRE(core.cluster.RunUntil([&] { return moved.has_value(); }, seconds(1)));
    BOOST_TEST(*moved);
    BOOST_TEST(core.cluster.RunUntil(
        [&] { return core.cluster.Primary() != nullptr && core.cluster.Primary() != &primary; },
        milliseconds(200)));
    BOOST_TEST((core.cluster.net.Now() - before <= milliseconds(200)));
    primary.Stop();
    BOOST_TEST(core.cluster.Put("second", "2", milliseconds(1000)));
  }
}

BOOST_AUTO_TEST_CASE(a_machine_at_another_address_replaces_a_lost_machine) {
  for (const std::size_t size : {3U, 4U}) {
    Core core(size);
    for (int round = 0; round < 2; ++round) {
      Machine& lost = round == 0 ? core.cluster.ThePrimary() : core.cluster.At(size);
      lost.Wipe();
      core.cluster.Run(seconds(1));
      Machine& fresh = core.cluster.AddMachine();
      fresh.Start(false);
      BOOST_TEST(core.cluster.Put("round" + std::to_string(round), "x", milliseconds(3500)));
      core.cluster.Run(seconds(4));
      const std::vector<CoreMember> members = core.cluster.ThePrimary().group().members();
      const auto is_named = [&](const Machine& machine) {
        return std::any_of(members.begin(), members.end(), [&](const CoreMember& member) {
          return member.address == machine.address();
        });
      };
      BOOST_TEST((is_named(fresh) || size > 3));  // With 4 machines the other three suffice.
      BOOST_TEST(!is_named(lost));
    }
  }
}

// The configured seeds no longer exist; the members use the addresses in their stored record.
BOOST_AUTO_TEST_CASE(restarted_members_need_no_seeds) {
  Core core(4);
  for (auto& machine : core.cluster.machines) machine->Stop();
  for (auto& machine : core.cluster.machines) {
    machine->SetSeeds({net::Address::V4(0x0a0000fe, kPort)});
    machine->Start(false);
  }
  BOOST_TEST(core.cluster.Put("second", "2", seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_process_without_a_disk_only_knows_the_primary) {
  Cluster cluster(4);
  for (std::size_t i = 0; i < 3; ++i) cluster.At(i).Start(true);
  cluster.At(3).Start(true, false);
  BOOST_TEST(cluster.Put("key", "value", seconds(3)));
  cluster.Run(seconds(2));
  Machine& diskless = cluster.At(3);
  BOOST_TEST((diskless.group().primary() == cluster.ThePrimary().address()));
  for (const CoreMember& member : cluster.ThePrimary().group().members()) {
    BOOST_TEST(!member.disk.empty());
  }
}

BOOST_AUTO_TEST_CASE(a_full_disk_excludes_its_member_and_loses_no_order) {
  for (const bool of_primary : {true, false}) {
    Core core(3);
    Machine& primary = core.cluster.ThePrimary();
    Machine& full = of_primary ? primary : core.cluster.Other(primary);
    full.disk.SetFull(true);
    BOOST_TEST(core.cluster.Put("second", "2", milliseconds(3500)));
    BOOST_TEST(full.group().failed());
    BOOST_TEST(core.cluster.Primary() != &full);
  }
}

// Counts messages and timers. Processor time can only be measured in a real run.
BOOST_AUTO_TEST_CASE(an_idle_core_causes_few_events) {
  Core core(4);
  const std::uint64_t before = core.cluster.net.events();
  core.cluster.Run(seconds(10));
  const std::uint64_t events = (core.cluster.net.events() - before) / 10;
  BOOST_TEST_MESSAGE("events a second of four members: " << events);
  BOOST_TEST(events <= 120U);
}

}  // namespace
}  // namespace shelflink::coordination
