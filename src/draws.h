// A row of numbers that look random and follow from a seed alone: SplitMix64, so that what is drawn
// once needs no library to be drawn again.
#ifndef GAUGECART_DRAWS_H_
#define GAUGECART_DRAWS_H_

#include <cstdint>

#include "mix.h"

namespace gaugecart {

class Draws {
 public:
  explicit Draws(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Word() {
    const std::uint64_t word = Mix(state_);
    state_ += kMixStep;
    return word;
  }
  // From 0 up to and without 1.
  double Unit() { return gaugecart::Unit(Word()); }

 private:
  std::uint64_t state_;
};

}  // namespace gaugecart

#endif  // GAUGECART_DRAWS_H_
