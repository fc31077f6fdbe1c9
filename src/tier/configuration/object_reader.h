// Reads the known members of a JSON object with their types and reports errors as findings. A
// member that is missing or null leaves its target unchanged, unless it is required. Unknown
// members are ignored.
#ifndef SHELFLINK_TIER_CONFIGURATION_OBJECT_READER_H_
#define SHELFLINK_TIER_CONFIGURATION_OBJECT_READER_H_

#include <cjson/cJSON.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "tier/foundation/result.h"

namespace shelflink::json {

constexpr double kLargestExactInteger = 9007199254740992.0;  // 2^53: cJSON keeps doubles.

// After this number of findings the remaining items of a list are not read.
constexpr std::size_t kMostFindings = 1000;

// The range of a number.
struct Range {
  double least = 0.0;
  double most = kLargestExactInteger;
};

// "routes[2]"
std::string ItemPlace(const std::string& list, std::size_t index);

class ObjectReader {
 public:
  // `place`: path of the object for findings, empty for a whole document. `findings` must outlive
  // the reader.
  ObjectReader(const cJSON* object, std::string place, Findings& findings);

  // Whether the value is an object.
  bool usable() const { return object_ != nullptr; }
  // Returns null if the member is missing or null.
  const cJSON* Member(const char* name) const;
  std::string PlaceOf(const char* name) const;
  void Report(const char* name, std::string expected);

  void Text(const char* name, std::string& target);
  void RequiredText(const char* name, std::string& target);  // Must not be empty.
  void Flag(const char* name, bool& target);
  // Returns none if the member is missing or invalid.
  std::optional<double> Number(const char* name, Range range);
  std::optional<double> WholeNumber(const char* name, Range range);
  void Int(const char* name, Range range, int& target);
  void OptionalInt(const char* name, Range range, std::optional<int>& target);
  void Size(const char* name, std::uint64_t& target);
  void OptionalSize(const char* name, std::optional<std::uint64_t>& target);
  void SizeAboveZero(const char* name, std::size_t& target);
  // `scale`: milliseconds in one unit. The result is rounded up to a millisecond.
  void Span(const char* name, double scale, std::chrono::milliseconds& target);
  void SpanAboveZero(const char* name, std::chrono::milliseconds& target);

  // Calls `each(item, place)` for the items of a list. Returns false if there is no list.
  template <typename Each>
  bool List(const char* name, Each each) {
    const cJSON* list = Member(name);
    if (list == nullptr) return false;
    if (!cJSON_IsArray(list)) {
      Report(name, "expected a list");
      return true;
    }
    std::size_t index = 0;
    for (const cJSON* item = list->child; item != nullptr; item = item->next) {
      if (findings_.size() >= kMostFindings) break;
      each(item, ItemPlace(PlaceOf(name), index));
      ++index;
    }
    return true;
  }

 private:
  void FindRepeatedNames();

  const cJSON* object_;
  std::string place_;
  Findings& findings_;
};

}  // namespace shelflink::json

#endif  // SHELFLINK_TIER_CONFIGURATION_OBJECT_READER_H_
