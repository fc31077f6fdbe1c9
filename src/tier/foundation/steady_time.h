// Points of the steady clock as whole microseconds: for log lines that are bounded by time, for
// invariants, and for state machines that count in microseconds. Pure: no clock is read.
#ifndef SHELFLINK_TIER_FOUNDATION_STEADY_TIME_H_
#define SHELFLINK_TIER_FOUNDATION_STEADY_TIME_H_

#include <chrono>
#include <cstdint>

#include "net/loop.h"

namespace shelflink {

// Whole microseconds from the start of the steady clock to `time`, rounded towards that start.
// Comparable with other results of this process alone.
constexpr std::int64_t SteadyMicros(net::Time time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_STEADY_TIME_H_
