#include "tier/policy/long_prompt_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shelflink::policy {
namespace {

// Prefill time as a fraction of the first-event objective, from which a prompt counts as long.
constexpr double kLongPrefillOfObjective = 0.1;
constexpr double kDecay = 0.999;          // Factor on the sums with each call.
constexpr std::size_t kMinCalls = 100;    // Before the share is used.
constexpr std::size_t kMinEndpoints = 4;  // Fewer are not split.
constexpr double kMinLongShare = 0.1;     // Of prefill time; below it there is no pool.
constexpr double kMaxPoolFraction = 0.5;  // Of the endpoints.
// Fraction of the endpoints per unit of long prompts' share of prefill time. It is below 1 because
// calls with short prompts run longer than their prefill.
constexpr double kPoolFractionOfShare = 0.85;
// Hysteresis: endpoints by which the desired size must differ from the present one to change it.
constexpr double kResizeThreshold = 0.75;

}  // namespace

void LongPromptPool::SetEndpoints(std::vector<std::uint64_t> hashes) {
  hashes_ = std::move(hashes);
  std::sort(hashes_.begin(), hashes_.end());
  size_ = std::min(size_, hashes_.size());
  UpdateSize();
}

bool LongPromptPool::IsLong(double prefill_micros, double objective_micros) {
  return prefill_micros >= kLongPrefillOfObjective * objective_micros;
}

void LongPromptPool::Note(double prefill_micros, double objective_micros) {
  const bool is_long = IsLong(prefill_micros, objective_micros);
  total_prefill_micros_ = kDecay * total_prefill_micros_ + prefill_micros;
  long_prefill_micros_ = kDecay * long_prefill_micros_ + (is_long ? prefill_micros : 0.0);
  ++calls_;
  UpdateSize();
}

void LongPromptPool::UpdateSize() {
  const double share =
      total_prefill_micros_ > 0 ? long_prefill_micros_ / total_prefill_micros_ : 0.0;
  if (calls_ < kMinCalls || hashes_.size() < kMinEndpoints || share < kMinLongShare) {
    size_ = 0;
    return;
  }
  const double endpoints = static_cast<double>(hashes_.size());
  const double desired =
      std::clamp(kPoolFractionOfShare * share * endpoints, 1.0, kMaxPoolFraction * endpoints);
  if (size_ == 0 || std::abs(desired - static_cast<double>(size_)) > kResizeThreshold) {
    size_ = static_cast<std::size_t>(std::lround(desired));
  }
}

bool LongPromptPool::Contains(std::uint64_t endpoint_hash) const {
  if (size_ == 0) return false;
  return endpoint_hash <= hashes_[size_ - 1];
}

}  // namespace shelflink::policy
