// Parses JSON with cJSON and finds the byte ranges of members and items. A part of a text can so be
// copied to another text unchanged; printing it with cJSON would convert its numbers to doubles.
#ifndef SHELFLINK_TIER_CONFIGURATION_JSON_H_
#define SHELFLINK_TIER_CONFIGURATION_JSON_H_

#include <cjson/cJSON.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/foundation/result.h"

namespace shelflink::json {

struct TreeDelete {
  void operator()(cJSON* tree) const { cJSON_Delete(tree); }
};
using Tree = std::unique_ptr<cJSON, TreeDelete>;

// Limit of values in one text. cJSON allocates some 80 bytes for each, however short it is.
constexpr std::size_t kMostValues = 500000;

// Parses the text as one value, followed by white space only. Returns null, with a finding, if it
// is incomplete, followed by other bytes, not UTF-8, or holds more than kMostValues or a NUL, which
// cJSON would treat as the end of a string.
Tree ReadWhole(std::string_view text, Findings& findings);

// A member of an object, or an item of an array (without a name), as a range of the text.
struct Part {
  std::string name;
  std::string_view value;
};
// Both require a text that ReadWhole has accepted and return none if it is of another kind.
std::optional<std::vector<Part>> MembersOf(std::string_view object);
std::optional<std::vector<Part>> ItemsOf(std::string_view array);

// Returns a string value without its quotes; none if the value is of another kind.
std::optional<std::string> StringOf(std::string_view value);

// Whether the text holds kMostValues or more, as ReadWhole counts them.
bool HoldsTooManyValues(std::string_view text);
Finding TooManyValues();

// Formats a string as JSON, with its quotes.
std::string Quoted(std::string_view text);

}  // namespace shelflink::json

#endif  // SHELFLINK_TIER_CONFIGURATION_JSON_H_
