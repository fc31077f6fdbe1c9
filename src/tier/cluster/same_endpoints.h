// Comparison of two endpoint lists.
#ifndef SHELFLINK_TIER_CLUSTER_SAME_ENDPOINTS_H_
#define SHELFLINK_TIER_CLUSTER_SAME_ENDPOINTS_H_

#include <vector>

#include "tier/cluster/view.h"

namespace shelflink::cluster {

// Whether both lists lead to the same routing decisions. The remaining cold time, which shrinks
// with each reading, is ignored. Both lists must be sorted by id.
bool SameEndpoints(const std::vector<EndpointEntry>& a, const std::vector<EndpointEntry>& b);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_SAME_ENDPOINTS_H_
