// Metrics of the cluster services on a core process.
#ifndef SHELFLINK_TIER_CLUSTER_CLUSTER_FIGURES_H_
#define SHELFLINK_TIER_CLUSTER_CLUSTER_FIGURES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tier/cluster/endpoint_summary.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/redundancy.h"
#include "tier/cluster/redundancy_watch.h"

namespace shelflink::cluster {

// A store that the primary knows, from this or an earlier process of it.
struct KnownStore {
  std::string node;
  bool in_touch = false;                // It holds a lease.
  std::optional<StoreFigures> figures;  // As sent with its last renewal.
};

struct StoreStanding {
  std::string node;
  std::string zone;
  std::string address;
  bool live = false;  // Its lease is valid.
  bool retiring = false;
  std::uint64_t bytes_used = 0;  // As reported last; both 0 before the first report.
  std::uint64_t bytes_free = 0;
};

// Redundancy as known to the primary: the number of copies, and for how long there were too few.
struct RedundancyFigures {
  bool leads = false;         // The current state is known here; otherwise only the histories are.
  bool stores_heard = false;  // All stores have had time to contact this primary.
  std::vector<StoreStanding> stores;
  PartitionFigures partitions;
  std::vector<OpenLoss> open;
  LossHistory control;
  LossHistory batch;
  std::chrono::nanoseconds led{0};  // Total time for which this process has led.
};

struct ClusterFigures {
  std::map<std::string, std::size_t> leases;      // Members by role; only on the primary.
  std::vector<KnownStore> stores;                 // By node; only on the primary.
  std::optional<EndpointSummary> published_list;  // The last one read by this process.
  std::uint64_t lists_published = 0;              // Since the start; likewise the next.
  std::uint64_t lists_not_published = 0;          // Read, but not published.
  std::optional<std::chrono::nanoseconds>
      list_age;  // Since the platform's list was last read whole.
  RedundancyFigures redundancy;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CLUSTER_FIGURES_H_
