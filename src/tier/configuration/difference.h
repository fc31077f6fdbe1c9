// The difference between two configurations, item by item. Its size grows with the change and not
// with the configuration. Pure.
#ifndef SHELFLINK_TIER_CONFIGURATION_DIFFERENCE_H_
#define SHELFLINK_TIER_CONFIGURATION_DIFFERENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tier/configuration/model.h"

namespace shelflink::configuration {

// The difference of one list of named items. Items in neither `put` nor `removed` are unchanged.
template <typename Item>
struct ListDifference {
  std::vector<std::string> removed;
  std::vector<Item> put;  // Added, or replacing the item of the same name.
  bool operator==(const ListDifference&) const = default;
};

struct Difference {
  std::uint64_t base = 0;  // The version that it applies to.
  std::uint64_t version = 0;
  ListDifference<Route> routes;
  ListDifference<Service> services;
  ListDifference<Tenant> tenants;
  ClientLimits limits;
  bool has_tenants = false;
  bool operator==(const Difference&) const = default;
};

Difference DifferenceOf(const Configuration& before, const Configuration& after);

// Returns the later configuration, indexed. It has the items of the later one, in any order.
// Requires that `difference` is based on `before`.
Configuration Applied(const Configuration& before, const Difference& difference);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_DIFFERENCE_H_
