// JSON written directly, without a tree: for answers that are one flat object with long texts in
// it.
#ifndef SHELFLINK_TIER_FOUNDATION_JSON_TEXT_H_
#define SHELFLINK_TIER_FOUNDATION_JSON_TEXT_H_

#include <string>
#include <string_view>

namespace shelflink {

// Appends `text` as a JSON string with its quotes. What is no UTF-8 becomes U+FFFD, byte for byte,
// so that the answer can be read whatever an endpoint sent.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_JSON_TEXT_H_
