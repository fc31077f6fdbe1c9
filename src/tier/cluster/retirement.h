// Retirement of a store on an operator's order, based on the replicated map: whether it is allowed,
// and its progress. Pure.
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

// The stores known to the primary.
struct KnownStores {
  std::vector<StoreCandidate> all;
  bool may_be_more = false;  // The primary is too new to have heard from every store.
};

constexpr std::string_view kRefusedRetirements = "refused/retire/";  // Prefix of refusal records.

// Verdict and writes of an order to retire a store. Accepted without writes: it was ordered before.
// Refused: kNotFound, there is no such store, or kConflict, too few others would remain for
// `rules`; both may change. Error kUnavailable: it is not known yet whether it has to be refused.
Result<coordination::JudgedPlan> PlanRetirement(const coordination::Contents& committed,
                                                const operator_api::RetireOrder& order,
                                                const KnownStores& stores,
                                                const PlacementRules& rules);

// kNotFound: no retirement of the node was ordered.
Result<operator_api::RetireState> RetirementState(const coordination::Contents& contents,
                                                  const std::string& node);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_RETIREMENT_H_
