// Rate of recent events, weighted by exponential decay.
#ifndef GAUGECART_MEASURES_DECAYING_RATE_H_
#define GAUGECART_MEASURES_DECAYING_RATE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace gaugecart {

class DecayingRate {
 public:
  using Micros = std::int64_t;
  static constexpr Micros kDecayMicros = 4'000'000;

  void Add(Micros now, double amount) {
    Decay(now);
    sum_ += amount;
  }
  // Events, or the sum of their amounts, per second.
  double Rate(Micros now) {
    Decay(now);
    const double age = std::max<double>(1e5, static_cast<double>(now - first_at_)) / kDecayMicros;
    return sum_ / (1.0 - std::exp(-age)) * 1e6 / kDecayMicros;
  }
  bool HasFullWindow(Micros now) const { return first_at_ >= 0 && now - first_at_ >= kDecayMicros; }

 private:
  void Decay(Micros now) {
    if (first_at_ < 0) first_at_ = decayed_at_ = now;
    sum_ *= std::exp(-static_cast<double>(now - decayed_at_) / kDecayMicros);
    decayed_at_ = now;
  }
  double sum_ = 0.0;
  Micros decayed_at_ = 0;
  Micros first_at_ = -1;
};

}  // namespace gaugecart

#endif  // GAUGECART_MEASURES_DECAYING_RATE_H_
