// Disks of core members that are full for some seconds. A member whose disk was full takes part
// again once there is space, without a restart, however often that happens and on whichever disks.
#define BOOST_TEST_MODULE coordination_full_disk
#include <boost/test/unit_test.hpp>
#include <set>

#include "coordination/checked_invariants.h"
#include "coordination/cluster.h"
#include "storage/file_size_limit.h"
#include "storage/storage_folder.h"
#include "tier/foundation/invariants.h"

namespace shelflink::coordination {
namespace {

constexpr net::Span kFullDuration = seconds(4);
// Time from when there is space again until the member takes part again.
constexpr net::Span kRecovery = seconds(12);

BOOST_TEST_GLOBAL_FIXTURE(CheckedInvariants);

// Three processes with disks and two without, as in small deployments.
struct Core {
  Core() : cluster(5) {
    for (std::size_t i = 0; i < 5; ++i) cluster.At(i).Start(true, i < 3);
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Primary() != nullptr; }, seconds(3)));
    BOOST_REQUIRE(cluster.Put("first", "1", seconds(1)));
    cluster.Run(seconds(1));
  }
  void FillDiskFor(std::size_t index, net::Span span) {
    cluster.At(index).disk.SetFull(true);
    // The failure only shows when something is to be stored.
    cluster.Put("while-full-" + std::to_string(index), "x", span);
    cluster.Run(span);
    cluster.At(index).disk.SetFull(false);
  }
  // A machine with a disk that is not the primary.
  std::size_t IndexOfBackup() { return (IndexOfPrimary() + 1) % 3; }
  std::size_t IndexOfPrimary() {
    for (std::size_t i = 0; i < 3; ++i) {
      if (&cluster.At(i) == cluster.Primary()) return i;
    }
    return 0;
  }
  Cluster cluster;
};

BOOST_AUTO_TEST_CASE(a_member_whose_disk_was_full_accepts_writes_again) {
  Core core;
  const std::size_t full = core.IndexOfPrimary();
  core.FillDiskFor(full, kFullDuration);
  BOOST_REQUIRE(core.cluster.Put("second", "2", seconds(4)));
  Group& group = core.cluster.At(full).group();
  BOOST_TEST(core.cluster.RunUntil(
      [&] { return !group.failed() && group.contents().count("second") == 1; }, kRecovery));
}

BOOST_AUTO_TEST_CASE(disks_that_are_full_one_after_the_other_do_not_stop_the_core) {
  Core core;
  for (int round = 0; round < 5; ++round) {
    core.FillDiskFor(core.IndexOfPrimary(), kFullDuration);
    core.cluster.Run(kRecovery);
    BOOST_REQUIRE_MESSAGE(core.cluster.Put("after-" + std::to_string(round), "x", seconds(4)),
                          "nothing is acknowledged after " << round + 1 << " full disks");
  }
}

BOOST_AUTO_TEST_CASE(all_disks_full_at_once_stop_the_core_until_there_is_space) {
  Core core;
  for (std::size_t i = 0; i < 3; ++i) core.cluster.At(i).disk.SetFull(true);
  BOOST_TEST(!core.cluster.Put("while-full", "x", kFullDuration));
  for (std::size_t i = 0; i < 3; ++i) core.cluster.At(i).disk.SetFull(false);
  BOOST_TEST(core.cluster.Put("second", "2", kRecovery));
  BOOST_TEST(core.cluster.ThePrimary().group().contents().at("first") == "1");
}

// ---- Disks that become full during other operations.

// Checks that all disks accept writes, that there is a primary and that `replicas` replicas have
// its whole map.
void CheckComplete(Cluster& cluster, std::size_t disks, std::size_t replicas) {
  BOOST_REQUIRE(cluster.Put("last", "1", kRecovery));
  const Contents expected = cluster.ThePrimary().group().contents();
  std::size_t complete = 0;
  const bool all = cluster.RunUntil(
      [&] {
        complete = 0;
        for (std::size_t i = 0; i < disks; ++i) {
          if (cluster.At(i).group().failed()) return false;
          complete += cluster.At(i).group().contents() == expected ? 1 : 0;
        }
        return complete >= replicas;
      },
      kRecovery);
  BOOST_TEST(all, complete << " replicas are complete");
}

