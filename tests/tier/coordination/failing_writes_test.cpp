// One disk fails at any of its writes while orders are acknowledged, members change, one catches up
// and a primary is elected: nothing acknowledged is lost, and a primary is there again in time. And
// each kind of operation fails at each moment of each step of a core, played by itself.
//
//   tier_failing_writes_test [-- STRIDE]   one in so many of the matrix's runs, all by default
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
constexpr std::size_t kReplicas = 3;  // Where one failure is tolerated.
constexpr std::size_t kAll = 1000;

BOOST_TEST_GLOBAL_FIXTURE(CheckedInvariants);

struct Fault {
  std::size_t disk = 0;
  std::uint64_t operation = 0;  // 0: none.
  std::uint64_t times = 1;
  storage::Failure failure = storage::Failure::kFull;
  std::size_t kept = 0;  // Of the batches whose sync failed.
};

std::string TextOf(const Fault& fault) {
  return "disk " + std::to_string(fault.disk) + ", operation " + std::to_string(fault.operation) +
         ", " + (fault.times == kForEver ? "for ever" : std::to_string(fault.times) + " times") +
         ", " + NameOf(fault.failure) + ", kept " + std::to_string(fault.kept);
}

// The same orders and the same ends of processes each time.
class Script {
 public:
  explicit Script(const Fault& fault) : cluster_(kDisks), fault_(fault) {
    cluster_.StartAll();
    BOOST_REQUIRE(cluster_.Put("founded", "1", seconds(4)));
    cluster_.Run(milliseconds(1500));
    storage::CrashDisk& disk = cluster_.At(fault.disk).disk;
    before_ = disk.operations();
    disk.SetKeptOnFailure(fault.kept);
    if (fault.operation > 0) disk.FailFrom(fault.operation, fault.times, fault.failure);
  }

  void Play() {
    Put();
    Put();
    Machine& away = OneBut(nullptr);
    away.Stop();
    cluster_.Run(milliseconds(700));  // The members change.
    Put();
    away.Start(false);  // It catches up.
    Put();
    cluster_.Run(milliseconds(500));
    Machine& second = OneBut(&away);
    second.Stop(kAll);  // An election, where it is the primary.
    Put();
    second.Start(false);
    cluster_.Run(seconds(1));
  }

  void Check() {
    BOOST_REQUIRE_MESSAGE(Put(), "nothing is acknowledged again: " << TextOf(fault_));
    const Contents& contents = cluster_.ThePrimary().group().contents();
    for (const std::string& key : acknowledged_) {
      BOOST_TEST(contents.count(key) == 1U, key << " is lost: " << TextOf(fault_));
    }
    const bool for_ever = fault_.times == kForEver;
    const bool back =
        cluster_.RunUntil([&] { return IsBack(); }, for_ever ? net::Span{} : kRecovery);
    const bool refuses = for_ever && cluster_.At(fault_.disk).group().failed();
    BOOST_TEST((back || refuses), "the disk's member is not back: " << TextOf(fault_));
  }
  std::uint64_t operations() { return cluster_.At(fault_.disk).disk.operations() - before_; }

