// Reads the known members of a JSON object with their types; whatever is wrong becomes a finding.
// Members that are missing or null leave their target as it is, unless they are required; unknown
// ones are passed over.
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

// Beyond so many findings the items of a list are not read any more.
constexpr std::size_t kMostFindings = 1000;

// Where a number must lie.
struct Range {
  double least = 0.0;
  double most = kLargestExactInteger;
};

// "routes[2]"
std::string ItemPlace(const std::string& list, std::size_t index);

class ObjectReader {
 public:
  // `place`: of the object, empty for a whole document. Findings outlive it.
  ObjectReader(const cJSON* object, std::string place, Findings& findings);

  // It is an object.
  bool usable() const { return object_ != nullptr; }
  // Null where it is missing or null.
  const cJSON* Member(const char* name) const;
  std::string PlaceOf(const char* name) const;
  void Report(const char* name, std::string expected);

  void Text(const char* name, std::string& target);
  void RequiredText(const char* name, std::string& target);  // And not empty.
  void Flag(const char* name, bool& target);
  // None where it is missing or wrong.
  std::optional<double> Number(const char* name, Range range);
  std::optional<double> WholeNumber(const char* name, Range range);
  void Int(const char* name, Range range, int& target);
  void OptionalInt(const char* name, Range range, std::optional<int>& target);
  void Size(const char* name, std::uint64_t& target);
  void OptionalSize(const char* name, std::optional<std::uint64_t>& target);
  void SizeAboveZero(const char* name, std::size_t& target);
  // `scale`: milliseconds in one unit. Parts of a millisecond count as a whole one.
  void Span(const char* name, double scale, std::chrono::milliseconds& target);
  void SpanAboveZero(const char* name, std::chrono::milliseconds& target);

  // Calls `each(item, place)` for the items of a list. False: there is none.
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
