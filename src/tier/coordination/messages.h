// What members of a group tell each other. Each message is one CBOR array.
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

// ---- Deciding the next record (single-decree Paxos among the witnesses of `base`).

struct Prepare {
  Record base;  // Decided.
  Ballot ballot;
};
struct PrepareReply {
  std::uint64_t number = 0;  // Of the record to be decided.
  Ballot ballot;
  bool promised = false;
  Ballot blocking;                       // Where refused: a higher ballot, if that is why.
  std::uint64_t lease_remaining_ms = 0;  // Where refused: a lease, if that is why.
  Ballot accepted;                       // Round 0: nothing was accepted.
  std::optional<Record> value;           // What was accepted.
};
struct Accept {
  Record base;  // Decided.
  Ballot ballot;
  Record value;
};
struct AcceptReply {
  std::uint64_t number = 0;
  Ballot ballot;
  bool accepted = false;
  Ballot blocking;
  std::uint64_t lease_remaining_ms = 0;
};
struct Decided {
  Record record;
};

// ---- Leases and membership.

// From the primary, several times a lease.
struct Renew {
  std::uint64_t number = 0;
  std::uint64_t token = 0;  // Returned by the answer: when this was sent.
  bool invite = false;      // Catch up, to become a replica.
};
struct RenewReply {
  std::uint64_t number = 0;
  std::uint64_t token = 0;
  bool granted = false;
};
// From whoever has no primary or is new. Answered by Decided where the receiver knows a newer
// record.
struct Hello {
  std::uint64_t number = 0;
  bool fresh = false;        // Founding member without a record.
  bool wants_reply = false;  // Wants to know whether the receiver is there.
};
// The sender is about to stop.
struct Leave {};

// ---- Replication (replica.h), under one epoch.

// Of an entry: the epoch in which it was made, and its place. Equal positions are equal entries.
struct Position {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const Position&) const = default;  // NOLINT(modernize-use-nullptr): its error.
};
struct Entry {
  Position position;
  std::vector<Write> writes;
};
// About what it takes in memory and on the wire.
std::size_t SizeOf(const Entry& entry);

struct Append {
  std::uint64_t epoch = 0;
  Position previous;  // Of the entry before the first one.
  std::vector<Entry> entries;
  std::uint64_t committed = 0;
};
struct AppendReply {
  std::uint64_t epoch = 0;
  bool matched = false;
  std::uint64_t match = 0;        // Matched: all up to here is synced.
  std::uint64_t resend_from = 0;  // Not matched.
  std::uint64_t session = 0;      // Of a learner that has everything; 0: not one.
};

// Keys from `from` on, below `until`; empty `until`: to the end.
struct KeyRange {
  std::string from;
  std::string until;
};
struct RangeDigest {
  KeyRange range;
  std::uint64_t digest = 0;
  std::uint64_t keys = 0;
  std::uint64_t bytes = 0;
};
struct RangeContents {
  KeyRange range;  // What `items` cover: all of its keys.
  std::vector<std::pair<std::string, std::string>> items;
};
struct CatchUpRequest {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  bool start = false;             // Begin to stream; the digests of all keys are answered.
  std::vector<KeyRange> digests;  // Digests of parts of these, please.
  std::vector<KeyRange> contents;
};
struct CatchUpReply {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  bool start = false;
  Position at;  // The contents are those committed here.
  std::vector<RangeDigest> digests;
  std::vector<RangeContents> contents;
};

using ReplicaMessage = std::variant<Append, AppendReply, CatchUpRequest, CatchUpReply>;
using Message = std::variant<Prepare, PrepareReply, Accept, AcceptReply, Decided, Renew, RenewReply,
                             Hello, Leave, Append, AppendReply, CatchUpRequest, CatchUpReply>;

// A Message keeps its number here over the wire: append only.
std::string Encode(const Message& message);
std::optional<Message> DecodeMessage(std::string_view data);
// Of an entry alone, as replicas store it.
std::string EncodeEntry(const Entry& entry);
std::optional<Entry> DecodeEntry(std::string_view data);

std::optional<ReplicaMessage> AsReplicaMessage(Message message);
Message AsMessage(ReplicaMessage message);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_MESSAGES_H_
