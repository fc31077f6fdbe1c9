// Large bodies made small for the way between processes, by zlib (RFC 1950).
#ifndef SHELFLINK_TIER_FOUNDATION_DEFLATE_H_
#define SHELFLINK_TIER_FOUNDATION_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "tier/foundation/result.h"

namespace shelflink {

std::string Deflate(std::string_view bytes);

// kInvalid: no whole stream of that form, or more behind it, or a checksum that does not match;
// kTooLarge: it would become longer than `most` bytes. No more memory than that is taken.
Result<std::string> Inflate(std::string_view bytes, std::size_t most);

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_DEFLATE_H_
