// The learned limit on calls in flight, tenants' shares, and the budget of retries.
#ifndef GAUGECART_POLICY_LIMITER_H_
#define GAUGECART_POLICY_LIMITER_H_

#include <algorithm>
#include <vector>

#include "gaugecart/choice.h"
#include "measures/token_bucket.h"

namespace gaugecart {

constexpr double kCut = 0.5;          // Seats lost for each sign of overload...
constexpr double kCutPart = 0.25;     // ...or this part of a limit of less than two.
constexpr double kRise = 1.0;         // Seats won for a small limit's worth of prompt answers...
constexpr double kRisePart = 0.0625;  // ...or this for each: one late in eight keeps the balance.
constexpr double kLowPart = 0.5;      // Below this part of the first limit it is on its way back...
constexpr double kRecovery = 0.25;    // ...and wins this for each prompt answer.
constexpr double kMinLevelLimit = 2.0;  // Seats a level keeps while answers come in time...
constexpr double kLastSeat = 0.25;      // ...and where they come too late: it still learns.
constexpr double kShareSpan = 2.0;      // Seconds of its share that a tenant may save up.
constexpr double kRetryRatio = 0.2;     // Retries earned by one first attempt.
constexpr double kRetryCap = 10.0;      // Retries that can be saved up.

// The learned total of seats, dealt to the levels by shares. Each answer moves it by itself: the
// balance stands at the same part of late answers whether five calls are out or five hundred.
class Limiter {
 public:
  Limiter(double start, double floor) : limit_(start), start_(start), floor_(floor) {}

  // Far below where it began: a fall goes deeper than the trouble, and answers that are as many as
  // the seats would take minutes to win back at the usual pace what was lost in seconds.
  bool IsFarBelowStart() const { return limit_ < kLowPart * start_; }

  void NotePrompt(double in_use, bool whole) {
    // A limit that is not reached learns nothing from success.
    if (in_use * 2.0 >= limit_ && IsFarBelowStart()) {
      limit_ += kRecovery;
    } else if (in_use * 2.0 >= limit_) {
      limit_ += whole || limit_ < floor_ ? std::clamp(kRise / limit_, kRisePart, 1.0) : kRisePart;
    }
  }
  // Where answers have grown slow, seats that nothing used are no seats: hundreds of balancers with
  // few calls each would fill the servers before one of them had come down. While the usual answer
  // is late even two seats a level are too many for such a group; with less than one a level rests.
  // Harm: where the callers did not cause it, calls are refused that would only have been late.
  void NoteOverload(double in_use, bool slow, bool late) {
    told_ = true;
    if (slow) limit_ = std::min(limit_, in_use + 1.0);
    const double floor = late ? floor_ * kLastSeat / kMinLevelLimit : std::min(floor_, limit_);
    limit_ = std::max(floor, limit_ - std::min(kCut, limit_ * kCutPart));
  }
  double limit() const { return limit_; }
  // A higher start, while nothing has told yet what is too much.
  void StartFrom(double start) {
    if (!told_) limit_ = start_ = std::max(limit_, start);
  }
  // Where an earlier one stood; higher than a start begins it has to be won again.
  void Recall(double limit) { limit_ = std::clamp(limit, std::min(floor_, start_), start_); }

 private:
  double limit_;
  double start_;
  double floor_;
  bool told_ = false;
};

inline double Quotas(const Settings& s) {
  double quota = 0.0;
  for (const TenantSettings& t : s.tenants) quota += t.quota_per_s;
  return quota;
}

// What each tenant has left of its share here. Quotas count client calls, so they bind where those
// come in; calls of lower tiers were admitted above, and their work is sunk.
class Shares {
 public:
  explicit Shares(const Settings& s) {
    if (s.tier > 0 || Quotas(s) <= 0) return;
    for (const TenantSettings& t : s.tenants) {
      const double rate = t.quota_per_s / s.group_size;
      tenants_.emplace_back(rate, 1.0 + kShareSpan * rate);
    }
  }
  bool Within(std::uint64_t tenant, Micros now) {
    return tenants_.empty() || tenants_[tenant].Has(now);
  }
  void Spend(std::uint64_t tenant, Micros now) {
    if (!tenants_.empty()) tenants_[tenant].Spend(now);
  }

 private:
  std::vector<TokenBucket> tenants_;
};

class RetryBudget {
 public:
  void Earn() { tokens_ = std::min(kRetryCap, tokens_ + kRetryRatio); }
  bool Has() const { return tokens_ >= 1.0; }
  void Spend() { tokens_ -= 1.0; }

 private:
  double tokens_ = kRetryCap / 2;
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_LIMITER_H_
