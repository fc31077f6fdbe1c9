// JSON texts read by cJSON: whole or not at all, and the byte ranges of their parts, so that a part
// can be taken into another text without being printed anew (cJSON keeps numbers as doubles).
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

// Values in one text. cJSON takes some 80 bytes for each, however short it is.
constexpr std::size_t kMostValues = 500000;

// The text as one value with nothing but white space behind it. Null, with a finding, where it is
// cut short, followed by more, not UTF-8, holds more than kMostValues, or holds a NUL, which cJSON
// would take for the end of a string.
Tree ReadWhole(std::string_view text, Findings& findings);

// One member of an object, or one item of an array (then without a name), as it stands in the text.
struct Part {
  std::string name;
  std::string_view value;
};
// Of a text that ReadWhole has taken. None: it is of another kind.
std::optional<std::vector<Part>> MembersOf(std::string_view object);
std::optional<std::vector<Part>> ItemsOf(std::string_view array);

// A value that is a string, without its quotes; none: it is of another kind.
std::optional<std::string> StringOf(std::string_view value);

// The text holds kMostValues or more, as ReadWhole counts them.
bool HoldsTooManyValues(std::string_view text);
Finding TooManyValues();

// A string as a JSON text, with its quotes.
std::string Quoted(std::string_view text);

}  // namespace shelflink::json

#endif  // SHELFLINK_TIER_CONFIGURATION_JSON_H_
