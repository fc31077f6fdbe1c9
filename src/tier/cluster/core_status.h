// What a core process tells an operator of copies, as JSON: GET /status beside GET /metrics.
// Pure; docs/operate/status.md explains each member.
//
// Limit: one entry for each partition that lacks copies and for each store known.
#ifndef SHELFLINK_TIER_CLUSTER_CORE_STATUS_H_
#define SHELFLINK_TIER_CLUSTER_CORE_STATUS_H_

#include <string>

#include "tier/cluster/core_metrics.h"

namespace shelflink::cluster {

std::string StatusOf(const CoreFigures& figures);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_STATUS_H_
