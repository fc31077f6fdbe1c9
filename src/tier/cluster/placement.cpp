#include "tier/cluster/placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>

namespace shelflink::cluster {
namespace {

// Rows a store may hold more than the emptiest one before one of them is moved.
constexpr std::size_t kTolerableSpread = 2;

// One copy of a partition, as a row names it.
struct Copy {
  net::Address address;
  std::string disk;
  bool complete = false;
};

// A row as a list of copies; the first one is the primary.
std::vector<Copy> CopiesOf(const PartitionRow& row) {
  std::vector<Copy> copies{{row.primary, row.primary_disk, true}};
  for (std::size_t index = 0; index < row.backups.size(); ++index) {
    copies.push_back({row.backups[index], row.backup_disks[index], row.complete[index]});
  }
  return copies;
}

PartitionRow RowOf(std::uint64_t epoch, const std::vector<Copy>& copies) {
  PartitionRow row;
  row.epoch = epoch;
  row.primary = copies.front().address;
  row.primary_disk = copies.front().disk;
  for (std::size_t index = 1; index < copies.size(); ++index) {
    row.backups.push_back(copies[index].address);
    row.backup_disks.push_back(copies[index].disk);
    row.complete.push_back(copies[index].complete);
  }
  return row;
}

bool SameCopies(const PartitionRow& a, const PartitionRow& b) {
  return std::tie(a.primary, a.primary_disk, a.backups, a.backup_disks, a.complete) ==
         std::tie(b.primary, b.primary_disk, b.backups, b.backup_disks, b.complete);
}

bool Contains(const std::vector<Copy>& copies, const std::string& disk) {
  return std::any_of(copies.begin(), copies.end(),
                     [&](const Copy& copy) { return copy.disk == disk; });
}

// How much each store holds, kept up to date while rows change.
struct Share {
  std::size_t copies = 0;
  std::size_t primaries = 0;
};

class Planner {
 public:
  Planner(const std::vector<StoreCandidate>& stores, const Stalled& stalled,
          const PlacementRules& rules)
      : stores_(stores), stalled_(stalled), rules_(rules) {
    for (const StoreCandidate& store : stores) by_disk_[store.disk] = &store;
  }

  void Count(const std::vector<Copy>& copies, int sign) {
    for (const Copy& copy : copies) {
      shares_[copy.disk].copies += static_cast<std::size_t>(sign);
      if (!copy.complete) joins_ += static_cast<std::size_t>(sign);
    }
    shares_[copies.front().disk].primaries += static_cast<std::size_t>(sign);
  }

  // What losses, stalls, retirement and finished moves ask of a row.
  void Repair(std::size_t partition, std::vector<Copy>& copies, bool& data_lost) {
    FollowAddresses(copies);
    ReplacePrimary(partition, copies, data_lost);
    ReplaceLostBackups(partition, copies);
    AddMissing(partition, copies);
    ReplaceRetiringPrimary(partition, copies);
    DropSurplus(partition, copies);
  }

  // How much better the row would lie with a joiner in place of one of its copies; 0: not at all.
  std::size_t GainOfMove(std::size_t partition, const std::vector<Copy>& copies) const {
    if (copies.size() != rules_.copies || joins_ >= rules_.most_moves) return 0;
    const bool settled = std::all_of(copies.begin(), copies.end(), [&](const Copy& copy) {
      return copy.complete && IsLive(copy.disk);
    });
    if (!settled) return 0;
    const StoreCandidate* joiner = MoveTarget(partition, copies);
    if (joiner == nullptr) return 0;
    if (HasZoneTwice(copies)) return kPartitions * rules_.copies;  // Before all others.
    const std::size_t from = ShareOf(copies[Heaviest(copies)].disk).copies;
    const std::size_t to = ShareOf(joiner->disk).copies;
    return from >= to + kTolerableSpread ? from - to : 0;
  }

  void Move(std::size_t partition, std::vector<Copy>& copies) const {
    Append(copies, *MoveTarget(partition, copies));
  }

