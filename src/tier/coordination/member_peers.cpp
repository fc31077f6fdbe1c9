// What a member knows of the others: who has been heard of, and when.
#include <algorithm>

#include "tier/coordination/member.h"

namespace shelflink::coordination {

Member::Peer& Member::PeerOf(const CoreMember& member) {
  Peer& peer = peers_[member.address.Text()];
  if (peer.member.disk != member.disk) {
    Peer next;
    const bool had_disk = !peer.member.disk.empty();
    next.former_disk = had_disk ? peer.member.disk : peer.former_disk;
    next.former_heard_at = had_disk ? peer.heard_at : peer.former_heard_at;
    peer = std::move(next);
  }
  peer.member = member;
  return peer;
}

const Member::Peer* Member::FindPeer(const std::string& disk) const {
  for (const auto& [address, peer] : peers_) {
    if (peer.member.disk == disk) return &peer;
  }
  return nullptr;
}

std::optional<net::Address> Member::AddressOf(const std::string& disk) const {
  if (const Peer* const peer = FindPeer(disk)) return peer->member.address;
  const std::vector<CoreMember> members = MembersOf(record());
  if (const CoreMember* const member = FindDisk(members, disk)) return member->address;
  return std::nullopt;
}

bool Member::Heard(const Peer& peer, net::Time now, net::Span within) const {
  return peer.heard_at && now - std::max(*peer.heard_at, judge_from_) <= within;
}

bool Member::IsThere(const std::string& disk, net::Time now) const {
  if (IsSelf(disk)) return true;
  const Peer* const peer = FindPeer(disk);
  return peer != nullptr && Heard(*peer, now, silent_after());
}

bool Member::IsReplaced(const CoreMember& member) const {
  const auto found = peers_.find(member.address.Text());
  if (found == peers_.end() || FindPeer(member.disk) != nullptr) return false;
  return !found->second.member.disk.empty() && found->second.member.disk != member.disk;
}

MemberStatus Member::StandingOf(const CoreMember& member, net::Time now) const {
  MemberStatus standing;
  standing.member = member;
  standing.is_replica = FindDisk(record().replicas, member.disk) != nullptr;
  standing.is_witness = FindDisk(record().witnesses, member.disk) != nullptr;
  if (IsSelf(member.disk)) {
    standing.disk_state = DiskState::kTakesWrites;
    standing.heard_at = now;
    return standing;
  }
  if (const Peer* const peer = FindPeer(member.disk)) {
    const bool there = Heard(*peer, now, silent_after());
    standing.disk_state = there ? DiskState::kTakesWrites : DiskState::kSilent;
    standing.heard_at = peer->heard_at;
    return standing;
  }
  const auto found = peers_.find(member.address.Text());
  if (found == peers_.end()) return standing;
  const Peer& in_place = found->second;
  if (in_place.former_disk == member.disk) standing.heard_at = in_place.former_heard_at;
  if (!in_place.member.disk.empty()) {
    standing.disk_state = DiskState::kReplaced;
  } else if (Heard(in_place, now, silent_after())) {
    standing.disk_state = DiskState::kRefusesWrites;
  }
  return standing;
}

std::size_t Member::responsive_replicas(net::Time now) const {
  const auto& replicas = record().replicas;
  return static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(),
                    [&](const CoreMember& replica) { return IsThere(replica.disk, now); }));
}

ReplicationStatus Member::replication_status(net::Time now) const {
  ReplicationStatus copies;
  copies.wanted = least_replicas();
  for (const CoreMember& member : MembersOf(record())) {
    copies.members.push_back(StandingOf(member, now));
  }
  copies.bytes_copied = replica_.copied_bytes();
  for (const LearnerProgress& learner : replica_.learners()) {
    if (!learner.bytes_left) continue;
    copies.bytes_left =
        std::min(copies.bytes_left.value_or(*learner.bytes_left), *learner.bytes_left);
  }
  return copies;
}

bool Member::Leaves(const std::string& disk, net::Time now) const {
  const Peer* const peer = FindPeer(disk);
  return peer != nullptr && peer->leaves_until && now < *peer->leaves_until;
}

std::vector<CoreMember> Member::There(net::Time now, net::Span within) const {
  std::vector<CoreMember> members{options_.self};
  for (const auto& [address, peer] : peers_) {
    const bool leaves = peer.leaves_until && now < *peer.leaves_until;
    const bool counts = !peer.member.disk.empty() && !IsSelf(peer.member.disk) && !leaves;
    if (counts && Heard(peer, now, within)) members.push_back(peer.member);
  }
  return members;
}

std::set<net::Address> Member::OthersKnown() const {
  std::set<net::Address> known;
  for (const CoreMember& member : MembersOf(record())) known.insert(member.address);
  for (const auto& [address, peer] : peers_) known.insert(peer.member.address);
  known.erase(options_.self.address);
  return known;
}

std::optional<net::Address> Member::primary_address() const {
  const CoreMember* const primary = FindDisk(record().replicas, record().primary);
  if (primary == nullptr) return std::nullopt;
  return primary->address;
}

void Member::SayHello(MemberOutput& out, bool answer) {
  std::set<net::Address> to = OthersKnown();
  to.insert(options_.seeds.begin(), options_.seeds.end());
  to.erase(options_.self.address);
  const bool fresh = has_disk() && record().epoch == 0 && witness_.is_founder();
  for (const net::Address& address : to) Send(out, address, Hello{record().epoch, fresh, answer});
}

void Member::On(Step&, MemberOutput& out, const Sender& from, const Hello& message) {
  PeerOf(from.member).fresh = message.fresh;
  if (message.epoch < record().epoch) {
    Send(out, from.member.address, Decided{record()});
  } else if (message.wants_reply || message.epoch > record().epoch) {
    Send(out, from.member.address, Hello{record().epoch, false, false});
  }
}

void Member::On(Step& step, MemberOutput&, const Sender& from, const Leave&) {
  PeerOf(from.member).leaves_until = step.now + options_.lease * kForgetAfterLeases;
  review_at_ = step.now;
}

}  // namespace shelflink::coordination
