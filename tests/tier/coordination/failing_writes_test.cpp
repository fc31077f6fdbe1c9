// Write failures of a disk. First, one disk fails at each of its writes during a sequence of
// writes, membership changes, a catch-up and an election: no acknowledged write may be lost and
// there must be a primary again in time. Second, each kind of operation fails at each position in
// each step of a core on its own.
//
//   tier_failing_writes_test [-- STRIDE]   runs every STRIDE-th case of the matrix; default: all
#define BOOST_TEST_MODULE coordination_failing_writes
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "coordination/checked_invariants.h"
#include "coordination/cluster.h"
#include "coordination/failing_steps.h"
#include "tier/foundation/invariants.h"

namespace shelflink::coordination {
namespace {

constexpr net::Span kRecovery = seconds(12);
constexpr std::size_t kDisks = 4;
constexpr std::size_t kReplicas = 3;  // With a tolerance of one failure.
constexpr std::size_t kAll = 1000;

BOOST_TEST_GLOBAL_FIXTURE(CheckedInvariants);

struct Fault {
  std::size_t disk = 0;
  std::uint64_t operation = 0;  // 0: none.
  std::uint64_t times = 1;
  storage::Failure failure = storage::Failure::kFull;
  std::size_t kept = 0;  // Batches whose sync failed that remain on the disk.
};

std::string TextOf(const Fault& fault) {
  return "disk " + std::to_string(fault.disk) + ", operation " + std::to_string(fault.operation) +
         ", " + (fault.times == kForever ? "forever" : std::to_string(fault.times) + " times") +
         ", " + NameOf(fault.failure) + ", kept " + std::to_string(fault.kept);
}

// Runs the same sequence of writes and process stops each time.
class FaultRun {
 public:
  explicit FaultRun(const Fault& fault) : cluster_(kDisks), fault_(fault) {
    cluster_.StartAll();
    BOOST_REQUIRE(cluster_.Put("founded", "1", seconds(4)));
    cluster_.Run(milliseconds(1500));
    storage::CrashDisk& disk = cluster_.At(fault.disk).disk;
    initial_operations_ = disk.operations();
    disk.SetKeptOnFailure(fault.kept);
    if (fault.operation > 0) disk.FailFrom(fault.operation, fault.times, fault.failure);
  }

  void Execute() {
    Put();
    Put();
    Machine& away = MachineOtherThan(nullptr);
    away.Stop();
    cluster_.Run(milliseconds(700));  // The record changes.
    Put();
    away.Start(false);  // The returned replica catches up.
    Put();
    cluster_.Run(milliseconds(500));
    Machine& second = MachineOtherThan(&away);
    second.Stop(kAll);  // Causes an election if it is the primary.
    Put();
    second.Start(false);
    cluster_.Run(seconds(1));
  }

  void Check() {
    BOOST_REQUIRE_MESSAGE(Put(), "no write is acknowledged after the fault: " << TextOf(fault_));
    const Contents& contents = cluster_.ThePrimary().group().contents();
    for (const std::string& key : acknowledged_) {
      BOOST_TEST(contents.count(key) == 1U, key << " is lost: " << TextOf(fault_));
    }
    const bool permanent = fault_.times == kForever;
    const bool recovered =
        cluster_.RunUntil([&] { return HasRecovered(); }, permanent ? net::Span{} : kRecovery);
    const bool refuses = permanent && cluster_.At(fault_.disk).group().failed();
    BOOST_TEST((recovered || refuses),
               "the member with the faulty disk has not recovered: " << TextOf(fault_));
  }
  std::uint64_t operations() {
    return cluster_.At(fault_.disk).disk.operations() - initial_operations_;
  }

 private:
  bool Put() {
    const std::string key = "key-" + std::to_string(++writes_);
    const net::Time until = cluster_.net.Now() + kRecovery;
    // One write at a time, so that a repeated request is still a single write.
    if (!cluster_.Put(key, "x", until - cluster_.net.Now())) return false;
    acknowledged_.push_back(key);
    return true;
  }
  // Whether the faulty disk accepts writes again and, if it is a replica, has all of them. A
  // damaged disk returns as a new one, which may not be a replica.
  bool HasRecovered() {
    Group& group = cluster_.At(fault_.disk).group();
    Machine* const primary = cluster_.Primary();
    if (group.failed() || primary == nullptr || group.primary() != primary->address()) return false;
    const Record& record = primary->group().member().record();
    const std::string& disk = group.member().options().self.disk;
    if (FindDisk(record.replicas, disk) != nullptr) {
      return group.contents().count(acknowledged_.back()) == 1;
    }
    return fault_.failure == storage::Failure::kDamaged && record.replicas.size() == kReplicas;
  }
  // The primary if `other` is set and the primary's disk is not the faulty one, else the first
  // other machine. Never the machine with the faulty disk.
  Machine& MachineOtherThan(const Machine* other) {
    Machine* const primary = cluster_.Primary();
    const Machine* const failing = &cluster_.At(fault_.disk);
    if (primary != nullptr && primary != failing && other != nullptr) return *primary;
    for (const auto& machine : cluster_.machines) {
      if (machine.get() != failing && machine.get() != other && machine.get() != primary) {
        return *machine;
      }
    }
    return cluster_.At((fault_.disk + 1) % kDisks);
  }

