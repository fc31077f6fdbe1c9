// Estimates how long a batch call takes to its first event when it finds a free slot, in order to
// tell how long a call waited for one. No I/O and no clock.
//
// The estimate is the recent minimum of the time to the first event less the prefill time. An
// average would rise with the waits that it is meant to detect, and under sustained overload no
// call would seem to wait any more.
#ifndef SHELFLINK_TIER_POLICY_BATCH_START_DELAY_H_
#define SHELFLINK_TIER_POLICY_BATCH_START_DELAY_H_

#include <algorithm>
#include <optional>

namespace shelflink::policy {

class BatchStartDelay {
 public:
  // Records a first event `elapsed` microseconds after the call was sent, of which about `prefill`
  // microseconds were prompt prefill. Returns the wait in microseconds beyond the minimum.
  double Note(double elapsed, double prefill) {
    const double start_delay = std::max(0.0, elapsed - prefill);
    minimum_ = minimum_ ? std::min(*minimum_ * kMinimumGrowth, start_delay) : start_delay;
    return start_delay - *minimum_;
  }

 private:
  // Factor on the minimum with each call, so that it follows an endpoint that became slower.
  static constexpr double kMinimumGrowth = 1.01;

  std::optional<double> minimum_;  // Microseconds.
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_START_DELAY_H_
