#include "tier/cluster/placement_planner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shelflink::cluster {
namespace {

// Rows a store may hold more than the emptiest one before one of them is moved.
constexpr std::size_t kTolerableSpread = 2;

}  // namespace

PlacementPlanner::PlacementPlanner(const std::vector<StoreCandidate>& stores,
                                   const Stalled& stalled, const PlacementRules& rules)
    : stores_(stores), stalled_(stalled), rules_(rules) {
  for (const StoreCandidate& store : stores) by_disk_[store.disk] = &store;
}

void PlacementPlanner::Count(const std::vector<Copy>& copies, int sign) {
  for (const Copy& copy : copies) {
    shares_[copy.disk].copies += static_cast<std::size_t>(sign);
    if (!copy.complete) joins_ += static_cast<std::size_t>(sign);
  }
  shares_[copies.front().disk].primaries += static_cast<std::size_t>(sign);
}

void PlacementPlanner::Repair(std::size_t partition, std::vector<Copy>& copies, bool& data_lost) {
  FollowAddresses(copies);
  ReplacePrimary(partition, copies, data_lost);
  DropGoneBackups(copies);
  ReplaceLostJoiners(partition, copies);
  AddMissing(partition, copies);
  ReplaceRetiringPrimary(partition, copies);
  DropSurplus(partition, copies);
}