  Cluster cluster_;
  Fault fault_;
  std::uint64_t initial_operations_ = 0;
  int writes_ = 0;
  std::vector<std::string> acknowledged_;
};

std::uint64_t OperationsOf(std::size_t disk) {
  FaultRun run({disk, 0, 1, storage::Failure::kFull, 0});
  run.Execute();
  run.Check();
  return run.operations();
}

// Fails every operation of two disks, which together cover the roles primary, backup and learner.
void RunAllOperations(storage::Failure failure) {
  std::size_t runs = 0;
  for (const std::size_t disk : {std::size_t{0}, std::size_t{1}}) {
    const std::uint64_t operations = OperationsOf(disk);
    BOOST_REQUIRE(operations > 5U);
    for (std::uint64_t operation = 1; operation <= operations; ++operation) {
      for (const std::uint64_t times : {std::uint64_t{1}, std::uint64_t{3}, kForever}) {
        FaultRun run({disk, operation, times, failure, operation % 2 == 0 ? kAll : 0});
        run.Execute();
        run.Check();
        ++runs;
      }
    }
  }
  BOOST_TEST_MESSAGE(runs << " runs");
}

BOOST_AUTO_TEST_CASE(full_at_any_write) { RunAllOperations(storage::Failure::kFull); }
BOOST_AUTO_TEST_CASE(transient_at_any_write) { RunAllOperations(storage::Failure::kTransient); }
BOOST_AUTO_TEST_CASE(damaged_at_any_write) { RunAllOperations(storage::Failure::kDamaged); }
BOOST_AUTO_TEST_CASE(fatal_at_any_write) { RunAllOperations(storage::Failure::kFatal); }

// ---- The matrix: step, disk, kind of operation, position, number of failures, failure class.

using storage::DiskOperation;
using storage::Failure;

constexpr Failure kFailures[] = {Failure::kFull, Failure::kTransient, Failure::kDamaged,
                                 Failure::kFatal};
constexpr std::uint64_t kTimes[] = {1, 3, kForever};

std::uint64_t Stride() {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > 1 ? std::max<std::uint64_t>(std::strtoull(suite.argv[1], nullptr, 10), 1) : 1;
}

// A disk that is lost with its machine and another one that is damaged or fails permanently before
// the first is replaced are two simultaneous losses, which is more than is tolerated here.
bool IsTolerated(const StepFault& fault) {
  const bool loses_another = fault.damages_disk() || fault.is_permanent();
  return fault.step != CoreStep::kReplace || fault.disk == FaultyDisk::kSubject || !loses_another;
}

// The `nth` write, sync or open in the step fails.
void AddOperation(std::vector<StepFault>& all, CoreStep step, FaultyDisk disk, DiskOperation kind,
                  std::uint64_t nth) {
  for (const Failure failure : kFailures) {
    for (const std::uint64_t times : kTimes) {
      all.push_back({step, disk, {{kind, nth, times, failure}}, nth % 2 == 0 ? kAll : 0});
    }
  }
}

// The `nth` write fails, and so does the recovery that follows.
void AddRecovery(std::vector<StepFault>& all, CoreStep step, FaultyDisk disk, std::uint64_t nth) {
  for (const Failure failure : kFailures) {
    for (const std::uint64_t times : kTimes) {
      all.push_back({step,
                     disk,
                     {{DiskOperation::kWrite, nth, 1, Failure::kFull},
                      {DiskOperation::kOpen, 1, times, failure}},
                     0});
      all.push_back({step,
                     disk,
                     {{DiskOperation::kWrite, nth, 1, Failure::kDamaged},
                      {DiskOperation::kRename, 1, times, failure}},
                     0});
    }
  }
}

std::vector<StepFault> FaultsOf(CoreStep step) {
  std::vector<StepFault> all;
  for (const FaultyDisk disk : kFaultyDisks) {
    if (step == CoreStep::kTransfer && disk == FaultyDisk::kSubject)
      continue;  // The subject is the primary.
    auto operations = OperationsOf(step, disk);
    for (const DiskOperation kind :
         {DiskOperation::kWrite, DiskOperation::kSync, DiskOperation::kOpen}) {
      for (std::uint64_t nth = 1; nth <= operations[kind]; ++nth) {
        AddOperation(all, step, disk, kind, nth);
      }
    }
    const std::uint64_t writes = operations[DiskOperation::kWrite];
    BOOST_TEST(writes > 0U, NameOf(step) << ": no write on the disk of the " << NameOf(disk));
    for (const std::uint64_t nth : {std::uint64_t{1}, writes / 2 + 1}) {
      AddRecovery(all, step, disk, nth);
    }
  }
  std::erase_if(all, [](const StepFault& fault) { return !IsTolerated(fault); });
  return all;
}

void RunMatrix(CoreStep step) {
  const std::vector<StepFault> all = FaultsOf(step);
  const std::uint64_t stride = Stride();
  std::size_t runs = 0;
  for (std::size_t at = 0; at < all.size(); at += stride) {
    for (const std::string& violation : RunFaultedStep(all[at], kRecovery)) {
      BOOST_ERROR(TextOf(all[at]) << ": " << violation);
    }
    ++runs;
  }
  std::cout << NameOf(step) << ": " << runs << " of " << all.size() << " runs\n";
}

BOOST_AUTO_TEST_CASE(any_operation_of_a_commit_fails) { RunMatrix(CoreStep::kCommit); }
BOOST_AUTO_TEST_CASE(any_operation_of_an_election_fails) { RunMatrix(CoreStep::kElection); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_catch_up_fails) { RunMatrix(CoreStep::kCatchUp); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_join_fails) { RunMatrix(CoreStep::kJoin); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_replacement_fails) { RunMatrix(CoreStep::kReplace); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_retirement_fails) { RunMatrix(CoreStep::kRetire); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_transfer_fails) { RunMatrix(CoreStep::kTransfer); }

}  // namespace
}  // namespace shelflink::coordination
