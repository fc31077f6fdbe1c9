// A primary-backup replica of an ordered map, under an epoch that others decide.
//
// Pure: events with their time in, messages and changes of its storage out. It holds no map in
// memory, only the tail of entries that it does not know committed; the map lies in the storage.
//
// The owner hands it assignments {epoch, primary, replicas} and must see to this:
//  - one process is primary of an epoch, once: a restarted one gets a new epoch;
//  - the primary of epoch e+1 was a complete replica of epoch e;
//  - a replica joins only when Joined() says so, after Require() of the assignment before.
// Then every entry that was told committed is part of every later primary's map, because it was
// synced by all replicas of its epoch, and of each of them before the next assignment names it.
//
// It must never acknowledge with fewer than `least_replicas` disks, never take an entry from a
// primary of an older epoch, and never discard entries of an epoch it is a replica of unless the
// primary put others in their places.
#ifndef SHELFLINK_TIER_COORDINATION_REPLICA_H_
#define SHELFLINK_TIER_COORDINATION_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tier/coordination/catch_up.h"
#include "tier/coordination/messages.h"
#include "tier/coordination/step.h"
#include "tier/foundation/result.h"

namespace shelflink::coordination {

// Who holds the data in an epoch; disks.
struct Assignment {
  std::uint64_t epoch = 0;
  std::string primary;
  std::vector<std::string> replicas;  // The primary among them.
};

// How far a learner's copy has come.
struct LearnerProgress {
  std::string disk;
  std::uint64_t bytes_copied = 0;  // Of contents that were sent, in its present session.
  // At most: what is equal already is not sent. None: the size of the map is not known yet.
  std::optional<std::uint64_t> bytes_left;
};

// What a step of the replica brings about; the owner carries it out in this order.
struct ReplicaOutput {
  std::vector<std::pair<std::string, ReplicaMessage>> messages;  // To disks.
  // The stored map was replaced as a whole: read it anew (Replica::ForEach).
  bool reset = false;
  // Entries that have become known as committed, in order.
  std::vector<Entry> committed;
};

class Replica {
 public:
  struct Options {
    std::string disk;                // Of this replica.
    std::string prefix;              // Of its keys in the storage; ends with a slash.
    std::size_t least_replicas = 2;  // Fault tolerance + 1.
    // Unanswered for so long: again; then after twice as long, and so on up to eight times. What is
    // merely slow on its way must not be followed by more and more of the same.
    net::Span resend = std::chrono::milliseconds(300);
    net::Span catch_up_patience = std::chrono::seconds(1);  // Then the catch-up begins anew.
    // How fast entries leave this process for all others together; 0: not known. What is still on
    // its way by that is neither sent again nor owed.
    std::uint64_t link_bytes_per_second = 0;
    std::size_t most_message_bytes = 1U << 20;  // Of entries.
    // Of range contents in one answer: what lies on a narrow link delays acknowledgements there.
    std::size_t most_copied_bytes = 128U << 10;
    // What else one step of a catch-up reads of the map: ranges whose digests are computed, bytes
    // that are counted, and bytes of a learner that are replaced.
    DigestLimits digests = {};
    std::size_t most_counted_bytes = 1U << 20;
    std::size_t most_replaced_bytes = 1U << 20;
    // A learner makes durable what it has copied after so much. Only then does a storage use the
    // room of what was replaced again.
    std::size_t copied_bytes_a_sync = 1U << 20;
    // So long at a time commits wait for a learner that lacks only the newest entries, see Joined.
    net::Span join_wait = std::chrono::milliseconds(300);
    std::size_t most_unacknowledged_bytes = 16U << 20;  // Beyond: Propose refuses.
    std::size_t most_unacknowledged_entries = 4096;
    // The owner knows the map up to here from an earlier life: it is told no older one.
    std::uint64_t told = 0;
  };

  // Where the storage holds what says how far the map behind it is whole: without it there is none.
  static std::string StateKeyOf(const std::string& prefix) { return prefix + "s"; }

  // Reads what the storage holds.
  Replica(Options options, const storage::Storage& storage);

  // Founding: complete with an empty map. Only on a first start.
  void Found(Step& step);

