// A member's part of an order: whether it answers a call, when it goes out and when it is back.
// Pure: calls, what stands in the store and its own state come in, steps come out.
//
// What counts is what stands in the store. A transaction whose answer is lost needs no reading
// back: its part shows there, or it does not. The guard is here and in that transaction: an owner's
// call counts only while the store still calls it the owner.
#ifndef SHELFLINK_MAINTENANCE_DUTY_H_
#define SHELFLINK_MAINTENANCE_DUTY_H_

#include <optional>
#include <string>
#include <utility>

#include "maintenance/order.h"
#include "ownership/fence.h"

namespace maintenance {

class Duty {
 public:
  enum class Verdict {
    kTakeUp,  // TakePart is to be committed.
    kLate,    // The caller owns the work no more.
    kBusy,    // It is out already, or on its way.
    kOver     // It has had its part of this order.
  };
  static const char* WordOf(Verdict verdict);

  enum class Step {
    kNothing,
    kGoOut,      // Drain; OnDrained follows.
    kBringBack,  // Serve again, and commit BringBack; again until it shows in the store.
    kServe       // Serve again: there is nothing to commit any more.
  };

  // `start` is unlike that of any other life of this member; `seen` is the highest fence that an
  // earlier one has seen, where that was kept.
  explicit Duty(std::string start, ownership::Fence seen = 0)
      : start_(std::move(start)), guard_(seen) {}

  Verdict OnCall(const Call& call);
  // The store's answer to TakePart has come, or will not.
  void OnTaken(const Call& call, bool succeeded);
  // Who owns the work by what the store said last: guards before any call has come.
  void OnOwner(ownership::Fence fence) { guard_.Accept(fence); }
  // Its part as it stands there; none if there is none.
  Step OnPart(const std::string& order, const std::optional<Part>& part);
  // All that it held is over.
  Step OnDrained();

  bool out() const { return state_ == State::kOut || state_ == State::kDrained; }
  ownership::Fence seen() const { return guard_.seen(); }
  // All that decides its future, as words.
  std::string Words() const;

 private:
  enum class State { kIdle, kAsking, kOut, kDrained };

  std::string start_;
  ownership::FenceGuard guard_;
  State state_ = State::kIdle;
  std::string order_;  // Of its part, once it has one.
};

}  // namespace maintenance

#endif  // SHELFLINK_MAINTENANCE_DUTY_H_
