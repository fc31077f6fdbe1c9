// How many proxies read the platform's list themselves while the core's lists are late, and at
// which rate, so that together they keep within their share of the platform's rate limit. No I/O.
#ifndef SHELFLINK_TIER_PROXY_READING_PLAN_H_
#define SHELFLINK_TIER_PROXY_READING_PLAN_H_

#include <chrono>
#include <cstddef>

namespace shelflink::proxy {

// Share of the platform's rate limit for all proxies together. A primary that the proxies cannot
// reach may use half of the limit (platform::kCoreShareOfRate); the rest is headroom for calls that
// arrive at the platform at the same time.
constexpr double kProxiesShareOfRate = 0.4;
// Entries per page of the platform's list, assumed until a page shows the actual number.
constexpr std::size_t kDefaultEntriesPerPage = 50;
// Each reader reads a whole list within `drainMs` divided by this.
constexpr int kWalkDivisor = 4;

struct ReadingPlan {
  std::size_t readers = 1;     // The proxies that read: this many, the first by address.
  double share_of_rate = 0.0;  // Of the platform's rate limit, for each reader.
};

// `rate_per_s`: the platform's rate limit. `endpoints`: entries of the list. `proxies`: size of the
// fleet, this proxy included. `entries_per_page`: at least one.
ReadingPlan PlanReading(double rate_per_s, std::chrono::milliseconds drain, std::size_t endpoints,
                        std::size_t proxies, std::size_t entries_per_page = kDefaultEntriesPerPage);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READING_PLAN_H_
