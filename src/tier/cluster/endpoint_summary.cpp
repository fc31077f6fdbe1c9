#include "tier/cluster/endpoint_summary.h"

#include <algorithm>

namespace shelflink::cluster {

EndpointSummary SummaryOf(const Version& version, const std::vector<EndpointEntry>& entries) {
  const auto draining = std::count_if(entries.begin(), entries.end(),
                                      [](const EndpointEntry& entry) { return entry.draining; });
  return {version, entries.size(), static_cast<std::size_t>(draining)};
}

std::string TextOf(const EndpointSummary& summary) {
  return "version " + std::to_string(summary.version.epoch) + "." +
         std::to_string(summary.version.count) + ", " + std::to_string(summary.entries) +
         " endpoints, " + std::to_string(summary.draining) + " of them draining";
}

}  // namespace shelflink::cluster
