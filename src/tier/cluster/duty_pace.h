// Rate limiter for the platform calls of all duties.
#ifndef SHELFLINK_TIER_CLUSTER_DUTY_PACE_H_
#define SHELFLINK_TIER_CLUSTER_DUTY_PACE_H_

#include <algorithm>
#include <chrono>

#include "net/loop.h"

namespace shelflink::cluster {

class DutyPace {
 public:
  explicit DutyPace(double calls_per_s)
      : spacing_(std::chrono::nanoseconds(
            static_cast<std::int64_t>(1e9 / std::max(calls_per_s, kLeastRate)))) {}

  // Returns whether a call may be made now, and counts it if so.
  bool Take(net::Time now) {
    if (now < next_) return false;
    next_ = now + spacing_;
    return true;
  }

 private:
  static constexpr double kLeastRate = 0.01;
  net::Span spacing_;
  net::Time next_{};
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_DUTY_PACE_H_
