#include "tier/coordination/record.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {
constexpr std::size_t kMaxMembers = 64;

void WriteMembers(cbor::Writer& out, const std::vector<CoreMember>& members) {
  out.Array(members.size());
  for (const CoreMember& member : members) Put(out, member);
}

std::string NodeNames(const std::vector<CoreMember>& members) {
  std::string nodes;
  for (const CoreMember& member : members) nodes += " " + member.node;
  return nodes;
}
}  // namespace

const CoreMember* FindDisk(const std::vector<CoreMember>& members, std::string_view disk) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const CoreMember& member) { return member.disk == disk; });
  return found == members.end() ? nullptr : &*found;
}

bool SameMembers(const std::vector<CoreMember>& a, const std::vector<CoreMember>& b) {
  return a.size() == b.size() && std::all_of(a.begin(), a.end(), [&](const CoreMember& member) {
           return FindDisk(b, member.disk) != nullptr;
         });
}

bool IsWitnessOf(const Record& base, const CoreMember& member) {
  if (base.epoch > 0) return FindDisk(base.witnesses, member.disk) != nullptr;
  return std::any_of(base.witnesses.begin(), base.witnesses.end(),
                     [&](const CoreMember& seed) { return seed.address == member.address; });
}

std::size_t Majority(const Record& base) { return base.witnesses.size() / 2 + 1; }

bool IsQuorum(const Record& base, std::size_t agreed, std::size_t replaced) {
  if (agreed >= Majority(base)) return true;
  if (replaced >= Majority(base)) return false;  // They may have decided a record alone.
  return replaced > 0 && agreed + replaced >= base.witnesses.size();
}

const CoreMember* ReplacedWitness(const Record& base, const CoreMember& member) {
  if (base.epoch == 0 || member.disk.empty()) return nullptr;
  if (FindDisk(base.witnesses, member.disk) != nullptr) return nullptr;
  const auto found =
      std::find_if(base.witnesses.begin(), base.witnesses.end(),
                   [&](const CoreMember& witness) { return witness.address == member.address; });
  return found == base.witnesses.end() ? nullptr : &*found;
}

std::vector<CoreMember> MembersOf(const Record& record) {
  std::vector<CoreMember> members = record.replicas;
  for (const CoreMember& witness : record.witnesses) {
    if (record.epoch == 0 || FindDisk(members, witness.disk) == nullptr) {
      members.push_back(witness);
    }
  }
  return members;
}

std::vector<std::string> DisksOf(const std::vector<CoreMember>& members) {
  std::vector<std::string> disks;
  disks.reserve(members.size());
  for (const CoreMember& member : members) disks.push_back(member.disk);
  return disks;
}

std::string DescriptionOf(const Record& record) {
  const CoreMember* primary = FindDisk(record.replicas, record.primary);
  return "epoch " + std::to_string(record.epoch) + ", primary " +
         (primary == nullptr ? "none" : primary->node) + ", replicas" + NodeNames(record.replicas) +
         ", witnesses" + NodeNames(record.witnesses);
}

void Put(cbor::Writer& out, const CoreMember& member) {
  out.Array(4).Text(member.disk).Text(member.node).Text(member.zone).Text(member.address.Text());
}

CoreMember ReadMember(cbor::Reader& in) {
  CoreMember member;
  if (in.Array() < 4) in.Fail();
  member.disk = in.Text();
  member.node = in.Text();
  member.zone = in.Text();
  const auto address = net::Address::Parse(in.Text());
  if (address) {
    member.address = *address;
  } else {
    in.Fail();
  }
  return member;
}

std::vector<CoreMember> ReadMembers(cbor::Reader& in) {
  const std::size_t count = in.Array();
  if (count > kMaxMembers) in.Fail();
  std::vector<CoreMember> members;
  for (std::size_t i = 0; i < count && in.ok(); ++i) members.push_back(ReadMember(in));
  return members;
}

void Put(cbor::Writer& out, const Record& record) {
  out.Array(5).Uint(record.epoch).Text(record.primary).Uint(record.incarnation);
  WriteMembers(out, record.replicas);
  WriteMembers(out, record.witnesses);
}

Record ReadRecord(cbor::Reader& in) {
  Record record;
  if (in.Array() < 5) in.Fail();
  record.epoch = in.Uint();
  record.primary = in.Text();
  record.incarnation = in.Uint();
  record.replicas = ReadMembers(in);
  record.witnesses = ReadMembers(in);
  return record;
}

void Put(cbor::Writer& out, const Ballot& ballot) {
  out.Array(3).Uint(ballot.round).Text(ballot.disk).Uint(ballot.incarnation);
}

Ballot ReadBallot(cbor::Reader& in) {
  Ballot ballot;
  if (in.Array() < 3) in.Fail();
  ballot.round = in.Uint();
  ballot.disk = in.Text();
  ballot.incarnation = in.Uint();
  return ballot;
}

}  // namespace shelflink::coordination
