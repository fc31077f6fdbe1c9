// Applies changes of named items to the text of a configuration. Everything that a change does not
// name keeps its bytes, so unknown members are kept and numbers keep the form in which they were
// sent.
#ifndef SHELFLINK_TIER_CONFIGURATION_PATCH_H_
#define SHELFLINK_TIER_CONFIGURATION_PATCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tier/foundation/result.h"

namespace shelflink::configuration {

// Returns `configVersion` of a configuration or of a change. Returns none, with findings, if the
// text is not a complete JSON object or has no valid version.
std::optional<std::uint64_t> VersionOf(std::string_view json, Findings& findings);

// Returns `document` with the change applied: `configVersion` first, then `remove`, then `upsert`,
// which replaces an item in place or appends it. An empty document is a configuration without
// items. Returns none, with findings, if the change is malformed. The result may be an invalid
// configuration; Parse checks that.
std::optional<std::string> ApplyPatch(std::string_view document, std::string_view change,
                                      Findings& findings);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_PATCH_H_