// Runs for `span` and checks that there are never two primaries.
void RunWithOnePrimary(Cluster& cluster, net::Span span) {
  const net::Time until = cluster.net.Now() + span;
  while (cluster.net.Now() < until) {
    cluster.Run(milliseconds(5));
    std::size_t primaries = 0;
    for (const auto& machine : cluster.machines) {
      primaries += machine->up() && machine->group().is_primary() ? 1 : 0;
    }
    BOOST_REQUIRE(primaries <= 1);
  }
}

BOOST_AUTO_TEST_CASE(a_primary_with_a_failed_disk_steps_down_at_once_despite_its_lease) {
  Core core;
  const std::size_t full = core.IndexOfPrimary();
  Group& group = core.cluster.At(full).group();
  std::vector<ErrorCode> codes;
  for (const char* key : {"in-flight", "waiting"}) {
    group.Submit(
        [key](const Contents&) -> Result<std::vector<Write>> {
          return std::vector<Write>{{key, "1"}};
        },
        [&](const Result<void>& result) {
          codes.push_back(result.has_error() ? result.error().code : ErrorCode::kInvalid);
        });
  }
  core.cluster.At(full).disk.SetFull(true);
  core.cluster.Run(milliseconds(20));
  BOOST_TEST(group.failed());
  BOOST_TEST(!group.is_primary());
  BOOST_TEST((codes == std::vector<ErrorCode>{ErrorCode::kUnknown, ErrorCode::kUnavailable}));
  RunWithOnePrimary(core.cluster, seconds(3));
  core.cluster.At(full).disk.SetFull(false);
  RunWithOnePrimary(core.cluster, seconds(3));
  CheckComplete(core.cluster, 3, 3);
}

// Leases are granted without a sync. A member with a full disk must stop that before a sync fails.
BOOST_AUTO_TEST_CASE(a_member_detects_a_full_disk_in_the_step_that_writes) {
  Core core;
  Machine& machine = core.cluster.At(core.IndexOfBackup());
  machine.sync_time = milliseconds(800);
  machine.disk.SetFull(true);
  core.cluster.Put("second", "2", milliseconds(50));
  BOOST_TEST(machine.group().failed());
  core.cluster.Run(milliseconds(700));
  machine.sync_time = kSyncTime;
  machine.disk.SetFull(false);
  CheckComplete(core.cluster, 3, 3);
}

bool NamesReplica(const Group& group, const std::string& disk) {
  return FindDisk(group.member().record().replicas, disk) != nullptr;
}

// Whether a process that is asked to shut down may end now.
bool MayEnd(Cluster& cluster, Group& group) {
  std::optional<bool> moved;
  group.Transfer([&](bool result) { moved = result; });
  BOOST_TEST(cluster.RunUntil([&] { return moved.has_value(); }, milliseconds(100)));
  return moved.value_or(false);
}

BOOST_AUTO_TEST_CASE(a_process_with_a_failed_disk_knows_the_primary_and_may_end) {
  Core core;
  const std::size_t full = core.IndexOfPrimary();
  const std::string disk = core.cluster.At(full).group().member().options().self.disk;
  core.cluster.At(full).disk.SetFull(true);
  BOOST_REQUIRE(core.cluster.Put("second", "2", seconds(4)));
  core.cluster.Run(seconds(1));
  Group& group = core.cluster.At(full).group();
  BOOST_TEST(group.failed());
  BOOST_TEST((group.primary() == core.cluster.ThePrimary().address()));
  BOOST_TEST(!NamesReplica(core.cluster.ThePrimary().group(), disk));
  BOOST_TEST(MayEnd(core.cluster, group));
}

