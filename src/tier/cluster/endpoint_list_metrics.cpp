#include "tier/cluster/endpoint_list_metrics.h"

namespace shelflink::cluster {
namespace {

MetricFamily Gauge(std::string_view name, std::string_view help) {
  return {name, MetricType::kGauge, help};
}

}  // namespace

void AddEndpointSummary(MetricsText& text, const EndpointListHelp& help,
                        const EndpointSummary& list) {
  text.Add(Gauge("shelflink_endpoint_list_epoch", help.epoch), list.version.epoch);
  text.Add(Gauge("shelflink_endpoint_list_sequence", help.sequence), list.version.count);
  text.Add(Gauge("shelflink_endpoint_list_entries", help.entries), std::uint64_t{list.entries});
  text.Add(Gauge("shelflink_endpoint_list_draining_entries", help.draining),
           std::uint64_t{list.draining});
}

void AddEndpointListAge(MetricsText& text, const EndpointListHelp& help,
                        std::chrono::nanoseconds age) {
  text.AddSeconds(Gauge("shelflink_endpoint_list_age_seconds", help.age), age);
}

}  // namespace shelflink::cluster
