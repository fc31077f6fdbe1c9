#include "tier/policy/long_prompt_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shelflink::policy {
namespace {

constexpr double kLongPart = 0.1;           // Of the objective, from which on a prompt is long.
constexpr double kKept = 0.999;             // Of a fading sum, with each call noted.
constexpr std::size_t kLeastNoted = 100;    // Calls before the share is trusted.
constexpr std::size_t kLeastEndpoints = 4;  // Fewer are not divided.
constexpr double kLeastShare = 0.1;  // Of the time spent reading; below it nothing is kept apart.
constexpr double kMostPart = 0.5;    // Of the endpoints.
// Endpoints for long prompts, by their share of the reading: less than in proportion, since calls
// with short prompts run for longer than they are read.
constexpr double kPartOfShare = 0.85;
constexpr double kChange = 0.75;  // Endpoints by which the wish must differ before it is followed.

}  // namespace

void LongPrompts::SetEndpoints(std::vector<std::uint64_t> hashes) {
  hashes_ = std::move(hashes);
  std::sort(hashes_.begin(), hashes_.end());
  count_ = std::min(count_, hashes_.size());
  Count();
}

bool LongPrompts::IsLong(double reading_micros, double objective_micros) {
  return reading_micros >= kLongPart * objective_micros;
}

void LongPrompts::Note(double reading_micros, double objective_micros) {
  const bool is_long = IsLong(reading_micros, objective_micros);
  all_reading_ = kKept * all_reading_ + reading_micros;
  long_reading_ = kKept * long_reading_ + (is_long ? reading_micros : 0.0);
  ++noted_;
  Count();
}

void LongPrompts::Count() {
  const double share = all_reading_ > 0 ? long_reading_ / all_reading_ : 0.0;
  if (noted_ < kLeastNoted || hashes_.size() < kLeastEndpoints || share < kLeastShare) {
    count_ = 0;
    return;
  }
  const double all = static_cast<double>(hashes_.size());
  const double wish = std::clamp(kPartOfShare * share * all, 1.0, kMostPart * all);
  if (count_ == 0 || std::abs(wish - static_cast<double>(count_)) > kChange) {
    count_ = static_cast<std::size_t>(std::lround(wish));
  }
}

bool LongPrompts::Holds(std::uint64_t endpoint_hash) const {
  if (count_ == 0) return false;
  return endpoint_hash <= hashes_[count_ - 1];
}

}  // namespace shelflink::policy
