// Base64 (RFC 4648, section 4) read strictly: the standard alphabet, padded, canonical, nothing in
// between. Lenient decoders turn a damaged body into another body; this one refuses it.
#ifndef SHELFLINK_TIER_BATCH_BASE64_H_
#define SHELFLINK_TIER_BATCH_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace shelflink::batch {

std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_BASE64_H_
