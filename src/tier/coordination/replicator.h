// A replicated ordered map under one primary: what others embed of the coordination library.
//
// The primary of an epoch decides; a write is acknowledged when every replica of the epoch's set
// (fault tolerance + 1 at least) has it synced. Witnesses keep only epochs (number, primary,
// replica set, witnesses) and decide by majority who follows. There is no majority log.
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
  std::optional<std::string> value;  // None: removed.
};

// The committed map as this replica knows it; ordered.
using Contents = std::map<std::string, std::string, std::less<>>;

struct CoreMember {
  std::string node;
  std::string zone;
  std::string disk;  // Identity, drawn when the disk was empty; another disk is another member.
  net::Address address;
};

// How the disk of a member stands, as the primary knows it.
enum class DiskState : std::uint8_t {
  kTakesWrites,    // It answers.
  kSilent,         // Nothing has been heard of it for longer than a moment.
  kRefusesWrites,  // Its process answers, without a disk that takes writes.
  kReplaced,       // Another disk answers in its place: this one is lost.
};

struct MemberStatus {
  CoreMember member;
  bool is_replica = false;
  bool is_witness = false;
  DiskState disk_state = DiskState::kSilent;
  std::optional<net::Time> heard_at;  // Of this disk; none: never by this process.
};

// The copies of the map, and what is copied to make more of them.
struct ReplicationStatus {
  std::vector<MemberStatus> members;
  std::size_t wanted = 0;                   // Replicas: fault tolerance + 1.
  std::uint64_t bytes_copied = 0;           // To learners, since the process began.
  std::optional<std::uint64_t> bytes_left;  // To the learner that has come furthest, at most.
};

// The interface; coordination/group.h runs it over a hub and LMDB, tests use one of their own.
class Replicator {
 public:
  // Runs on the primary, one at a time, on everything committed before: the writes to make, or why
  // not. No writes: `done` is told only once it is certain that this was still the primary (a
  // linearizable read).
  using Plan = std::function<Result<std::vector<Write>>(const Contents& committed)>;
  // kUnavailable: not the primary, nothing happened. kUnknown: it may come into force or not.
  using Done = std::function<void(Result<void>)>;

  struct Watcher {
    // On every replica, in order, as soon as it knows them committed. All of the contents after a
    // start or a catch-up: `writes` then holds every key.
    std::function<void(const std::vector<Write>& writes)> committed;
    // This replica has become the primary of that epoch, or is it no longer. As primary all earlier
    // commits have been told.
    std::function<void(bool primary, std::uint64_t epoch)> role;
    // On the primary: another number of the record's replicas is there. A loss may be made good
    // within milliseconds, so who only looks now and then would not see it.
    std::function<void()> replicas_changed = nullptr;
  };

  virtual ~Replicator() = default;
  virtual void SetWatcher(Watcher watcher) = 0;
  virtual void Submit(Plan plan, Done done) = 0;
  virtual const Contents& contents() const = 0;
  virtual bool is_primary() const = 0;  // With a valid lease.
  virtual std::uint64_t epoch() const = 0;
  virtual std::optional<net::Address> primary() const = 0;  // Internal address, where known.
  virtual std::vector<CoreMember> members() const = 0;      // Replicas and witnesses.
  // None where this is not the primary.
  virtual std::optional<ReplicationStatus> replication_status() const { return std::nullopt; }
  // Hands the primary's place over (SIGTERM); done is told when another has it or it failed.
  virtual void Transfer(std::function<void(bool)> done) = 0;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_REPLICATOR_H_
