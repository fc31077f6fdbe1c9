// Metrics of an endpoint list that core processes and proxies export under the same names, so that
// they can be compared. Pure; docs/operate/metrics.md explains each of them.
#ifndef SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_METRICS_H_
#define SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_METRICS_H_

#include <chrono>
#include <string_view>

#include "tier/cluster/endpoint_summary.h"
#include "tier/foundation/metrics_text.h"

namespace shelflink::cluster {

// Help text for each metric, which depends on the role.
struct EndpointListHelp {
  std::string_view epoch;
  std::string_view sequence;
  std::string_view entries;
  std::string_view draining;
  std::string_view age;
};

// Version and size of the list.
void AddEndpointSummary(MetricsText& text, const EndpointListHelp& help,
                        const EndpointSummary& list);
// Age of the platform reading behind the list; exported in seconds.
void AddEndpointListAge(MetricsText& text, const EndpointListHelp& help,
                        std::chrono::nanoseconds age);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_METRICS_H_
