// The disk of one store fails at each of its writes in turn: once, for some seconds or for as long
// as the others must do without it. Nothing that was told is lost, and the store comes back by
// ordinary catch-up.
#define BOOST_TEST_MODULE store_write_failure
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
  std::uint64_t times;   // Operations that fail.
  milliseconds span;     // After which the disk takes writes again.
  std::uint64_t stride;  // Of the operations at which it begins, the first and each of so many.
};
constexpr FailureSpan kSpans[] = {
    {"full once", Failure::kFull, 1, milliseconds(0), 1},
    {"full for seconds", Failure::kFull, kEver, milliseconds(2500), 1},
    {"full for long", Failure::kFull, kEver, milliseconds(12000), 4},
    {"transient once", Failure::kTransient, 1, milliseconds(0), 4},
};

// Which store's disk fails, and what it does at that time.
enum class Victim {
  kPrimary,  // Jobs are accepted, results stored, jobs ended.
  kBackup,   // The same, copied.
  kJoiner,   // It lost its disk and catches up.
  kStarter,  // Its process starts: a life is counted.
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
    const bool backup = victim == Victim::kBackup;
    return *world.StoreAt(backup ? row.backups[0] : row.primary);
  }
  void Prepare(Victim victim, std::uint32_t number) {
    if (victim == Victim::kJoiner) world.Wipe(number);
    if (victim == Victim::kStarter) world.Kill(number);
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
    machine.disk.FailFrom(0, 0, Failure::kNone);
  }
  script.clients.LiveFor(kRecovery);
  BOOST_TEST(script.IsWorking(number));
  BOOST_TEST(script.world.AllComplete());
  for (const std::string& one : BrokenPromises(script.world, script.clients)) BOOST_ERROR(one);
}

void PlayAllFailures(Victim victim) {
  const std::uint64_t operations = OperationsOf(victim);
  BOOST_TEST(operations > 10U);
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
