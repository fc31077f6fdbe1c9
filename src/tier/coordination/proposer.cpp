#include "tier/coordination/proposer.h"

#include <algorithm>

namespace shelflink::coordination {

bool Proposer::CountReply(const CoreMember& from, bool agreed, const Ballot& blocking,
                          std::uint64_t lease_remaining_ms) {
  if (!IsWitnessOf(base_, from) || !replied_.insert(Key(from)).second) return false;
  ++(agreed ? agreed_ : refused_);
  blocking_ = std::max(blocking_, blocking);
  lease_remaining_ms_ = std::max(lease_remaining_ms_, lease_remaining_ms);
  if (refused_ > base_.witnesses.size() - Majority(base_)) phase_ = Phase::kRefused;
  return true;
}

void Proposer::OnReply(const CoreMember& from, const PrepareReply& reply) {
  if (phase_ != Phase::kPreparing && phase_ != Phase::kPrepared) return;
  if (reply.epoch != base_.epoch + 1 || reply.ballot != ballot_) return;
  if (const CoreMember* const replaced = ReplacedWitness(base_, from)) {
    replaced_disks_.insert(replaced->disk);
  } else if (!CountReply(from, reply.promised, reply.blocking, reply.lease_remaining_ms) ||
             !reply.promised) {
    return;
  }
  if (reply.value && reply.accepted > earlier_ballot_) {
    earlier_ballot_ = reply.accepted;
    earlier_value_ = reply.value;
  }
  if (HasQuorum()) phase_ = Phase::kPrepared;
}

void Proposer::Propose(const Record& own) {
  if (phase_ != Phase::kPrepared) return;
  value_ = earlier_value_ ? *earlier_value_ : own;
  phase_ = Phase::kAccepting;
  replied_.clear();
  agreed_ = 0;
  refused_ = 0;
}

void Proposer::OnReply(const CoreMember& from, const AcceptReply& reply) {
  if (phase_ != Phase::kAccepting) return;
  if (reply.epoch != base_.epoch + 1 || reply.ballot != ballot_) return;
  if (!CountReply(from, reply.accepted, reply.blocking, reply.lease_remaining_ms)) return;
  if (HasQuorum()) phase_ = Phase::kDecided;
}

void Proposer::Fingerprint(cbor::Writer& out) const {
  out.Uint(base_.epoch).Uint(static_cast<std::uint64_t>(phase_));
  Put(out, ballot_);
  for (const std::string& key : replied_) out.Text(key);
  for (const std::string& disk : replaced_disks_) out.Text(disk);
  out.Uint(agreed_);
  Put(out, earlier_ballot_);
  if (phase_ >= Phase::kAccepting) Put(out, value_);
}

}  // namespace shelflink::coordination
