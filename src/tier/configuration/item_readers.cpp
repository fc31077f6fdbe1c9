#include "tier/configuration/item_readers.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "tier/configuration/object_reader.h"

namespace shelflink::configuration {
namespace {

using json::ObjectReader;
using json::Range;

constexpr double kLargestInt = 2147483647.0;
constexpr double kMillisecondsPerSecond = 1000.0;
constexpr std::size_t kLongestHeaderText =
    4096;  // Bytes of a value that is sent in a request header.
constexpr Range kCount{0.0, kLargestInt};
constexpr Range kAtLeastOne{1.0, kLargestInt};

// Checks a text that is sent in a header of proxied requests.
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

}  // namespace

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

}  // namespace shelflink::configuration
