// The view of the cluster that every process holds, in parts with one version each. The core's
// primary creates the parts and the relay tree distributes them. A process never replaces a part by
// one with a lower version.
#ifndef SHELFLINK_TIER_CLUSTER_VIEW_H_
#define SHELFLINK_TIER_CLUSTER_VIEW_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/address.h"
#include "tier/configuration/model.h"

namespace shelflink::cluster {

// Increases across changes of the primary: the epoch of the primary that created the part, then a
// count within that epoch.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t count = 0;
  auto operator<=>(const Version&) const = default;  // NOLINT(modernize-use-nullptr): its error.
};

struct EndpointEntry {
  std::string id;  // Differs between incarnations.
  std::string service;
  net::Address address;
  std::string zone;
  int slots = 1;
  bool draining = false;
  std::chrono::milliseconds cold_left{0};
};
struct EndpointList {
  Version version;
  std::vector<EndpointEntry> entries;
};

// Batch jobs are assigned to partitions by the hash of their tenant (batch/partition.h).
struct PartitionRow {
  std::uint64_t epoch =
      0;  // Increases with every change of the row; the fencing token of its primary.
  net::Address primary;
  std::string primary_disk;           // Random identity, assigned when the disk was empty.
  std::vector<net::Address> backups;  // Each of them syncs every write.
  std::vector<std::string> backup_disks;
  std::vector<bool> complete;  // Per backup: it holds everything and may become primary.
};
struct Placement {
  Version version;
  std::vector<PartitionRow> rows;  // Index: partition.
};

struct Member {
  std::string node;
  std::string role;  // "proxy", "core", "store"
  std::string zone;
  net::Address address;  // Internal listener.
  bool ready = false;
};
struct Members {
  Version version;
  std::vector<Member> all;
};

struct View {
  std::shared_ptr<const configuration::Configuration> configuration;  // Null: none received yet.
  std::shared_ptr<const EndpointList> endpoints;
  std::shared_ptr<const Placement> placement;
  std::shared_ptr<const Members> members;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_H_
