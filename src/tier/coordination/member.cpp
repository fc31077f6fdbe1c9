// Start, events and messages of a member; the other member_*.cpp hold what it decides.
#include "tier/coordination/member.h"

#include <algorithm>

namespace shelflink::coordination {

Member::Member(Options options, const storage::Storage& storage, net::Time now)
    : options_(std::move(options)),
      witness_({options_.self, options_.lease}, storage, now),
      replica_({.disk = options_.self.disk,
                .prefix = options_.prefix,
                .least_replicas = options_.failures + 1,
                .resend = options_.lease * 3 / 10,
                .catch_up_patience = options_.lease,
                .link_bytes_per_second = options_.link_bytes_per_second,
                .told = options_.told},
               storage),
      random_(options_.incarnation | 1U) {}

void Member::Start(Step& step, MemberOutput& out) {
  if (has_disk() && options_.found && record().epoch == 0 && !witness_.is_founder()) {
    std::vector<CoreMember> seeds;
    for (const net::Address& seed : options_.seeds) seeds.push_back({"", "", "", seed});
    witness_.Bootstrap(step, std::move(seeds));
    replica_.Found(step);
  }
  if (options_.after_failure) place_lost_at_ = step.now;
  AwaitPrimary(step.now);
  hello_at_ = step.now;
  if (record().epoch > 0) {
    ReplicaOutput replica_out;
    replica_.Assign(step, replica_out,
                    {record().epoch, record().primary, DisksOf(record().replicas)}, false);
    // Its own lease cannot stand in its way; a newer record may be told first.
    const bool was_primary = IsSelf(record().primary);
    if (was_primary && !options_.after_failure) election_at_ = step.now + options_.lease / 20;
  } else {
    const auto& seeds = options_.seeds;
    const auto place = std::find(seeds.begin(), seeds.end(), options_.self.address) - seeds.begin();
    election_at_ = step.now + options_.lease * 4 / 5 + options_.lease * 7 / 10 * place;
  }
  out.reset = replica_.complete() && !replica_.reset_due();
  Finish(step, out);
}

net::Span Member::Jitter(net::Span most) {
  random_ += 0x9e3779b97f4a7c15;  // SplitMix64.
  std::uint64_t bits = random_;
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111eb;
  bits ^= bits >> 31U;
  return net::Span(
      static_cast<net::Span::rep>(bits % (static_cast<std::uint64_t>(most.count()) + 1)));
}

// ---- Events.

void Member::OnMessage(Step& step, MemberOutput& out, const Sender& from, const Message& message) {
  Dispatch(step, out, from, message);
  Finish(step, out);
}

void Member::OnSynced(Step& step, MemberOutput& out, Ticket ticket) {
  last_synced_ = std::max(last_synced_, ticket);
  unsynced_since_ = step.now;
  while (!held_.empty() && held_.front().ticket <= ticket) {
    Send(out, held_.front().to, std::move(held_.front().message));
    held_.pop_front();
  }
  ReplicaOutput replica_out;
  replica_.OnSynced(step, replica_out, ticket);
  Take(out, std::move(replica_out));
  Finish(step, out);
}

void Member::OnTimer(Step& step, MemberOutput& out) {
  // A process that stood still has not listened: silence counts from now on.
  if (step.now - deadline() > options_.lease / 4) judge_from_ = step.now;
  if (proposal_ && step.now >= proposal_->ends_at) GiveUp(step);
  if (proposal_ && proposal_->choose_at && step.now >= *proposal_->choose_at) {
    AdvanceProposal(step, out);
  }
  if (proposal_ && step.now >= proposal_->resend_at) SendProposal(step, out);
  if (leaving_ && step.now >= ask_for_release_at_) AskForRelease(step, out);
  if (acting_) {
    if (step.now >= renew_at_) {
      SendRenewals(step, out);
      ReplicaOutput replica_out;
      replica_.OnTimer(step, replica_out);
      Take(out, std::move(replica_out));
    }
    Review(step, out);
  } else {
    if (step.now >= hello_at_) {
      SayHello(out, false);
      hello_at_ = step.now + options_.lease / (record().epoch == 0 ? 5 : 2);
    }
    if (!proposal_ && MayCampaign() && step.now >= election_at_) {
      StartProposal(step, out, std::nullopt);
    }
  }
  Finish(step, out);
}

net::Time Member::deadline() const {
  net::Time at = net::Time::max();
  if (proposal_) {
    at = std::min(proposal_->ends_at, proposal_->resend_at);
    if (proposal_->choose_at) at = std::min(at, *proposal_->choose_at);
  }
  if (leaving_) at = std::min(at, ask_for_release_at_);
  if (!acting_) {
    at = std::min(at, hello_at_);
    if (!proposal_ && MayCampaign()) at = std::min(at, election_at_);
    return at;
  }
  at = std::min(at, renew_at_);
  if (review_at_ && !proposal_) at = std::min(at, *review_at_);
  if (const auto silence = NextSilence(); silence && !proposal_) at = std::min(at, *silence);
  if (told_role_.primary) at = std::min(at, LeaseUntil());
  return at;
}

void Member::Finish(Step& step, MemberOutput& out) {
  while (!to_self_.empty()) {
    const Message message = std::move(to_self_.front());
    to_self_.pop_front();
    Dispatch(step, out, {options_.self, options_.incarnation}, message);
  }
  if (step.wants_sync) {
    if (last_wanted_ <= last_synced_) unsynced_since_ = step.now;
    last_wanted_ = std::max(last_wanted_, step.ticket);
  }
  UpdateRole(step.now, out);
}

void Member::Dispatch(Step& step, MemberOutput& out, const Sender& from, const Message& message) {
  Peer& peer = PeerOf(from.member);
  if (peer.incarnation != from.incarnation) {
    peer.leaves_until.reset();
    replica_.TellAgain(from.member.disk);
  }
  peer.incarnation = from.incarnation;
  // One that comes or returns hears of its primary at once.
  const bool returns = !peer.heard_at || step.now - *peer.heard_at > options_.lease;
  if (acting_ && !renewals_paused_ && returns) renew_at_ = step.now;
  peer.heard_at = step.now;
  if (const auto replicated = AsReplicaMessage(message)) {
    ReplicaOutput replica_out;
    replica_.OnMessage(step, replica_out, from.member.disk, *replicated);
    Take(out, std::move(replica_out));
    if (!Joining(step.now).empty()) review_at_ = step.now;
  } else {
    std::visit(
        [&](const auto& one) {
          if constexpr (!std::is_constructible_v<ReplicaMessage, decltype(one)>) {
            On(step, out, from, one);
          }
        },
        message);
  }
  if (acting_ && renewals_paused_ && HearsQuorum(step.now) && !DiskStalls(step.now)) {
    renew_at_ = step.now;
  }
}

void Member::Send(MemberOutput& out, const net::Address& to, Message message) {
  if (to == options_.self.address) {
    to_self_.push_back(std::move(message));
  } else {
    out.messages.emplace_back(to, std::move(message));
  }
}

void Member::SendDurable(Step& step, MemberOutput& out, const net::Address& to, Message message) {
  if (!has_disk()) return;  // Nothing is durable, so nobody may count it.
  const Ticket wanted = step.wants_sync ? step.ticket : last_wanted_;
  if (wanted <= last_synced_) {
    Send(out, to, std::move(message));
  } else {
    held_.push_back({wanted, to, std::move(message)});
  }
}

void Member::Take(MemberOutput& out, ReplicaOutput replica_out) {
  for (auto& [disk, message] : replica_out.messages) {
    if (const auto address = AddressOf(disk)) Send(out, *address, AsMessage(std::move(message)));
  }
  out.reset = out.reset || replica_out.reset;
  std::move(replica_out.committed.begin(), replica_out.committed.end(),
            std::back_inserter(out.committed));
}

Result<Position> Member::Propose(Step& step, MemberOutput& out, std::vector<Write> writes) {
  if (!acting_ || transferring_) return MakeError(ErrorCode::kUnavailable, "not the primary");
  ReplicaOutput replica_out;
  auto position = replica_.Propose(step, replica_out, std::move(writes));
  Take(out, std::move(replica_out));
  Finish(step, out);
  return position;
}

void Member::Fingerprint(cbor::Writer& out, net::Time now) const {
  const auto left = [&](net::Time at) {
    out.Int(at == net::Time::max() ? -1 : (at - now).count());
  };
  witness_.Fingerprint(out, now);
  replica_.Fingerprint(out, now);
  for (const auto& [address, peer] : peers_) {
    out.Text(address).Text(peer.member.disk).Uint(peer.incarnation);
    out.Bool(peer.refuses).Bool(peer.fresh).Bool(peer.leaves_until.has_value());
    out.Bool(Heard(peer, now, silent_after()));
    left(peer.lease_until.value_or(net::Time::max()));
  }
  out.Uint(held_.size())
      .Uint(round_)
      .Bool(acting_)
      .Bool(relinquished_)
      .Bool(transferring_)
      .Bool(leaving_);
  out.Uint(offered_.size()).Bool(told_role_.primary).Uint(told_role_.epoch);
  left(deadline());
  if (proposal_) proposal_->proposer.Fingerprint(out);
}

}  // namespace shelflink::coordination