std::size_t PlacementPlanner::GainOfMove(std::size_t partition,
                                         const std::vector<Copy>& copies) const {
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

void PlacementPlanner::Move(std::size_t partition, std::vector<Copy>& copies) const {
  Append(copies, *MoveTarget(partition, copies));
}

bool PlacementPlanner::SwapPrimary(std::size_t partition, std::vector<Copy>& copies) {
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

void PlacementPlanner::PutFewestPrimariesFirst(std::vector<Copy>& copies) const {
  const auto fewest =
      std::min_element(copies.begin(), copies.end(), [&](const Copy& a, const Copy& b) {
        return ShareOf(a.disk).primaries < ShareOf(b.disk).primaries;
      });
  std::iter_swap(copies.begin(), fewest);
}

const StoreCandidate* PlacementPlanner::Joiner(std::size_t partition,
                                               const std::vector<Copy>& copies,
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

bool PlacementPlanner::HasZoneTwice(const std::vector<Copy>& copies) const {
  std::set<std::string> zones;
  for (const Copy& copy : copies) {
    const StoreCandidate* store = Find(copy.disk);
    if (store != nullptr && !zones.insert(store->zone).second) return true;
  }
  return false;
}

const StoreCandidate* PlacementPlanner::Find(const std::string& disk) const {
  const auto found = by_disk_.find(disk);
  return found == by_disk_.end() ? nullptr : found->second;
}

bool PlacementPlanner::IsLive(const std::string& disk) const {
  const StoreCandidate* store = Find(disk);
  return store != nullptr && store->live;
}

bool PlacementPlanner::IsRetiring(const std::string& disk) const {
  const StoreCandidate* store = Find(disk);
  return store != nullptr && store->retiring;
}

bool PlacementPlanner::IsStalled(std::size_t partition, const std::string& disk) const {
  return stalled_.count({partition, disk}) > 0;
}

bool PlacementPlanner::IsSound(std::size_t partition, const Copy& copy) const {
  return IsUsable(copy.disk) && !IsStalled(partition, copy.disk);
}

bool PlacementPlanner::IsWhole(std::size_t partition, const Copy& copy) const {
  return copy.complete && IsSound(partition, copy);
}

PlacementPlanner::Share PlacementPlanner::ShareOf(const std::string& disk) const {
  const auto found = shares_.find(disk);
  return found == shares_.end() ? Share() : found->second;
}

bool PlacementPlanner::ZoneTaken(std::size_t partition, const std::vector<Copy>& copies,
                                 const std::string& zone) const {
  return std::any_of(copies.begin(), copies.end(), [&](const Copy& copy) {
    return IsSound(partition, copy) && Find(copy.disk)->zone == zone;
  });
}

std::tuple<bool, std::size_t, std::uint64_t, std::string_view> PlacementPlanner::Rank(
    std::size_t partition, const std::vector<Copy>& copies, const StoreCandidate& store) const {
  return {ZoneTaken(partition, copies, store.zone), ShareOf(store.disk).copies, store.tokens_queued,
          store.disk};
}

void PlacementPlanner::FollowAddresses(std::vector<Copy>& copies) const {
  for (Copy& copy : copies) {
    const StoreCandidate* store = Find(copy.disk);
    if (store != nullptr) copy.address = store->address;
  }
}

std::optional<std::size_t> PlacementPlanner::Successor(std::size_t partition,
                                                       const std::vector<Copy>& copies,
                                                       SuccessorCondition least) const {
  std::optional<std::size_t> best;
  for (std::size_t index = 1; index < copies.size(); ++index) {
    const Copy& copy = copies[index];
    if (!copy.complete || !IsLive(copy.disk)) continue;
    if (IsRetiring(copy.disk) && least == SuccessorCondition::kSound) continue;
    if (IsStalled(partition, copy.disk) && least != SuccessorCondition::kStalled) continue;
    if (!best || ShareOf(copy.disk).primaries < ShareOf(copies[*best].disk).primaries) {
      best = index;
    }
  }
  return best;
}

void PlacementPlanner::ReplacePrimary(std::size_t partition, std::vector<Copy>& copies,
                                      bool& data_lost) {
  if (IsLive(copies.front().disk)) return;
  // That a backup stalls is the word of the primary that is lost: better than no primary.
  for (const SuccessorCondition least :
       {SuccessorCondition::kSound, SuccessorCondition::kRetiring, SuccessorCondition::kStalled}) {
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

void PlacementPlanner::RestartEmpty(std::size_t partition, std::vector<Copy>& copies,
                                    bool& data_lost) {
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

void PlacementPlanner::DropGoneBackups(std::vector<Copy>& copies) const {
  if (!IsLive(copies.front().disk)) return;
  const auto gone = [&](const Copy& copy) { return IsGone(copy.disk); };
  copies.erase(std::remove_if(copies.begin() + 1, copies.end(), gone), copies.end());
}

void PlacementPlanner::ReplaceLostJoiners(std::size_t partition, std::vector<Copy>& copies) {
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

void PlacementPlanner::AddMissing(std::size_t partition, std::vector<Copy>& copies) {
  if (!IsLive(copies.front().disk)) return;
  while (CountSound(partition, copies) < rules_.copies) {
    if (!AddJoiner(partition, copies, rules_.distinct_zones)) return;
  }
}

std::size_t PlacementPlanner::CountSound(std::size_t partition,
                                         const std::vector<Copy>& copies) const {
  return static_cast<std::size_t>(std::count_if(
      copies.begin(), copies.end(), [&](const Copy& copy) { return IsSound(partition, copy); }));
}

bool PlacementPlanner::AddJoiner(std::size_t partition, std::vector<Copy>& copies,
                                 bool zone_must_differ) {
  const StoreCandidate* joiner = Joiner(partition, copies, zone_must_differ);
  if (joiner == nullptr) return false;
  Append(copies, *joiner);
  return true;
}

void PlacementPlanner::Append(std::vector<Copy>& copies, const StoreCandidate& store) {
  copies.push_back({store.address, store.disk, false});
}

void PlacementPlanner::ReplaceRetiringPrimary(std::size_t partition, std::vector<Copy>& copies) {
  if (!IsRetiring(copies.front().disk)) return;
  const std::optional<std::size_t> successor =
      Successor(partition, copies, SuccessorCondition::kSound);
  if (successor) std::swap(copies.front(), copies[*successor]);
}

std::size_t PlacementPlanner::CountWhole(std::size_t partition,
                                         const std::vector<Copy>& copies) const {
  return static_cast<std::size_t>(std::count_if(
      copies.begin(), copies.end(), [&](const Copy& copy) { return IsWhole(partition, copy); }));
}

bool PlacementPlanner::HasUsableJoiner(std::size_t partition,
                                       const std::vector<Copy>& copies) const {
  return std::any_of(copies.begin(), copies.end(),
                     [&](const Copy& copy) { return !copy.complete && IsSound(partition, copy); });
}

void PlacementPlanner::DropSurplus(std::size_t partition, std::vector<Copy>& copies) const {
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
      const std::optional<std::size_t> successor =
          Successor(partition, copies, SuccessorCondition::kSound);
      if (!successor) return;
      std::swap(copies.front(), copies[*successor]);
      copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(*successor));
    } else {
      copies.erase(copies.begin() + static_cast<std::ptrdiff_t>(worst));
    }
  }
}

std::size_t PlacementPlanner::WorstCopy(std::size_t partition,
                                        const std::vector<Copy>& copies) const {
  std::size_t worst = 0;
  for (std::size_t index = 1; index < copies.size(); ++index) {
    if (DropRank(partition, copies, index) > DropRank(partition, copies, worst)) worst = index;
  }
  return worst;
}

std::tuple<bool, bool, bool, bool, bool, std::size_t, bool> PlacementPlanner::DropRank(
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

std::size_t PlacementPlanner::Heaviest(const std::vector<Copy>& copies) const {
  std::size_t heaviest = 0;
  for (std::size_t index = 1; index < copies.size(); ++index) {
    const std::size_t share = ShareOf(copies[index].disk).copies;
    if (share > ShareOf(copies[heaviest].disk).copies) heaviest = index;
  }
  return heaviest;
}

const StoreCandidate* PlacementPlanner::MoveTarget(std::size_t partition,
                                                   const std::vector<Copy>& copies) const {
  if (HasZoneTwice(copies)) return Joiner(partition, copies, /*zone_must_differ=*/true);
  std::vector<Copy> rest = copies;
  rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(Heaviest(copies)));
  const StoreCandidate* joiner = Joiner(partition, rest, /*zone_must_differ=*/true);
  return joiner == nullptr || Contains(copies, joiner->disk) ? nullptr : joiner;
}

}  // namespace shelflink::cluster
