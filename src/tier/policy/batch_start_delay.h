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

class BatchStart {
 public:
  // A first event came `took` microseconds after the call was sent, `reading` of them for its
  // prompt as far as is known. Returns how long it waited beyond the least.
  double Note(double took, double reading) {
    const double start = std::max(0.0, took - reading);
    least_ = least_ ? std::min(*least_ * kRise, start) : start;
    return start - *least_;
  }

 private:
  static constexpr double kRise = 1.01;  // Of the least, with each call: it may have become longer.

  std::optional<double> least_;  // Microseconds.
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_START_DELAY_H_
