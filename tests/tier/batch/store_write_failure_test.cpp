// The disk of one store fails at each of its operations in turn: once, three times, for some
// seconds, for as long as the others must do without it, or for ever, with each class of failure.
// Nothing that was told is lost, and the store comes back by ordinary catch-up.
#define BOOST_TEST_MODULE store_write_failure
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "batch/store_clients.h"

namespace shelflink::batch {
namespace {

using storage::Failure;

constexpr std::uint32_t kStores = 4;
constexpr std::uint64_t kSeed = 7;
constexpr std::uint64_t kEver = 1'000'000'000;
// As the operators give a machine to take part again.
constexpr milliseconds kRecovery{5200};

struct FailureSpan {
  const char* name;
  Failure failure;
  std::uint64_t times;     // Operations that fail.
  milliseconds span;       // After which the disk takes writes again.
  std::uint64_t stride;    // Of the operations at which it begins, the first and each of so many.
  bool comes_back = true;  // False: it takes no writes after the span either.
};
constexpr FailureSpan kSpans[] = {
    {"full once", Failure::kFull, 1, milliseconds(0), 1},
    {"full for seconds", Failure::kFull, kEver, milliseconds(2500), 1},
    {"full for long", Failure::kFull, kEver, milliseconds(12000), 4},
    {"transient once", Failure::kTransient, 1, milliseconds(0), 4},
    {"full three times", Failure::kFull, 3, milliseconds(0), 6},
    {"full for ever", Failure::kFull, kEver, milliseconds(4000), 12, false},
    {"transient three times", Failure::kTransient, 3, milliseconds(0), 6},
    {"transient for ever", Failure::kTransient, kEver, milliseconds(4000), 12, false},
    {"damaged once", Failure::kDamaged, 1, milliseconds(0), 6},
    {"damaged three times", Failure::kDamaged, 3, milliseconds(0), 6},
    {"damaged for ever", Failure::kDamaged, kEver, milliseconds(4000), 12, false},
    {"fatal once", Failure::kFatal, 1, milliseconds(0), 6},
    {"fatal three times", Failure::kFatal, 3, milliseconds(0), 6},
    {"fatal for ever", Failure::kFatal, kEver, milliseconds(4000), 12, false},
};

// Which store's disk fails, and what it does at that time.
enum class Victim {
  kPrimary,  // Jobs are accepted, results stored, jobs ended.
  kBackup,   // The same, copied.
  kJoiner,   // It lost its disk and catches up.
  kStarter,  // Its process starts: a life is counted.
  kLeaver,   // It is to be retired: what it holds moves to others.
  kTaker,    // Another one is to be retired: what that holds moves here.
};
const char* NameOf(Victim victim) {
  switch (victim) {
    case Victim::kPrimary:
      return "primary";
    case Victim::kBackup:
      return "backup";
    case Victim::kJoiner:
      return "joiner";
    case Victim::kStarter:
      return "starter";
    case Victim::kLeaver:
      return "leaver";
    case Victim::kTaker:
      return "taker";
  }
  return "";
}

// One scripted run; the same events until the disk fails.
struct Script {
  Script() : world(kSeed, kStores, 2, true), clients(world) {
    world.RunFor(seconds(1));
    for (int number = 0; number < 3; ++number) {
      clients.SubmitJob("first-" + std::to_string(number), 2, "a");
    }
    while (!clients.AllAcknowledged()) world.RunFor(milliseconds(1));
  }

  std::uint32_t StoreOf(Victim victim) const {
    const cluster::PartitionRow& row = world.RowOf(world.promises.at("first-0").submit.job);
    if (victim == Victim::kTaker) return Outside(row);
    const bool backup = victim == Victim::kBackup;
    return *world.StoreAt(backup ? row.backups[0] : row.primary);
  }
  // One that holds nothing of the partition.
  std::uint32_t Outside(const cluster::PartitionRow& row) const {
    const auto holds = [&](const net::Address& store) {
      return store == row.primary ||
             std::find(row.backups.begin(), row.backups.end(), store) != row.backups.end();
    };
    for (const auto& machine : world.machines) {
      if (!holds(machine->address())) return machine->number;
    }
    return 0;
  }
  void Prepare(Victim victim, std::uint32_t number) {
    if (victim == Victim::kJoiner) world.Wipe(number);
    if (victim == Victim::kStarter) world.Kill(number);
    if (victim == Victim::kLeaver) world.machines[number]->retiring = true;
    if (victim == Victim::kTaker) {
      // The primary's store: two others are left beside the one that is to take its place.
      const cluster::PartitionRow& row = world.RowOf(world.promises.at("first-0").submit.job);
      world.machines[*world.StoreAt(row.primary)]->retiring = true;
    }
    if (!world.machines[number]->process) world.Start(number);
  }
  // Jobs accepted, run, read and ended.
  void Work() {
    clients.SubmitBeside("beside", "first-0");
    clients.End("first-1");
    clients.LiveFor(seconds(2));
  }
  bool IsWorking(std::uint32_t number) const {
    return world.machines[number]->keeper->disk.is_working();
  }

