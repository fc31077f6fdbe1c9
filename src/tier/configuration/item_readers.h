// Parsers of the items of a configuration's lists, one function for each list. Errors are reported
// as findings; the returned item must not be used if there are any.
#ifndef SHELFLINK_TIER_CONFIGURATION_ITEM_READERS_H_
#define SHELFLINK_TIER_CONFIGURATION_ITEM_READERS_H_

#include <cjson/cJSON.h>

#include <string>

#include "tier/configuration/model.h"

namespace shelflink::configuration {

// `place`: path of the item for findings, such as "routes[2]".
Route ReadRoute(const cJSON* item, const std::string& place, Findings& findings);
Service ReadService(const cJSON* item, const std::string& place, Findings& findings);
Tenant ReadTenant(const cJSON* item, const std::string& place, Findings& findings);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_ITEM_READERS_H_