  // Hands the primary's part to a complete backup that has fewer; says whether it did.
  bool SwapPrimary(std::vector<Copy>& copies) {
    if (joins_ > 0) return false;
    for (std::size_t index = 1; index < copies.size(); ++index) {
      const Copy& backup = copies[index];
      if (!backup.complete || !IsUsable(backup.disk) || !IsLive(copies.front().disk)) continue;
      const std::size_t here = shares_[copies.front().disk].primaries;
      if (here >= shares_[backup.disk].primaries + kTolerableSpread) {
        std::swap(copies.front(), copies[index]);
        return true;
      }
    }
    return false;
  }

  void PutFewestPrimariesFirst(std::vector<Copy>& copies) const {
    const auto fewest =
        std::min_element(copies.begin(), copies.end(), [&](const Copy& a, const Copy& b) {
          return ShareOf(a.disk).primaries < ShareOf(b.disk).primaries;
        });
    std::iter_swap(copies.begin(), fewest);
  }

  // The least loaded usable store that may join those copies.
  const StoreCandidate* Joiner(std::size_t partition, const std::vector<Copy>& copies,
                               bool zone_must_differ) const {
    const StoreCandidate* best = nullptr;
    for (const StoreCandidate& store : stores_) {
      if (!store.live || store.retiring || Contains(copies, store.disk)) continue;
      if (stalled_.count({partition, store.disk}) > 0) continue;
      if (zone_must_differ && ZoneTaken(copies, store.zone)) continue;
      if (best == nullptr || Rank(copies, store) < Rank(copies, *best)) best = &store;
    }
    return best;
  }

  bool HasZoneTwice(const std::vector<Copy>& copies) const {
    std::set<std::string> zones;
    for (const Copy& copy : copies) {
      const StoreCandidate* store = Find(copy.disk);
      if (store != nullptr && !zones.insert(store->zone).second) return true;
    }
    return false;
  }

 private:
  const StoreCandidate* Find(const std::string& disk) const {
    const auto found = by_disk_.find(disk);
    return found == by_disk_.end() ? nullptr : found->second;
  }
  bool IsLive(const std::string& disk) const {
    const StoreCandidate* store = Find(disk);
    return store != nullptr && store->live;
  }
  // No store has that disk any more: it will not come back.
  bool IsGone(const std::string& disk) const { return Find(disk) == nullptr; }
  bool IsRetiring(const std::string& disk) const {
    const StoreCandidate* store = Find(disk);
    return store != nullptr && store->retiring;
  }
  bool IsUsable(const std::string& disk) const { return IsLive(disk) && !IsRetiring(disk); }

  Share ShareOf(const std::string& disk) const {
    const auto found = shares_.find(disk);
    return found == shares_.end() ? Share() : found->second;
  }

  bool ZoneTaken(const std::vector<Copy>& copies, const std::string& zone) const {
    return std::any_of(copies.begin(), copies.end(), [&](const Copy& copy) {
      const StoreCandidate* store = Find(copy.disk);
      return store != nullptr && !store->retiring && store->zone == zone;
    });
  }

  // Lower is better; the disk only makes it certain.
  std::tuple<bool, std::size_t, std::uint64_t, std::string_view> Rank(
      const std::vector<Copy>& copies, const StoreCandidate& store) const {
    return {ZoneTaken(copies, store.zone), ShareOf(store.disk).copies, store.tokens_queued,
            store.disk};
  }

  // A store keeps its disk but may come back at another address.
  void FollowAddresses(std::vector<Copy>& copies) const {
    for (Copy& copy : copies) {
      const StoreCandidate* store = Find(copy.disk);
      if (store != nullptr) copy.address = store->address;
    }
  }

  // Index of a live complete backup with the fewest primaries' parts.
  std::optional<std::size_t> Successor(std::size_t partition, const std::vector<Copy>& copies,
                                       bool may_retire) const {
    std::optional<std::size_t> best;
    for (std::size_t index = 1; index < copies.size(); ++index) {
      const Copy& copy = copies[index];
      if (!copy.complete || !IsLive(copy.disk)) continue;
      if (IsRetiring(copy.disk) && !may_retire) continue;
      if (stalled_.count({partition, copy.disk}) > 0) continue;
      if (!best || ShareOf(copy.disk).primaries < ShareOf(copies[*best].disk).primaries) {
        best = index;
      }
    }
    return best;
  }

