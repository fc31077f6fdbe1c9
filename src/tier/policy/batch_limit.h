// Adaptive concurrency limit for batch calls at one endpoint, adjusted by the sidecar that owns the
// endpoint for batch. No I/O and no clock.
//
// A batch call that finds a free slot starts immediately. One that has to wait shows that all slots
// were taken, so live calls waited too. The limit starts high, rises slowly while batch calls start
// immediately and falls by a larger step when one had to wait. It settles where about one batch
// call in six finds the endpoint briefly full, however many live calls all sidecars send.
#ifndef SHELFLINK_TIER_POLICY_BATCH_LIMIT_H_
#define SHELFLINK_TIER_POLICY_BATCH_LIMIT_H_

#include <algorithm>
#include <cstddef>

namespace shelflink::policy {

class BatchLimit {
 public:
  // Sets the number of slots of the endpoint. A changed number resets the limit.
  void SetSlots(int slots) {
    if (slots == slots_) return;
    slots_ = slots;
    limit_ = std::max(kMinLimit, kInitialFraction * slots);
  }
  // Records a call that started immediately while `batch_calls` were in flight at the endpoint.
  void NoteImmediateStart(std::size_t batch_calls) {
    if (static_cast<double>(batch_calls) + 1.0 < limit_) return;  // Not limited.
    limit_ = std::min(kMaxFraction * slots_, limit_ + kIncrease);
    limit_ = std::max(kMinLimit, limit_);
  }
  // Records a call that waited for a slot.
  void NoteWait() { limit_ = std::max(kMinLimit, limit_ - kWaitDecrease); }
  // Records that the first event of a live call of this sidecar was late, at any endpoint of the
  // service.
  void NoteLateLiveCall() { limit_ = std::max(kMinLimit, limit_ - kLateLiveDecrease); }
  // Records that the endpoint rejected a call.
  void NoteRejected() { limit_ = std::max(kMinLimit, kRejectedFactor * limit_); }

  // The limit in concurrent batch calls, at least 1; may be fractional.
  double value() const { return limit_; }

 private:
  static constexpr double kInitialFraction = 0.5;    // Of the slots.
  static constexpr double kMaxFraction = 0.9;        // Of the slots.
  static constexpr double kIncrease = 0.1;           // Calls.
  static constexpr double kWaitDecrease = 0.5;       // Calls.
  static constexpr double kLateLiveDecrease = 0.25;  // Calls.
  static constexpr double kRejectedFactor = 0.7;
  static constexpr double kMinLimit = 1.0;  // Calls: batch work always progresses.

  int slots_ = 0;
  double limit_ = kMinLimit;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_LIMIT_H_
