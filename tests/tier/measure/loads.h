// How often the operator changes the configuration, and how large it is.
#ifndef SHELFLINK_TESTS_TIER_MEASURE_LOADS_H_
#define SHELFLINK_TESTS_TIER_MEASURE_LOADS_H_

#include <array>
#include <cstddef>

#include "measure/measured_tier.h"

namespace shelflink::measure {

struct Load {
  const char* name;
  net::Span period;     // Zero: no changes.
  std::size_t padding;  // Bytes of the document beyond its 1.6 KB.
};

inline constexpr std::size_t kLargeDocument = 100'000;

inline constexpr std::array<Load, 5> kLoads{{
    {"none", net::Span(), 0},
    {"1 a second, 2 KB", seconds(1), 0},
    {"1 a second, 100 KB", seconds(1), kLargeDocument},
    {"10 a second, 2 KB", milliseconds(100), 0},
    {"10 a second, 100 KB", milliseconds(100), kLargeDocument},
}};

inline constexpr std::array<Load, 2> kMinuteLoads{{
    {"250 a minute, 2 KB", milliseconds(240), 0},
    {"250 a minute, 100 KB", milliseconds(240), kLargeDocument},
}};

}  // namespace shelflink::measure

#endif  // SHELFLINK_TESTS_TIER_MEASURE_LOADS_H_
