// A replicated ordered map with a single primary: the public interface of the coordination library.
//
// The primary of an epoch orders all writes. A write is acknowledged when every replica of the
// epoch's replica set (at least fault tolerance + 1 disks) has synced it. Witnesses store only
// epoch records (epoch, primary, replica set, witnesses) and elect the next primary by majority.
// There is no log that is replicated by majority.
#ifndef SHELFLINK_TIER_COORDINATION_REPLICATOR_H_
#define SHELFLINK_TIER_COORDINATION_REPLICATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "net/loop.h"
#include "tier/foundation/result.h"

namespace shelflink::coordination {

struct Write {
  std::string key;
  std::optional<std::string> value;  // None: the key is removed.
};

// The committed map as far as this replica knows it, ordered by key.
using Contents = std::map<std::string, std::string, std::less<>>;

// A member of the group. The disk identifies it.
struct CoreMember {
  std::string node;
  std::string zone;
  std::string disk;  // Identity, drawn when the disk was empty. A new disk is a new member.
  net::Address address;
};

// State of a member's disk as seen by the primary.
enum class DiskState : std::uint8_t {
  kTakesWrites,    // The member responds.
  kSilent,         // No message from the member for longer than the silence limit.
  kRefusesWrites,  // The process responds, but without a disk that accepts writes.
  kReplaced,       // Another disk responds at the member's address: this disk is lost.
};

struct MemberStatus {
  CoreMember member;
  bool is_replica = false;
  bool is_witness = false;
  DiskState disk_state = DiskState::kSilent;
  std::optional<net::Time>
      heard_at;  // Last message of this disk; none: not since this process began.
};

// State of the replicas of the map, and progress of the copies that are being made.
struct ReplicationStatus {
  std::vector<MemberStatus> members;
  std::size_t wanted = 0;                   // Number of replicas: fault tolerance + 1.
  std::uint64_t bytes_copied = 0;           // Sent to learners since the process began.
  std::optional<std::uint64_t> bytes_left;  // Upper bound, for the learner with the least left.
};

// The interface of the replicated map. coordination/group.h implements it over a hub and LMDB;
// tests use their own implementation.
class Replicator {
 public:
  // Runs on the primary, one plan at a time, on the map with all earlier commits. Returns the
  // writes to make, or the error that rejects the request. A plan without writes is a linearizable
  // read: `done` is called only once it is certain that this process was still the primary.
  using Plan = std::function<Result<std::vector<Write>>(const Contents& committed)>;
  // Errors: kUnavailable: not the primary, nothing was written. kUnknown: the write may or may not
  // be committed.
  using Done = std::function<void(Result<void>)>;

  // Callbacks to the owner of the replicator.
  struct Watcher {
    // Called on every replica, in commit order, as soon as it knows that the writes are committed.
    // After a start or a catch-up `writes` holds the whole map.
    std::function<void(const std::vector<Write>& writes)> committed;
    // This replica has become the primary of `epoch` or has stopped being it. A new primary has
    // already reported all earlier commits.
    std::function<void(bool primary, std::uint64_t epoch)> role;
    // Called on the primary when the number of responsive replicas of the record changes. A loss
    // may be repaired within milliseconds, so polling could miss it.
    std::function<void()> replicas_changed = nullptr;
  };

  virtual ~Replicator() = default;
  virtual void SetWatcher(Watcher watcher) = 0;
  virtual void Submit(Plan plan, Done done) = 0;
  virtual const Contents& contents() const = 0;
  virtual bool is_primary() const = 0;  // And holds a valid lease.
  virtual std::uint64_t epoch() const = 0;
  virtual std::optional<net::Address> primary() const = 0;  // Internal address, if known.
  virtual std::vector<CoreMember> members() const = 0;      // Replicas and witnesses.
  // None if this process is not the primary.
  virtual std::optional<ReplicationStatus> replication_status() const { return std::nullopt; }
  // Transfers the role of primary to another replica before the process ends (SIGTERM). `done` is
  // called with true when this process may end, with false if the transfer failed.
  virtual void Transfer(std::function<void(bool)> done) = 0;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_REPLICATOR_H_
