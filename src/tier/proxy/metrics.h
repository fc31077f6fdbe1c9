// The metrics that a proxy exports; docs/operate/metrics.md explains each of them. No I/O.
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

// Counts and total waits of batch items since the start of the process.
struct BatchRunFigures {
  std::uint64_t held = 0;     // Items in progress now, reports that are not yet accepted included.
  std::uint64_t offered = 0;  // Items that this proxy has asked stores for.
  std::uint64_t taken = 0;    // Items that stores have assigned to this proxy.
  // Runs that have ended, by outcome.
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;       // The endpoint answered 500.
  std::uint64_t impossible = 0;   // The endpoint answered 422.
  std::uint64_t interrupted = 0;  // Another proxy continues the run.
  std::uint64_t returned = 0;     // Given back to the store without a run.
  std::uint64_t revoked = 0;      // Revoked by the store.
  // Ended runs that had an event, and the sum of their times from assignment to the first event.
  std::uint64_t begun = 0;
  std::chrono::nanoseconds first_event_wait{0};
  // Ended runs whose report a store has accepted, and the sum of the times from the end of a run
  // to that.
  std::uint64_t reported = 0;
  std::chrono::nanoseconds report_wait{0};
};

struct ProxyFigures {
  ProcessFigures process;
  bool ready = false;
  bool in_touch = false;
  std::chrono::nanoseconds lease_remaining{0};
  // An optional below is empty while there is no such list, configuration or placement yet.
  std::optional<cluster::EndpointSummary> endpoints;
  // Time since the list of endpoints was received from the core.
  std::optional<std::chrono::nanoseconds> endpoints_unchanged;
  // Time since the reading of the platform's list began that the list of endpoints stands for.
  std::optional<std::chrono::nanoseconds> endpoints_age;
  std::chrono::nanoseconds drain_bound{0};  // `bounds.drainMs`
  std::optional<std::uint64_t> configuration_version;
  std::optional<std::uint64_t> placement_version;
  std::uint64_t calls = 0;                 // Requests queued for or in flight to endpoints.
  std::uint64_t endpoint_connections = 0;  // Opened since the start.
  policy::BatchState batch;
  std::uint32_t batch_room = 0;  // Further items that could be started now.
  BatchRunFigures batch_runs;
};

// The metrics as text in the exposition format.
std::string MetricsOf(const ProxyFigures& figures, const Invariants& invariants);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_METRICS_H_
