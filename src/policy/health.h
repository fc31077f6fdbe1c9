// Outlier detection: an endpoint that fails far more calls than the baseline is ejected for a
// growing time and readmitted by one successful probe.
#ifndef GAUGECART_POLICY_HEALTH_H_
#define GAUGECART_POLICY_HEALTH_H_

#include <algorithm>

#include "gaugecart/choice.h"
#include "mix.h"

namespace gaugecart {

constexpr double kFailureRateGain = 0.25;  // Weight of one outcome in an endpoint's failure rate.
constexpr double kEjectRate = 0.45;        // Failure rate that ejects an endpoint...
constexpr double kEjectFactor = 2.5;       // ...if it is also this many times the baseline.
constexpr double kMaxEjectedPart = 0.34;   // Largest part of the endpoints that may be ejected.
constexpr Micros kMinEjectionMicros = 2'000'000;  // First ejection; doubles up to the maximum.
constexpr Micros kMaxEjectionMicros = 16'000'000;
constexpr double kBaselineGain = 0.02;       // Weight of one outcome in the baseline.
constexpr double kForgetFailureRate = 0.05;  // Failure rate below which strikes are cleared.

inline Micros EjectionTime(int strikes) {
  return std::min(kMaxEjectionMicros, kMinEjectionMicros << std::min(strikes, 4));
}

// Failure rate over all endpoints: a fault that they share ejects none.
class BaselineFailureRate {
 public:
  void Note(bool failed) { rate_ += kBaselineGain * ((failed ? 1.0 : 0.0) - rate_); }
  bool IsExceededBy(double rate) const { return rate >= kEjectRate && rate > kEjectFactor * rate_; }

 private:
  double rate_ = 0.0;
};

class Health {
 public:
  // Returns whether the endpoint was ejected or readmitted. `limit_reached` returns whether no more
  // may be ejected; `salt` spreads the ends of ejections.
  template <typename LimitReached>
  bool Note(bool failed, const BaselineFailureRate& usual, const LimitReached& limit_reached,
            std::uint64_t salt, Micros now) {
    failure_rate_ += kFailureRateGain * ((failed ? 1.0 : 0.0) - failure_rate_);
    if (ejected_) {
      on_trial_ = false;
      if (failed) {
        Eject(salt, now);
      } else {
        // One success readmits; further ones clear the strikes.
        ejected_ = false;
        failure_rate_ = kEjectRate / 2;
      }
      return true;
    }
    if (!failed && failure_rate_ < kForgetFailureRate) strikes_ = 0;
    if (!failed || !usual.IsExceededBy(failure_rate_) || limit_reached()) return false;
    Eject(salt, now);
    return true;
  }
  // Resumes an ejection by an earlier process of this balancer.
  void RestoreEjection(Micros remaining, int strikes, Micros now) {
    ejected_ = true;
    strikes_ = std::clamp(strikes, 1, 4);
    ejected_until_ = now + std::clamp<Micros>(remaining, 0, 2 * kMaxEjectionMicros);
  }
  void StartTrial() { on_trial_ = ejected_; }
  void EndTrial() { on_trial_ = false; }

  bool ejected() const { return ejected_; }
  bool ShouldAvoid(Micros now) const { return ejected_ && (on_trial_ || now < ejected_until_); }
  Micros RemainingEjection(Micros now) const {
    return ejected_ ? std::max<Micros>(0, ejected_until_ - now) : 0;
  }
  double failure_rate() const { return failure_rate_; }
  int strikes() const { return strikes_; }

 private:
  void Eject(std::uint64_t salt, Micros now) {
    const Micros span = EjectionTime(strikes_);
    ejected_until_ = now + span +
                     static_cast<Micros>(static_cast<double>(span) * 0.5 *
                                         Unit(Mix(salt ^ static_cast<std::uint64_t>(now))));
    ++strikes_;
    ejected_ = true;
    on_trial_ = false;
  }

  double failure_rate_ = 0.0;
  int strikes_ = 0;
  bool ejected_ = false;
  bool on_trial_ = false;  // A probe is in flight; there is one at a time.
  Micros ejected_until_ = 0;
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_HEALTH_H_
