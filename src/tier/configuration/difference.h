// What leads from one configuration to a later one, by item: its size follows the change, not the
// configuration. Pure.
#ifndef SHELFLINK_TIER_CONFIGURATION_DIFFERENCE_H_
#define SHELFLINK_TIER_CONFIGURATION_DIFFERENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tier/configuration/model.h"

namespace shelflink::configuration {

// Of one list of items with names. Those that are neither named here nor removed stay.
template <typename Item>
struct ListDifference {
  std::vector<std::string> removed;
  std::vector<Item> put;  // Added, or in place of the one of that name.
  bool operator==(const ListDifference&) const = default;
};

struct Difference {
  std::uint64_t base = 0;  // The version that it leads on from.
  std::uint64_t version = 0;
  ListDifference<Route> routes;
  ListDifference<Service> services;
  ListDifference<Tenant> tenants;
  ClientLimits limits;
  bool has_tenants = false;
  bool operator==(const Difference&) const = default;
};

Difference DifferenceOf(const Configuration& before, const Configuration& after);

// The later configuration, indexed. Its items are those of `after` above, in whatever order.
// Requires that `difference` is based on `before`.
Configuration Applied(const Configuration& before, const Difference& difference);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_DIFFERENCE_H_
