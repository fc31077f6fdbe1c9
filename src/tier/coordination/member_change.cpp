// Changes of membership by the primary, and the transfer of its place.
#include <algorithm>

#include "tier/coordination/member.h"

namespace shelflink::coordination {

bool Member::IsInvited(const CoreMember& member, net::Time now) const {
  if (member.disk.empty() || FindDisk(record().replicas, member.disk) != nullptr) return false;
  if (replica_.Joined(member.disk)) return false;
  std::vector<CoreMember> staying;
  for (const CoreMember& replica : record().replicas) {
    const bool stays =
        IsThere(replica.disk, now) && !Owes(replica.disk, now) && !Leaves(replica.disk, now);
    if (stays) staying.push_back(replica);
  }
  if (staying.size() >= most_replicas()) return false;
  std::vector<CoreMember> offered;
  for (const CoreMember& other : There(now, silent_after())) {
    if (FindDisk(record().replicas, other.disk) == nullptr) offered.push_back(other);
  }
  const auto invited = SpreadOverZones(staying, offered, most_replicas() - staying.size());
  return FindDisk(invited, member.disk) != nullptr;
}

bool Member::Owes(const std::string& disk, net::Time now) const {
  const auto since = replica_.Owing(disk);
  return since && now - std::max(*since, judge_from_) > silent_after();
}

std::vector<CoreMember> Member::Joining(net::Time now) const {
  std::vector<CoreMember> joining;
  if (!acting_) return joining;
  for (const CoreMember& other : There(now, silent_after())) {
    const bool is_replica = FindDisk(record().replicas, other.disk) != nullptr;
    if (!is_replica && replica_.Joined(other.disk)) joining.push_back(other);
  }
  return joining;
}

// Replicas that cannot be counted on, by how likely they still have everything when it is needed:
// those that leave but are there, silent ones, a silent primary, those whose disk is lost.
void Member::PutLikeliestFirst(std::vector<CoreMember>& replicas, net::Time now) const {
  const auto doubt = [&](const CoreMember& replica) {
    if (IsReplaced(replica)) return 3;
    if (IsThere(replica.disk, now)) return 0;
    return replica.disk == record().primary ? 2 : 1;
  };
  std::stable_sort(replicas.begin(), replicas.end(),
                   [&](const CoreMember& a, const CoreMember& b) { return doubt(a) < doubt(b); });
}

// Replicas of the record other than this one that are there to stay and have everything.
std::size_t Member::CountOthersWhole(net::Time now) const {
  const auto& replicas = record().replicas;
  const auto counts = [&](const CoreMember& replica) {
    return !IsSelf(replica.disk) && IsThere(replica.disk, now) && !Leaves(replica.disk, now) &&
           replica_.HasAll(replica.disk);
  };
  return static_cast<std::size_t>(std::count_if(replicas.begin(), replicas.end(), counts));
}

std::optional<Record> Member::Improved(net::Time now) const {
  ReplicaCandidates situation;
  situation.min_count = least_replicas();
  situation.max_count = most_replicas();
  situation.responsive = {options_.self};
  situation.caught_up = Joining(now);
  for (const CoreMember& replica : record().replicas) {
    if (IsSelf(replica.disk)) continue;
    const bool there =
        IsThere(replica.disk, now) && !Owes(replica.disk, now) && !Leaves(replica.disk, now);
    (there ? situation.responsive : situation.silent).push_back(replica);
  }
  PutLikeliestFirst(situation.silent, now);
  Record next = record();
  ++next.epoch;
  next.primary = options_.self.disk;
  next.incarnation = options_.incarnation;
  next.replicas = ChooseReplicas(situation);
  // While one may only be late, the witnesses stay as they are.
  const std::vector<CoreMember> there = There(now, silent_after());
  const bool settled = there.size() == There(now, options_.lease * 3 / 2).size();
  if (settled) next.witnesses = ChooseWitnesses(record().witnesses, there, options_.failures);
  const bool refused = std::any_of(peers_.begin(), peers_.end(),
                                   [](const auto& item) { return item.second.refuses; });
  const bool unsettled = !offered_.empty() || refused;
  const bool same = SameMembers(next.replicas, record().replicas) &&
                    SameMembers(next.witnesses, record().witnesses);
  if (same && !unsettled) return std::nullopt;
  return next;
}

std::optional<net::Time> Member::NextSilence() const {
  std::optional<net::Time> next;
  const auto judge_since = [&](net::Time since) {
    const net::Time at = std::max(since, judge_from_) + silent_after() + net::Span(1);
    if (at <= reviewed_at_) return;  // Looked at again with each renewal.
    next = std::min(next.value_or(at), at);
  };
  for (const CoreMember& replica : record().replicas) {
    const Peer* const peer = FindPeer(replica.disk);
    if (IsSelf(replica.disk) || peer == nullptr || !peer->heard_at) continue;
    judge_since(*peer->heard_at);
    if (const auto owing_since = replica_.Owing(replica.disk)) judge_since(*owing_since);
  }
  return next;
}

void Member::Review(Step& step, MemberOutput& out) {
  if (!acting_ || proposal_) return;
  reviewed_at_ = step.now;
  if (review_at_ && step.now >= *review_at_) review_at_.reset();
  if (transferring_) {
    TryTransfer(step, out);
    return;
  }
  if (review_at_ || !HearsQuorum(step.now)) return;
  std::optional<Record> improved = Improved(step.now);
  if (improved) StartProposal(step, out, std::move(improved));
}

// ---- Handing the place over.

void Member::Transfer(Step& step, MemberOutput& out) {
  if (!acting_) {
    leaving_ = true;
    AskForRelease(step, out);
  } else if (!transferring_) {
    transferring_ = true;
    transfer_until_ = step.now + options_.lease * 4 / 5;
    Review(step, out);
  }
  Finish(step, out);
}

// The primary names others in its place, once these have everything. What no record names as a
// replica any more is held by enough others.
void Member::AskForRelease(const Step& step, MemberOutput& out) {
  if (FindDisk(record().replicas, options_.self.disk) == nullptr) {
    leaving_ = false;
    out.transferred = true;
  }
  ask_for_release_at_ = step.now + renew_every();
  if (const auto primary = primary_address()) Send(out, *primary, Leave{});
}

void Member::TryTransfer(Step& step, MemberOutput& out) {
  if (review_at_ && step.now < transfer_until_) return;
  std::optional<Record> record = TransferRecord(step.now);
  if (step.now >= transfer_until_ || !record) {
    transferring_ = false;
    out.transferred = false;
    return;
  }
  StartProposal(step, out, std::move(record));
}

std::optional<Record> Member::TransferRecord(net::Time now) const {
  const Peer* target = nullptr;
  for (const CoreMember& replica : record().replicas) {
    const Peer* const peer = FindPeer(replica.disk);
    if (IsSelf(replica.disk) || peer == nullptr || !IsThere(replica.disk, now)) continue;
    if (Leaves(replica.disk, now)) continue;
    if (target == nullptr || !replica_.HasAll(target->member.disk)) target = peer;
  }
  if (target == nullptr) return std::nullopt;
  Record next = record();
  ++next.epoch;
  next.primary = target->member.disk;
  next.incarnation = target->incarnation;
  std::vector<CoreMember> others;
  for (const CoreMember& replica : next.replicas) {
    if (!IsSelf(replica.disk)) others.push_back(replica);
  }
  if (CountOthersWhole(now) >= least_replicas()) next.replicas = std::move(others);
  return next;
}

}  // namespace shelflink::coordination
