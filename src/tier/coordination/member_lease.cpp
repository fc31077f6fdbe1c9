// The primary's lease: renewals, their answers and the role that rests on them.
#include <algorithm>

#include "tier/coordination/member.h"

namespace shelflink::coordination {

namespace {

// Clocks of two machines may run apart by this share; the primary counts its lease shorter by it.
constexpr int kLeaseSafetyPercent = 5;

net::Time TimeOfToken(std::uint64_t token) {
  return net::Time(net::Span(static_cast<net::Span::rep>(token)));
}
std::uint64_t TokenOf(net::Time time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

}  // namespace

net::Time Member::LeaseUntil(const std::vector<CoreMember>& witnesses) const {
  std::vector<net::Time> until;
  for (const CoreMember& witness : witnesses) {
    const Peer* const peer = FindPeer(witness.disk);
    until.push_back(peer != nullptr && peer->lease_until ? *peer->lease_until : net::Time{});
  }
  if (until.empty()) return {};
  const std::size_t majority = until.size() / 2 + 1;
  std::sort(until.begin(), until.end(), std::greater<>());
  return until[majority - 1];
}

net::Time Member::LeaseUntil() const {
  net::Time until = LeaseUntil(record().witnesses);
  for (const Record& offered : offered_) {
    until = std::min(until, LeaseUntil(offered.witnesses));
  }
  return until;
}

bool Member::HasLease(net::Time now) const {
  return acting_ && !relinquished_ && now < LeaseUntil();
}

void Member::UpdateRole(net::Time now, MemberOutput& out) {
  if (!HasLease(now)) {
    if (!told_role_.primary) return;
    told_role_.primary = false;
    out.roles.push_back(told_role_);
    return;
  }
  if (!replica_.Serving()) return;
  if (told_role_.primary && told_role_.epoch == record().epoch) return;
  told_role_ = {true, record().epoch};
  out.roles.push_back(told_role_);
}

bool Member::HearsQuorum(net::Time now) const {
  std::size_t heard = 0;
  std::size_t gone = 0;
  for (const CoreMember& witness : record().witnesses) {
    if (IsThere(witness.disk, now)) {
      ++heard;
    } else if (IsReplaced(witness)) {
      ++gone;
    }
  }
  return IsQuorum(record(), heard, gone);
}

bool Member::DiskStalls(net::Time now) const {
  return last_wanted_ > last_synced_ &&
         now - std::max(unsynced_since_, judge_from_) > silent_after();
}

void Member::SendRenewals(Step& step, MemberOutput& out) {
  renew_at_ = step.now + renew_every();
  // One that hears nobody or cannot store must not keep others from an election by what it sends.
  renewals_paused_ = !HearsQuorum(step.now) || DiskStalls(step.now);
  if (renewals_paused_) {
    SayHello(out, true);
    return;
  }
  const std::vector<CoreMember> members = MembersOf(record());
  Renew renew;
  renew.epoch = record().epoch;
  renew.token = TokenOf(step.now);
  for (const net::Address& address : OthersKnown()) {
    const auto found = peers_.find(address.Text());
    const Peer* const peer = found == peers_.end() ? nullptr : &found->second;
    const bool is_member = std::any_of(members.begin(), members.end(), [&](const CoreMember& one) {
      return one.address == address;
    });
    const bool lately =
        peer != nullptr && Heard(*peer, step.now, options_.lease * kForgetAfterLeases);
    if (!is_member && !lately) continue;
    renew.invite = peer != nullptr && IsInvited(peer->member, step.now);
    Send(out, address, renew);
  }
  renew.invite = false;
  Send(out, options_.self.address, renew);
}

void Member::On(Step& step, MemberOutput& out, const Sender& from, const Renew& message) {
  if (message.epoch < record().epoch) {
    Send(out, from.member.address, Decided{record()});
    return;
  }
  RenewReply reply;
  reply.epoch = record().epoch;
  reply.token = message.token;
  const bool by_primary = message.epoch == record().epoch && from.member.disk == record().primary &&
                          from.incarnation == record().incarnation;
  if (by_primary) {
    reply.granted = has_disk() && witness_.GrantLease(step.now, from.member.disk, message.epoch);
    if (!acting_) AwaitPrimary(step.now);
    if (message.invite && has_disk()) {
      ReplicaOutput replica_out;
      replica_.CatchUp(step, replica_out);
      Take(out, std::move(replica_out));
    }
  }
  Send(out, from.member.address, reply);
}

void Member::On(Step& step, MemberOutput& out, const Sender& from, const RenewReply& message) {
  if (!acting_) return;
  if (message.epoch < record().epoch) {
    Send(out, from.member.address, Decided{record()});
    renew_at_ = step.now;
    return;
  }
  if (message.epoch != record().epoch) return;
  const net::Time sent_at = TimeOfToken(message.token);
  if (sent_at > step.now) return;
  Peer& peer = PeerOf(from.member);
  peer.refuses = !message.granted && FindDisk(record().witnesses, from.member.disk) != nullptr;
  if (peer.refuses) review_at_ = step.now;
  if (!message.granted) return;
  const net::Time until = sent_at + options_.lease * (100 - kLeaseSafetyPercent) / 100;
  peer.lease_until = std::max(peer.lease_until.value_or(until), until);
}

}  // namespace shelflink::coordination
