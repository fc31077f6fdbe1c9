// A tier whose configuration grows by thousands of routes, is changed a little after it, and loses
// all power with accepted jobs open: how long each takes, and what it costs.
#ifndef SHELFLINK_TESTS_TIER_MEASURE_LARGE_DOCUMENTS_H_
#define SHELFLINK_TESTS_TIER_MEASURE_LARGE_DOCUMENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "measure/measured_tier.h"

namespace shelflink::measure {

// Machines as on the operators' large fleets: a sixth of 1,000 at most are stores, six zones.
TierSize LargeFleet(std::size_t members, std::uint64_t seed);

// Spans from the acknowledgement of an order, or from the return of power; none: not in time.
struct LargeDocumentFigures {
  std::optional<net::Span> large_in_force;  // At the last proxy.
  std::optional<net::Span> small_in_force;
  std::uint64_t large_bytes = 0;  // Over all links until then, with all else that went there.
  std::uint64_t small_bytes = 0;
  std::optional<net::Span> core_serves;
  std::optional<net::Span> most_proxies_ready;  // Nine in ten.
  std::optional<net::Span> everywhere_again;    // The configuration.
  std::optional<net::Span> jobs_readable;       // Each one whole, and each body of its items.
  std::uint64_t core_bytes_of_return = 0;       // By core machines, until all is as before.
  std::size_t jobs_accepted = 0;
  std::size_t jobs_missing = 0;  // Not readable by the bound.
};

// All machines at once; they start again 0.9 s later, within a fraction of a second.
void LoseAllPower(MeasuredTier& tier);

LargeDocumentFigures PlayLargeDocument(const TierSize& size, std::size_t routes);

}  // namespace shelflink::measure

#endif  // SHELFLINK_TESTS_TIER_MEASURE_LARGE_DOCUMENTS_H_
