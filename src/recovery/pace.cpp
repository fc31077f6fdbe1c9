#include "recovery/pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mix.h"

namespace recovery {
namespace {

constexpr double kGolden = 0.6180339887498949;
constexpr Micros kLeastBackOff = 250'000;
constexpr int kMostDoublings = 4;
constexpr Micros kLongestWait = 60'000'000;  // By the protocol.
// A watch answered by so much later than its wait tells that discovery is behind with its calls.
constexpr Micros kBehind = kLate / 3;
constexpr double kShorter = 0.9;  // Of the wait, after each answer in time.
// Of the time that a member may go without asking, the rest being for the call itself.
constexpr double kAskPart = 0.95;

Micros Scaled(Micros span, double by) {
  return static_cast<Micros>(std::llround(static_cast<double>(span) * by));
}

}  // namespace

double Pace::Draw() {
  const double drawn = gaugecart::Unit(gaugecart::Mix(rng_));
  rng_ += gaugecart::kMixStep;
  return drawn;
}

Micros Pace::Window(Micros cost, Micros most) const {
  return std::min(most, cost * static_cast<Micros>(place_.group));
}

// Places follow the member's number in steps of the golden ratio: any part of the group that comes
// back lies evenly over the window, whichever numbers it has.
Micros Pace::FirstAsk(Micros start) const {
  if (place_.group <= 1) return start;
  const double place = std::fmod((static_cast<double>(place_.me) + 0.5) * kGolden, 1.0);
  const Micros half = place_.ask_within / 2;
  // What knows a list can wait, and leaves discovery to those that know nothing; the longer the
  // fresher it is.
  const Micros cost = place_.knows ? kRoomFactor * kCallGuess : kCallGuess;
  const Micros window = Window(cost, std::min(kMostFirst, half));
  const Micros rested = Scaled(half, std::clamp(place_.fresh, 0.0, 1.0));
  return start + Scaled(Bounded(std::max(window, rested)), place);
}

Micros Pace::OnAnswer(Micros now, Micros took, bool news) {
  failures_ = 0;
  if (!news) return now;
  const Micros spread = Scaled(Bounded(kSpread), Draw());
  if (!std::exchange(returning_, false)) return now + spread;
  shown_ = took;
  // It has what there is; the others have not. Answers come in turn, and so will the calls that
  // follow them after equal times.
  const Micros most = Bounded(std::min(kMostFirst, Scaled(place_.ask_within, kAskPart)));
  return now + std::max(spread, Window(kRoomFactor * CallCost(), most));
}

Micros Pace::Most(Why why) {
  switch (why) {
    case Why::kAbsent:
      return kMostSpread;
    case Why::kLost:
      return kMostPause;
    case Why::kRefused:
      break;
  }
  return kMostAway;
}

// A group that lost discovery at one instant finds it again over the time that all their calls
// need, as far as the time in which each has to be told allows.
Micros Pace::OnFailure(Micros now, const Failure& failure) {
  const Micros most = Bounded(std::min(Most(failure.why), place_.ask_within / 2));
  const Micros window = failure.why == Why::kLost ? 0 : Window(CallCost(), most);
  const int doublings = std::min(failures_++, kMostDoublings);
  const Micros base = std::min(most, std::max(kLeastBackOff, window) << doublings);
  if (!failure.advice) return now + Scaled(base, 0.5 + 0.5 * Draw());
  // Advice is the same for all that get it: coming back at its end they would come in step.
  const Micros away = std::clamp<Micros>(*failure.advice, 0, most / 2);
  return now + away + Scaled(std::min(base, most - away), Draw());
}

Micros Pace::Longest() const { return std::clamp(place_.ask_within, kWatch, kLongestWait); }

// Guards against a group whose watches alone are more than discovery can answer: each would be
// asked again before its turn came, and none would bring anything. Harm: one that falls silent
// meanwhile is found out later, though within what the protocol grants a call that waits.
void Pace::OnWatchOver(Micros late, bool answered) {
  overdue_ = answered ? 0 : overdue_ + 1;
  if (late > kBehind && (answered || overdue_ > 1)) {
    wait_ = std::min(2 * wait_, Longest());
  } else if (answered) {
    wait_ = std::max(kWatch, Scaled(wait_, kShorter));
  }
}

}  // namespace recovery
