#include <algorithm>
#include <utility>

#include "tier/configuration/model.h"
#include "tier/foundation/text_map.h"

namespace shelflink::configuration {
namespace {

char LowerCase(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](char letter) { return LowerCase(letter); });
  return lower;
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos) return host;
  const std::size_t bracket = host.rfind(']');
  const bool inside_address = bracket != std::string_view::npos && bracket > colon;
  return inside_address ? host : host.substr(0, colon);
}

struct PrefixEntry {
  std::string prefix;
  std::size_t route = 0;
};

template <typename T>
const T* ItemAt(const std::vector<T>& items, const TextMap<std::size_t>& positions,
                std::string_view name) {
  const auto found = positions.find(name);
  return found == positions.end() || found->second >= items.size() ? nullptr
                                                                   : &items[found->second];
}

}  // namespace

// Holds positions rather than pointers, because copies of the configuration share it.
struct Configuration::Lookup {
  TextMap<std::vector<PrefixEntry>> prefixes_of_host;  // The longest prefix first.
  TextMap<std::size_t> routes;
  TextMap<std::size_t> services;
  TextMap<std::size_t> tenants_of_keys;
};

void Configuration::Index() {
  auto lookup = std::make_shared<Lookup>();
  for (std::size_t i = 0; i < routes.size(); ++i) {
    lookup->routes.emplace(routes[i].name, i);
    lookup->prefixes_of_host[LowerCase(routes[i].hostname)].push_back({routes[i].path_prefix, i});
  }
  for (auto& [host, entries] : lookup->prefixes_of_host) {
    std::stable_sort(entries.begin(), entries.end(),
                     [](const PrefixEntry& left, const PrefixEntry& right) {
                       return left.prefix.size() > right.prefix.size();
                     });
  }
  for (std::size_t i = 0; i < services.size(); ++i) {
    lookup->services.emplace(services[i].name, i);
  }
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    for (const std::string& key : tenants[i].api_keys) lookup->tenants_of_keys.emplace(key, i);
  }
  lookup_ = std::move(lookup);
}

const Route* Configuration::FindRoute(std::string_view host, std::string_view path) const {
  if (lookup_ == nullptr) return nullptr;
  const auto found = lookup_->prefixes_of_host.find(LowerCase(WithoutPort(host)));
  if (found == lookup_->prefixes_of_host.end()) return nullptr;
  for (const PrefixEntry& entry : found->second) {
    if (path.starts_with(entry.prefix) && entry.route < routes.size()) {
      return &routes[entry.route];
    }
  }
  return nullptr;
}

const Route* Configuration::RouteNamed(std::string_view name) const {
  return lookup_ == nullptr ? nullptr : ItemAt(routes, lookup_->routes, name);
}

const Service* Configuration::ServiceNamed(std::string_view name) const {
  return lookup_ == nullptr ? nullptr : ItemAt(services, lookup_->services, name);
}

const Tenant* Configuration::TenantOfKey(std::string_view key) const {
  return lookup_ == nullptr ? nullptr : ItemAt(tenants, lookup_->tenants_of_keys, key);
}

}  // namespace shelflink::configuration
