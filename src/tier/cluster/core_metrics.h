// The metrics of a core process. Pure; docs/operate/metrics.md explains each of them.
#ifndef SHELFLINK_TIER_CLUSTER_CORE_METRICS_H_
#define SHELFLINK_TIER_CLUSTER_CORE_METRICS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/address.h"
#include "tier/cluster/cluster_figures.h"
#include "tier/coordination/replicator.h"
#include "tier/foundation/process_metrics.h"
#include "tier/platform/counted_platform.h"

namespace shelflink::cluster {

// Metrics of the member of the group that replicates the control state.
struct GroupFigures {
  struct Disk {
    std::uint64_t used_bytes = 0;
    std::uint64_t limit_bytes = 0;
    bool refuses_writes = false;
  };

  bool is_primary = false;     // With a valid lease.
  bool knows_primary = false;  // Itself or another process.
  std::uint64_t epoch = 0;
  std::vector<std::string> replicas;  // Nodes, from the newest record known here.
  std::vector<std::string> witnesses;
  std::optional<std::string> primary;               // Its node, if known.
  std::optional<net::Address> primary_control;      // Its operator listener, if known.
  std::size_t wanted_replicas = 0;                  // Fault tolerance + 1.
  std::vector<coordination::MemberStatus> members;  // Of the record.
  std::uint64_t contents_entries = 0;
  std::optional<Disk> disk;  // None: the process has no disk.
};

struct CoreFigures {
  ProcessFigures process;
  GroupFigures group;
  ClusterFigures cluster;
  platform::CallCounts platform_calls;
  std::map<int, std::uint64_t> operator_answers;  // By status code.
};

std::string MetricsOf(const CoreFigures& figures, const Invariants& invariants);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_METRICS_H_
