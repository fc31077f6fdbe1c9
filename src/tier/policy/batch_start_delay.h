// How long a batch call takes to its first event where it finds a free slot. Pure.
//
// It is the least that was seen lately, without the reading of the prompt: an average would rise
// with the waits that it is to tell, and under a lasting overload nothing would look like a wait
// any more.
#ifndef SHELFLINK_TIER_POLICY_BATCH_START_DELAY_H_
#define SHELFLINK_TIER_POLICY_BATCH_START_DELAY_H_

#include <algorithm>
#include <optional>

namespace shelflink::policy {

class BatchStartDelay {
 public:
  // A first event came `took` microseconds after the call was sent, `reading` of them for its
  // prompt as far as is known. Returns how long it waited beyond the least.
  double Note(double elapsed, double prefill) {
    const double start_delay = std::max(0.0, elapsed - prefill);
    minimum_ = minimum_ ? std::min(*minimum_ * kMinimumGrowth, start_delay) : start_delay;
    return start_delay - *minimum_;
  }

 private:
  static constexpr double kMinimumGrowth =
      1.01;  // Of the least, with each call: it may have become longer.

  std::optional<double> minimum_;  // Microseconds.
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_START_DELAY_H_
