// The configuration as it travels between processes: its typed values in CBOR, without what the
// document holds beside them.
#ifndef SHELFLINK_TIER_CONFIGURATION_CODEC_H_
#define SHELFLINK_TIER_CONFIGURATION_CODEC_H_

#include <string>
#include <string_view>

#include "tier/configuration/difference.h"
#include "tier/configuration/model.h"
#include "tier/foundation/result.h"

namespace shelflink::configuration {

std::string Encode(const Configuration& configuration);
std::string Encode(const Difference& difference);

// kInvalid where the body is none. What is read was checked by whoever took the document.
Result<Configuration> DecodeConfiguration(std::string_view body);
Result<Difference> DecodeDifference(std::string_view body);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_CODEC_H_
