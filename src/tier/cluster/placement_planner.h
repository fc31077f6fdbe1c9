// Computes the changes of one placement: the load of each store and the next change of a row. The
// caller removes a row from the count, changes it and adds it again. Pure; placement.h lists the
// guarantees.
#ifndef SHELFLINK_TIER_CLUSTER_PLACEMENT_PLANNER_H_
#define SHELFLINK_TIER_CLUSTER_PLACEMENT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "tier/cluster/placement.h"
#include "tier/cluster/row_copies.h"

namespace shelflink::cluster {

class PlacementPlanner {
 public:
  // The arguments must outlive this object.
  PlacementPlanner(const std::vector<StoreCandidate>& stores, const Stalled& stalled,
                   const PlacementRules& rules);

  // Adds a row's copies to the load of the stores (`sign` 1) or removes them (-1).
  void Count(const std::vector<Copy>& copies, int sign);

  // Changes a row as required by losses, stalls, retirement and finished moves.
  void Repair(std::size_t partition, std::vector<Copy>& copies, bool& data_lost);

  // How much a move of one of the row's copies would improve the balance; 0: not at all.
  std::size_t GainOfMove(std::size_t partition, const std::vector<Copy>& copies) const;

  // Adds the joiner of that move.
  void Move(std::size_t partition, std::vector<Copy>& copies) const;

  // Makes a complete backup the primary if its store is primary of fewer partitions; returns
  // whether it did.
  bool SwapPrimary(std::size_t partition, std::vector<Copy>& copies);

  // Makes the copy whose store is primary of the fewest partitions the primary.
  void PutFewestPrimariesFirst(std::vector<Copy>& copies) const;

  // The least loaded usable store that may be added to those copies.
  const StoreCandidate* Joiner(std::size_t partition, const std::vector<Copy>& copies,
                               bool zone_must_differ) const;

  bool HasZoneTwice(const std::vector<Copy>& copies) const;

 private:
  // Load of a store, updated while rows change.
  struct Share {
    std::size_t copies = 0;
    std::size_t primaries = 0;
  };

  const StoreCandidate* Find(const std::string& disk) const;
  bool IsLive(const std::string& disk) const;
  // No store has that disk any more; it will not return.
  bool IsGone(const std::string& disk) const { return Find(disk) == nullptr; }
  bool IsRetiring(const std::string& disk) const;
  bool IsUsable(const std::string& disk) const { return IsLive(disk) && !IsRetiring(disk); }
  bool IsStalled(std::size_t partition, const std::string& disk) const;
  // Live, not stalled and not retiring.
  bool IsSound(std::size_t partition, const Copy& copy) const;
  // Sound and complete.
  bool IsWhole(std::size_t partition, const Copy& copy) const;

  Share ShareOf(const std::string& disk) const;

  // Whether a sound copy is in the zone; a lost one may be replaced within its zone.
  bool ZoneTaken(std::size_t partition, const std::vector<Copy>& copies,
                 const std::string& zone) const;

  // Lower is better; the disk breaks ties.
  std::tuple<bool, std::size_t, std::uint64_t, std::string_view> Rank(
      std::size_t partition, const std::vector<Copy>& copies, const StoreCandidate& store) const;

  // A store may return with its disk at another address.
  void FollowAddresses(std::vector<Copy>& copies) const;

  // Requirement on a complete backup that becomes primary.
  enum class SuccessorCondition { kSound, kRetiring, kStalled };

  // Index of the live complete backup whose store is primary of the fewest partitions.
  std::optional<std::size_t> Successor(std::size_t partition, const std::vector<Copy>& copies,
                                       SuccessorCondition least) const;

  // The lost primary stays in the row as a complete backup, see DropSurplus.
  void ReplacePrimary(std::size_t partition, std::vector<Copy>& copies, bool& data_lost);

  // No complete copy will return: continues with what is left.
  void RestartEmpty(std::size_t partition, std::vector<Copy>& copies, bool& data_lost);

  void DropGoneBackups(std::vector<Copy>& copies) const;

  // Replaces a lost joiner if another store is available, since it holds nothing that others do
  // not. A complete backup that is lost or stalled stays, see DropSurplus.
  void ReplaceLostJoiners(std::size_t partition, std::vector<Copy>& copies);

  void AddMissing(std::size_t partition, std::vector<Copy>& copies);

  std::size_t CountSound(std::size_t partition, const std::vector<Copy>& copies) const;

  bool AddJoiner(std::size_t partition, std::vector<Copy>& copies, bool zone_must_differ);

  static void Append(std::vector<Copy>& copies, const StoreCandidate& store);

  void ReplaceRetiringPrimary(std::size_t partition, std::vector<Copy>& copies);

  std::size_t CountWhole(std::size_t partition, const std::vector<Copy>& copies) const;

  // A joiner that is still catching up: it was added to replace another copy, so no copy is dropped
  // before it is complete.
  bool HasUsableJoiner(std::size_t partition, const std::vector<Copy>& copies) const;

  // Once enough copies are whole, drops lost and stalled ones and, unless a joiner is catching up,
  // retiring and surplus ones. Not earlier: acknowledged data is on the complete copies alone, and
  // a row without enough whole copies acknowledges nothing anyway.
  void DropSurplus(std::size_t partition, std::vector<Copy>& copies) const;

  std::size_t WorstCopy(std::size_t partition, const std::vector<Copy>& copies) const;

  // The highest is dropped first: retiring, lost, stalled, incomplete, in the zone of another copy,
  // most loaded; a backup before the primary.
  std::tuple<bool, bool, bool, bool, bool, std::size_t, bool> DropRank(
      std::size_t partition, const std::vector<Copy>& copies, std::size_t index) const;

  // The copy whose store holds the most.
  std::size_t Heaviest(const std::vector<Copy>& copies) const;

  // The store that would replace the heaviest copy, in a zone without another copy.
  const StoreCandidate* MoveTarget(std::size_t partition, const std::vector<Copy>& copies) const;

  const std::vector<StoreCandidate>& stores_;
  const Stalled& stalled_;
  const PlacementRules& rules_;
  std::map<std::string, const StoreCandidate*> by_disk_;
  std::map<std::string, Share> shares_;
  std::size_t joins_ = 0;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_PLACEMENT_PLANNER_H_
