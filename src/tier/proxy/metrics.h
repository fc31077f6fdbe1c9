// What a proxy tells of itself as metrics. Pure; docs/operate/metrics.md explains each figure.
#ifndef SHELFLINK_TIER_PROXY_METRICS_H_
#define SHELFLINK_TIER_PROXY_METRICS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "tier/cluster/endpoint_summary.h"
#include "tier/foundation/process_metrics.h"
#include "tier/policy/module.h"

namespace shelflink::proxy {

// Of batch items since the start of the process.
struct BatchRunFigures {
  std::uint64_t held = 0;     // At this moment, reports under way included.
  std::uint64_t offered = 0;  // Items that stores were offered to hand out.
  std::uint64_t taken = 0;    // Items that stores handed out.
  // Runs that have ended.
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;       // The endpoint answered 500.
  std::uint64_t impossible = 0;   // The endpoint answered 422.
  std::uint64_t interrupted = 0;  // To be continued by another proxy.
  std::uint64_t returned = 0;     // Not run.
  std::uint64_t revoked = 0;      // Taken back by the store.
  // Those that had an event, and how long they waited for the first one, summed.
  std::uint64_t begun = 0;
  std::chrono::nanoseconds first_event_wait{0};
  // Those whose report a store has taken, and how long that took from their ends on, summed.
  std::uint64_t reported = 0;
  std::chrono::nanoseconds report_wait{0};
};

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
  policy::BatchState batch;
  std::uint32_t batch_room = 0;  // More items that could be started now.
  BatchRunFigures batch_runs;
};

std::string MetricsOf(const ProxyFigures& figures, const Invariants& invariants);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_METRICS_H_
