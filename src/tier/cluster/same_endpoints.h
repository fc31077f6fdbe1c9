// When two lists of endpoints are alike.
#ifndef SHELFLINK_TIER_CLUSTER_SAME_ENDPOINTS_H_
#define SHELFLINK_TIER_CLUSTER_SAME_ENDPOINTS_H_

#include <vector>

#include "tier/cluster/view.h"

namespace shelflink::cluster {

// Whether somebody who sends requests would act alike by both. What remains of the cold time
// shrinks with each reading and is no change. Both sorted by id.
bool SameEndpoints(const std::vector<EndpointEntry>& a, const std::vector<EndpointEntry>& b);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_SAME_ENDPOINTS_H_
