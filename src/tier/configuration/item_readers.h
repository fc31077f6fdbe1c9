// Readers of the items of a configuration's lists, one at a time. What is wrong with one becomes
// findings; what is returned is then of no use.
#ifndef SHELFLINK_TIER_CONFIGURATION_ITEM_READERS_H_
#define SHELFLINK_TIER_CONFIGURATION_ITEM_READERS_H_

#include <cjson/cJSON.h>

#include <string>

#include "tier/configuration/model.h"

namespace shelflink::configuration {

// `place`: of the item, such as "routes[2]".
Route ReadRoute(const cJSON* item, const std::string& place, Findings& findings);
Service ReadService(const cJSON* item, const std::string& place, Findings& findings);
Tenant ReadTenant(const cJSON* item, const std::string& place, Findings& findings);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_ITEM_READERS_H_
