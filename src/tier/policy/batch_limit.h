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
    seats_ = std::max(kLeast, kFirstPart * slots);
  }
  // A call started at once, with so many batch calls there.
  void NotePrompt(std::size_t calls) {
    if (static_cast<double>(calls) + 1.0 < seats_) return;  // The limit did not bind.
    seats_ = std::min(kMostPart * slots_, seats_ + kRise);
    seats_ = std::max(kLeast, seats_);
  }
  // A call waited for a slot.
  void NoteWait() { seats_ = std::max(kLeast, seats_ - kFall); }
  // The first event of a live call of this sidecar came late, at any endpoint of the service.
  void NoteLiveLate() { seats_ = std::max(kLeast, seats_ - kLiveFall); }
  // The endpoint turned a call away.
  void NoteFull() { seats_ = std::max(kLeast, kFullFactor * seats_); }

  // At least 1.
  double seats() const { return seats_; }

 private:
  static constexpr double kFirstPart = 0.5;  // Of the slots.
  static constexpr double kMostPart = 0.9;   // Of the slots.
  static constexpr double kRise = 0.1;       // Seats.
  static constexpr double kFall = 0.5;       // Seats.
  static constexpr double kLiveFall = 0.25;  // Seats.
  static constexpr double kFullFactor = 0.7;
  static constexpr double kLeast = 1.0;  // Seats: batch never stands still.

  int slots_ = 0;
  double seats_ = kLeast;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_LIMIT_H_
