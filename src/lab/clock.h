// The lab's one clock: microseconds since its first reading, the same in all threads.
#ifndef SHELFLAB_LAB_CLOCK_H_
#define SHELFLAB_LAB_CLOCK_H_

#include <chrono>

#include "emulator/spec.h"

namespace shelflab {

inline std::chrono::steady_clock::time_point ClockOrigin() {
  static const auto origin = std::chrono::steady_clock::now();
  return origin;
}

inline Micros Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                               ClockOrigin())
      .count();
}

inline std::chrono::steady_clock::time_point At(Micros time) {
  return ClockOrigin() + std::chrono::microseconds(time);
}

}  // namespace shelflab

#endif  // SHELFLAB_LAB_CLOCK_H_