  void ReplacePrimary(std::size_t partition, std::vector<Copy>& copies, bool& data_lost) {
    if (IsLive(copies.front().disk)) return;
    std::optional<std::size_t> successor = Successor(partition, copies, false);
    if (!successor) successor = Successor(partition, copies, true);
    if (successor) {
      copies.front() = copies[*successor];
      copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(*successor));
      return;
    }
    const bool may_return = std::any_of(copies.begin(), copies.end(), [&](const Copy& copy) {
      return copy.complete && !IsGone(copy.disk);
    });
    if (!may_return) RestartEmpty(partition, copies, data_lost);
  }

  // Nobody who was complete will come back: goes on with what is left.
  void RestartEmpty(std::size_t partition, std::vector<Copy>& copies, bool& data_lost) {
    std::vector<Copy> left;
    for (const Copy& copy : copies) {
      if (IsUsable(copy.disk)) left.push_back({copy.address, copy.disk, left.empty()});
    }
    if (left.empty()) {
      const StoreCandidate* store = Joiner(partition, {}, false);
      if (store == nullptr) return;
      left.push_back({store->address, store->disk, true});
    }
    copies = left;
    data_lost = true;
  }

  bool IsLostBackup(std::size_t partition, const Copy& copy) const {
    return !IsLive(copy.disk) || stalled_.count({partition, copy.disk}) > 0;
  }

  // A lost backup stays named until another store can take its place: if it comes back it has
  // everything, for nothing could be acknowledged without it.
  void ReplaceLostBackups(std::size_t partition, std::vector<Copy>& copies) {
    if (!IsLive(copies.front().disk)) return;
    for (std::size_t index = copies.size() - 1; index >= 1; --index) {
      if (!IsLostBackup(partition, copies[index])) continue;
      std::vector<Copy> rest = copies;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(index));
      const bool enough = rest.size() >= rules_.copies;
      const StoreCandidate* joiner = Joiner(partition, rest, rules_.distinct_zones);
      if (!enough && joiner == nullptr && !IsGone(copies[index].disk)) continue;
      copies = rest;
      if (!enough && joiner != nullptr) Append(copies, *joiner);
    }
  }

  void AddMissing(std::size_t partition, std::vector<Copy>& copies) {
    if (!IsLive(copies.front().disk)) return;
    while (CountStaying(copies) < rules_.copies) {
      if (!AddJoiner(partition, copies, rules_.distinct_zones)) return;
    }
  }

  std::size_t CountStaying(const std::vector<Copy>& copies) const {
    return static_cast<std::size_t>(std::count_if(
        copies.begin(), copies.end(), [&](const Copy& copy) { return !IsRetiring(copy.disk); }));
  }

  bool AddJoiner(std::size_t partition, std::vector<Copy>& copies, bool zone_must_differ) {
    const StoreCandidate* joiner = Joiner(partition, copies, zone_must_differ);
    if (joiner == nullptr) return false;
    Append(copies, *joiner);
    return true;
  }

  static void Append(std::vector<Copy>& copies, const StoreCandidate& store) {
    copies.push_back({store.address, store.disk, false});
  }

  void ReplaceRetiringPrimary(std::size_t partition, std::vector<Copy>& copies) {
    if (!IsRetiring(copies.front().disk)) return;
    const std::optional<std::size_t> successor = Successor(partition, copies, false);
    if (successor) std::swap(copies.front(), copies[*successor]);
  }

  // Copies that hold everything, are live and stay.
  std::size_t CountWhole(const std::vector<Copy>& copies) const {
    return static_cast<std::size_t>(
        std::count_if(copies.begin(), copies.end(),
                      [&](const Copy& copy) { return copy.complete && IsUsable(copy.disk); }));
  }

