// What the cluster's services on a core process count, for metrics.
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

// A store that the primary has heard of, now or in earlier lives.
struct KnownStore {
  std::string node;
  bool in_touch = false;                // It holds a lease.
  std::optional<StoreFigures> figures;  // As it told with the renewal of its lease.
};

struct StoreStanding {
  std::string node;
  std::string zone;
  std::string address;
  bool live = false;  // Its lease holds.
  bool retiring = false;
  std::uint64_t bytes_used = 0;  // As it told last; both 0 where it has not.
  std::uint64_t bytes_free = 0;
};

// Of the primary: how many copies there are, and how long there were too few.
struct RedundancyFigures {
  bool leads = false;         // What stands now is known here; otherwise only the histories are.
  bool stores_heard = false;  // All stores have had time to speak with this primary.
  std::vector<StoreStanding> stores;
  PartitionFigures partitions;
  std::vector<OpenLoss> open;
  LossHistory control;
  LossHistory batch;
  std::chrono::nanoseconds led{0};  // For so long this process has led, altogether.
};

struct ClusterFigures {
  std::map<std::string, std::size_t> leases;      // Of members, by role; only on the primary.
  std::vector<KnownStore> stores;                 // By node; only on the primary.
  std::optional<EndpointSummary> published_list;  // The last of this process's own.
  std::uint64_t lists_published = 0;              // Since the start, as in the next.
  std::uint64_t lists_not_published = 0;          // Read all the same.
  std::optional<std::chrono::nanoseconds>
      list_age;  // Since the platform's list was last read whole.
  RedundancyFigures redundancy;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CLUSTER_FIGURES_H_
