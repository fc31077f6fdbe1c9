// Which stores are primaries of partitions, and how often a proxy offers to them, as its view of
// the system tells.
#ifndef SHELFLINK_TIER_BATCH_PRIMARIES_H_
#define SHELFLINK_TIER_BATCH_PRIMARIES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "net/address.h"
#include "tier/batch/store_caller.h"

namespace shelflink::batch {

// Offers a second to one store from all proxies that hold none of its leases, about.
constexpr std::size_t kMostOffersAStore = 50;

class Primaries {
 public:
  explicit Primaries(ViewSource view) : view_(std::move(view)) {}

  std::optional<net::Address> Of(std::uint32_t partition) const;
  std::set<net::Address> All() const;

  // Between two offers to a store of which nothing is leased: in a large fleet each proxy offers
  // seldom, and the stores hear of enough room nevertheless.
  std::chrono::milliseconds IdleInterval() const;
  // Of the first offer to a store: in a large fleet the proxies' offers spread over the interval.
  std::chrono::milliseconds FirstDelay(const net::Address& self) const;

 private:
  ViewSource view_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_PRIMARIES_H_
