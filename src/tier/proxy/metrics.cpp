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
  return text.Text();
}

}  // namespace shelflink::proxy
