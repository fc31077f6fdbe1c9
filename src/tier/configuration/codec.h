// The CBOR encoding of configurations and of their differences for messages between processes. It
// holds the typed values only, without unknown members of the document.
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

// Decoders return kInvalid for a malformed body. They do not check the values again: the primary
// did when it accepted the document.
Result<Configuration> DecodeConfiguration(std::string_view body);
Result<Difference> DecodeDifference(std::string_view body);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_CODEC_H_
