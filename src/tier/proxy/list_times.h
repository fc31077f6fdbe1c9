// The parts of `drainMs` that the steps take by which a proxy reads a list that the core's is late
// with. Each part is the divisor of `drainMs`. Pure.
#ifndef SHELFLINK_TIER_PROXY_LIST_TIMES_H_
#define SHELFLINK_TIER_PROXY_LIST_TIMES_H_

#include <algorithm>

#include "net/loop.h"
#include "tier/proxy/reading_plan.h"

namespace shelflink::proxy {

// The core's list counts as late beyond what is usual: a period of the core's walks, a renewal's
// interval, and a sixth for a walk of some pages and a busy core. At least half of `drainMs`, and
// at most seven twelfths, however long renewals take in a large fleet: 1,750 ms of 3,000.
constexpr int kLeastLatePart = 2;
constexpr int kCoreWalkPart = 4;
constexpr int kSlackPart = 6;
constexpr int kMostLateTwelfths = 7;
constexpr int kSlotsPart = 15;  // The first calls of all readers are spread over it: 200 ms.
constexpr int kFetchPart = 12;  // For a peer's answer: 250 ms.

constexpr int kSixtieths = 60;
static_assert(kSixtieths / 12 * kMostLateTwelfths + kSixtieths / kSlotsPart +
                      kSixtieths / kWalkPart + kSixtieths / kFetchPart <
                  kSixtieths,
              "a list that is late must be read and passed on within drainMs");

inline net::Span LateAfter(net::Span drain, net::Span renewal_interval) {
  const net::Span usual = drain / kCoreWalkPart + renewal_interval + drain / kSlackPart;
  return std::clamp(usual, drain / kLeastLatePart, drain * kMostLateTwelfths / 12);
}

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_LIST_TIMES_H_
