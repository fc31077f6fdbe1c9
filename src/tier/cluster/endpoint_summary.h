// Summary of an endpoint list for logs and metrics.
#ifndef SHELFLINK_TIER_CLUSTER_ENDPOINT_SUMMARY_H_
#define SHELFLINK_TIER_CLUSTER_ENDPOINT_SUMMARY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "tier/cluster/view.h"

namespace shelflink::cluster {

struct EndpointSummary {
  Version version;
  std::size_t entries = 0;
  std::size_t draining = 0;  // Of the entries.
};

EndpointSummary SummaryOf(const Version& version, const std::vector<EndpointEntry>& entries);
// "version 3.7, 12 endpoints, 2 of them draining"; the version is epoch and count.
std::string TextOf(const EndpointSummary& summary);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ENDPOINT_SUMMARY_H_
