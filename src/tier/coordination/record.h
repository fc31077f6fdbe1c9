// Epoch records: the primary, the disks that hold the data, and the witnesses that decide the next
// record.
//
// Record e is decided once, by a majority of the witnesses of record e-1 (single-decree Paxos, one
// instance per record). A member is identified by its disk, whose identity was drawn when the disk
// was empty. Record 0 is the founding record: its witnesses are the seeds of the first start, which
// are known by address only.
#ifndef SHELFLINK_TIER_COORDINATION_RECORD_H_
#define SHELFLINK_TIER_COORDINATION_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tier/coordination/replicator.h"
#include "tier/foundation/cbor.h"

namespace shelflink::coordination {

struct Record {
  std::uint64_t epoch = 0;  // 0: the founding record.
  std::string primary;      // Identity of its disk.
  std::uint64_t incarnation =
      0;  // Of the primary's process: a restarted primary needs a new record.
  std::vector<CoreMember> replicas;
  std::vector<CoreMember> witnesses;
};

// Orders the proposals for one record. Ballots are unique: each incarnation increases `round` with
// every proposal.
struct Ballot {
  std::uint64_t round = 0;  // 0: no ballot.
  std::string disk;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Ballot&) const = default;  // NOLINT(modernize-use-nullptr): its error.
};

const CoreMember* FindDisk(const std::vector<CoreMember>& members, std::string_view disk);
bool SameMembers(const std::vector<CoreMember>& a, const std::vector<CoreMember>& b);
// Whether `member` may vote on the record after `base`. Witnesses of record 0 are matched by
// address.
bool IsWitnessOf(const Record& base, const CoreMember& member);
std::size_t Majority(const Record& base);
// Whether the votes of `agreed` witnesses decide the record after `base`. A quorum is a majority,
// or all witnesses whose disks still exist if the disks of `replaced` witnesses do not. Any two
// quorums share a witness because replaced witnesses are never a majority; this also holds for an
// even number of witnesses of which half are replaced.
bool IsQuorum(const Record& base, std::size_t agreed, std::size_t replaced);
// The witness of `base` whose disk no longer exists, given that `member` replied from the same
// address with another disk; null if there is none.
const CoreMember* ReplacedWitness(const Record& base, const CoreMember& member);
// Replicas and witnesses, without duplicates.
std::vector<CoreMember> MembersOf(const Record& record);
std::vector<std::string> DisksOf(const std::vector<CoreMember>& members);
// Text for logs with node names, such as "epoch 3, primary a, replicas a b, witnesses a b c".
std::string DescriptionOf(const Record& record);

void Put(cbor::Writer& out, const CoreMember& member);
void Put(cbor::Writer& out, const Record& record);
void Put(cbor::Writer& out, const Ballot& ballot);
// These functions make the reader fail on invalid input.
CoreMember ReadMember(cbor::Reader& in);
std::vector<CoreMember> ReadMembers(cbor::Reader& in);
Record ReadRecord(cbor::Reader& in);
Ballot ReadBallot(cbor::Reader& in);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_RECORD_H_
