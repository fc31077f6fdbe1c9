// Whether an endpoint fails its calls: one that does so far more than usual is ejected, for a
// growing pause, and let back by one call on trial.
#ifndef GAUGECART_POLICY_HEALTH_H_
#define GAUGECART_POLICY_HEALTH_H_

#include <algorithm>

#include "gaugecart/choice.h"
#include "mix.h"

namespace gaugecart {

constexpr double kHealthGain = 0.25;  // Weight of one outcome in an endpoint's failure rate.
constexpr double kEjectRate = 0.45;   // Failure rate that ejects an endpoint...
constexpr double kEjectOver = 2.5;    // ...if it is also this many times the usual one.
constexpr double kMaxEjectedFraction = 0.34;  // Largest part of the fleet that may be ejected.
constexpr Micros kEjectBase = 2'000'000;      // First ejection; doubles up to the cap.
constexpr Micros kEjectCap = 16'000'000;
constexpr double kUsualGain = 0.02;  // Weight of one outcome in the usual failure rate.
constexpr double kForgiven = 0.05;   // Failure rate at which earlier ejections are forgotten.

inline Micros EjectSpan(int strikes) {
  return std::min(kEjectCap, kEjectBase << std::min(strikes, 4));
}

// The usual failure rate of all: what ails everyone ejects no one.
class BaselineFailureRate {
 public:
  void Note(bool failed) { rate_ += kUsualGain * ((failed ? 1.0 : 0.0) - rate_); }
  bool Exceeded(double rate) const { return rate >= kEjectRate && rate > kEjectOver * rate_; }

 private:
  double rate_ = 0.0;
};

class Health {
 public:
  // Returns whether it was ejected or let back. `most_ejected` tells whether no more may be; `salt`
  // spreads the ends of ejections.
  template <typename MostEjected>
  bool Note(bool failed, const BaselineFailureRate& usual, const MostEjected& most_ejected,
            std::uint64_t salt, Micros now) {
    failure_rate_ += kHealthGain * ((failed ? 1.0 : 0.0) - failure_rate_);
    if (ejected_) {
      on_trial_ = false;
      if (failed) {
        Eject(salt, now);
      } else {
        // One good answer is the way back; the memory of strikes fades with further ones.
        ejected_ = false;
        failure_rate_ = kEjectRate / 2;
      }
      return true;
    }
    if (!failed && failure_rate_ < kForgiven) strikes_ = 0;
    if (!failed || !usual.Exceeded(failure_rate_) || most_ejected()) return false;
    Eject(salt, now);
    return true;
  }
  // Ejected by an earlier process of the same place.
  void Recall(Micros left, int strikes, Micros now) {
    ejected_ = true;
    strikes_ = std::clamp(strikes, 1, 4);
    eject_until_ = now + std::clamp<Micros>(left, 0, 2 * kEjectCap);
  }
  void StartTrial() { on_trial_ = ejected_; }
  void EndTrial() { on_trial_ = false; }

  bool ejected() const { return ejected_; }
  bool ShouldAvoid(Micros now) const { return ejected_ && (on_trial_ || now < eject_until_); }
  Micros RemainingEjection(Micros now) const {
    return ejected_ ? std::max<Micros>(0, eject_until_ - now) : 0;
  }
  double failure_rate() const { return failure_rate_; }
  int strikes() const { return strikes_; }

 private:
  void Eject(std::uint64_t salt, Micros now) {
    const Micros span = EjectSpan(strikes_);
    eject_until_ = now + span +
                   static_cast<Micros>(static_cast<double>(span) * 0.5 *
                                       Unit(Mix(salt ^ static_cast<std::uint64_t>(now))));
    ++strikes_;
    ejected_ = true;
    on_trial_ = false;
  }

  double failure_rate_ = 0.0;
  int strikes_ = 0;
  bool ejected_ = false;
  bool on_trial_ = false;  // One call at a time tries whether it is well again.
  Micros eject_until_ = 0;
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_HEALTH_H_
