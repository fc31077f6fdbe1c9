#include "tier/configuration/object_reader.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

namespace shelflink::json {
namespace {

using std::chrono::milliseconds;

constexpr double kLongestMilliseconds = 1e15;
// Longer spans are cut to this one, some thirty years: sums with it must not overflow in
// nanoseconds.
constexpr double kEndlessMilliseconds = 1e12;

}  // namespace

std::string ItemPlace(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

ObjectReader::ObjectReader(const cJSON* object, std::string place, Findings& findings)
    : object_(object), place_(std::move(place)), findings_(findings) {
  if (!cJSON_IsObject(object)) {
    findings_.push_back({place_.empty() ? "document" : place_, "expected an object"});
    object_ = nullptr;
    return;
  }
  FindRepeatedNames();
}

// JSON parsers differ in which of two members of one name they use, so this is an error.
void ObjectReader::FindRepeatedNames() {
  std::vector<std::string_view> names;
  for (const cJSON* member = object_->child; member != nullptr; member = member->next) {
    names.emplace_back(member->string);
  }
  std::sort(names.begin(), names.end());
  for (auto at = std::adjacent_find(names.begin(), names.end()); at != names.end();
       at = std::adjacent_find(at + 1, names.end())) {
    findings_.push_back({PlaceOf(at->data()), "expected once, found again"});
  }
}

const cJSON* ObjectReader::Member(const char* name) const {
  if (object_ == nullptr) return nullptr;
  const cJSON* member = cJSON_GetObjectItemCaseSensitive(object_, name);
  return member == nullptr || cJSON_IsNull(member) ? nullptr : member;
}

std::string ObjectReader::PlaceOf(const char* name) const {
  return place_.empty() ? std::string(name) : place_ + "." + name;
}

void ObjectReader::Report(const char* name, std::string expected) {
  findings_.push_back({PlaceOf(name), std::move(expected)});
}

void ObjectReader::Text(const char* name, std::string& target) {
  const cJSON* member = Member(name);
  if (member == nullptr) return;
  if (!cJSON_IsString(member)) {
    Report(name, "expected a string");
    return;
  }
  target = member->valuestring;
}

void ObjectReader::RequiredText(const char* name, std::string& target) {
  if (usable() && Member(name) == nullptr) {
    Report(name, "expected a string, found nothing");
    return;
  }
  Text(name, target);
  if (cJSON_IsString(Member(name)) && target.empty()) {
    Report(name, "expected a string that is not empty");
  }
}

void ObjectReader::Flag(const char* name, bool& target) {
  const cJSON* member = Member(name);
  if (member == nullptr) return;
  if (!cJSON_IsBool(member)) {
    Report(name, "expected true or false");
    return;
  }
  target = cJSON_IsTrue(member);
}

std::optional<double> ObjectReader::Number(const char* name, Range range) {
  const cJSON* member = Member(name);
  if (member == nullptr) return std::nullopt;
  const bool fits = cJSON_IsNumber(member) && std::isfinite(member->valuedouble) &&
                    member->valuedouble >= range.least && member->valuedouble <= range.most;
  if (fits) return member->valuedouble;
  const auto least = static_cast<std::int64_t>(range.least);
  Report(name, "expected a number of " + std::to_string(least) + " at least");
  return std::nullopt;
}

std::optional<double> ObjectReader::WholeNumber(const char* name, Range range) {
  const std::optional<double> number = Number(name, range);
  if (!number || std::floor(*number) == *number) return number;
  Report(name, "expected a whole number");
  return std::nullopt;
}

void ObjectReader::Int(const char* name, Range range, int& target) {
  if (const auto number = WholeNumber(name, range)) target = static_cast<int>(*number);
}

void ObjectReader::OptionalInt(const char* name, Range range, std::optional<int>& target) {
  if (const auto number = WholeNumber(name, range)) target = static_cast<int>(*number);
}

void ObjectReader::Size(const char* name, std::uint64_t& target) {
  if (const auto number = WholeNumber(name, {})) target = static_cast<std::uint64_t>(*number);
}

void ObjectReader::OptionalSize(const char* name, std::optional<std::uint64_t>& target) {
  if (const auto number = WholeNumber(name, {})) target = static_cast<std::uint64_t>(*number);
}

void ObjectReader::SizeAboveZero(const char* name, std::size_t& target) {
  const auto number = WholeNumber(name, {1.0, kLargestExactInteger});
  if (number) target = static_cast<std::size_t>(*number);
}

void ObjectReader::Span(const char* name, double scale, milliseconds& target) {
  const auto number = Number(name, {0.0, kLongestMilliseconds / scale});
  if (!number) return;
  const double span = std::min(std::ceil(*number * scale), kEndlessMilliseconds);
  target = milliseconds(static_cast<std::int64_t>(span));
}

void ObjectReader::SpanAboveZero(const char* name, milliseconds& target) {
  const cJSON* member = Member(name);
  if (cJSON_IsNumber(member) && member->valuedouble == 0.0) {
    Report(name, "expected a number above 0");
    return;
  }
  Span(name, 1.0, target);
}

}  // namespace shelflink::json
