// Which disks the next record names: pure functions over who is there.
#ifndef SHELFLINK_TIER_COORDINATION_MEMBER_SELECTION_H_
#define SHELFLINK_TIER_COORDINATION_MEMBER_SELECTION_H_

#include <cstddef>
#include <vector>

#include "tier/coordination/record.h"

namespace shelflink::coordination {

// Most witnesses: more do not help while replacements are named as soon as one is silent.
constexpr std::size_t kMaxWitnesses = 7;

// From those offered, first come first, at most `count`, one of a zone that is not covered yet
// before others.
std::vector<CoreMember> SpreadOverZones(const std::vector<CoreMember>& chosen,
                                        const std::vector<CoreMember>& offered, std::size_t count);

struct ReplicaCandidates {
  std::vector<CoreMember> responsive;  // Replicas that are there, the primary first.
  std::vector<CoreMember> silent;      // Replicas that are not.
  std::vector<CoreMember> caught_up;   // Others that have everything.
  std::size_t min_count = 2;           // Fault tolerance + 1.
  std::size_t max_count = 3;
};
// Never fewer than `least` if as many are known: a silent one stays until another has caught up.
std::vector<CoreMember> ChooseReplicas(const ReplicaCandidates& situation);

// As many as are there: witnesses that are there keep their place, silent ones give theirs to
// others that are there and stay if there are none. A silent one whose address belongs to another
// disk by now is gone for good.
//
// An odd number of them where a majority outlives `failures` losses at one time. With 2 * failures
// disks or fewer there is no such majority; then an even number may be chosen, since the half that
// is left can go on without lost ones whose machines return (see IsQuorum).
std::vector<CoreMember> ChooseWitnesses(const std::vector<CoreMember>& present,
                                        const std::vector<CoreMember>& there, std::size_t failures);

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_MEMBER_SELECTION_H_
