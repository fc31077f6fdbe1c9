// Assignment of partitions of batch jobs to stores: computes the next change of each row from the
// state of the stores. Pure; the core's primary commits the changes before it publishes them.
//
// Guarantees, whichever stores join and fail:
// - Each change of a row raises its epoch, so that one epoch has one primary.
// - A primary was complete when it was named: the previous primary or a complete backup.
// - A complete copy whose disk may still exist is dropped only once `copies` others are complete
// and
//   live; lost and stalled copies stay in the row until then.
// - A store with another disk is another store.
// A copy is moved by adding an incomplete backup and dropping the surplus copy once it is complete.
// Only the loss of a disk shortens a row in between.
#ifndef SHELFLINK_TIER_CLUSTER_PLACEMENT_H_
#define SHELFLINK_TIER_CLUSTER_PLACEMENT_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/address.h"
#include "tier/cluster/view.h"

namespace shelflink::cluster {

constexpr std::size_t kPartitions = 64;

// A store as known to the core's primary.
struct StoreCandidate {
  std::string node;
  std::string zone;
  net::Address address;
  std::string disk;
  bool live = false;      // Its lease is valid.
  bool retiring = false;  // It is being emptied on an operator's order.
  std::uint64_t tokens_queued = 0;
};

struct PlacementRules {
  std::size_t copies = 2;       // Fault tolerance + 1.
  bool distinct_zones = false;  // Two copies in one zone are forbidden, not just avoided.
  std::size_t most_moves = 8;   // Concurrent moves for balance alone.
};

// Backups that do not answer the partition's primary, as partition and disk.
using Stalled = std::set<std::pair<std::size_t, std::string>>;

struct RowChange {
  std::size_t partition = 0;
  PartitionRow row;
  bool data_lost = false;  // No complete copy is left: the fault tolerance was exceeded.
};

// The initial rows. Empty: there are too few stores.
std::vector<PartitionRow> FirstPlacement(const std::vector<StoreCandidate>& stores,
                                         const PlacementRules& rules);

// The changes to make now; empty: none are needed.
std::vector<RowChange> NextChanges(const std::vector<PartitionRow>& rows,
                                   const std::vector<StoreCandidate>& stores,
                                   const Stalled& stalled, const PlacementRules& rules);

// Whether enough stores remain without that node.
bool MayRetire(const std::vector<StoreCandidate>& stores, const std::string& node,
               const PlacementRules& rules);

// Whether the row names the disk as primary or backup.
bool Names(const PartitionRow& row, const std::string& disk);

// The row under the next epoch, with that backup complete.
PartitionRow WithComplete(PartitionRow row, const std::string& disk);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_PLACEMENT_H_
