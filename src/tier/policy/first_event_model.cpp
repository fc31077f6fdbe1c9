#include "tier/policy/first_event_model.h"

#include <algorithm>

namespace shelflink::policy {

namespace {

// Prompts of equal size do not reveal the time per token: a variance below this fraction of the
// mean square is treated as noise.
constexpr double kMinRelativeVariance = 0.01;

// Minimum fraction of the mean time attributed to prefill, so that noise cannot make the estimated
// prefill cost zero.
constexpr double kMinPrefillShare = 0.05;

}  // namespace

void FirstEventModel::Note(double tokens, double micros) {
  weight_ = kDecay * weight_ + 1.0;
  sum_x_ = kDecay * sum_x_ + tokens;
  sum_y_ = kDecay * sum_y_ + micros;
  sum_xx_ = kDecay * sum_xx_ + tokens * tokens;
  sum_xy_ = kDecay * sum_xy_ + tokens * micros;
  if (!HasEnoughSamples()) return;
  const double mean_x = sum_x_ / weight_;
  const double mean_y = sum_y_ / weight_;
  const double variance = sum_xx_ / weight_ - mean_x * mean_x;
  const double covariance = sum_xy_ / weight_ - mean_x * mean_y;
  if (mean_x > 0) {
    const double max_per_token = mean_y / mean_x;
    if (variance > kMinRelativeVariance * sum_xx_ / weight_) per_token_ = covariance / variance;
    per_token_ = std::clamp(per_token_, kMinPrefillShare * max_per_token, max_per_token);
  }
  base_ = std::max(0.0, mean_y - per_token_ * mean_x);
}

}  // namespace shelflink::policy
