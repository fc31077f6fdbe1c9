// Time budget within `drainMs` for the steps in which a proxy notices that the core's list of
// endpoints is late and replaces it by one of its own. A step takes `drainMs` divided by its
// constant. No I/O.
#ifndef SHELFLINK_TIER_PROXY_LIST_FALLBACK_TIMING_H_
#define SHELFLINK_TIER_PROXY_LIST_FALLBACK_TIMING_H_

#include <algorithm>

#include "net/loop.h"
#include "tier/proxy/reading_plan.h"

namespace shelflink::proxy {

// Terms of LateThreshold: one period of the core's walks through the platform's list, one renewal
// interval, and a sixth of `drainMs` as slack for a walk of several pages and a busy core. The sum
// is limited to at least half and at most seven twelfths of `drainMs` (1,750 ms of 3,000), because
// renewal intervals grow with the fleet.
constexpr int kMinLateDivisor = 2;
constexpr int kCoreWalkDivisor = 4;
constexpr int kLateSlackDivisor = 6;
constexpr int kMaxLateTwelfths = 7;
// The first calls of all readers are spread over this time: 200 ms of 3,000.
constexpr int kStartSpreadDivisor = 15;
// Timeout of a call to another proxy for its list: 250 ms of 3,000.
constexpr int kFetchTimeoutDivisor = 12;

constexpr int kSixtieths = 60;
static_assert(kSixtieths / 12 * kMaxLateTwelfths + kSixtieths / kStartSpreadDivisor +
                      kSixtieths / kWalkDivisor + kSixtieths / kFetchTimeoutDivisor <
                  kSixtieths,
              "detecting, reading and fetching a late list must fit within drainMs");

// Age from which on the core's list counts as late.
inline net::Span LateThreshold(net::Span drain, net::Span renewal_interval) {
  const net::Span usual_age =
      drain / kCoreWalkDivisor + renewal_interval + drain / kLateSlackDivisor;
  return std::clamp(usual_age, drain / kMinLateDivisor, drain * kMaxLateTwelfths / 12);
}

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_LIST_FALLBACK_TIMING_H_
