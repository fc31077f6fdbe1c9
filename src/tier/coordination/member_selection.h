// Selection of the replicas and witnesses of the next record. Pure functions.
#ifndef SHELFLINK_TIER_COORDINATION_MEMBER_SELECTION_H_
#define SHELFLINK_TIER_COORDINATION_MEMBER_SELECTION_H_

#include <cstddef>
#include <vector>

#include "tier/coordination/record.h"

namespace shelflink::coordination {

// More witnesses do not help, since a silent witness is replaced at once.
constexpr std::size_t kMaxWitnesses = 7;

// Picks at most `count` of `offered` in their order, but first one member per zone that is not
// covered by `chosen` or by an earlier pick.
std::vector<CoreMember> SpreadOverZones(const std::vector<CoreMember>& chosen,
                                        const std::vector<CoreMember>& offered, std::size_t count);

struct ReplicaCandidates {
  std::vector<CoreMember> responsive;  // Replicas that respond, the primary first.
  std::vector<CoreMember> silent;      // Replicas that do not respond.
  std::vector<CoreMember> caught_up;   // Other members that have the whole map.
  std::size_t min_count = 2;           // Fault tolerance + 1.
  std::size_t max_count = 3;
};
// Selects at least `min_count` replicas if that many are known: a silent replica stays until
// another member has caught up.
std::vector<CoreMember> ChooseReplicas(const ReplicaCandidates& candidates);

// Selects as many witnesses as members respond. Witnesses that respond stay; silent witnesses are
// replaced by other members that respond, and stay if there are none. A silent witness whose
// address now belongs to another disk is lost and is dropped.
//
// The number is odd if a majority survives the simultaneous loss of `failures` disks. With at most
// 2 * failures disks there is no such majority. The number may then be even, since the half that is
// left can continue without lost witnesses whose machines return (see IsQuorum).
std::vector<CoreMember> ChooseWitnesses(const std::vector<CoreMember>& current,
                                        const std::vector<CoreMember>& responsive,
                                        std::size_t failures);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_MEMBER_SELECTION_H_