 private:
  bool Put() {
    const std::string key = "key-" + std::to_string(++orders_);
    const net::Time until = cluster_.net.Now() + kRecovery;
    // One at a time, so that what was asked twice is still one write.
    if (!cluster_.Put(key, "x", until - cluster_.net.Now())) return false;
    acknowledged_.push_back(key);
    return true;
  }
  // It takes writes and, where it is a replica, has them all. An emptied disk is another one, whose
  // place may be taken.
  bool IsBack() {
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
  // The primary if it may be, else the first machine; never the one whose disk fails.
  Machine& OneBut(const Machine* other) {
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
  std::uint64_t before_ = 0;
  int orders_ = 0;
  std::vector<std::string> acknowledged_;
};

std::uint64_t OperationsOf(std::size_t disk) {
  Script script({disk, 0, 1, storage::Failure::kFull, 0});
  script.Play();
  script.Check();
  return script.operations();
}

// Every operation of two disks, which between them are primary, backup and learner.
void PlayAll(storage::Failure failure) {
  std::size_t played = 0;
  for (const std::size_t disk : {std::size_t{0}, std::size_t{1}}) {
    const std::uint64_t operations = OperationsOf(disk);
    BOOST_REQUIRE(operations > 5U);
    for (std::uint64_t operation = 1; operation <= operations; ++operation) {
      for (const std::uint64_t times : {std::uint64_t{1}, std::uint64_t{3}, kForEver}) {
        Script script({disk, operation, times, failure, operation % 2 == 0 ? kAll : 0});
        script.Play();
        script.Check();
        ++played;
      }
    }
  }
  BOOST_TEST_MESSAGE(played << " runs");
}

BOOST_AUTO_TEST_CASE(full_at_any_write) { PlayAll(storage::Failure::kFull); }
BOOST_AUTO_TEST_CASE(transient_at_any_write) { PlayAll(storage::Failure::kTransient); }
BOOST_AUTO_TEST_CASE(damaged_at_any_write) { PlayAll(storage::Failure::kDamaged); }
BOOST_AUTO_TEST_CASE(fatal_at_any_write) { PlayAll(storage::Failure::kFatal); }

// ---- The matrix: step, disk, kind of operation, moment, how often, class.

using storage::DiskOperation;
using storage::Failure;

constexpr Failure kFailures[] = {Failure::kFull, Failure::kTransient, Failure::kDamaged,
                                 Failure::kFatal};
constexpr std::uint64_t kTimes[] = {1, 3, kForEver};

std::uint64_t Stride() {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > 1 ? std::max<std::uint64_t>(std::strtoull(suite.argv[1], nullptr, 10), 1) : 1;
}

// A disk that is lost with its machine, and another one that is damaged or refuses for good before
// the time to catch up has passed, are two losses at one time: more than are tolerated here.
bool IsTolerated(const StepFault& fault) {
  const bool loses_another = fault.damages() || fault.is_for_ever();
  return fault.step != CoreStep::kReplace || fault.disk == DiskOf::kMover || !loses_another;
}

// A write, a sync or the opening of a disk fails at its `nth` time in the step.
void AddOperation(std::vector<StepFault>& all, CoreStep step, DiskOf disk, DiskOperation kind,
                  std::uint64_t nth) {
  for (const Failure failure : kFailures) {
    for (const std::uint64_t times : kTimes) {
      all.push_back({step, disk, {{kind, nth, times, failure}}, nth % 2 == 0 ? kAll : 0});
    }
  }
}

// The `nth` write fails, then what the recovery behind it does.
void AddRecovery(std::vector<StepFault>& all, CoreStep step, DiskOf disk, std::uint64_t nth) {
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
  for (const DiskOf disk : kDisksOf) {
    if (step == CoreStep::kTransfer && disk == DiskOf::kMover) continue;  // It is the primary.
    auto operations = OperationsOf(step, disk);
    for (const DiskOperation kind :
         {DiskOperation::kWrite, DiskOperation::kSync, DiskOperation::kOpen}) {
      for (std::uint64_t nth = 1; nth <= operations[kind]; ++nth) {
        AddOperation(all, step, disk, kind, nth);
      }
    }
    const std::uint64_t writes = operations[DiskOperation::kWrite];
    BOOST_TEST(writes > 0U, NameOf(step) << ": nothing is written at the " << NameOf(disk));
    for (const std::uint64_t nth : {std::uint64_t{1}, writes / 2 + 1}) {
      AddRecovery(all, step, disk, nth);
    }
  }
  std::erase_if(all, [](const StepFault& fault) { return !IsTolerated(fault); });
  return all;
}

void PlayMatrix(CoreStep step) {
  const std::vector<StepFault> all = FaultsOf(step);
  const std::uint64_t stride = Stride();
  std::size_t played = 0;
  for (std::size_t at = 0; at < all.size(); at += stride) {
    for (const std::string& broken : PlayStep(all[at], kRecovery)) {
      BOOST_ERROR(TextOf(all[at]) << ": " << broken);
    }
    ++played;
  }
  std::cout << NameOf(step) << ": " << played << " of " << all.size() << " runs\n";
}

BOOST_AUTO_TEST_CASE(any_operation_of_a_commit_fails) { PlayMatrix(CoreStep::kCommit); }
BOOST_AUTO_TEST_CASE(any_operation_of_an_election_fails) { PlayMatrix(CoreStep::kElection); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_catch_up_fails) { PlayMatrix(CoreStep::kCatchUp); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_join_fails) { PlayMatrix(CoreStep::kJoin); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_replacement_fails) { PlayMatrix(CoreStep::kReplace); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_retirement_fails) { PlayMatrix(CoreStep::kRetire); }
BOOST_AUTO_TEST_CASE(any_operation_of_a_transfer_fails) { PlayMatrix(CoreStep::kTransfer); }

}  // namespace
}  // namespace shelflink::coordination
