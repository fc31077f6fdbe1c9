// Changes of named items in a configuration's text. What a change doesn't name keeps its bytes, so
// unknown members stay and numbers keep the form in which they were sent.
#ifndef SHELFLINK_TIER_CONFIGURATION_PATCH_H_
#define SHELFLINK_TIER_CONFIGURATION_PATCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tier/foundation/result.h"

namespace shelflink::configuration {

// `configVersion` of a whole configuration or of a change; none, with findings, where the text is
// not a whole JSON object or tells none.
std::optional<std::uint64_t> VersionOf(std::string_view json, Findings& findings);

// `document` with the change made: its `configVersion`, its `remove`, then its `upsert`, which
// replaces an item in its place or adds it behind the others. An empty document stands for a
// configuration without items. None, with findings, where the change has another form. Whether the
// result is a valid configuration is Parse's to say.
std::optional<std::string> ApplyPatch(std::string_view document, std::string_view change,
                                      Findings& findings);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_PATCH_H_
