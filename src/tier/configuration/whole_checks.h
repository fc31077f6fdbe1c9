// Checks the constraints between the items of a configuration. Items are valid by themselves.
#ifndef SHELFLINK_TIER_CONFIGURATION_WHOLE_CHECKS_H_
#define SHELFLINK_TIER_CONFIGURATION_WHOLE_CHECKS_H_

#include "tier/configuration/model.h"
#include "tier/foundation/result.h"

namespace shelflink::configuration {

// Reports a finding for each name that occurs twice in a list, each pair of routes with the same
// host and prefix, each unknown service, and each key that two tenants share.
void CheckWhole(const Configuration& configuration, Findings& findings);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_WHOLE_CHECKS_H_