// The third disk is stopped, so no record can name another disk in place of the failed one.
BOOST_AUTO_TEST_CASE(a_process_with_a_failed_disk_stays_while_a_record_names_the_disk) {
  Core core;
  Machine& primary = core.cluster.ThePrimary();
  Machine& full = core.cluster.At(core.IndexOfBackup());
  Machine& away = core.cluster.At((core.IndexOfPrimary() + 2) % 3);
  const std::string disk = full.group().member().options().self.disk;
  away.Stop();
  BOOST_REQUIRE(core.cluster.Put("second", "2", seconds(4)));
  full.disk.SetFull(true);
  core.cluster.Put("third", "3", milliseconds(50));
  for (int i = 0; i < 10; ++i) {
    BOOST_REQUIRE(full.group().failed());
    BOOST_REQUIRE(NamesReplica(primary.group(), disk));
    BOOST_TEST(!MayEnd(core.cluster, full.group()));
    core.cluster.Run(milliseconds(200));
  }
  away.Start(false);
  BOOST_TEST(core.cluster.RunUntil([&] { return MayEnd(core.cluster, full.group()); }, kRecovery));
  BOOST_TEST(full.group().failed());
  BOOST_TEST(!NamesReplica(core.cluster.ThePrimary().group(), disk));
  full.disk.SetFull(false);
  CheckComplete(core.cluster, 3, 3);
}

BOOST_AUTO_TEST_CASE(a_recovered_member_has_a_new_incarnation_and_counts_its_failures) {
  Core core;
  const std::size_t full = core.IndexOfBackup();
  Group& group = core.cluster.At(full).group();
  std::set<std::uint64_t> incarnations{group.member().options().incarnation};
  for (std::uint64_t round = 1; round <= 3; ++round) {
    core.FillDiskFor(full, seconds(1));
    BOOST_REQUIRE(core.cluster.RunUntil([&] { return !group.failed(); }, kRecovery));
    BOOST_TEST(incarnations.insert(group.member().options().incarnation).second);
    BOOST_TEST(group.disk_status().failures == round);
    BOOST_TEST(group.disk_status().recoveries == round);
  }
  CheckComplete(core.cluster, 3, 3);
}

BOOST_AUTO_TEST_CASE(a_disk_that_is_full_at_the_start_is_used_once_there_is_room) {
  Cluster cluster(5);
  cluster.At(2).disk.SetFull(true);
  for (std::size_t i = 0; i < 5; ++i) cluster.At(i).Start(true, i < 3);
  BOOST_REQUIRE(cluster.Put("first", "1", seconds(4)));
  cluster.Run(seconds(1));
  BOOST_TEST(cluster.At(2).group().failed());
  BOOST_TEST((cluster.At(2).group().primary() == cluster.ThePrimary().address()));
  cluster.At(2).disk.SetFull(false);
  CheckComplete(cluster, 3, 3);
}

// With the real storage, whose file cannot even be created.
BOOST_AUTO_TEST_CASE(a_core_process_starts_without_space_for_its_files) {
  const storage::Folder folder;
  storage::StepLoop loop;
  ProcessSettings settings;
  settings.data_dir = folder.path.string();
  settings.limits.disk_mb = 64;
  Result<std::unique_ptr<storage::Storage>> opened = [&] {
    const storage::FileSizeLimit limit(4096);
    return Group::OpenStorage(loop, settings);
  }();
  BOOST_REQUIRE(opened.has_value());
  BOOST_TEST((opened.value()->failure() == storage::Failure::kFull));
  BOOST_TEST(opened.value()->Recover().has_value());
  BOOST_TEST(!opened.value()->failed());
}

