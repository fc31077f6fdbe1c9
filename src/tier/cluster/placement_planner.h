// Works out the changes of one placement: how much each store holds, and what a row needs next. Its
// owner takes a row out of the count, changes it and counts it again. Pure; see placement.h for
// what is promised.
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
  // All of them outlive it.
  PlacementPlanner(const std::vector<StoreCandidate>& stores, const Stalled& stalled,
                   const PlacementRules& rules);

  // Adds a row's copies to what the stores hold (`sign` 1), or takes them out (-1).
  void Count(const std::vector<Copy>& copies, int sign);

  // What losses, stalls, retirement and finished moves ask of a row.
  void Repair(std::size_t partition, std::vector<Copy>& copies, bool& data_lost);

  // How much better the row would lie with a joiner in place of one of its copies; 0: not at all.
  std::size_t GainOfMove(std::size_t partition, const std::vector<Copy>& copies) const;

  // Adds the joiner that GainOfMove had in mind.
  void Move(std::size_t partition, std::vector<Copy>& copies) const;

  // Hands the primary's part to a complete backup that has fewer; says whether it did.
  bool SwapPrimary(std::size_t partition, std::vector<Copy>& copies);

  // Makes the copy whose store leads the fewest partitions the primary.
  void PutFewestPrimariesFirst(std::vector<Copy>& copies) const;

  // The least loaded usable store that may join those copies.
  const StoreCandidate* Joiner(std::size_t partition, const std::vector<Copy>& copies,
                               bool zone_must_differ) const;

  bool HasZoneTwice(const std::vector<Copy>& copies) const;

 private:
  // How much a store holds, kept up to date while rows change.
  struct Share {
    std::size_t copies = 0;
    std::size_t primaries = 0;
  };

  const StoreCandidate* Find(const std::string& disk) const;
  bool IsLive(const std::string& disk) const;
  // No store has that disk any more: it will not come back.
  bool IsGone(const std::string& disk) const { return Find(disk) == nullptr; }
  bool IsRetiring(const std::string& disk) const;
  bool IsUsable(const std::string& disk) const { return IsLive(disk) && !IsRetiring(disk); }
  bool IsStalled(std::size_t partition, const std::string& disk) const;
  // Live, answers its primary, and stays.
  bool IsSound(std::size_t partition, const Copy& copy) const;
  // One of those that a write needs: sound, and holds everything.
  bool IsWhole(std::size_t partition, const Copy& copy) const;

  Share ShareOf(const std::string& disk) const;

  // By a copy that is there to stay; one that is lost makes way for another in its zone.
  bool ZoneTaken(std::size_t partition, const std::vector<Copy>& copies,
                 const std::string& zone) const;

  // Lower is better; the disk only makes it certain.
  std::tuple<bool, std::size_t, std::uint64_t, std::string_view> Rank(
      std::size_t partition, const std::vector<Copy>& copies, const StoreCandidate& store) const;

  // A store keeps its disk but may come back at another address.
  void FollowAddresses(std::vector<Copy>& copies) const;

  // Which complete backups may become the primary.
  enum class SuccessorCondition { kSound, kRetiring, kStalled };

  // Index of a live complete backup with the fewest primaries' parts.
  std::optional<std::size_t> Successor(std::size_t partition, const std::vector<Copy>& copies,
                                       SuccessorCondition least) const;

  // The lost primary stays named as a complete backup, see DropSurplus.
  void ReplacePrimary(std::size_t partition, std::vector<Copy>& copies, bool& data_lost);

  // Nobody who was complete will come back: goes on with what is left.
  void RestartEmpty(std::size_t partition, std::vector<Copy>& copies, bool& data_lost);

  void DropGoneBackups(std::vector<Copy>& copies) const;

  // A lost joiner holds nothing that others do not: another takes its place where there is one. A
  // complete backup that is lost or stalls has everything and stays, see DropSurplus.
  void ReplaceLostJoiners(std::size_t partition, std::vector<Copy>& copies);

  void AddMissing(std::size_t partition, std::vector<Copy>& copies);

  std::size_t CountSound(std::size_t partition, const std::vector<Copy>& copies) const;

  bool AddJoiner(std::size_t partition, std::vector<Copy>& copies, bool zone_must_differ);

  static void Append(std::vector<Copy>& copies, const StoreCandidate& store);

  void ReplaceRetiringPrimary(std::size_t partition, std::vector<Copy>& copies);

  std::size_t CountWhole(std::size_t partition, const std::vector<Copy>& copies) const;

  // A joiner that still catches up: it was added to take another's place, so nobody goes before it
  // is whole, itself least of all.
  bool HasUsableJoiner(std::size_t partition, const std::vector<Copy>& copies) const;

  // Once enough copies are whole, those that are lost or stall go, and when no joiner is under way
  // those that retire or are one too many. Not sooner: what is acknowledged lies on the complete
  // copies alone, and a row without enough whole ones acknowledges nothing, named as they may be.
  void DropSurplus(std::size_t partition, std::vector<Copy>& copies) const;

  std::size_t WorstCopy(std::size_t partition, const std::vector<Copy>& copies) const;

  // Higher goes first: who retires, is lost, stalls, misses something, shares a zone with another
  // copy, or has most; a backup before the primary.
  std::tuple<bool, bool, bool, bool, bool, std::size_t, bool> DropRank(
      std::size_t partition, const std::vector<Copy>& copies, std::size_t index) const;

  // The copy whose store holds the most.
  std::size_t Heaviest(const std::vector<Copy>& copies) const;

  // Who would take the place of the heaviest copy, in no zone of the others.
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
