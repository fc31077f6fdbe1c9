// Which stores hold which partition of the batch jobs: the next change of each row, from what is
// known of the stores. Pure; the core's primary commits what comes out before anybody hears of it.
//
// Promises, whatever stores come and go:
// - Each change of a row raises its epoch, so that one epoch has one primary.
// - A primary was complete when it was named: the primary before it, or a complete backup.
// - A complete copy whose disk may still be there is dropped only once `copies` others are complete
//   and live: whoever is lost or stalls stays named meanwhile.
// - A store with another disk is another store.
// Rows are replaced by adding a backup that is incomplete and dropping the surplus one once it is
// complete; only the loss of a disk makes a row shorter in between.
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

// A store as the core's primary knows it.
struct StoreCandidate {
  std::string node;
  std::string zone;
  net::Address address;
  std::string disk;
  bool live = false;      // Its lease holds.
  bool retiring = false;  // An operator wants it emptied.
  std::uint64_t tokens_queued = 0;
};

struct PlacementRules {
  std::size_t copies = 2;       // Fault tolerance + 1.
  bool distinct_zones = false;  // Copies in one zone are not allowed, rather than avoided.
  std::size_t most_moves = 8;   // Joiners at a time that no loss asks for.
};

// A backup that the partition's primary cannot reach, by partition and disk.
using Stalled = std::set<std::pair<std::size_t, std::string>>;

struct RowChange {
  std::size_t partition = 0;
  PartitionRow row;
  bool data_lost = false;  // No complete copy exists any more: beyond the fault tolerance.
};

// All rows for the first time. Empty: too few stores.
std::vector<PartitionRow> FirstPlacement(const std::vector<StoreCandidate>& stores,
                                         const PlacementRules& rules);

// The changes to make now; empty: the placement stands.
std::vector<RowChange> NextChanges(const std::vector<PartitionRow>& rows,
                                   const std::vector<StoreCandidate>& stores,
                                   const Stalled& stalled, const PlacementRules& rules);

// Whether enough stores would be left without that node.
bool MayRetire(const std::vector<StoreCandidate>& stores, const std::string& node,
               const PlacementRules& rules);

// Whether a row names the disk, as anything.
bool Names(const PartitionRow& row, const std::string& disk);

// The row with that backup complete; its epoch has risen.
PartitionRow WithComplete(PartitionRow row, const std::string& disk);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_PLACEMENT_H_