  StoreWorld world;
  Clients clients;
};

// How many operations of the disk a run holds in which nothing fails.
std::uint64_t OperationsOf(Victim victim) {
  Script script;
  const std::uint32_t number = script.StoreOf(victim);
  const std::uint64_t before = script.world.machines[number]->disk.operations();
  script.Prepare(victim, number);
  script.Work();
  return script.world.machines[number]->disk.operations() - before;
}

void PlayFailure(Victim victim, std::uint64_t nth, const FailureSpan& failure) {
  Script script;
  const std::uint32_t number = script.StoreOf(victim);
  StoreMachine& machine = *script.world.machines[number];
  machine.disk.FailFrom(nth, failure.times, failure.failure);
  script.Prepare(victim, number);
  script.Work();
  if (failure.times == kEver) {
    script.clients.LiveFor(failure.span);
    if (failure.comes_back) machine.disk.FailFrom(0, 0, Failure::kNone);
  }
  script.clients.LiveFor(kRecovery);
  BOOST_TEST(script.IsWorking(number) == failure.comes_back);
  BOOST_TEST(script.world.AllComplete());
  for (const std::string& one : BrokenPromises(script.world, script.clients)) BOOST_ERROR(one);
}

// The first write fails, then so many times what the recovery behind it does first.
void PlayRecovery(Victim victim, storage::DiskOperation kind, Failure failure,
                  std::uint64_t times) {
  Script script;
  const std::uint32_t number = script.StoreOf(victim);
  StoreMachine& machine = *script.world.machines[number];
  const bool renames = kind == storage::DiskOperation::kRename;
  machine.disk.FailFrom(storage::DiskOperation::kWrite, 1, 1,
                        renames ? Failure::kDamaged : Failure::kFull);
  machine.disk.FailFrom(kind, 1, times, failure);
  script.Prepare(victim, number);
  script.Work();
  script.clients.LiveFor(kRecovery);
  BOOST_TEST(script.IsWorking(number) == (times != kEver));
  BOOST_TEST(script.world.AllComplete());
  for (const std::string& one : BrokenPromises(script.world, script.clients)) BOOST_ERROR(one);
}

void PlayAllFailures(Victim victim) {
  const std::uint64_t operations = OperationsOf(victim);
  // What is retired is copied from, and writes little itself.
  BOOST_TEST(operations > (victim == Victim::kLeaver ? 1U : 10U));
  BOOST_TEST_MESSAGE(NameOf(victim) << ": " << operations << " operations");
  for (const FailureSpan& failure : kSpans) {
    for (std::uint64_t nth = 1; nth <= operations; nth += failure.stride) {
      BOOST_TEST_CONTEXT(NameOf(victim) << ", operation " << nth << ", " << failure.name) {
        PlayFailure(victim, nth, failure);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(the_disk_of_a_primary_fails_at_any_write) {
  PlayAllFailures(Victim::kPrimary);
}

BOOST_AUTO_TEST_CASE(the_disk_of_a_backup_fails_at_any_write) { PlayAllFailures(Victim::kBackup); }

BOOST_AUTO_TEST_CASE(the_disk_of_a_joiner_fails_at_any_write) { PlayAllFailures(Victim::kJoiner); }

BOOST_AUTO_TEST_CASE(the_disk_of_a_store_that_starts_fails_at_any_write) {
  PlayAllFailures(Victim::kStarter);
}

BOOST_AUTO_TEST_CASE(the_disk_of_a_store_that_is_retired_fails_at_any_write) {
  PlayAllFailures(Victim::kLeaver);
}

BOOST_AUTO_TEST_CASE(the_disk_of_a_store_to_which_a_partition_moves_fails_at_any_write) {
  PlayAllFailures(Victim::kTaker);
}

// Behind a failed write the file cannot be opened, or a damaged one not be set aside.
BOOST_AUTO_TEST_CASE(each_step_of_a_recovery_fails) {
  using storage::DiskOperation;
  for (const Victim victim : {Victim::kPrimary, Victim::kBackup, Victim::kTaker}) {
    for (const DiskOperation kind : {DiskOperation::kOpen, DiskOperation::kRename}) {
      for (const Failure failure :
           {Failure::kFull, Failure::kTransient, Failure::kDamaged, Failure::kFatal}) {
        for (const std::uint64_t times : {std::uint64_t{1}, std::uint64_t{3}, kEver}) {
          BOOST_TEST_CONTEXT(NameOf(victim) << ", " << NameOf(failure) << ", " << times) {
            PlayRecovery(victim, kind, failure, times);
          }
        }
      }
    }
  }
}

// Its contents are gone: it comes back as another disk, never as a full one.
BOOST_AUTO_TEST_CASE(a_damaged_disk_comes_back_as_an_empty_one) {
  Script script;
  const std::uint32_t number = script.StoreOf(Victim::kPrimary);
  StoreMachine& machine = *script.world.machines[number];
  const std::string identity = machine.process->identity.id;
  machine.disk.FailFrom(1, 1, Failure::kDamaged);
  script.Work();
  script.clients.LiveFor(kRecovery);
  BOOST_REQUIRE(script.IsWorking(number));
  BOOST_TEST(machine.process->identity.id != identity);
  for (const std::string& one : BrokenPromises(script.world, script.clients)) BOOST_ERROR(one);
}

BOOST_AUTO_TEST_CASE(a_full_disk_comes_back_as_the_one_it_was) {
  Script script;
  const std::uint32_t number = script.StoreOf(Victim::kPrimary);
  StoreMachine& machine = *script.world.machines[number];
  const std::string identity = machine.process->identity.id;
  machine.disk.FailFrom(1, 5, Failure::kFull);
  script.Work();
  script.clients.LiveFor(kRecovery);
  BOOST_REQUIRE(script.IsWorking(number));
  BOOST_TEST(machine.process->identity.id == identity);
  for (const std::string& one : BrokenPromises(script.world, script.clients)) BOOST_ERROR(one);
}

}  // namespace
}  // namespace shelflink::batch
