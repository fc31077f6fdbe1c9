// Which proxies read the platform's list themselves while the core's lists are late, and how fast,
// so that all of them together keep within their share of the platform's rate. Pure.
#ifndef SHELFLINK_TIER_PROXY_READING_PLAN_H_
#define SHELFLINK_TIER_PROXY_READING_PLAN_H_

#include <chrono>
#include <cstddef>

namespace shelflink::proxy {

// Of the platform's rate, for all proxies together; a primary that is cut off may use the other
// half (platform::kCoreShareOfRate), and some is left for calls that meet at the platform.
constexpr double kProxiesShareOfRate = 0.4;
// Entries on one page of the platform's list, until a page has shown how many it holds.
constexpr std::size_t kEntriesOfPage = 50;
// Each reader reads a whole list within this part of the time in which a drain must bind.
constexpr int kWalkPart = 4;

struct ReadingPlan {
  std::size_t readers = 1;     // The first so many proxies by address.
  double share_of_rate = 0.0;  // Of one reader.
};

// `proxies`: of the fleet, this one among them. `entries_of_page`: at least one.
ReadingPlan PlanReading(double rate_per_s, std::chrono::milliseconds drain, std::size_t endpoints,
                        std::size_t proxies, std::size_t entries_of_page = kEntriesOfPage);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READING_PLAN_H_
