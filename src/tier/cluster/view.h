// What every process of the tier knows of the tier, in parts with a version each. The core's
// primary makes them; the relay tree carries them; a process never takes a lower version of a part.
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

// Versions rise over changes of primary too: the epoch of the primary that made it, then its count.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t count = 0;
  auto operator<=>(const Version&) const = default;  // NOLINT(modernize-use-nullptr): its error.
};

struct EndpointEntry {
  std::string id;  // Of this incarnation.
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

// Batch jobs lie in partitions by the hash of their tenant (batch/partition.h).
struct PartitionRow {
  std::uint64_t epoch =
      0;  // Rises with every change of the row; fences what an older primary does.
  net::Address primary;
  std::string primary_disk;           // Identity of the disk, drawn when it was empty.
  std::vector<net::Address> backups;  // Every write is synced by each of them too.
  std::vector<std::string> backup_disks;
  std::vector<bool> complete;  // Of each backup: whether it has all, and may follow.
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
  std::shared_ptr<const configuration::Configuration> configuration;  // Null: none yet.
  std::shared_ptr<const EndpointList> endpoints;
  std::shared_ptr<const Placement> placement;
  std::shared_ptr<const Members> members;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_H_
