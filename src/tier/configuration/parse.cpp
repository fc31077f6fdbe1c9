#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "tier/configuration/json.h"
#include "tier/configuration/model.h"
#include "tier/configuration/object_reader.h"

namespace shelflink::configuration {
namespace {

using json::ItemPlace;
using json::ObjectReader;
using json::Range;

constexpr double kLargestInt = 2147483647.0;
constexpr double kMillisecondsPerSecond = 1000.0;
constexpr std::size_t kLongestHeaderText = 4096;  // Of what goes into a header of requests.
constexpr Range kCount{0.0, kLargestInt};
constexpr Range kAtLeastOne{1.0, kLargestInt};

// A text that stands in a header of the requests that are passed on.
void ReadHeaderText(ObjectReader& reader, const char* name, std::string& target) {
  reader.RequiredText(name, target);
  if (target.size() <= kLongestHeaderText) return;
  reader.Report(name, "expected at most " + std::to_string(kLongestHeaderText) + " bytes");
}

std::optional<RouteKind> KindOf(std::string_view word) {
  if (word == "idempotent") return RouteKind::kIdempotent;
  if (word == "non_idempotent") return RouteKind::kNonIdempotent;
  if (word == "streaming") return RouteKind::kStreaming;
  if (word == "batch") return RouteKind::kBatch;
  return std::nullopt;
}

void ReadKind(ObjectReader& reader, Route& route) {
  std::string word;
  reader.RequiredText("routeKind", word);
  if (word.empty()) return;
  const std::optional<RouteKind> kind = KindOf(word);
  if (kind) {
    route.kind = *kind;
  } else {
    reader.Report("routeKind", "expected idempotent, non_idempotent, streaming or batch");
  }
}

void ReadPrefix(ObjectReader& reader, Route& route) {
  reader.RequiredText("pathPrefix", route.path_prefix);
  if (route.path_prefix.empty()) return;
  if (route.path_prefix.front() != '/' || route.path_prefix.back() != '/') {
    reader.Report("pathPrefix", "expected a slash at both ends");
  }
}

void ReadTimeout(ObjectReader& reader, Route& route) {
  const bool missing = reader.usable() && reader.Member("timeoutMs") == nullptr;
  if (missing && route.kind != RouteKind::kBatch) {
    reader.Report("timeoutMs", "expected a number above 0, found nothing");
    return;
  }
  reader.SpanAboveZero("timeoutMs", route.timeout);
}

void ReadSplit(ObjectReader& reader, Route& route, Findings& findings) {
  double sum = 0.0;
  const bool is_split = reader.List("trafficSplit", [&](const cJSON* item, const std::string& at) {
    ObjectReader part_reader(item, at, findings);
    SplitPart part;
    part_reader.RequiredText("service", part.service);
    if (const auto weight = part_reader.Number("weight", {})) part.weight = *weight;
    sum += part.weight;
    route.split.push_back(std::move(part));
  });
  if (is_split) {
    if (sum <= 0.0) reader.Report("trafficSplit", "expected weights with a sum above 0");
    return;
  }
  SplitPart only;
  reader.RequiredText("service", only.service);
  route.split.push_back(std::move(only));
}

Route ReadRoute(const cJSON* item, const std::string& place, Findings& findings) {
  ObjectReader reader(item, place, findings);
  Route route;
  if (!reader.usable()) return route;
  reader.RequiredText("name", route.name);
  ReadHeaderText(reader, "hostname", route.hostname);
  ReadPrefix(reader, route);
  ReadKind(reader, route);
  ReadTimeout(reader, route);
  reader.Span("sloMs", 1.0, route.slo);
  reader.Int("priority", kCount, route.priority);
  ReadSplit(reader, route, findings);
  reader.Int("maxAttempts", kAtLeastOne, route.max_attempts);
  reader.Flag("public", route.is_public);
  reader.Flag("sticky", route.sticky);
  reader.Flag("resumable", route.resumable);
  reader.Span("gap_aim_ms", 1.0, route.gap_aim);
  reader.Span("runAimMs", 1.0, route.run_aim);
  reader.Span("keepS", kMillisecondsPerSecond, route.keep);
  reader.OptionalSize("maxQueuedTokens", route.max_queued_tokens);
  return route;
}

std::optional<Engine> ReadEngine(const ObjectReader& service, Findings& findings) {
  const cJSON* member = service.Member("engine");
  if (member == nullptr) return std::nullopt;
  ObjectReader reader(member, service.PlaceOf("engine"), findings);
  Engine engine;
  reader.Int("slots", kCount, engine.slots);
  reader.Size("kvTokens", engine.kv_tokens);
  return engine;
}

std::optional<Autoscale> ReadAutoscale(const ObjectReader& service, Findings& findings) {
  const cJSON* member = service.Member("autoscale");
  if (member == nullptr) return std::nullopt;
  ObjectReader reader(member, service.PlaceOf("autoscale"), findings);
  Autoscale autoscale;
  reader.Int("min", kCount, autoscale.min);
  reader.Int("max", kCount, autoscale.max);
  reader.Span("bootS", kMillisecondsPerSecond, autoscale.boot);
  const bool both = reader.Member("min") != nullptr && reader.Member("max") != nullptr;
  if (both && autoscale.min > autoscale.max) reader.Report("max", "expected min at least");
  return autoscale;
}

Service ReadService(const cJSON* item, const std::string& place, Findings& findings) {
  ObjectReader reader(item, place, findings);
  Service service;
  if (!reader.usable()) return service;
  reader.RequiredText("name", service.name);
  reader.Text("healthPath", service.health_path);
  reader.Int("maxConns", kCount, service.max_conns);
  service.engine = ReadEngine(reader, findings);
  service.autoscale = ReadAutoscale(reader, findings);
  return service;
}

Tenant ReadTenant(const cJSON* item, const std::string& place, Findings& findings) {
  ObjectReader reader(item, place, findings);
  Tenant tenant;
  if (!reader.usable()) return tenant;
  ReadHeaderText(reader, "name", tenant.name);
  reader.List("apiKeys", [&](const cJSON* key, const std::string& at) {
    if (cJSON_IsString(key) && key->valuestring[0] != '\0') {
      tenant.api_keys.emplace_back(key->valuestring);
    } else {
      findings.push_back({at, "expected a string that is not empty"});
    }
  });
  reader.OptionalInt("priority", kCount, tenant.priority);
  reader.OptionalSize("maxQueuedTokens", tenant.max_queued_tokens);
  return tenant;
}

void ReadLimits(const ObjectReader& document, Findings& findings, ClientLimits& limits) {
  const cJSON* member = document.Member("limits");
  if (member == nullptr) return;
  ObjectReader reader(member, "limits", findings);
  reader.SizeAboveZero("maxHeaderBytes", limits.max_header_bytes);
  reader.SizeAboveZero("maxBodyBytes", limits.max_body_bytes);
  reader.SpanAboveZero("headerTimeoutMs", limits.header_timeout);
  reader.SpanAboveZero("idleTimeoutMs", limits.idle_timeout);
}

// Lists are told apart by their items' names, so a name stands once.
template <typename Item>
void FindSharedNames(const char* list, const std::vector<Item>& items, Findings& findings) {
  std::map<std::string_view, std::size_t> first;
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
  std::map<std::pair<std::string, std::string>, std::size_t> first;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if (routes[i].hostname.empty() || routes[i].path_prefix.empty()) continue;
    const auto [found, inserted] =
        first.emplace(std::pair(LowerCase(routes[i].hostname), routes[i].path_prefix), i);
    if (inserted) continue;
    findings.push_back({ItemPlace("routes", i), "expected another hostname or pathPrefix than " +
                                                    ItemPlace("routes", found->second)});
  }
}

void FindUnknownServices(const Configuration& configuration, Findings& findings) {
  std::set<std::string_view> known;
  for (const Service& service : configuration.services) known.insert(service.name);
  for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
    for (const SplitPart& part : configuration.routes[i].split) {
      if (part.service.empty() || known.contains(part.service)) continue;
      findings.push_back(
          {ItemPlace("routes", i), "expected a known service, found \"" + part.service + "\""});
    }
  }
}

