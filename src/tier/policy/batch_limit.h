// How many batch calls their owner keeps at one endpoint, learned from their first events. Pure.
//
// A batch call that finds a free slot starts at once; one that waits shows that all slots were
// taken, and that live calls waited too. The limit starts high, rises slowly while batch calls
// start at once and falls by more when one had to wait. So it settles where about one batch call in
// six finds the endpoint full for a moment, whatever the live calls of all sidecars take.
#ifndef SHELFLINK_TIER_POLICY_BATCH_LIMIT_H_
#define SHELFLINK_TIER_POLICY_BATCH_LIMIT_H_

#include <algorithm>
#include <cstddef>

namespace shelflink::policy {

class BatchLimit {
 public:
  // Of the endpoint. The limit begins anew where they differ from before.
  void SetSlots(int slots) {
    if (slots == slots_) return;
    slots_ = slots;
    limit_ = std::max(kMinLimit, kInitialFraction * slots);
  }
  // A call started at once, with so many batch calls there.
  void NoteImmediateStart(std::size_t batch_calls) {
    if (static_cast<double>(batch_calls) + 1.0 < limit_) return;  // The limit did not bind.
    limit_ = std::min(kMaxFraction * slots_, limit_ + kIncrease);
    limit_ = std::max(kMinLimit, limit_);
  }
  // A call waited for a slot.
  void NoteWait() { limit_ = std::max(kMinLimit, limit_ - kWaitDecrease); }
  // The first event of a live call of this sidecar came late, at any endpoint of the service.
  void NoteLateLiveCall() { limit_ = std::max(kMinLimit, limit_ - kLateLiveDecrease); }
  // The endpoint turned a call away.
  void NoteRejected() { limit_ = std::max(kMinLimit, kRejectedFactor * limit_); }

  // At least 1.
  double value() const { return limit_; }

 private:
  static constexpr double kInitialFraction = 0.5;    // Of the slots.
  static constexpr double kMaxFraction = 0.9;        // Of the slots.
  static constexpr double kIncrease = 0.1;           // Seats.
  static constexpr double kWaitDecrease = 0.5;       // Seats.
  static constexpr double kLateLiveDecrease = 0.25;  // Seats.
  static constexpr double kRejectedFactor = 0.7;
  static constexpr double kMinLimit = 1.0;  // Seats: batch never stands still.

  int slots_ = 0;
  double limit_ = kMinLimit;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_LIMIT_H_