  // A joiner that still catches up: it was added to take another's place, so nobody goes before it
  // is whole, itself least of all.
  bool HasUsableJoiner(std::size_t partition, const std::vector<Copy>& copies) const {
    return std::any_of(copies.begin(), copies.end(), [&](const Copy& copy) {
      return !copy.complete && IsUsable(copy.disk) && stalled_.count({partition, copy.disk}) == 0;
    });
  }

  // Once enough copies are whole, those that retire or are one too many go.
  void DropSurplus(std::size_t partition, std::vector<Copy>& copies) const {
    if (CountWhole(copies) < rules_.copies || HasUsableJoiner(partition, copies)) return;
    while (copies.size() > rules_.copies) {
      const std::size_t worst = WorstCopy(copies);
      const bool whole = copies[worst].complete && IsUsable(copies[worst].disk);
      if (whole && CountWhole(copies) <= rules_.copies) return;
      if (worst == 0) {
        const std::optional<std::size_t> successor = Successor(partition, copies, false);
        if (!successor) return;
        std::swap(copies.front(), copies[*successor]);
        copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(*successor));
      } else {
        copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(worst));
      }
    }
  }

  std::size_t WorstCopy(const std::vector<Copy>& copies) const {
    std::size_t worst = 0;
    for (std::size_t index = 1; index < copies.size(); ++index) {
      if (DropRank(copies, index) > DropRank(copies, worst)) worst = index;
    }
    return worst;
  }

  // Higher goes first: who retires, is lost, misses something, shares a zone with another copy, or
  // has most; a backup before the primary.
  std::tuple<bool, bool, bool, bool, std::size_t, bool> DropRank(const std::vector<Copy>& copies,
                                                                 std::size_t index) const {
    const Copy& copy = copies[index];
    std::vector<Copy> rest = copies;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(index));
    const StoreCandidate* store = Find(copy.disk);
    const bool shares_zone = store != nullptr && ZoneTaken(rest, store->zone);
    return {IsRetiring(copy.disk), !IsLive(copy.disk),        !copy.complete,
            shares_zone,           ShareOf(copy.disk).copies, index > 0};
  }

  // The copy whose store holds the most.
  std::size_t Heaviest(const std::vector<Copy>& copies) const {
    std::size_t heaviest = 0;
    for (std::size_t index = 1; index < copies.size(); ++index) {
      const std::size_t share = ShareOf(copies[index].disk).copies;
      if (share > ShareOf(copies[heaviest].disk).copies) heaviest = index;
    }
    return heaviest;
  }

  // Who would take the place of the heaviest copy, in no zone of the others.
  const StoreCandidate* MoveTarget(std::size_t partition, const std::vector<Copy>& copies) const {
    if (HasZoneTwice(copies)) return Joiner(partition, copies, /*zone_must_differ=*/true);
    std::vector<Copy> rest = copies;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(Heaviest(copies)));
    const StoreCandidate* joiner = Joiner(partition, rest, /*zone_must_differ=*/true);
    return joiner == nullptr || Contains(copies, joiner->disk) ? nullptr : joiner;
  }

  const std::vector<StoreCandidate>& stores_;
  const Stalled& stalled_;
  const PlacementRules& rules_;
  std::map<std::string, const StoreCandidate*> by_disk_;
  std::map<std::string, Share> shares_;
  std::size_t joins_ = 0;
};

}  // namespace

namespace {

using Table = std::vector<std::vector<Copy>>;  // Index: partition.

// The rows that gain most first, as many as may move at a time.
void MoveToEmptier(Planner& planner, Table& rows) {
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

void SwapPrimaries(Planner& planner, Table& rows) {
  for (std::vector<Copy>& copies : rows) {
    std::vector<Copy> swapped = copies;
    if (!planner.SwapPrimary(swapped)) continue;
    planner.Count(copies, -1);
    copies = std::move(swapped);
    planner.Count(copies, +1);
  }
}

}  // namespace

std::vector<PartitionRow> FirstPlacement(const std::vector<StoreCandidate>& stores,
                                         const PlacementRules& rules) {
  const Stalled none;
  Planner planner(stores, none, rules);
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
  Planner planner(stores, stalled, rules);
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
