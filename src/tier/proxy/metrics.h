// What a proxy tells of itself as metrics. Pure; docs/operate/metrics.md explains each figure.
#ifndef SHELFLINK_TIER_PROXY_METRICS_H_
#define SHELFLINK_TIER_PROXY_METRICS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "tier/cluster/endpoint_summary.h"
#include "tier/foundation/process_metrics.h"

namespace shelflink::proxy {

struct ProxyFigures {
  ProcessFigures process;
  bool ready = false;
  bool in_touch = false;
  std::chrono::nanoseconds lease_remaining{0};
  std::optional<cluster::EndpointSummary> endpoints;  // None: no list yet, as in what follows.
  std::optional<std::chrono::nanoseconds> endpoints_unchanged;  // Since the list was taken.
  // Since the reading of the platform's list began that the list here stands for.
  std::optional<std::chrono::nanoseconds> endpoints_age;
  std::chrono::nanoseconds drain_bound{0};  // `bounds.drainMs`
  std::optional<std::uint64_t> configuration_version;
  std::optional<std::uint64_t> placement_version;
  std::uint64_t calls = 0;                 // Requests that are held for endpoints at this moment.
  std::uint64_t endpoint_connections = 0;  // Opened since the start.
};

std::string MetricsOf(const ProxyFigures& figures, const Invariants& invariants);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_METRICS_H_
