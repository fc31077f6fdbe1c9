// Messages between the members of a group. Each message is encoded as one CBOR array.
#ifndef SHELFLINK_TIER_COORDINATION_MESSAGES_H_
#define SHELFLINK_TIER_COORDINATION_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tier/coordination/record.h"
#include "tier/coordination/replicator.h"

namespace shelflink::coordination {

// ---- Consensus on the next record: single-decree Paxos among the witnesses of `base`.

struct Prepare {
  Record base;  // A decided record.
  Ballot ballot;
};
struct PrepareReply {
  std::uint64_t epoch = 0;  // Epoch of the record to be decided.
  Ballot ballot;
  bool promised = false;
  Ballot blocking;                       // If refused because of a higher ballot: that ballot.
  std::uint64_t lease_remaining_ms = 0;  // If refused because of a lease: its remaining time.
  Ballot accepted;                       // Round 0: no value was accepted.
  std::optional<Record> value;           // The accepted value.
};
struct Accept {
  Record base;  // A decided record.
  Ballot ballot;
  Record value;
};
struct AcceptReply {
  std::uint64_t epoch = 0;
  Ballot ballot;
  bool accepted = false;
  Ballot blocking;
  std::uint64_t lease_remaining_ms = 0;
};
struct Decided {
  Record record;
};

// ---- Leases and membership.

// Lease renewal, sent by the primary several times per lease.
struct Renew {
  std::uint64_t epoch = 0;
  std::uint64_t token = 0;  // Send time, echoed in the reply.
  bool invite = false;      // Asks the receiver to catch up so that it can become a replica.
};
struct RenewReply {
  std::uint64_t epoch = 0;
  std::uint64_t token = 0;
  bool granted = false;
};
// Sent by a member that knows no primary or has just started. A receiver that knows a newer record
// replies with Decided.
struct Hello {
  std::uint64_t epoch = 0;
  bool fresh = false;        // The sender is a founding member without a record.
  bool wants_reply = false;  // Asks the receiver to reply, to show that it is running.
};
// Sent by a member that is about to stop.
struct Leave {};

// ---- Replication within one epoch (replica.h).

// Position of an entry: the epoch in which it was created, and its sequence number. Entries with
// equal positions are equal.
struct Position {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const Position&) const = default;  // NOLINT(modernize-use-nullptr): its error.
};
struct Entry {
  Position position;
  std::vector<Write> writes;
};
// Approximate size in memory and on the wire, in bytes.
std::size_t SizeOf(const Entry& entry);

struct Append {
  std::uint64_t epoch = 0;
  Position previous;  // Position of the entry before the first of `entries`.
  std::vector<Entry> entries;
  std::uint64_t committed = 0;
};
struct AppendReply {
  std::uint64_t epoch = 0;
  bool matched = false;
  std::uint64_t match = 0;        // If matched: all entries up to this sequence are synced.
  std::uint64_t resend_from = 0;  // If not matched: the sequence to resend from.
  std::uint64_t session = 0;      // Session of a learner that is caught up; 0: not a learner.
};

// The keys in [from, until). An empty `until` means no upper bound.
struct KeyRange {
  std::string from;
  std::string until;
};
// Of the items of a range. Not `computed`: the range has not been read yet, and `digest`, `keys`
// and `bytes` mean nothing; its digests have to be requested.
struct RangeDigest {
  KeyRange range;
  std::uint64_t digest = 0;
  std::uint64_t keys = 0;
  std::uint64_t bytes = 0;
  bool computed = true;
};
struct RangeContents {
  KeyRange range;  // `items` are all keys of this range.
  std::vector<std::pair<std::string, std::string>> items;
};
struct CatchUpRequest {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  bool start = false;  // Starts streaming; the reply holds digests of the whole key space.
  std::vector<KeyRange> digests;   // Ranges whose parts' digests are requested.
  std::vector<KeyRange> contents;  // Ranges whose items are requested.
};
struct CatchUpReply {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  bool start = false;
  Position at;  // `contents` are the committed contents at this position.
  std::vector<RangeDigest> digests;
  std::vector<RangeContents> contents;
};

using ReplicaMessage = std::variant<Append, AppendReply, CatchUpRequest, CatchUpReply>;
using Message = std::variant<Prepare, PrepareReply, Accept, AcceptReply, Decided, Renew, RenewReply,
                             Hello, Leave, Append, AppendReply, CatchUpRequest, CatchUpReply>;

// The index of an alternative of Message is its type number on the wire: only append to the list.
std::string Encode(const Message& message);
std::optional<Message> DecodeMessage(std::string_view data);
// Encoding of a single entry, as replicas store it.
std::string EncodeEntry(const Entry& entry);
std::optional<Entry> DecodeEntry(std::string_view data);

std::optional<ReplicaMessage> AsReplicaMessage(Message message);
Message AsMessage(ReplicaMessage message);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_MESSAGES_H_
