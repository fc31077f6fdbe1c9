// Epoch records: who is primary, which disks hold the data, who decides the next record.
//
// Record e is decided once, by a majority of the witnesses of record e-1 (single-decree Paxos, one
// decree a record). A member is a disk: its identity was drawn when the disk was empty. Record 0 is
// the founding one: its witnesses are the seeds of the first start, known by address alone.
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
  std::uint64_t number = 0;
  std::string primary;            // Disk.
  std::uint64_t incarnation = 0;  // Of the primary's process: a restarted one needs a new record.
  std::vector<CoreMember> replicas;
  std::vector<CoreMember> witnesses;
};

// Orders proposals for one record. No two proposals share a ballot: an incarnation raises `round`
// with each of them.
struct Ballot {
  std::uint64_t round = 0;  // 0: none.
  std::string disk;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Ballot&) const = default;  // NOLINT(modernize-use-nullptr): its error.
};

const CoreMember* FindDisk(const std::vector<CoreMember>& members, std::string_view disk);
bool SameMembers(const std::vector<CoreMember>& a, const std::vector<CoreMember>& b);
// Whether `member` may vote on the record after `base`; record 0 knows addresses only.
bool IsWitnessOf(const Record& base, const CoreMember& member);
std::size_t Majority(const Record& base);
// Whether `agreed` of its witnesses decide the record after `base`: a majority, or all those whose
// disks still exist where `gone` do not. Any two such sets share a witness, since those that are
// gone are never a majority: that holds for an even number of witnesses of which half are gone.
bool IsQuorum(const Record& base, std::size_t agreed, std::size_t gone);
// The witness of `base` whose disk exists no more if `member` answers: another disk has its place.
const CoreMember* ReplacedWitness(const Record& base, const CoreMember& member);
// Of replicas and witnesses together, each once.
std::vector<CoreMember> MembersOf(const Record& record);
std::vector<std::string> DisksOf(const std::vector<CoreMember>& members);
// For logs: "epoch 3, primary a, replicas a b, witnesses a b c", by the names of the nodes.
std::string DescriptionOf(const Record& record);

void Put(cbor::Writer& out, const CoreMember& member);
void Put(cbor::Writer& out, const Record& record);
void Put(cbor::Writer& out, const Ballot& ballot);
// These make the reader fail on what they cannot use.
CoreMember ReadMember(cbor::Reader& in);
std::vector<CoreMember> ReadMembers(cbor::Reader& in);
Record ReadRecord(cbor::Reader& in);
Ballot ReadBallot(cbor::Reader& in);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_RECORD_H_
