// How late a tool does what it meant to do: the first thing to know about its results.
#ifndef SHELFLAB_LAB_LATENESS_H_
#define SHELFLAB_LAB_LATENESS_H_

#include <array>
#include <bit>
#include <cstdint>

#include "emulator/spec.h"

namespace shelflab {

// Counts by powers of two of microseconds: fixed memory, exact to a factor of two.
class Lateness {
 public:
  void Add(Micros late) {
    if (late < 0) late = 0;
    if (late > worst_) worst_ = late;
    ++counts_[std::bit_width(static_cast<std::uint64_t>(late)) & 63];
    ++all_;
  }
  std::uint64_t count() const { return all_; }
  Micros worst() const { return worst_; }
  // No more than `share` of them were later than this; an upper bound.
  Micros Quantile(double share) const {
    const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(all_));
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      sum += counts_[i];
      if (sum > wanted || sum == all_) return (Micros{1} << i) < worst_ ? (Micros{1} << i) : worst_;
    }
    return worst_;
  }

 private:
  std::array<std::uint64_t, 64> counts_{};
  std::uint64_t all_ = 0;
  Micros worst_ = 0;
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_LATENESS_H_
