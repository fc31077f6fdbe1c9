// Emptying a store on the operator's order, by what the replicated map holds: whether it may be
// asked for, and how far it has come. Pure.
#ifndef SHELFLINK_TIER_CLUSTER_RETIREMENT_H_
#define SHELFLINK_TIER_CLUSTER_RETIREMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "tier/cluster/placement.h"
#include "tier/coordination/refusals.h"
#include "tier/coordination/replicator.h"
#include "tier/foundation/result.h"
#include "tier/operator_api/service.h"

namespace shelflink::cluster {

// The stores as the primary knows them.
struct KnownStores {
  std::vector<StoreCandidate> all;
  bool may_be_more = false;  // It is so new that it may not have heard of every store yet.
};

constexpr std::string_view kRefusedRetirements = "refused/retire/";  // Prefix of refusal records.

// What the order to empty a store comes to. Accepted without writes: that has been ordered already.
// Refused: kNotFound, there is no such store, or kConflict, too few others would be left for
// `rules`; both may pass. Error kUnavailable: it may be refused, but that cannot be known yet.
Result<coordination::JudgedPlan> PlanRetirement(const coordination::Contents& committed,
                                                const operator_api::RetireOrder& order,
                                                const KnownStores& stores,
                                                const PlacementRules& rules);

// kNotFound: nobody asked for it.
Result<operator_api::RetireState> RetirementState(const coordination::Contents& contents,
                                                  const std::string& node);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_RETIREMENT_H_
