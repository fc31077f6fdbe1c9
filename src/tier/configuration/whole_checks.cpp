#include "tier/configuration/whole_checks.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "tier/configuration/object_reader.h"

namespace shelflink::configuration {
namespace {

using json::ItemPlace;

constexpr char kBetween = '\0';  // Separates host and prefix; no string of a document contains it.

// Changes refer to items by name, so a name may occur only once in a list.
template <typename Item>
void FindSharedNames(const char* list, const std::vector<Item>& items, Findings& findings) {
  std::unordered_map<std::string_view, std::size_t> first;
  first.reserve(items.size());
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].name.empty()) continue;
    const auto [found, inserted] = first.emplace(items[i].name, i);
    if (inserted) continue;
    findings.push_back({ItemPlace(list, i) + ".name",
                        "expected another name than " + ItemPlace(list, found->second)});
  }
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return text;
}

void FindSharedPlaces(const std::vector<Route>& routes, Findings& findings) {
  std::unordered_map<std::string, std::size_t> first;
  first.reserve(routes.size());
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if (routes[i].hostname.empty() || routes[i].path_prefix.empty()) continue;
    const auto [found, inserted] =
        first.emplace(LowerCase(routes[i].hostname) + kBetween + routes[i].path_prefix, i);
    if (inserted) continue;
    findings.push_back({ItemPlace("routes", i), "expected another hostname or pathPrefix than " +
                                                    ItemPlace("routes", found->second)});
  }
}

void FindUnknownServices(const Configuration& configuration, Findings& findings) {
  std::unordered_set<std::string_view> known;
  for (const Service& service : configuration.services) known.insert(service.name);
  for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
    for (const SplitPart& part : configuration.routes[i].split) {
      if (part.service.empty() || known.contains(part.service)) continue;
      findings.push_back(
          {ItemPlace("routes", i), "expected a known service, found \"" + part.service + "\""});
    }
  }
}

// API keys are secrets: a finding names their places and not the keys.
void FindSharedKeys(const std::vector<Tenant>& tenants, Findings& findings) {
  std::unordered_map<std::string_view, std::size_t> holders;
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    for (std::size_t k = 0; k < tenants[i].api_keys.size(); ++k) {
      const auto [found, inserted] = holders.emplace(tenants[i].api_keys[k], i);
      if (inserted || found->second == i) continue;
      findings.push_back(
          {ItemPlace(ItemPlace("tenants", i) + ".apiKeys", k),
           "expected a key that " + ItemPlace("tenants", found->second) + " does not hold"});
    }
  }
}

}  // namespace

void CheckWhole(const Configuration& configuration, Findings& findings) {
  FindSharedNames("routes", configuration.routes, findings);
  FindSharedNames("services", configuration.services, findings);
  FindSharedNames("tenants", configuration.tenants, findings);
  FindSharedPlaces(configuration.routes, findings);
  FindUnknownServices(configuration, findings);
  FindSharedKeys(configuration.tenants, findings);
}

}  // namespace shelflink::configuration
