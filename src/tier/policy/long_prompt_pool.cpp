#include "tier/policy/long_prompt_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shelflink::policy {
namespace {

constexpr double kLongPrefillOfObjective =
    0.1;                                  // Of the objective, from which on a prompt is long.
constexpr double kDecay = 0.999;          // Of a fading sum, with each call noted.
constexpr std::size_t kMinCalls = 100;    // Calls before the share is trusted.
constexpr std::size_t kMinEndpoints = 4;  // Fewer are not divided.
constexpr double kMinLongShare = 0.1;  // Of the time spent reading; below it nothing is kept apart.
constexpr double kMaxPoolFraction = 0.5;  // Of the endpoints.
// Endpoints for long prompts, by their share of the reading: less than in proportion, since calls
// with short prompts run for longer than they are read.
constexpr double kPoolFractionOfShare = 0.85;
constexpr double kResizeThreshold =
    0.75;  // Endpoints by which the wish must differ before it is followed.

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