BOOST_AUTO_TEST_CASE(a_system_with_full_disks_at_its_first_start_bootstraps_later) {
  Cluster cluster(3);
  for (auto& machine : cluster.machines) machine->disk.SetFull(true);
  cluster.StartAll();
  cluster.Run(seconds(3));
  BOOST_TEST((cluster.Primary() == nullptr));
  for (auto& machine : cluster.machines) machine->disk.SetFull(false);
  CheckComplete(cluster, 3, 3);
}

// The identity becomes durable before the member that bootstraps the system starts.
BOOST_AUTO_TEST_CASE(a_system_whose_processes_end_between_identity_and_bootstrap_bootstraps_later) {
  Cluster cluster(3);
  for (auto& machine : cluster.machines) machine->disk.SetFull(true);
  cluster.StartAll();
  cluster.Run(seconds(3));
  for (std::size_t i = 0; i < 2; ++i) {
    Machine& machine = cluster.At(i);
    machine.disk.SetFull(false);
    BOOST_REQUIRE(cluster.RunUntil([&] { return !machine.group().failed(); }, kRecovery));
    const std::string disk = machine.group().member().options().self.disk;
    machine.Stop();
    machine.Start(true);
    BOOST_TEST(machine.group().member().options().self.disk == disk);
  }
  cluster.At(2).disk.SetFull(false);
  CheckComplete(cluster, 3, 3);
}

BOOST_AUTO_TEST_CASE(a_disk_that_held_a_record_never_bootstraps_again) {
  Core core;
  for (std::size_t i = 0; i < 3; ++i) core.cluster.At(i).Stop();
  for (std::size_t i = 0; i < 3; ++i) {
    core.cluster.At(i).Start(true);
    BOOST_TEST(!core.cluster.At(i).group().member().options().found);
  }
  CheckComplete(core.cluster, 3, 3);
  BOOST_TEST(core.cluster.ThePrimary().group().contents().at("first") == "1");
}

BOOST_AUTO_TEST_CASE(a_disk_that_fills_during_an_election_only_delays_it) {
  Core core;
  for (const net::Span into : {milliseconds(900), milliseconds(1050), milliseconds(1300)}) {
    const std::size_t primary = core.IndexOfPrimary();
    const std::size_t full = core.IndexOfBackup();
    core.cluster.At(primary).Stop();
    core.cluster.Run(into);
    core.cluster.At(full).disk.SetFull(true);
    core.cluster.Run(seconds(2));
    core.cluster.At(full).disk.SetFull(false);
    BOOST_TEST(core.cluster.Put("elected", "1", kRecovery));
    core.cluster.At(primary).Start(false);
    CheckComplete(core.cluster, 3, 3);
  }
}

BOOST_AUTO_TEST_CASE(a_disk_that_fills_during_a_catch_up_restarts_it) {
  Core core;
  const std::size_t behind = core.IndexOfBackup();
  core.cluster.At(behind).Stop();
  for (int i = 0; i < 40; ++i) {
    BOOST_REQUIRE(
        core.cluster.Put("key-" + std::to_string(i), std::string(20000, 'v'), seconds(4)));
  }
  core.cluster.At(behind).Start(false);
  for (int round = 0; round < 4; ++round) {
    core.cluster.Run(milliseconds(30 + 20 * round));
    core.cluster.At(behind).disk.SetFull(true);
    core.cluster.Run(milliseconds(300));
    core.cluster.At(behind).disk.SetFull(false);
  }
  CheckComplete(core.cluster, 3, 3);
}

