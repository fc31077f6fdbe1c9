#include "maintenance/duty.h"

namespace maintenance {

const char* Duty::WordOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kTakeUp:
      return "taken up";
    case Verdict::kLate:
      return "the caller owns this work no more";
    case Verdict::kBusy:
      return "busy";
    case Verdict::kOver:
      break;
  }
  return "over";
}

Duty::Verdict Duty::OnCall(const Call& call) {
  // Not yet Accept: that it is the owner is for the store to say.
  if (call.fence < guard_.seen()) return Verdict::kLate;
  if (state_ != State::kIdle) return Verdict::kBusy;
  if (call.order == order_) return Verdict::kOver;
  state_ = State::kAsking;
  return Verdict::kTakeUp;
}

void Duty::OnTaken(const Call& call, bool succeeded) {
  if (succeeded) guard_.Accept(call.fence);
  // Where it went well its part shows next, and is what counts.
  if (state_ == State::kAsking) state_ = State::kIdle;
}

Duty::Step Duty::OnPart(const std::string& order, const std::optional<Part>& part) {
  if (!part) {
    // It was out and its part is gone with its order: nobody waits for it any more.
    if (!out()) return Step::kNothing;
    state_ = State::kIdle;
    return Step::kServe;
  }
  guard_.Accept(part->fence);
  if (part->back) {
    order_ = order;
    if (out() || state_ == State::kAsking) state_ = State::kIdle;
    return Step::kNothing;
  }
  // An earlier life went out with it: this one is its return.
  if (part->start != start_) {
    state_ = State::kDrained;
    return Step::kBringBack;
  }
  if (state_ == State::kDrained) return Step::kBringBack;
  if (state_ == State::kOut) return Step::kNothing;
  state_ = State::kOut;
  return Step::kGoOut;
}

std::string Duty::Words() const {
  return start_ + ' ' + std::to_string(static_cast<int>(state_)) + ' ' + order_ + ' ' +
         std::to_string(guard_.seen());
}

Duty::Step Duty::OnDrained() {
  if (state_ != State::kOut) return Step::kNothing;
  state_ = State::kDrained;
  return Step::kBringBack;
}

}  // namespace maintenance
