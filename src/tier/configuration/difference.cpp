#include "tier/configuration/difference.h"

#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace shelflink::configuration {
namespace {

template <typename Item>
ListDifference<Item> DifferenceOfLists(const std::vector<Item>& before,
                                       const std::vector<Item>& after) {
  std::unordered_map<std::string_view, const Item*> known;
  for (const Item& item : before) known.emplace(item.name, &item);
  ListDifference<Item> difference;
  for (const Item& item : after) {
    const auto found = known.find(item.name);
    const bool same = found != known.end() && *found->second == item;
    if (!same) difference.put.push_back(item);
    if (found != known.end()) known.erase(found);
  }
  for (const Item& item : before) {
    if (known.contains(item.name)) difference.removed.push_back(item.name);
  }
  return difference;
}

template <typename Item>
std::vector<Item> AppliedToList(const std::vector<Item>& before,
                                const ListDifference<Item>& difference) {
  const std::unordered_set<std::string_view> removed(difference.removed.begin(),
                                                     difference.removed.end());
  std::unordered_map<std::string_view, const Item*> put;
  for (const Item& item : difference.put) put.emplace(item.name, &item);
  std::vector<Item> items;
  items.reserve(before.size() + difference.put.size());
  for (const Item& item : before) {
    if (removed.contains(item.name)) continue;
    const auto replacement = put.find(item.name);
    if (replacement == put.end()) {
      items.push_back(item);
    } else {
      items.push_back(*replacement->second);
      put.erase(replacement);
    }
  }
  for (const Item& item : difference.put) {
    if (put.contains(item.name)) items.push_back(item);
  }
  return items;
}

}  // namespace

Difference DifferenceOf(const Configuration& before, const Configuration& after) {
  Difference difference;
  difference.base = before.version;
  difference.version = after.version;
  difference.routes = DifferenceOfLists(before.routes, after.routes);
  difference.services = DifferenceOfLists(before.services, after.services);
  difference.tenants = DifferenceOfLists(before.tenants, after.tenants);
  difference.limits = after.limits;
  difference.has_tenants = after.has_tenants;
  return difference;
}

Configuration Applied(const Configuration& before, const Difference& difference) {
  Configuration after;
  after.version = difference.version;
  after.routes = AppliedToList(before.routes, difference.routes);
  after.services = AppliedToList(before.services, difference.services);
  after.tenants = AppliedToList(before.tenants, difference.tenants);
  after.limits = difference.limits;
  after.has_tenants = difference.has_tenants;
  after.Index();
  return after;
}

}  // namespace shelflink::configuration
