// The figures of a list of endpoints that core and proxies tell under the same names, so that a
// reader compares one with the other. Pure; docs/operate/metrics.md explains each figure.
#ifndef SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_METRICS_H_
#define SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_METRICS_H_

#include <chrono>
#include <string_view>

#include "tier/cluster/endpoint_summary.h"
#include "tier/foundation/metrics_text.h"

namespace shelflink::cluster {

// Which list it is, differs by role: one sentence for each family.
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
// Since the platform's list was read that the list stands for; in seconds as metrics tell it.
void AddEndpointListAge(MetricsText& text, const EndpointListHelp& help,
                        std::chrono::nanoseconds age);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_METRICS_H_
