// Runs one operation of a core, such as an election or a join, while operations of one disk fail at
// a given point of it, and checks the result. Used by the matrix of failing_writes_test.
#ifndef SHELFLINK_TESTS_TIER_COORDINATION_FAILING_STEPS_H_
#define SHELFLINK_TESTS_TIER_COORDINATION_FAILING_STEPS_H_

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/cluster.h"

namespace shelflink::coordination {

constexpr std::uint64_t kForever = std::numeric_limits<std::uint64_t>::max();

enum class CoreStep {
  kCommit,    // Consecutive writes.
  kElection,  // The primary loses power and returns.
  kCatchUp,   // A replica that missed a dozen large entries returns.
  kJoin,      // A machine is added and replaces a stopped replica.
  kReplace,   // A replica and its disk are lost; an empty one starts in its place.
  kRetire,    // A replica is shut down as planned; an empty one starts in its place.
  kTransfer,  // The primary is shut down as planned and starts again.
};
constexpr CoreStep kCoreSteps[] = {CoreStep::kCommit,  CoreStep::kElection, CoreStep::kCatchUp,
                                   CoreStep::kJoin,    CoreStep::kReplace,  CoreStep::kRetire,
                                   CoreStep::kTransfer};

// The machine whose disk fails, by its role at the beginning of the step.
enum class FaultyDisk {
  kPrimary,
  kBackup,
  kSubject
};  // kSubject: the machine that the step moves.
constexpr FaultyDisk kFaultyDisks[] = {FaultyDisk::kPrimary, FaultyDisk::kBackup,
                                       FaultyDisk::kSubject};

struct OperationFault {
  storage::DiskOperation kind = storage::DiskOperation::kWrite;
  std::uint64_t nth = 0;  // Counted per kind from the start of the step, from 1; 0: no fault.
  std::uint64_t times = 1;
  storage::Failure failure = storage::Failure::kFull;
};

struct StepFault {
  CoreStep step = CoreStep::kCommit;
  FaultyDisk disk = FaultyDisk::kPrimary;
  std::vector<OperationFault> operations;
  std::size_t kept = 0;  // Batches not covered by a sync that remain on the disk.

  bool is_permanent() const {
    return std::any_of(operations.begin(), operations.end(),
                       [](const OperationFault& one) { return one.times == kForever; });
  }
  bool damages_disk() const {
    return std::any_of(operations.begin(), operations.end(), [](const OperationFault& one) {
      return one.failure == storage::Failure::kDamaged;
    });
  }
};

const char* NameOf(CoreStep step);
const char* NameOf(FaultyDisk disk);
const char* NameOf(storage::DiskOperation kind);
std::string TextOf(const StepFault& fault);

// The number of operations of each kind on the disk in a run without faults.
std::map<storage::DiskOperation, std::uint64_t> OperationsOf(CoreStep step, FaultyDisk disk);
// Runs the step with the fault. Returns the violated guarantees, empty if there are none:
//
// - no acknowledged write is missing at a primary, neither when it accepts a write nor at the end;
// - no process reports an older map than before; there are never two primaries;
// - a write is acknowledged within `timeout` of the end of the step;
// - within `timeout` after that the intended number of replicas have all data,
//   including the faulty disk unless it fails permanently or another disk
//   has replaced it.
std::vector<std::string> RunFaultedStep(const StepFault& fault, net::Span timeout);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_FAILING_STEPS_H_
