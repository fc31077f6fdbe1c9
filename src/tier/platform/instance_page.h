// The answer of the platform's list of endpoints, read and checked whole.
#ifndef SHELFLINK_TIER_PLATFORM_INSTANCE_PAGE_H_
#define SHELFLINK_TIER_PLATFORM_INSTANCE_PAGE_H_

#include <string_view>

#include "tier/foundation/result.h"
#include "tier/platform/platform.h"

namespace shelflink::platform {

// One entry that is malformed makes the page unusable: a list without it would drop an endpoint
// that serves.
BOOST_OUTCOME_V2_NAMESPACE::basic_result<InstancePage, Findings,
                                         BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>
ParseInstancePage(std::string_view json);

}  // namespace shelflink::platform

#endif  // SHELFLINK_TIER_PLATFORM_INSTANCE_PAGE_H_
