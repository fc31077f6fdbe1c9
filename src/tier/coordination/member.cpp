#include "tier/coordination/member.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {

// Clocks of two machines may run apart by this share; the primary counts its lease shorter by it.
constexpr int kLeaseSafetyPercent = 5;
constexpr int kForgetAfterLeases = 5;  // Others that are no members are no longer written to.

net::Time TimeOfToken(std::uint64_t token) {
  return net::Time(net::Span(static_cast<net::Span::rep>(token)));
}
std::uint64_t TokenOf(net::Time time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

std::vector<std::string> DisksOf(const std::vector<CoreMember>& members) {
  std::vector<std::string> disks;
  disks.reserve(members.size());
  for (const CoreMember& member : members) disks.push_back(member.disk);
  return disks;
}

}  // namespace

Member::Member(Options options, const storage::Storage& storage, net::Time now)
    : options_(std::move(options)),
      witness_({options_.self, options_.lease}, storage, now),
      replica_({.disk = options_.self.disk,
                .prefix = options_.prefix,
                .least_replicas = options_.failures + 1,
                .resend = options_.lease * 3 / 10,
                .catch_up_patience = options_.lease},
               storage),
      random_(options_.incarnation | 1U) {}

void Member::Start(Step& step, MemberOutput& out) {
  if (has_disk() && options_.found && record().number == 0 && !witness_.founder()) {
    std::vector<CoreMember> seeds;
    for (const net::Address& seed : options_.seeds) seeds.push_back({"", "", "", seed});
    witness_.Found(step, std::move(seeds));
    replica_.Found(step);
  }
  AwaitPrimary(step.now);
  hello_at_ = step.now;
  if (record().number > 0) {
    ReplicaOutput replica_out;
    replica_.Assign(step, replica_out,
                    {record().number, record().primary, DisksOf(record().replicas)}, false);
    // Its own lease cannot stand in its way; a newer record may be told first.
    if (IsSelf(record().primary)) election_at_ = step.now + options_.lease / 20;
  } else {
    const auto& seeds = options_.seeds;
    const auto place = std::find(seeds.begin(), seeds.end(), options_.self.address) - seeds.begin();
    election_at_ = step.now + options_.lease * 4 / 5 + options_.lease * 7 / 10 * place;
  }
  out.reset = replica_.complete();
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
      hello_at_ = step.now + options_.lease / (record().number == 0 ? 5 : 2);
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
  if (acting_ && renewals_paused_ && HearsMajority(step.now) && !DiskStalls(step.now)) {
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

// ---- Who is there.

Member::Peer& Member::PeerOf(const CoreMember& member) {
  Peer& peer = peers_[member.address.Text()];
  if (peer.member.disk != member.disk) peer = Peer{};
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
  const bool fresh = has_disk() && record().number == 0 && witness_.founder();
  for (const net::Address& address : to) Send(out, address, Hello{record().number, fresh, answer});
}

void Member::On(Step&, MemberOutput& out, const Sender& from, const Hello& message) {
  PeerOf(from.member).fresh = message.fresh;
  if (message.number < record().number) {
    Send(out, from.member.address, Decided{record()});
  } else if (message.answer || message.number > record().number) {
    Send(out, from.member.address, Hello{record().number, false, false});
  }
}

void Member::On(Step& step, MemberOutput&, const Sender& from, const Leave&) {
  PeerOf(from.member).leaves_until = step.now + options_.lease * kForgetAfterLeases;
  review_at_ = step.now;
}

// ---- Deciding records.

void Member::On(Step& step, MemberOutput& out, const Sender& from, const Prepare& message) {
  Adopt(step, out, message.base);
  if (message.base.number < record().number) {
    Send(out, from.member.address, Decided{record()});
    return;
  }
  round_ = std::max(round_, message.ballot.round);
  SendDurable(step, out, from.member.address, witness_.OnPrepare(step, message));
}

void Member::On(Step& step, MemberOutput& out, const Sender& from, const Accept& message) {
  Adopt(step, out, message.base);
  if (message.base.number < record().number) {
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
  if (record().number > 0) return FindDisk(record().replicas, options_.self.disk) != nullptr;
  return witness_.founder() && IsWitnessOf(record(), options_.self);
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
    if (!proposer.Answered(witness)) to.insert(witness.address);
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
  const bool election = !proposal_->planned && !proposal_->proposer.found();
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
  if (!own) own = record().number == 0 ? FoundingRecord(step.now) : ElectionRecord(step.now);
  // Since it was planned, others may have come and gone.
  if (acting_ && !transferring_) own = Improved(step.now);
  if (!own && !proposer.found()) {
    GiveUp(step);
    return;
  }
  proposer.Propose(own ? *own : *proposer.found());
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
  const auto lease_left = std::chrono::milliseconds(proposer.lease_left_ms());
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
  founding.number = 1;
  founding.primary = options_.self.disk;
  founding.incarnation = options_.incarnation;
  founding.replicas = {options_.self};
  founding.replicas.insert(founding.replicas.end(), spread.begin(), spread.end());
  if (founding.replicas.size() < least_replicas()) return std::nullopt;
  others.insert(others.begin(), options_.self);
  founding.witnesses = ChooseWitnesses({}, others);
  return founding;
}

std::optional<Record> Member::ElectionRecord(net::Time now) const {
  ReplicaSituation situation;
  situation.least = least_replicas();
  situation.most = std::max(most_replicas(), record().replicas.size());
  situation.staying = {options_.self};
  std::optional<CoreMember> former;
  for (const CoreMember& replica : record().replicas) {
    if (IsSelf(replica.disk)) continue;
    if (IsThere(replica.disk, now)) {
      situation.staying.push_back(replica);
    } else if (replica.disk == record().primary) {
      former = replica;
    } else {
      situation.silent.push_back(replica);
    }
  }
  if (former) situation.silent.push_back(*former);
  Record next = record();
  ++next.number;
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
  replica_.Assign(step, replica_out, {record.number, record.primary, DisksOf(record.replicas)},
                  acting_);
  Take(out, std::move(replica_out));
  AwaitPrimary(step.now);
  if (transferring_ && !acting_) {
    transferring_ = false;
    out.transferred = true;
    if (const auto primary = primary_address()) Send(out, *primary, Leave{});
  }
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

// ---- As primary.

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
  if (told_role_.primary && told_role_.epoch == record().number) return;
  told_role_ = {true, record().number};
  out.roles.push_back(told_role_);
}

bool Member::HearsMajority(net::Time now) const {
  std::size_t heard = 0;
  for (const CoreMember& witness : record().witnesses) {
    if (IsThere(witness.disk, now)) ++heard;
  }
  return heard >= Majority(record());
}

bool Member::DiskStalls(net::Time now) const {
  return last_wanted_ > last_synced_ &&
         now - std::max(unsynced_since_, judge_from_) > silent_after();
}

void Member::SendRenewals(Step& step, MemberOutput& out) {
  renew_at_ = step.now + renew_every();
  // One that hears nobody or cannot store must not keep others from an election by what it sends.
  renewals_paused_ = !HearsMajority(step.now) || DiskStalls(step.now);
  if (renewals_paused_) {
    SayHello(out, true);
    return;
  }
  const std::vector<CoreMember> members = MembersOf(record());
  Renew renew;
  renew.number = record().number;
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

bool Member::IsInvited(const CoreMember& member, net::Time now) const {
  if (member.disk.empty() || FindDisk(record().replicas, member.disk) != nullptr) return false;
  if (replica_.Joined(member.disk)) return false;
  std::vector<CoreMember> staying;
  for (const CoreMember& replica : record().replicas) {
    if (IsThere(replica.disk, now) && !Owes(replica.disk, now)) staying.push_back(replica);
  }
  if (staying.size() >= most_replicas()) return false;
  std::vector<CoreMember> offered;
  for (const CoreMember& other : There(now, silent_after())) {
    if (FindDisk(record().replicas, other.disk) == nullptr) offered.push_back(other);
  }
  const auto invited = SpreadOverZones(staying, offered, most_replicas() - staying.size());
  return FindDisk(invited, member.disk) != nullptr;
}

void Member::On(Step& step, MemberOutput& out, const Sender& from, const Renew& message) {
  if (message.number < record().number) {
    Send(out, from.member.address, Decided{record()});
    return;
  }
  RenewReply reply;
  reply.number = record().number;
  reply.token = message.token;
  const bool by_primary = message.number == record().number &&
                          from.member.disk == record().primary &&
                          from.incarnation == record().incarnation;
  if (by_primary) {
    reply.granted = has_disk() && witness_.Grant(step.now, from.member.disk, message.number);
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
  if (message.number < record().number) {
    Send(out, from.member.address, Decided{record()});
    renew_at_ = step.now;
    return;
  }
  if (message.number != record().number) return;
  const net::Time sent_at = TimeOfToken(message.token);
  if (sent_at > step.now) return;
  Peer& peer = PeerOf(from.member);
  peer.refuses = !message.granted && FindDisk(record().witnesses, from.member.disk) != nullptr;
  if (peer.refuses) review_at_ = step.now;
  if (!message.granted) return;
  const net::Time until = sent_at + options_.lease * (100 - kLeaseSafetyPercent) / 100;
  peer.lease_until = std::max(peer.lease_until.value_or(until), until);
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

std::optional<Record> Member::Improved(net::Time now) const {
  ReplicaSituation situation;
  situation.least = least_replicas();
  situation.most = most_replicas();
  situation.staying = {options_.self};
  situation.joining = Joining(now);
  for (const CoreMember& replica : record().replicas) {
    if (IsSelf(replica.disk)) continue;
    const bool there =
        IsThere(replica.disk, now) && !Owes(replica.disk, now) && !Leaves(replica.disk, now);
    (there ? situation.staying : situation.silent).push_back(replica);
  }
  Record next = record();
  ++next.number;
  next.primary = options_.self.disk;
  next.incarnation = options_.incarnation;
  next.replicas = ChooseReplicas(situation);
  // While one may only be late, the witnesses stay as they are.
  const std::vector<CoreMember> there = There(now, silent_after());
  const bool settled = there.size() == There(now, options_.lease * 3 / 2).size();
  if (settled) next.witnesses = ChooseWitnesses(record().witnesses, there);
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
  for (const CoreMember& replica : record().replicas) {
    const Peer* const peer = FindPeer(replica.disk);
    if (IsSelf(replica.disk) || peer == nullptr || !peer->heard_at) continue;
    const net::Time at = std::max(*peer->heard_at, judge_from_) + silent_after() + net::Span(1);
    if (at <= reviewed_at_) continue;  // Looked at again with each renewal.
    next = std::min(next.value_or(at), at);
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
  if (review_at_ || !HearsMajority(step.now)) return;
  std::optional<Record> improved = Improved(step.now);
  if (improved) StartProposal(step, out, std::move(improved));
}

// ---- Handing the place over.

void Member::Transfer(Step& step, MemberOutput& out) {
  if (!acting_) {
    if (const auto primary = primary_address()) Send(out, *primary, Leave{});
    out.transferred = true;
  } else if (!transferring_) {
    transferring_ = true;
    transfer_until_ = step.now + options_.lease * 4 / 5;
    Review(step, out);
  }
  Finish(step, out);
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
    if (target == nullptr || !replica_.HasAll(target->member.disk)) target = peer;
  }
  if (target == nullptr) return std::nullopt;
  Record next = record();
  ++next.number;
  next.primary = target->member.disk;
  next.incarnation = target->incarnation;
  std::vector<CoreMember> others;
  for (const CoreMember& replica : next.replicas) {
    if (!IsSelf(replica.disk)) others.push_back(replica);
  }
  if (others.size() >= least_replicas()) next.replicas = std::move(others);
  return next;
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
  out.Uint(held_.size()).Uint(round_).Bool(acting_).Bool(relinquished_).Bool(transferring_);
  out.Uint(offered_.size()).Bool(told_role_.primary).Uint(told_role_.epoch);
  left(deadline());
  if (proposal_) proposal_->proposer.Fingerprint(out);
}

}  // namespace shelflink::coordination
