// The operators' configuration as typed values, and the parser that reads and checks its JSON.
#ifndef SHELFLINK_TIER_CONFIGURATION_MODEL_H_
#define SHELFLINK_TIER_CONFIGURATION_MODEL_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/foundation/result.h"

namespace shelflink::configuration {

using std::chrono::milliseconds;

enum class RouteKind { kIdempotent, kNonIdempotent, kStreaming, kBatch };

struct SplitPart {
  std::string service;
  double weight = 1.0;
  bool operator==(const SplitPart&) const = default;
};

struct Route {
  std::string name;
  std::string hostname;
  std::string path_prefix;  // Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  milliseconds timeout{0};  // 0 only for kinds without a time-out (batch).
  milliseconds slo{0};
  int priority = 0;              // 0 is highest.
  std::vector<SplitPart> split;  // At least one; a `service` member is a single part.
  int max_attempts = 1;
  bool is_public = false;
  bool sticky = false;
  bool resumable = false;
  milliseconds gap_aim{0};
  milliseconds run_aim{0};  // Batch: time from the first send until all results are due.
  milliseconds keep{0};     // Batch: time from the first send until items may be given up.
  std::optional<std::uint64_t> max_queued_tokens;  // Batch; none if the route has no limit.
  bool operator==(const Route&) const = default;
};

struct Engine {
  int slots = 0;
  std::uint64_t kv_tokens = 0;
  bool operator==(const Engine&) const = default;
};

struct Autoscale {
  int min = 0;  // For each zone.
  int max = 0;
  milliseconds boot{0};
  bool operator==(const Autoscale&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  int max_conns = 0;  // For each endpoint, summed over all callers; 0: unknown.
  std::optional<Engine> engine;
  std::optional<Autoscale> autoscale;
  bool operator==(const Service&) const = default;
};

struct ClientLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
  bool operator==(const ClientLimits&) const = default;
};

struct Tenant {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;
  std::optional<std::uint64_t> max_queued_tokens;
  bool operator==(const Tenant&) const = default;
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;
  bool has_tenants = false;  // Whether the document has a member `tenants`.
  std::vector<Tenant> tenants;

  // Returns the route of that host with the longest prefix of `path`, which excludes the query;
  // null if there is none. Ignores the case of the host and its port.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Route* RouteNamed(std::string_view name) const;
  const Service* ServiceNamed(std::string_view name) const;
  // Returns null if the key is unknown. Constant time.
  const Tenant* TenantOfKey(std::string_view key) const;
  // Must be called after the lists have been changed directly, as tests do; Parse calls it.
  void Index();

 private:
  struct Lookup;
  std::shared_ptr<const Lookup> lookup_;
};

using ParseResult =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<Configuration, Findings,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

// Returns all findings at once. Unknown members are ignored; the document keeps them. To parse
// successive documents use document_reader.h.
ParseResult Parse(std::string_view json);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_MODEL_H_