  // A newer assignment; older ones are ignored. `acting`: this process is its primary.
  void Assign(Step& step, ReplicaOutput& out, const Assignment& assignment, bool acting);

  // ---- As primary.

  // Stores the writes and sends them; they are in force when `committed` tells of the position. Not
  // the primary: kUnavailable; too much is unacknowledged: kExhausted; unusable key: kInvalid.
  Result<Position> Propose(Step& step, ReplicaOutput& out, std::vector<Write> writes);
  // Everything of earlier epochs is committed in this one. Whoever judges an order on the committed
  // map must also know the entries behind it (tail_entries).
  bool Serving() const;
  // From now on nothing is committed that these (learners) have not synced too.
  void Require(const std::set<std::string>& learners);
  // A learner that has everything committed, in its present session. One that has the map and whose
  // disk or link is slower than those of the replicas would never have the newest entry first:
  // commits wait for it for `join_wait`, and not again before four times as long has passed.
  bool Joined(const std::string& disk) const;
  // Since when the replica owes an acknowledgement; none: it owes nothing.
  std::optional<net::Time> Owing(const std::string& disk) const;
  // All of this primary's entries are synced there.
  bool HasAll(const std::string& disk) const;
  // Of this epoch.
  std::vector<LearnerProgress> learners() const;
  // Of contents that this process has sent to learners, ever.
  std::uint64_t copied_bytes() const { return copied_bytes_; }
  // Its process is another: what was told to be committed may be forgotten there.
  void TellAgain(const std::string& disk);

  // ---- As learner: neither primary nor replica of the assignment.

  // Begins to catch up with the primary; no effect while it is under way or done.
  void CatchUp(Step& step, ReplicaOutput& out);
  // Has the whole map and, as far as it has been told, every entry behind it. One that lost entries
  // on the way is not told more by the primary before it catches up anew.
  bool caught_up() const { return complete_ && !(session_ && session_->lost_entries); }

  // ---- All.

  void OnMessage(Step& step, ReplicaOutput& out, const std::string& from,
                 const ReplicaMessage& message);
  void OnSynced(Step& step, ReplicaOutput& out, Ticket ticket);
  // Resends what stayed unanswered. Wanted about every `resend`.
  void OnTimer(Step& step, ReplicaOutput& out);

  // Has the whole map up to some commit; a learner that is catching up has not.
  bool complete() const { return complete_; }
  // The stored map is older than what the owner knows: `reset` tells when it no longer is.
  bool reset_due() const { return reset_due_; }
  std::uint64_t epoch() const { return assignment_.epoch; }
  bool acting() const { return acting_; }
  Position committed() const { return applied_; }
  Position last() const;
  std::size_t tail_entries() const { return tail_.size(); }
  // The committed map, in order.
  void ForEach(
      const storage::Storage& storage,
      const std::function<bool(std::string_view key, std::string_view value)>& visit) const;
  std::optional<std::string> Get(const storage::Storage& storage, std::string_view key) const;

  void Fingerprint(cbor::Writer& out, net::Time now) const;

 private:
  // When so much has left that is sent now, behind what was sent before.
  net::Time LeavesAt(net::Time now, std::size_t bytes);

  // What the primary knows of another replica or of a learner.
  struct Follower {
    std::uint64_t match = 0;  // Synced up to here; 0: not told in this epoch.
    // The same, told by the process that counts: a replica's, or of a learner its present session.
    std::uint64_t synced = 0;
    std::uint64_t next = 0;  // To be sent.
    std::optional<net::Time> owing_since;
    net::Time sent_at{};  // When what was sent last has left.
    int resends = 0;      // Since it last acknowledged something new.
    std::uint64_t told_committed = 0;
    std::uint64_t tried_from = 0;  // Where a mismatch was last resent from.
    std::uint64_t session = 0;     // Of a learner; 0: a replica.
    bool joined = false;
    SizeCount map_size;                         // Of a learner: since its present session began.
    std::uint64_t copied_bytes = 0;             // Of contents, sent in that session.
    std::optional<net::Time> waited_for_until;  // Commits wait for this learner until then.
  };
  struct HeldReply {
    Ticket ticket = 0;
    AppendReply reply;
  };
  // A learner's way to a complete map.
  struct Session {
    std::uint64_t id = 0;
    bool started = false;  // The primary has answered: the tail is streamed from `base` on.
    bool fetched = false;
    Position newest;  // Of all contents taken.
    net::Time heard_at{};
    std::size_t unsynced_bytes = 0;  // Copied since the last sync was asked for.
    bool lost_entries = false;       // The newest message did not fit what is here.
    RangeRepair repair;
  };

