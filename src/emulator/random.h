// Seeded random draws of the emulator: PCG, so that one seed is one history on every machine. The
// distributions are spelt out, for those of the standard library differ between libraries.
#ifndef SHELFLAB_EMULATOR_RANDOM_H_
#define SHELFLAB_EMULATOR_RANDOM_H_

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

namespace shelflab {

class Random {
 public:
  // `stream` keeps draws for different purposes apart, so that one more draw in one of them leaves
  // the others as they were.
  explicit Random(std::uint64_t seed, std::uint64_t stream = 0) : engine_(seed, stream) {}

  std::uint64_t Bits() { return engine_(); }
  // Evenly from [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  // Evenly from 0 to count - 1; count must not be 0.
  std::uint64_t Below(std::uint64_t count) {
    return static_cast<std::uint64_t>(Unit() * static_cast<double>(count));
  }
  bool Chance(double share) { return Unit() < share; }
  double Exponential(double mean) { return -mean * std::log1p(-Unit()); }
  // A whole number whose mean is `mean`: the two nearest, each as often as that takes.
  std::uint32_t Around(double mean) {
    const double low = std::floor(mean);
    return static_cast<std::uint32_t>(low) + (Chance(mean - low) ? 1U : 0U);
  }

 private:
  pcg64 engine_;
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_RANDOM_H_