// One of the machines stops; while the members of the record change, the disk of another one fills.
BOOST_AUTO_TEST_CASE(a_disk_that_fills_during_a_change_of_members_loses_nothing) {
  for (int of_primary = 0; of_primary < 2; ++of_primary) {
    Cluster cluster(5);
    for (std::size_t i = 0; i < 5; ++i) cluster.At(i).Start(true);
    BOOST_REQUIRE(cluster.Put("first", "1", seconds(4)));
    cluster.Run(seconds(2));
    Machine& primary = cluster.ThePrimary();
    Machine& stopped = cluster.Other(primary);
    Machine& full = of_primary == 1 ? primary : cluster.Other(primary, 1);
    stopped.Stop();
    cluster.Run(milliseconds(560));
    full.disk.SetFull(true);
    RunWithOnePrimary(cluster, seconds(4));
    full.disk.SetFull(false);
    BOOST_TEST(cluster.Put("second", "2", kRecovery));
    stopped.Start(false);
    CheckComplete(cluster, 5, 3);
    BOOST_TEST(cluster.ThePrimary().group().contents().at("first") == "1");
  }
}

BOOST_AUTO_TEST_CASE(a_disk_that_fills_repeatedly_during_recovery_recovers_at_last) {
  Core core;
  const std::size_t full = core.IndexOfPrimary();
  storage::CrashDisk& disk = core.cluster.At(full).disk;
  core.FillDiskFor(full, seconds(1));
  for (std::uint64_t operation = 1; operation <= 12; ++operation) {
    disk.FailFrom(operation, 2, storage::Failure::kFull);
    BOOST_TEST(core.cluster.Put("again-" + std::to_string(operation), "x", seconds(6)));
  }
  CheckComplete(core.cluster, 3, 3);
}

BOOST_AUTO_TEST_CASE(two_full_disks_of_five_do_not_stop_a_core_that_tolerates_two) {
  Cluster cluster(5, 1, 2);
  cluster.StartAll();
  BOOST_REQUIRE(cluster.Put("first", "1", seconds(4)));
  cluster.Run(seconds(2));
  Machine& primary = cluster.ThePrimary();
  Machine& backup = cluster.Other(primary);
  primary.disk.SetFull(true);
  backup.disk.SetFull(true);
  BOOST_TEST(cluster.Put("while-full", "x", kRecovery));
  primary.disk.SetFull(false);
  backup.disk.SetFull(false);
  CheckComplete(cluster, 5, 5);
}

BOOST_AUTO_TEST_CASE(a_damaged_disk_recovers_with_a_new_identity) {
  Core core;
  Machine& machine = core.cluster.At(core.IndexOfBackup());
  const std::string before = machine.group().member().options().self.disk;
  machine.disk.FailFrom(1, 3, storage::Failure::kDamaged);
  BOOST_REQUIRE(core.cluster.Put("second", "2", seconds(4)));
  BOOST_TEST(core.cluster.RunUntil([&] { return !machine.group().failed(); }, kRecovery));
  CheckComplete(core.cluster, 3, 3);
  BOOST_TEST(!machine.group().member().options().self.disk.empty());
  BOOST_TEST(machine.group().member().options().self.disk != before);
}

// Otherwise the owner of the process would see an older configuration than before.
BOOST_AUTO_TEST_CASE(the_owner_never_receives_an_older_map_than_before) {
  Core core;
  const std::size_t full = core.IndexOfBackup();
  int newest = 0;
  core.cluster.At(full).committed = [&](const std::vector<Write>& writes) {
    for (const Write& write : writes) {
      if (write.key != "count") continue;
      const int count_value = std::stoi(write.value.value_or("0"));
      BOOST_TEST(count_value >= newest);
      newest = std::max(newest, count_value);
    }
  };
  for (int count = 1; count <= 30; ++count) {
    if (count % 5 == 0) core.cluster.At(full).disk.FailFrom(1, 2, storage::Failure::kTransient);
    BOOST_REQUIRE(core.cluster.Put("count", std::to_string(count), seconds(4)));
    core.cluster.Run(milliseconds(20 * (count % 7)));
  }
  BOOST_TEST(core.cluster.RunUntil([&] { return newest == 30; }, kRecovery));
  CheckComplete(core.cluster, 3, 3);
}

}  // namespace
}  // namespace shelflink::coordination
