// The adaptive concurrency limit, tenants' shares, and the retry budget.
#ifndef GAUGECART_POLICY_LIMITER_H_
#define GAUGECART_POLICY_LIMITER_H_

#include <algorithm>
#include <vector>

#include "gaugecart/choice.h"
#include "measures/token_bucket.h"

namespace gaugecart {

constexpr double kDecrease = 0.5;           // Decrease of the limit per sign of overload...
constexpr double kDecreaseFraction = 0.25;  // ...or this fraction of a limit below two.
constexpr double kIncrease = 1.0;           // Increase per limit's worth of prompt answers...
constexpr double kMinIncrease = 0.0625;  // ...or this per answer: one late in eight is in balance.
constexpr double kFarBelowFraction = 0.5;    // Below this part of the initial limit it recovers...
constexpr double kRecoveryIncrease = 0.25;   // ...by this per prompt answer.
constexpr double kMinLevelLimit = 2.0;       // Least limit of a level while answers are in time...
constexpr double kMinLateLimit = 0.25;       // ...and while they are late: still enough to measure.
constexpr double kTenantBurstSeconds = 2.0;  // Seconds of its quota that a tenant may accumulate.
constexpr double kRetriesPerSuccess = 0.2;   // Retries earned by one success.
constexpr double kMaxSavedRetries = 10.0;    // Retries that can accumulate.

// The total limit, which the levels share. Each answer adjusts it on its own: it balances at the
// same fraction of late answers with five calls in flight or five hundred.
class Limiter {
 public:
  Limiter(double start, double floor) : limit_(start), start_(start), floor_(floor) {}

  // After a fall, which overshoots its cause, few answers come: the normal increase would take
  // minutes to win back what was lost in seconds.
  bool IsFarBelowStart() const { return limit_ < kFarBelowFraction * start_; }

  void NotePrompt(double in_use, bool fast) {
    // At less than half of the limit, success says nothing about a higher one.
    if (in_use * 2.0 >= limit_ && IsFarBelowStart()) {
      limit_ += kRecoveryIncrease;
    } else if (in_use * 2.0 >= limit_) {
      limit_ += fast || limit_ < floor_ ? std::clamp(kIncrease / limit_, kMinIncrease, 1.0)
                                        : kMinIncrease;
    }
  }
  // With slow answers the unused part of the limit is dropped: else hundreds of balancers with few
  // calls each overload the endpoints before one limit falls. While answers are typically late,
  // even two calls a level are too many for such a group; below one, a level pauses between calls.
  // Trade-off: where callers are not the cause, calls are refused that would only have been late.
  void NoteOverload(double in_use, bool slow, bool late) {
    overload_seen_ = true;
    if (slow) limit_ = std::min(limit_, in_use + 1.0);
    const double floor = late ? floor_ * kMinLateLimit / kMinLevelLimit : std::min(floor_, limit_);
    limit_ = std::max(floor, limit_ - std::min(kDecrease, limit_ * kDecreaseFraction));
  }
  double limit() const { return limit_; }
  // Raises the initial limit until the first overload.
  void RaiseStart(double start) {
    if (!overload_seen_) limit_ = start_ = std::max(limit_, start);
  }
  // Resumes an earlier limit, at most the initial one: more has to be earned again.
  void Restore(double limit) { limit_ = std::clamp(limit, std::min(floor_, start_), start_); }

 private:
  double limit_;
  double start_;
  double floor_;
  bool overload_seen_ = false;
};

inline double TotalQuota(const Settings& s) {
  double quota = 0.0;
  for (const TenantSettings& t : s.tenants) quota += t.quota_per_s;
  return quota;
}

// Each tenant's remaining quota here. Quotas count client calls, so only tier 0 enforces them:
// calls of lower tiers were admitted above, and work has gone into them.
class TenantShares {
 public:
  explicit TenantShares(const Settings& s) {
    if (s.tier > 0 || TotalQuota(s) <= 0) return;
    for (const TenantSettings& t : s.tenants) {
      const double rate = t.quota_per_s / s.group_size;
      tenants_.emplace_back(rate, 1.0 + kTenantBurstSeconds * rate);
    }
  }
  bool HasBudget(std::uint64_t tenant, Micros now) {
    return tenants_.empty() || tenants_[tenant].Has(now);
  }
  void Spend(std::uint64_t tenant, Micros now) {
    if (!tenants_.empty()) tenants_[tenant].Spend(now);
  }

 private:
  std::vector<TokenBucket> tenants_;
};

// Retries are paid for by successes, so that they stay a bounded part of the load.
class RetryBudget {
 public:
  void Earn() { tokens_ = std::min(kMaxSavedRetries, tokens_ + kRetriesPerSuccess); }
  bool Has() const { return tokens_ >= 1.0; }
  void Spend() { tokens_ -= 1.0; }

 private:
  double tokens_ = kMaxSavedRetries / 2;
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_LIMITER_H_