  std::uint64_t LastSequence() const { return applied_.sequence + tail_.size(); }
  const Entry& At(std::uint64_t sequence) const;
  Position PositionOf(std::uint64_t sequence) const;
  bool IsReplica(const std::string& disk) const;
  std::string TailKey(std::uint64_t sequence) const;
  std::string MapKey(std::string_view key) const;
  PrefixView StoredMap(const storage::Storage& storage) const;
  bool IsLearning() const { return session_.has_value() && session_->started; }

  void Load(const storage::Storage& storage);
  void PutState(storage::Batch& batch) const;
  void Truncate(storage::Batch& batch, std::uint64_t from);
  void AppendOne(storage::Batch& batch, Entry entry);
  void ApplyUpTo(Step& step, ReplicaOutput& out, std::uint64_t sequence);

  void SendEntries(Step& step, ReplicaOutput& out, const std::string& to, Follower& follower);
  void TellCommitted(Step& step, ReplicaOutput& out);
  void AdvanceCommitted(Step& step, ReplicaOutput& out);
  net::Span ResendPause(const Follower& follower) const;
  void WaitForLearner(const Step& step, Follower& follower) const;
  static std::optional<std::uint64_t> BytesLeft(const Follower& learner);

  void On(Step& step, ReplicaOutput& out, const std::string& from, const Append& message);
  void On(Step& step, ReplicaOutput& out, const std::string& from, const AppendReply& message);
  void On(Step& step, ReplicaOutput& out, const std::string& from, const CatchUpRequest& message);
  void On(Step& step, ReplicaOutput& out, const std::string& from, const CatchUpReply& message);
  // Returns where to resend from if the message does not fit what is here.
  std::optional<std::uint64_t> Mismatch(const Append& message) const;
  void Take(Step& step, const Append& message);
  void Reply(ReplicaOutput& out, AppendReply reply);
  void StartSession(Step& step, ReplicaOutput& out);
  void TakeStart(Step& step, const CatchUpReply& message);
  void TakeContents(Step& step, RangeContents contents);
  void BeMorePatient();
  void AskOn(Step& step, ReplicaOutput& out);
  void FinishIfWhole(Step& step, ReplicaOutput& out);
  void WantSync(Step& step);
  void TellReset(ReplicaOutput& out);
  void Send(ReplicaOutput& out, const std::string& to, ReplicaMessage message) const;

  Options options_;
  Assignment assignment_;
  bool acting_ = false;

  // Stored.
  Position applied_;  // The map holds all entries up to here, all committed.
  bool complete_ = false;
  std::deque<Entry> tail_;  // The entries behind it, without gaps.
  std::size_t tail_bytes_ = 0;

  std::uint64_t told_ = 0;  // The owner knows the map up to here.
  bool reset_due_ = false;  // It is to read the map anew, once that is no older.

  // As primary, of this epoch.
  std::map<std::string, Follower> followers_;
  std::set<std::string> required_;
  std::uint64_t own_match_ = 0;  // Synced here.
  std::deque<std::pair<Ticket, std::uint64_t>> own_syncs_;
  std::uint64_t barrier_ = 0;  // Last entry of earlier epochs.
  std::uint64_t copied_bytes_ = 0;

  // As replica or learner, of this epoch.
  std::uint64_t verified_ = 0;  // Equal to the primary's entries up to here.
  std::deque<HeldReply> held_;
  Ticket last_wanted_ = 0;  // Sync asked for, and told.
  Ticket last_synced_ = 0;
  std::optional<Session> session_;
  std::uint64_t sessions_ = 0;
  net::Time link_free_at_{};  // When all that was sent has left.
  net::Span patience_;        // With the primary's answers; longer where they are slow.
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_REPLICA_H_
