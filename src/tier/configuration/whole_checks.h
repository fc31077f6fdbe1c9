// What must hold between the items of a configuration, whatever each of them holds by itself.
#ifndef SHELFLINK_TIER_CONFIGURATION_WHOLE_CHECKS_H_
#define SHELFLINK_TIER_CONFIGURATION_WHOLE_CHECKS_H_

#include "tier/configuration/model.h"
#include "tier/foundation/result.h"

namespace shelflink::configuration {

// Names that stand twice in a list, routes with one place, services that are unknown, keys that two
// tenants hold: a finding each.
void CheckWhole(const Configuration& configuration, Findings& findings);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_WHOLE_CHECKS_H_
