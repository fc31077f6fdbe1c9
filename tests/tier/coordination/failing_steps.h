// One thing that a core goes through, while one disk refuses one kind of operation at one moment of
// it: what the matrix of failing_writes_test plays and judges.
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

constexpr std::uint64_t kForEver = std::numeric_limits<std::uint64_t>::max();

enum class CoreStep {
  kCommit,    // Orders one after the other.
  kElection,  // The primary loses power and returns.
  kCatchUp,   // A replica that missed a dozen large entries returns.
  kJoin,      // A machine is added and takes the place of a replica that is away.
  kReplace,   // A replica is lost with its disk, an empty one starts in its place.
  kRetire,    // A replica is told to end; an empty one starts in its place.
  kTransfer,  // The primary is told to end and starts again.
};
constexpr CoreStep kCoreSteps[] = {CoreStep::kCommit,  CoreStep::kElection, CoreStep::kCatchUp,
                                   CoreStep::kJoin,    CoreStep::kReplace,  CoreStep::kRetire,
                                   CoreStep::kTransfer};

// Whose disk fails: at the beginning of the step.
enum class DiskOf { kPrimary, kBackup, kMover };  // kMover: whom the step is about.
constexpr DiskOf kDisksOf[] = {DiskOf::kPrimary, DiskOf::kBackup, DiskOf::kMover};

struct OperationFault {
  storage::DiskOperation kind = storage::DiskOperation::kWrite;
  std::uint64_t nth = 0;  // Of its kind in the step, from 1; 0: none.
  std::uint64_t times = 1;
  storage::Failure failure = storage::Failure::kFull;
};

struct StepFault {
  CoreStep step = CoreStep::kCommit;
  DiskOf disk = DiskOf::kPrimary;
  std::vector<OperationFault> operations;
  std::size_t kept = 0;  // Of the batches that no sync had covered.

  bool is_for_ever() const {
    return std::any_of(operations.begin(), operations.end(),
                       [](const OperationFault& one) { return one.times == kForEver; });
  }
  bool damages() const {
    return std::any_of(operations.begin(), operations.end(), [](const OperationFault& one) {
      return one.failure == storage::Failure::kDamaged;
    });
  }
};

const char* NameOf(CoreStep step);
const char* NameOf(DiskOf disk);
const char* NameOf(storage::DiskOperation kind);
std::string TextOf(const StepFault& fault);

// How often a run without a fault does each kind of operation on that disk.
std::map<storage::DiskOperation, std::uint64_t> OperationsOf(CoreStep step, DiskOf disk);
// What was broken, empty if nothing was:
//
// - nothing that was acknowledged is missing at a primary, when it takes an order and at the end;
// - no process is told an older map than before; never are there two primaries;
// - an order is acknowledged within `most` of the end of the step, as many replicas as there should
//   be have everything within `most` after that, the failing disk's among them unless it refuses
//   for ever or another one has taken its place.
std::vector<std::string> PlayStep(const StepFault& fault, net::Span most);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_FAILING_STEPS_H_
