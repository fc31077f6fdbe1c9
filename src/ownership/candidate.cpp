#include "ownership/candidate.h"

#include <algorithm>

namespace ownership {
namespace {

constexpr int kRenewals = 3;       // Tries to renew within one time to live.
constexpr Micros kSteady = 10;     // Times to live after which a loss counts as the first.
constexpr int kMostDoublings = 3;  // Of the time for which one that lost the work yields it.

}  // namespace

Candidate::Candidate(Terms terms) : terms_(std::move(terms)), draws_(terms_.seed) {}

void Candidate::Start(Micros now) { Proceed(now); }

void Candidate::OnTimer(Micros now) {
  GiveUpLate(now);
  if (lease_ && now >= lease_until_) Drop(now);
  Proceed(now);
}

void Candidate::OnChanged(Micros now) {
  if (!mine_) look_at_ = now;
  Proceed(now);
}

void Candidate::Leave(Micros now) {
  leaving_ = true;
  claim_at_ = kNever;
  if (lease_) Send(now, Ask::kRelease);
  lease_.reset();
  mine_ = false;
}

bool Candidate::Owns(Micros now, Micros span) const {
  return mine_ && lease_ && now + span < lease_until_;
}

void Candidate::Send(Micros now, Ask ask) {
  out_.push_back({{++last_id_, ask, lease_.value_or(0), fence_}, now});
  requests_.push_back(out_.back().request);
}

bool Candidate::Waits(std::initializer_list<Ask> asks) const {
  return std::any_of(out_.begin(), out_.end(), [&](const Out& o) {
    return std::find(asks.begin(), asks.end(), o.request.ask) != asks.end();
  });
}

// Without the lease nothing is its own, whatever the store says of the key.
void Candidate::Drop(Micros now) {
  lease_.reset();
  renew_at_ = kNever;
  if (!std::exchange(mine_, false)) return;
  if (now - won_at_ >= kSteady * terms_.ttl) lost_ = 0;
  yield_until_ = now + (terms_.ttl << std::min(lost_++, kMostDoublings));
  claim_at_ = kNever;
  look_at_ = now;
}

bool Candidate::NeedsLease() const { return mine_ || claim_at_ != kNever || Waits({Ask::kClaim}); }

// Their answers, should they come, are of no use any more. What a claim has done is to be read.
void Candidate::GiveUpLate(Micros now) {
  const auto late = [&](const Out& o) { return now >= o.at + terms_.answer_within; };
  for (const Out& o : out_) {
    if (late(o) && (o.request.ask == Ask::kClaim || o.request.ask == Ask::kRead)) look_at_ = now;
  }
  std::erase_if(out_, late);
}

void Candidate::OnReply(Micros now, const Reply& reply) {
  const auto it = std::find_if(out_.begin(), out_.end(),
                               [&](const Out& o) { return o.request.id == reply.id; });
  if (it == out_.end()) return;
  const Out out = *it;
  out_.erase(it);
  if (lease_ && now >= lease_until_) Drop(now);
  const Micros until = out.at + terms_.ttl - terms_.margin;
  switch (out.request.ask) {
    case Ask::kGrant:
      if (leaving_ || reply.lease == 0 || now >= until) break;
      lease_ = reply.lease;
      lease_until_ = until;
      renew_at_ = out.at + terms_.ttl / kRenewals;
      break;
    case Ask::kKeepAlive:
      if (!lease_ || *lease_ != out.request.lease) break;
      if (reply.lease == 0) {
        Drop(now);
      } else {
        lease_until_ = std::max(lease_until_, until);
        renew_at_ = out.at + terms_.ttl / kRenewals;
      }
      break;
    case Ask::kClaim:
    case Ask::kRead:
      OnHolding(now, reply.holding);
      break;
    case Ask::kRelease:
      break;
  }
  Proceed(now);
}

void Candidate::OnHolding(Micros now, const std::optional<Holding>& holding) {
  if (leaving_) return;
  if (holding && lease_ && holding->name == terms_.name && holding->lease == *lease_) {
    if (!mine_) won_at_ = now;
    mine_ = true;
    fence_ = holding->fence;
    claim_at_ = kNever;
    return;
  }
  mine_ = false;
  if (holding) {
    // Somebody else's: a watch tells of its end, and a look now and then where that is lost.
    claim_at_ = kNever;
    look_at_ = now + (terms_.look_every > 0 ? terms_.look_every : terms_.ttl / 2);
  } else if (claim_at_ == kNever) {
    claim_at_ = std::max(now, yield_until_) +
                static_cast<Micros>(draws_.Unit() * static_cast<double>(terms_.spread));
  }
}

void Candidate::Proceed(Micros now) {
  if (leaving_) return;
  if (lease_ && NeedsLease() && now >= renew_at_ && !Waits({Ask::kKeepAlive})) {
    Send(now, Ask::kKeepAlive);
    renew_at_ = now + terms_.ttl / kRenewals;
  }
  if (mine_ || Waits({Ask::kClaim, Ask::kRead})) return;
  if (now >= claim_at_) {
    if (!lease_) {
      if (!Waits({Ask::kGrant})) Send(now, Ask::kGrant);
      return;
    }
    claim_at_ = kNever;
    look_at_ = kNever;
    return Send(now, Ask::kClaim);
  }
  if (now >= look_at_) {
    look_at_ = kNever;
    Send(now, Ask::kRead);
  }
}

Micros Candidate::next() const {
  Micros next = kNever;
  for (const Out& o : out_) next = std::min(next, o.at + terms_.answer_within);
  if (leaving_) return next;
  if (lease_) {
    next = std::min(next, lease_until_);
    if (NeedsLease() && !Waits({Ask::kKeepAlive})) next = std::min(next, renew_at_);
  }
  if (mine_ || Waits({Ask::kClaim, Ask::kRead})) return next;
  // One that waits for its lease claims when that has come.
  if (claim_at_ != kNever && !lease_ && Waits({Ask::kGrant})) return next;
  return std::min({next, claim_at_, look_at_});
}

std::string Candidate::Words() const {
  std::string words = lease_
                          ? "lease " + std::to_string(*lease_) + " until " +
                                std::to_string(lease_until_) + " renew " + std::to_string(renew_at_)
                          : "no lease";
  words += mine_ ? " owns " : " not ";
  words += std::to_string(fence_) + " look " + std::to_string(look_at_) + " claim " +
           std::to_string(claim_at_) + " yield " + std::to_string(yield_until_);
  for (const Out& o : out_) {
    words += " out " + std::to_string(static_cast<int>(o.request.ask)) + '#' +
             std::to_string(o.request.id) + '@' + std::to_string(o.at);
  }
  return words;
}

}  // namespace ownership
