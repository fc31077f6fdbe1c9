// Elections, and how a member gets a record decided.
#include <algorithm>

#include "tier/coordination/member.h"

namespace shelflink::coordination {

void Member::On(Step& step, MemberOutput& out, const Sender& from, const Prepare& message) {
  Adopt(step, out, message.base);
  if (message.base.epoch < record().epoch) {
    Send(out, from.member.address, Decided{record()});
    return;
  }
  round_ = std::max(round_, message.ballot.round);
  SendDurable(step, out, from.member.address, witness_.OnPrepare(step, message));
}

void Member::On(Step& step, MemberOutput& out, const Sender& from, const Accept& message) {
  Adopt(step, out, message.base);
  if (message.base.epoch < record().epoch) {
    Send(out, from.member.address, Decided{record()});
    return;
  }
  round_ = std::max(round_, message.ballot.round);
  SendDurable(step, out, from.member.address, witness_.OnAccept(step, message));
}

void Member::On(Step& step, MemberOutput& out, const Sender& from, const PrepareReply& message) {
  if (!proposal_) return;
  proposal_->proposer.OnReply(from.member, message);
  AdvanceProposal(step, out);
}

void Member::On(Step& step, MemberOutput& out, const Sender& from, const AcceptReply& message) {
  if (!proposal_) return;
  proposal_->proposer.OnReply(from.member, message);
  AdvanceProposal(step, out);
}

void Member::On(Step& step, MemberOutput& out, const Sender&, const Decided& message) {
  Adopt(step, out, message.record);
}

bool Member::MayCampaign() const {
  if (!has_disk() || acting_ || !replica_.complete()) return false;
  if (record().epoch > 0) return FindDisk(record().replicas, options_.self.disk) != nullptr;
  return witness_.is_founder() && IsWitnessOf(record(), options_.self);
}

std::size_t Member::Rank() const {
  std::size_t rank = 0;
  for (const CoreMember& replica : record().replicas) {
    if (IsSelf(replica.disk)) break;
    if (replica.disk != record().primary) ++rank;
  }
  return rank;
}

void Member::AwaitPrimary(net::Time now) {
  heard_primary_at_ = now;
  const auto rank = static_cast<int>(Rank());
  election_at_ = now + options_.lease + options_.lease / 8 * rank + Jitter(options_.lease / 10);
  const bool lately = place_lost_at_ && now - *place_lost_at_ < options_.reluctant;
  if (lately) election_at_ += options_.lease * 3 / 5;
  hello_at_ = now + options_.lease * 11 / 10;
}

void Member::StartProposal(Step& step, MemberOutput& out, std::optional<Record> planned) {
  ++round_;
  proposal_.emplace(Proposal{Proposer(record(), {round_, options_.self.disk, options_.incarnation}),
                             std::move(planned)});
  proposal_->ends_at = step.now + options_.lease * 3 / 5;
  SendProposal(step, out);
}

// To the witnesses that have not answered; the replicas tell by their answers that they are there.
void Member::SendProposal(Step& step, MemberOutput& out) {
  const Proposer& proposer = proposal_->proposer;
  proposal_->resend_at = step.now + options_.lease / 6;
  const bool preparing = proposer.phase() == Proposer::Phase::kPreparing ||
                         proposer.phase() == Proposer::Phase::kPrepared;
  std::set<net::Address> to;
  for (const CoreMember& witness : proposer.base().witnesses) {
    if (!proposer.HasReplied(witness)) to.insert(witness.address);
  }
  if (preparing) {
    for (const CoreMember& replica : proposer.base().replicas) to.insert(replica.address);
  }
  for (const net::Address& address : to) {
    if (preparing) {
      Send(out, address, proposer.MakePrepare());
    } else {
      Send(out, address, proposer.MakeAccept());
    }
  }
}

void Member::AdvanceProposal(Step& step, MemberOutput& out) {
  switch (proposal_->proposer.phase()) {
    case Proposer::Phase::kPreparing:
    case Proposer::Phase::kAccepting:
      return;
    case Proposer::Phase::kPrepared:
      break;
    case Proposer::Phase::kRefused:
      GiveUp(step);
      return;
    case Proposer::Phase::kDecided: {
      const Record before = record();
      const Record decided = proposal_->proposer.value();
      Adopt(step, out, decided);
      if (!acting_) Announce(out, before, decided);
      // Whoever it names may be gone: its own election does not wait for a whole lease.
      if (!acting_) election_at_ = std::min(election_at_, step.now + options_.lease / 4);
      return;
    }
  }
  const bool election = !proposal_->planned && !proposal_->proposer.earlier_value();
  if (!election) {
    ProposeValue(step, out);
    return;
  }
  const auto& replicas = record().replicas;
  const bool all_there = std::all_of(replicas.begin(), replicas.end(), [&](const CoreMember& one) {
    return one.disk == record().primary || IsThere(one.disk, step.now);
  });
  if (!proposal_->choose_at) proposal_->choose_at = step.now + options_.lease / 20;
  if (all_there || step.now >= *proposal_->choose_at) ProposeValue(step, out);
}

void Member::ProposeValue(Step& step, MemberOutput& out) {
  Proposer& proposer = proposal_->proposer;
  std::optional<Record> own = proposal_->planned;
  if (!own) own = record().epoch == 0 ? FoundingRecord(step.now) : ElectionRecord(step.now);
  // Since it was planned, others may have come and gone.
  if (acting_ && !transferring_) own = Improved(step.now);
  if (!own && !proposer.earlier_value()) {
    GiveUp(step);
    return;
  }
  proposer.Propose(own ? *own : *proposer.earlier_value());
  proposal_->choose_at.reset();
  if (acting_) {
    const Record& value = proposer.value();
    offered_.push_back(value);
    std::set<std::string> required;
    for (const Record& offered : offered_) {
      for (const CoreMember& replica : offered.replicas) {
        if (FindDisk(record().replicas, replica.disk) == nullptr) required.insert(replica.disk);
      }
    }
    replica_.Require(required);
    if (!IsSelf(value.primary) || value.incarnation != options_.incarnation) relinquished_ = true;
  }
  SendProposal(step, out);
}

void Member::GiveUp(const Step& step) {
  const Proposer& proposer = proposal_->proposer;
  round_ = std::max(round_, proposer.blocking().round);
  const auto lease_left = std::chrono::milliseconds(proposer.lease_remaining_ms());
  const net::Span pause = Jitter(options_.lease / 5);
  const auto rank = static_cast<int>(Rank());
  election_at_ = step.now + lease_left + options_.lease / 20 + options_.lease / 8 * rank + pause;
  review_at_ = step.now + options_.lease / 20 + pause;
  proposal_.reset();
}

std::optional<Record> Member::FoundingRecord(net::Time now) const {
  std::vector<CoreMember> others;
  for (const auto& [address, peer] : peers_) {
    const bool counts = peer.fresh && !IsSelf(peer.member.disk);
    if (counts && Heard(peer, now, options_.lease)) others.push_back(peer.member);
  }
  const auto spread = SpreadOverZones({options_.self}, others, most_replicas() - 1);
  Record founding;
  founding.epoch = 1;
  founding.primary = options_.self.disk;
  founding.incarnation = options_.incarnation;
  founding.replicas = {options_.self};
  founding.replicas.insert(founding.replicas.end(), spread.begin(), spread.end());
  if (founding.replicas.size() < least_replicas()) return std::nullopt;
  others.insert(others.begin(), options_.self);
  founding.witnesses = ChooseWitnesses({}, others, options_.failures);
  return founding;
}

std::optional<Record> Member::ElectionRecord(net::Time now) const {
  ReplicaCandidates situation;
  situation.min_count = least_replicas();
  situation.max_count = std::max(most_replicas(), record().replicas.size());
  situation.responsive = {options_.self};
  for (const CoreMember& replica : record().replicas) {
    if (IsSelf(replica.disk)) continue;
    (IsThere(replica.disk, now) ? situation.responsive : situation.silent).push_back(replica);
  }
  PutLikeliestFirst(situation.silent, now);
  Record next = record();
  ++next.epoch;
  next.primary = options_.self.disk;
  next.incarnation = options_.incarnation;
  next.replicas = ChooseReplicas(situation);
  return next;
}

bool Member::Adopt(Step& step, MemberOutput& out, const Record& record) {
  const Record before = this->record();
  if (!witness_.Learn(step, record)) return false;
  const bool acted = acting_;
  acting_ = IsSelf(record.primary) && record.incarnation == options_.incarnation;
  if (acted && !acting_) place_lost_at_ = step.now;
  relinquished_ = false;
  offered_.clear();
  proposal_.reset();
  for (auto& [address, peer] : peers_) {
    peer.refuses = false;
    // A promise to the primary outlasts its record only for as long as it stays the primary.
    if (!acted || !acting_) peer.lease_until.reset();
  }
  // Entries of an epoch that a replica does not know yet would be lost on it.
  if (acting_) Announce(out, before, record);
  ReplicaOutput replica_out;
  replica_.Assign(step, replica_out, {record.epoch, record.primary, DisksOf(record.replicas)},
                  acting_);
  Take(out, std::move(replica_out));
  AwaitPrimary(step.now);
  if (transferring_ && !acting_) {
    transferring_ = false;
    leaving_ = true;
  }
  if (leaving_ && acting_) {
    leaving_ = false;
    out.transferred = false;  // It has got the place, to be handed over first.
  }
  if (leaving_) AskForRelease(step, out);
  const std::vector<CoreMember> members = MembersOf(record);
  if (acting_) {
    renew_at_ = step.now;
    review_at_ = step.now;
  } else if (FindDisk(members, options_.self.disk) == nullptr) {
    hello_at_ = step.now;  // Its primary may not know of this member.
  } else if (IsSelf(record.primary)) {
    election_at_ = step.now;  // It names an earlier life of this disk.
  }
  return true;
}

void Member::Announce(MemberOutput& out, const Record& before, const Record& record) {
  std::set<net::Address> to = OthersKnown();
  for (const CoreMember& member : MembersOf(before)) to.insert(member.address);
  to.erase(options_.self.address);
  for (const net::Address& address : to) Send(out, address, Decided{record});
}

}  // namespace shelflink::coordination
