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
    DropGoneBackups(copies);
    ReplaceLostJoiners(partition, copies);
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
  bool SwapPrimary(std::size_t partition, std::vector<Copy>& copies) {
    if (joins_ > 0) return false;
    for (std::size_t index = 1; index < copies.size(); ++index) {
      const Copy& backup = copies[index];
      if (!IsWhole(partition, backup) || !IsLive(copies.front().disk)) continue;
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
      if (IsStalled(partition, store.disk)) continue;
      if (zone_must_differ && ZoneTaken(partition, copies, store.zone)) continue;
      if (best == nullptr || Rank(partition, copies, store) < Rank(partition, copies, *best)) {
        best = &store;
      }
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
  bool IsStalled(std::size_t partition, const std::string& disk) const {
    return stalled_.count({partition, disk}) > 0;
  }
  // Live, answers its primary, and stays.
  bool IsSound(std::size_t partition, const Copy& copy) const {
    return IsUsable(copy.disk) && !IsStalled(partition, copy.disk);
  }
  // One of those that a write needs: sound, and holds everything.
  bool IsWhole(std::size_t partition, const Copy& copy) const {
    return copy.complete && IsSound(partition, copy);
  }

  Share ShareOf(const std::string& disk) const {
    const auto found = shares_.find(disk);
    return found == shares_.end() ? Share() : found->second;
  }

  // By a copy that is there to stay; one that is lost makes way for another in its zone.
  bool ZoneTaken(std::size_t partition, const std::vector<Copy>& copies,
                 const std::string& zone) const {
    return std::any_of(copies.begin(), copies.end(), [&](const Copy& copy) {
      return IsSound(partition, copy) && Find(copy.disk)->zone == zone;
    });
  }

  // Lower is better; the disk only makes it certain.
  std::tuple<bool, std::size_t, std::uint64_t, std::string_view> Rank(
      std::size_t partition, const std::vector<Copy>& copies, const StoreCandidate& store) const {
    return {ZoneTaken(partition, copies, store.zone), ShareOf(store.disk).copies,
            store.tokens_queued, store.disk};
  }

  // A store keeps its disk but may come back at another address.
  void FollowAddresses(std::vector<Copy>& copies) const {
    for (Copy& copy : copies) {
      const StoreCandidate* store = Find(copy.disk);
      if (store != nullptr) copy.address = store->address;
    }
  }

  // Which complete backups may become the primary.
  enum class Heir { kSound, kRetiring, kStalled };

  // Index of a live complete backup with the fewest primaries' parts.
  std::optional<std::size_t> Successor(std::size_t partition, const std::vector<Copy>& copies,
                                       Heir least) const {
    std::optional<std::size_t> best;
    for (std::size_t index = 1; index < copies.size(); ++index) {
      const Copy& copy = copies[index];
      if (!copy.complete || !IsLive(copy.disk)) continue;
      if (IsRetiring(copy.disk) && least == Heir::kSound) continue;
      if (IsStalled(partition, copy.disk) && least != Heir::kStalled) continue;
      if (!best || ShareOf(copy.disk).primaries < ShareOf(copies[*best].disk).primaries) {
        best = index;
      }
    }
    return best;
  }

  // The lost primary stays named as a complete backup, see DropSurplus.
  void ReplacePrimary(std::size_t partition, std::vector<Copy>& copies, bool& data_lost) {
    if (IsLive(copies.front().disk)) return;
    // That a backup stalls is the word of the primary that is lost: better than no primary.
    for (const Heir least : {Heir::kSound, Heir::kRetiring, Heir::kStalled}) {
      if (const auto successor = Successor(partition, copies, least)) {
        std::swap(copies.front(), copies[*successor]);
        return;
      }
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

  void DropGoneBackups(std::vector<Copy>& copies) const {
    if (!IsLive(copies.front().disk)) return;
    const auto gone = [&](const Copy& copy) { return IsGone(copy.disk); };
    copies.erase(std::remove_if(copies.begin() + 1, copies.end(), gone), copies.end());
  }

  // A lost joiner holds nothing that others do not: another takes its place where there is one. A
  // complete backup that is lost or stalls has everything and stays, see DropSurplus.
  void ReplaceLostJoiners(std::size_t partition, std::vector<Copy>& copies) {
    if (!IsLive(copies.front().disk)) return;
    for (std::size_t index = copies.size() - 1; index >= 1; --index) {
      const Copy& copy = copies[index];
      const bool lost = !IsLive(copy.disk) || IsStalled(partition, copy.disk);
      if (copy.complete || !lost) continue;
      std::vector<Copy> rest = copies;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(index));
      const bool enough = CountSound(partition, rest) >= rules_.copies;
      const bool replaced = Joiner(partition, rest, rules_.distinct_zones) != nullptr;
      if (enough || replaced) copies = rest;
    }
  }

  void AddMissing(std::size_t partition, std::vector<Copy>& copies) {
    if (!IsLive(copies.front().disk)) return;
    while (CountSound(partition, copies) < rules_.copies) {
      if (!AddJoiner(partition, copies, rules_.distinct_zones)) return;
    }
  }

  std::size_t CountSound(std::size_t partition, const std::vector<Copy>& copies) const {
    return static_cast<std::size_t>(std::count_if(
        copies.begin(), copies.end(), [&](const Copy& copy) { return IsSound(partition, copy); }));
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
    const std::optional<std::size_t> successor = Successor(partition, copies, Heir::kSound);
    if (successor) std::swap(copies.front(), copies[*successor]);
  }

  std::size_t CountWhole(std::size_t partition, const std::vector<Copy>& copies) const {
    return static_cast<std::size_t>(std::count_if(
        copies.begin(), copies.end(), [&](const Copy& copy) { return IsWhole(partition, copy); }));
  }

  // A joiner that still catches up: it was added to take another's place, so nobody goes before it
  // is whole, itself least of all.
  bool HasUsableJoiner(std::size_t partition, const std::vector<Copy>& copies) const {
    return std::any_of(copies.begin(), copies.end(), [&](const Copy& copy) {
      return !copy.complete && IsSound(partition, copy);
    });
  }

  // Once enough copies are whole, those that are lost or stall go, and when no joiner is under way
  // those that retire or are one too many. Not sooner: what is acknowledged lies on the complete
  // copies alone, and a row without enough whole ones acknowledges nothing, named as they may be.
  void DropSurplus(std::size_t partition, std::vector<Copy>& copies) const {
    if (CountWhole(partition, copies) < rules_.copies) return;
    const auto hinders = [&](const Copy& copy) {
      return !IsLive(copy.disk) || IsStalled(partition, copy.disk);
    };
    copies.erase(std::remove_if(copies.begin() + 1, copies.end(), hinders), copies.end());
    if (HasUsableJoiner(partition, copies)) return;
    while (copies.size() > rules_.copies) {
      const std::size_t worst = WorstCopy(partition, copies);
      const bool whole = IsWhole(partition, copies[worst]);
      if (whole && CountWhole(partition, copies) <= rules_.copies) return;
      if (worst == 0) {
        const std::optional<std::size_t> successor = Successor(partition, copies, Heir::kSound);
        if (!successor) return;
        std::swap(copies.front(), copies[*successor]);
        copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(*successor));
      } else {
        copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(worst));
      }
    }
  }

  std::size_t WorstCopy(std::size_t partition, const std::vector<Copy>& copies) const {
    std::size_t worst = 0;
    for (std::size_t index = 1; index < copies.size(); ++index) {
      if (DropRank(partition, copies, index) > DropRank(partition, copies, worst)) worst = index;
    }
    return worst;
  }

  // Higher goes first: who retires, is lost, stalls, misses something, shares a zone with another
  // copy, or has most; a backup before the primary.
  std::tuple<bool, bool, bool, bool, bool, std::size_t, bool> DropRank(
      std::size_t partition, const std::vector<Copy>& copies, std::size_t index) const {
    const Copy& copy = copies[index];
    std::vector<Copy> rest = copies;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(index));
    const StoreCandidate* store = Find(copy.disk);
    const bool shares_zone = store != nullptr && ZoneTaken(partition, rest, store->zone);
    return {IsRetiring(copy.disk),
            !IsLive(copy.disk),
            IsStalled(partition, copy.disk),
            !copy.complete,
            shares_zone,
            ShareOf(copy.disk).copies,
            index > 0};
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
