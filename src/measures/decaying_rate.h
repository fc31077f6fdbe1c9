// The rate of events over the last seconds, older ones weighing ever less.
#ifndef GAUGECART_MEASURES_DECAYING_RATE_H_
#define GAUGECART_MEASURES_DECAYING_RATE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace gaugecart {

class DecayingRate {
 public:
  using Micros = std::int64_t;
  static constexpr Micros kMemory = 4'000'000;

  void Add(Micros now, double amount) {
    Decay(now);
    sum_ += amount;
  }
  // Events, or their weight, a second.
  double Rate(Micros now) {
    Decay(now);
    const double age = std::max<double>(1e5, static_cast<double>(now - since_)) / kMemory;
    return sum_ / (1.0 - std::exp(-age)) * 1e6 / kMemory;
  }
  bool Settled(Micros now) const { return since_ >= 0 && now - since_ >= kMemory; }

 private:
  void Decay(Micros now) {
    if (since_ < 0) since_ = last_ = now;
    sum_ *= std::exp(-static_cast<double>(now - last_) / kMemory);
    last_ = now;
  }
  double sum_ = 0.0;
  Micros last_ = 0;
  Micros since_ = -1;
};

}  // namespace gaugecart

#endif  // GAUGECART_MEASURES_DECAYING_RATE_H_
