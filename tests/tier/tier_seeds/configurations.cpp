#include "tier_seeds/configurations.h"

namespace shelflink::tier_seeds {
namespace {

constexpr const char* kMarkerStart = "\"pathPrefix\":\"/v/";

std::string Route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, bool is_public, const std::string& more = "") {
  return R"({"name":")" + name + R"(","hostname":")" + kHostname + R"(","pathPrefix":")" + prefix +
         R"(","routeKind":")" + kind +
         R"(","timeoutMs":2000,"sloMs":300,"priority":0,"service":")" + service +
         R"(","maxAttempts":3,"public":)" + (is_public ? "true" : "false") + more + "}";
}

std::string Marker(const ConfigurationDraft& draft) {
  return Route("r-marker", "/v/" + draft.tag + "/", "idempotent", "svc-a", true);
}

// Names that no two routes share parts of, as the operators' are.
std::string MoreRoutes(std::size_t count) {
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15U;
  std::string routes;
  for (std::size_t index = 1; index <= count; ++index) {
    const std::string name = std::to_string(index * kSpread);
    routes += "," + Route("r-" + name, "/more/" + name + "/", "idempotent", "svc-a", true);
  }
  return routes;
}

std::string Routes(const ConfigurationDraft& draft) {
  const std::string moving = draft.moved ? "svc-b" : "svc-a";
  return Marker(draft) + "," + Route("r-get", "/get/", "idempotent", moving, true) + "," +
         Route("r-post", "/post/", "non_idempotent", moving, false) + "," +
         Route("r-stream", "/stream/", "streaming", "svc-a", true, R"(,"gap_aim_ms":200)") + "," +
         Route("r-resume", "/resume/", "streaming", "svc-b", true,
               R"(,"gap_aim_ms":200,"resumable":true)") +
         "," +
         Route("r-jobs", "/jobs/", "batch", "svc-b", false, R"(,"runAimMs":20000,"keepS":60)");
}

std::string Services() {
  return R"({"name":"svc-a","healthPath":"/health","maxConns":250},)"
         R"({"name":"svc-b","healthPath":"/health","maxConns":250,)"
         R"("engine":{"slots":32,"kvTokens":100000},"autoscale":{"min":2,"max":5,"bootS":4}})";
}

std::string Tenants() {
  return std::string(R"({"name":")") + kFirstTenant + R"(","apiKeys":[")" + kFirstKey +
         R"("]},{"name":")" + kSecondTenant + R"(","apiKeys":[")" + kSecondKey +
         R"("],"maxQueuedTokens":)" + std::to_string(kMostQueuedTokens) + "}";
}

std::string Document(const std::string& version, const std::string& routes,
                     const std::string& services, const std::string& tenants, std::size_t padding) {
  return R"({"configVersion":)" + version + R"(,"routes":[)" + routes + R"(],"services":[)" +
         services + R"(],"tenants":[)" + tenants + R"(],"note":")" + std::string(padding, 'n') +
         R"("})";
}

}  // namespace

std::string WholeConfiguration(const ConfigurationDraft& draft) {
  return Document(std::to_string(draft.version), Routes(draft) + MoreRoutes(draft.more_routes),
                  Services(), Tenants(), draft.padding);
}

std::string PatchOfMarker(const ConfigurationDraft& draft) {
  return R"({"configVersion":)" + std::to_string(draft.version) + R"(,"upsert":{"routes":[)" +
         Marker(draft) + "]}}";
}

std::string InvalidConfiguration(const ConfigurationDraft& draft, std::size_t way) {
  const std::string version = std::to_string(draft.version);
  switch (way % kWaysToBeInvalid) {
    case 0:  // Cut off.
      return WholeConfiguration(draft).substr(0, WholeConfiguration(draft).size() / 2);
    case 1:  // A route to a service that isn't there.
      return Document(version, Marker(draft), R"({"name":"svc-z"})", Tenants(), 0);
    case 2:  // A shared key.
      return Document(version, Routes(draft), Services(),
                      R"({"name":"one","apiKeys":["k"]},{"name":"two","apiKeys":["k"]})", 0);
    default:  // Two routes at one place.
      return Document(version,
                      Routes(draft) + "," + Route("r-again", "/get/", "idempotent", "svc-a", true),
                      Services(), Tenants(), 0);
  }
}

std::string MarkerTarget(const std::string& tag) { return "/v/" + tag + "/x"; }

std::optional<std::string> TagOf(const std::string& document) {
  const std::size_t at = document.find(kMarkerStart);
  if (at == std::string::npos) return std::nullopt;
  const std::size_t from = at + std::string(kMarkerStart).size();
  return document.substr(from, document.find('/', from) - from);
}

}  // namespace shelflink::tier_seeds
