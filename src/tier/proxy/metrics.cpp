#include "tier/proxy/metrics.h"

#include "tier/cluster/endpoint_list_metrics.h"

namespace shelflink::proxy {
namespace {

constexpr MetricFamily kReady{"shelflink_ready", MetricType::kGauge,
                              "Whether GET /ready answers 200."};
constexpr MetricFamily kInTouch{"shelflink_core_in_touch", MetricType::kGauge,
                                "Whether the lease from the core's primary is valid."};
constexpr MetricFamily kLease{"shelflink_lease_remaining_seconds", MetricType::kGauge,
                              "Time until the lease ends; 0 without one."};
constexpr cluster::EndpointListHelp kListHelp{
    .epoch = "Epoch of the primary that published the list of endpoints.",
    .sequence = "Number of the list of endpoints within its epoch.",
    .entries = "Endpoints in the list.",
    .draining = "Endpoints in the list that drain.",
    .age = "Time since the platform's list was read that the list of endpoints stands for.",
};
constexpr MetricFamily kListUnchanged{"shelflink_endpoint_list_unchanged_seconds",
                                      MetricType::kGauge,
                                      "Time since this process took the list of endpoints."};
constexpr MetricFamily kDrainBound{"shelflink_drain_bound_seconds", MetricType::kGauge,
                                   "bounds.drainMs: no list of endpoints may be older."};
constexpr MetricFamily kConfiguration{"shelflink_configuration_version", MetricType::kGauge,
                                      "Version of the configuration in force here."};
constexpr MetricFamily kPlacement{"shelflink_placement_version", MetricType::kGauge,
                                  "Version of the placement of batch partitions here."};
constexpr MetricFamily kCalls{"shelflink_endpoint_calls", MetricType::kGauge,
                              "Requests that wait for an endpoint or are at one."};
constexpr MetricFamily kConnections{"shelflink_endpoint_connections_total", MetricType::kCounter,
                                    "Connections to endpoints that were opened."};

constexpr MetricFamily kBatchEndpoints{"shelflink_batch_endpoints", MetricType::kGauge,
                                       "Endpoints that this proxy alone sends batch items to."};
constexpr MetricFamily kBatchLimit{"shelflink_batch_limit_items", MetricType::kGauge,
                                   "Batch items that it keeps there at most, as learned."};
constexpr MetricFamily kBatchCalls{"shelflink_batch_endpoint_items", MetricType::kGauge,
                                   "Batch items that are there now."};
constexpr MetricFamily kBatchRoom{"shelflink_batch_room_items", MetricType::kGauge,
                                  "More batch items that could be started now."};
constexpr MetricFamily kBatchHeld{"shelflink_batch_held_items", MetricType::kGauge,
                                  "Batch items that the proxy holds, with reports under way."};
constexpr MetricFamily kBatchOffered{"shelflink_batch_items_offered_total", MetricType::kCounter,
                                     "Batch items that stores were offered to hand out."};
constexpr MetricFamily kBatchTaken{"shelflink_batch_items_taken_total", MetricType::kCounter,
                                   "Batch items that stores have handed out."};
constexpr MetricFamily kBatchEnded{"shelflink_batch_runs_ended_total", MetricType::kCounter,
                                   "Runs of batch items that have ended, by outcome."};
constexpr MetricFamily kBatchBegun{"shelflink_batch_runs_begun_total", MetricType::kCounter,
                                   "Ended runs of batch items that had an event."};
constexpr MetricFamily kBatchFirstEventWait{
    "shelflink_batch_first_event_wait_seconds_total", MetricType::kCounter,
    "Time from when these were handed out until their first events."};
constexpr MetricFamily kBatchReported{"shelflink_batch_reports_taken_total", MetricType::kCounter,
                                      "Reports of ended runs that stores have taken."};
constexpr MetricFamily kBatchReportWait{"shelflink_batch_report_wait_seconds_total",
                                        MetricType::kCounter,
                                        "Time from the ends of these runs until then."};

void AddBatch(MetricsText& text, const ProxyFigures& figures) {
  text.Add(kBatchEndpoints, std::uint64_t{figures.batch.endpoints});
  text.Add(kBatchLimit, figures.batch.limit);
  text.Add(kBatchCalls, std::uint64_t{figures.batch.calls});
  text.Add(kBatchRoom, std::uint64_t{figures.batch_room});
  const BatchRunFigures& runs = figures.batch_runs;
  text.Add(kBatchHeld, runs.held);
  text.Add(kBatchOffered, runs.offered);
  text.Add(kBatchTaken, runs.taken);
  text.Add(kBatchEnded, runs.completed, {{"outcome", "completed"}});
  text.Add(kBatchEnded, runs.failed, {{"outcome", "failed"}});
  text.Add(kBatchEnded, runs.impossible, {{"outcome", "impossible"}});
  text.Add(kBatchEnded, runs.interrupted, {{"outcome", "interrupted"}});
  text.Add(kBatchEnded, runs.returned, {{"outcome", "returned"}});
  text.Add(kBatchEnded, runs.revoked, {{"outcome", "revoked"}});
  text.Add(kBatchBegun, runs.begun);
  text.AddSeconds(kBatchFirstEventWait, runs.first_event_wait);
  text.Add(kBatchReported, runs.reported);
  text.AddSeconds(kBatchReportWait, runs.report_wait);
}

void AddList(MetricsText& text, const ProxyFigures& figures) {
  if (figures.endpoints) cluster::AddEndpointSummary(text, kListHelp, *figures.endpoints);
  if (figures.endpoints_unchanged) text.AddSeconds(kListUnchanged, *figures.endpoints_unchanged);
  if (figures.endpoints_age) cluster::AddEndpointListAge(text, kListHelp, *figures.endpoints_age);
  text.AddSeconds(kDrainBound, figures.drain_bound);
}

}  // namespace

std::string MetricsOf(const ProxyFigures& figures, const Invariants& invariants) {
  MetricsText text;
  AddProcessMetrics(text, figures.process, invariants);
  text.AddFlag(kReady, figures.ready);
  text.AddFlag(kInTouch, figures.in_touch);
  text.AddSeconds(kLease, figures.lease_remaining);
  AddList(text, figures);
  if (figures.configuration_version) text.Add(kConfiguration, *figures.configuration_version);
  if (figures.placement_version) text.Add(kPlacement, *figures.placement_version);
  text.Add(kCalls, figures.calls);
  text.Add(kConnections, figures.endpoint_connections);
  AddBatch(text, figures);
  return text.Text();
}

}  // namespace shelflink::proxy
