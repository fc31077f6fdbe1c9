#include "tier/cluster/placement.h"

#include <algorithm>

#include "tier/cluster/placement_planner.h"
#include "tier/cluster/row_copies.h"

namespace shelflink::cluster {
namespace {

using Table = std::vector<std::vector<Copy>>;  // Index: partition.

// The rows that gain most first, as many as may move at a time.
void MoveToEmptier(PlacementPlanner& planner, Table& rows) {
  while (true) {
    std::size_t best = 0;
    std::size_t best_gain = 0;
    for (std::size_t partition = 0; partition < rows.size(); ++partition) {
      const std::size_t gain = planner.GainOfMove(partition, rows[partition]);
      if (gain > best_gain) {
        best = partition;
        best_gain = gain;
      }
    }
    if (best_gain == 0) return;
    planner.Count(rows[best], -1);
    planner.Move(best, rows[best]);
    planner.Count(rows[best], +1);
  }
}

void SwapPrimaries(PlacementPlanner& planner, Table& rows) {
  for (std::size_t partition = 0; partition < rows.size(); ++partition) {
    std::vector<Copy>& copies = rows[partition];
    std::vector<Copy> swapped = copies;
    if (!planner.SwapPrimary(partition, swapped)) continue;
    planner.Count(copies, -1);
    copies = std::move(swapped);
    planner.Count(copies, +1);
  }
}

}  // namespace

std::vector<PartitionRow> FirstPlacement(const std::vector<StoreCandidate>& stores,
                                         const PlacementRules& rules) {
  const Stalled none;
  PlacementPlanner planner(stores, none, rules);
  std::vector<PartitionRow> rows;
  for (std::size_t partition = 0; partition < kPartitions; ++partition) {
    std::vector<Copy> copies;
    while (copies.size() < rules.copies) {
      const StoreCandidate* store = planner.Joiner(partition, copies, rules.distinct_zones);
      if (store == nullptr) return {};
      copies.push_back({store->address, store->disk, true});  // Nothing is there to be copied.
    }
    planner.PutFewestPrimariesFirst(copies);
    planner.Count(copies, +1);
    rows.push_back(RowOf(1, copies));
  }
  return rows;
}

std::vector<RowChange> NextChanges(const std::vector<PartitionRow>& rows,
                                   const std::vector<StoreCandidate>& stores,
                                   const Stalled& stalled, const PlacementRules& rules) {
  PlacementPlanner planner(stores, stalled, rules);
  Table next;
  for (const PartitionRow& row : rows) {
    next.push_back(CopiesOf(row));
    planner.Count(next.back(), +1);
  }
  std::vector<bool> data_lost(rows.size(), false);
  bool repaired = false;
  for (std::size_t partition = 0; partition < rows.size(); ++partition) {
    bool lost = false;
    planner.Count(next[partition], -1);
    planner.Repair(partition, next[partition], lost);
    planner.Count(next[partition], +1);
    data_lost[partition] = lost;
    repaired = repaired || !SameCopies(rows[partition], RowOf(0, next[partition]));
  }
  if (!repaired) {
    MoveToEmptier(planner, next);
    SwapPrimaries(planner, next);
  }
  std::vector<RowChange> changes;
  for (std::size_t partition = 0; partition < rows.size(); ++partition) {
    PartitionRow row = RowOf(rows[partition].epoch + 1, next[partition]);
    if (SameCopies(rows[partition], row)) continue;
    changes.push_back({partition, std::move(row), data_lost[partition]});
  }
  return changes;
}

bool MayRetire(const std::vector<StoreCandidate>& stores, const std::string& node,
               const PlacementRules& rules) {
  std::set<std::string> zones;
  std::size_t left = 0;
  for (const StoreCandidate& store : stores) {
    if (!store.live || store.retiring || store.node == node) continue;
    ++left;
    zones.insert(store.zone);
  }
  return rules.distinct_zones ? zones.size() >= rules.copies : left >= rules.copies;
}

bool Names(const PartitionRow& row, const std::string& disk) {
  return row.primary_disk == disk || std::find(row.backup_disks.begin(), row.backup_disks.end(),
                                               disk) != row.backup_disks.end();
}

PartitionRow WithComplete(PartitionRow row, const std::string& disk) {
  for (std::size_t index = 0; index < row.backup_disks.size(); ++index) {
    if (row.backup_disks[index] == disk) row.complete[index] = true;
  }
  ++row.epoch;
  return row;
}

}  // namespace shelflink::cluster