// Keys are secrets: a finding names places, not keys.
void FindSharedKeys(const std::vector<Tenant>& tenants, Findings& findings) {
  std::map<std::string_view, std::size_t> holders;
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

void ReadVersion(ObjectReader& reader, Configuration& configuration) {
  if (reader.Member("configVersion") == nullptr) {
    reader.Report("configVersion", "expected a whole number above 0, found nothing");
    return;
  }
  const auto version = reader.WholeNumber("configVersion", {1.0, json::kLargestExactInteger});
  if (version) configuration.version = static_cast<std::uint64_t>(*version);
}

Configuration ReadDocument(const cJSON* tree, Findings& findings) {
  Configuration configuration;
  ObjectReader reader(tree, "", findings);
  if (!reader.usable()) return configuration;
  ReadVersion(reader, configuration);
  const bool has_routes = reader.List("routes", [&](const cJSON* item, const std::string& place) {
    configuration.routes.push_back(ReadRoute(item, place, findings));
  });
  if (!has_routes) reader.Report("routes", "expected a list, found nothing");
  const bool has_services =
      reader.List("services", [&](const cJSON* item, const std::string& place) {
        configuration.services.push_back(ReadService(item, place, findings));
      });
  if (!has_services) reader.Report("services", "expected a list, found nothing");
  configuration.has_tenants =
      reader.List("tenants", [&](const cJSON* item, const std::string& place) {
        configuration.tenants.push_back(ReadTenant(item, place, findings));
      });
  ReadLimits(reader, findings, configuration.limits);
  return configuration;
}

void CheckWhole(const Configuration& configuration, Findings& findings) {
  FindSharedNames("routes", configuration.routes, findings);
  FindSharedNames("services", configuration.services, findings);
  FindSharedNames("tenants", configuration.tenants, findings);
  FindSharedPlaces(configuration.routes, findings);
  FindUnknownServices(configuration, findings);
  FindSharedKeys(configuration.tenants, findings);
}

}  // namespace

BOOST_OUTCOME_V2_NAMESPACE::basic_result<Configuration, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
Parse(std::string_view json) {
  Findings findings;
  const json::Tree tree = json::ReadWhole(json, findings);
  if (tree == nullptr) return findings;
  Configuration configuration = ReadDocument(tree.get(), findings);
  CheckWhole(configuration, findings);
  if (!findings.empty()) return findings;
  configuration.Index();
  return configuration;
}

}  // namespace shelflink::configuration
