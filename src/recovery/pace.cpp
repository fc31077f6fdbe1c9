#include "recovery/pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mix.h"

namespace recovery {
namespace {

constexpr double kGolden = 0.6180339887498949;
// A member without a list is of no use to its clients: its place lies within this, however large
// the group is. It is what the protocol grants a call that discovery cannot answer at once.
constexpr Micros kLongestFirst = 4'000'000;
constexpr Micros kLeastBackOff = 250'000;
constexpr int kMostDoublings = 4;
// Of the time that a member may go without asking, the rest being for the call itself.
constexpr double kAskPart = 0.95;

Micros Scaled(Micros span, double by) {
  return static_cast<Micros>(std::llround(static_cast<double>(span) * by));
}

}  // namespace

double Pace::Draw() {
  const double drawn = gaugecart::Unit(gaugecart::Mix(draws_));
  draws_ += gaugecart::kMixStep;
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
  const Micros window = Window(kCallGuess, std::min(kLongestFirst, half));
  // What was told a moment ago can wait, and leaves discovery to those that know nothing.
  return start + Scaled(std::max(window, Scaled(half, std::clamp(place_.fresh, 0.0, 1.0))), place);
}

Micros Pace::OnAnswer(Micros now, Micros took, bool news) {
  refusals_ = 0;
  if (!news) return now;
  const Micros spread = Scaled(kSpread, Draw());
  if (!std::exchange(returning_, false)) return now + spread;
  shown_ = took;
  // It has what there is; the others have not. Answers come in turn, and so will the calls that
  // follow them after equal times.
  const Micros rest = Window(kRoomFactor * CallCost(), Scaled(place_.ask_within, kAskPart));
  return now + std::max(spread, rest);
}

// What cannot be reached is not burdened by a dial, and is to be found again soon.
Micros Pace::OnFailure(Micros now, const Failure& failure) {
  if (!failure.refused) return now;
  const Micros most = place_.ask_within / 2;
  const Micros base = std::min(most, std::max(kLeastBackOff, Window(CallCost(), most))
                                         << std::min(refusals_++, kMostDoublings));
  const Micros away = std::clamp<Micros>(failure.advice.value_or(0), 0, place_.ask_within);
  // Advice is the same for all that get it: coming back at its end they would come in step.
  return now + away + Scaled(base, failure.advice ? Draw() : 0.5 + Draw());
}

}  // namespace recovery
