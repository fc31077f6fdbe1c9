#include "tier/configuration/json.h"

#include <glib.h>

#include <algorithm>
#include <utility>

namespace shelflink::json {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

// As in cJSON, every control character is white space.
std::size_t SkipWhiteSpace(std::string_view text, std::size_t at) {
  while (at < text.size() && static_cast<unsigned char>(text[at]) <= ' ') ++at;
  return at;
}

bool HoldsEscapedNul(std::string_view text) {
  constexpr std::string_view kEscape = "u0000";
  for (std::size_t at = text.find(kEscape); at != std::string_view::npos;
       at = text.find(kEscape, at + 1)) {
    std::size_t backslashes = 0;
    while (backslashes < at && text[at - backslashes - 1] == '\\') ++backslashes;
    if (backslashes % 2 == 1) return true;
  }
  return false;
}

// Counts the characters outside strings that can precede a value: an upper bound of the number of
// values, without the first.
std::size_t CountSeparators(std::string_view text) {
  std::size_t count = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char letter = text[at];
    if (in_string && letter == '\\') {
      ++at;
    } else if (letter == '"') {
      in_string = !in_string;
    } else if (!in_string && (letter == ',' || letter == '[' || letter == '{')) {
      ++count;
    }
  }
  return count;
}

std::string PlaceOfByte(std::size_t offset) { return "byte " + std::to_string(offset); }

// The value that starts at `at`, after white space; `end` is the position after it.
Tree ReadValue(std::string_view text, std::size_t at, std::size_t& end) {
  const char* behind = nullptr;
  Tree tree(cJSON_ParseWithLengthOpts(text.data() + at, text.size() - at, &behind, 0));
  end = behind == nullptr ? at : static_cast<std::size_t>(behind - text.data());
  return tree;
}

// Returns the position after the string whose opening quote is at `at`.
std::size_t EndOfString(std::string_view text, std::size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\') ++at;
  }
  return std::min(at + 1, text.size());
}

bool EndsScalar(char letter) {
  return letter == ',' || letter == ']' || letter == '}' ||
         static_cast<unsigned char>(letter) <= ' ';
}

// Returns the position after the value that starts at `at`. Requires valid JSON: brackets match.
std::size_t EndOfValue(std::string_view text, std::size_t at) {
  std::size_t depth = 0;
  while (at < text.size()) {
    const char letter = text[at];
    if (letter == '"') {
      at = EndOfString(text, at);
    } else if (letter == '{' || letter == '[') {
      ++depth;
      ++at;
    } else if (depth > 0 && (letter == '}' || letter == ']')) {
      --depth;
      ++at;
    } else if (depth > 0) {
      ++at;
    } else {
      while (at < text.size() && !EndsScalar(text[at])) ++at;
    }
    if (depth == 0) return at;
  }
  return at;
}

// Returns the string in quotes with its escapes resolved; none if it is not a string.
std::optional<std::string> TextOfString(std::string_view quoted) {
  if (quoted.size() < 2 || quoted.front() != '"') return std::nullopt;
  if (quoted.find('\\') == std::string_view::npos) {
    return std::string(quoted.substr(1, quoted.size() - 2));
  }
  std::size_t end = 0;
  const Tree tree = ReadValue(quoted, 0, end);
  if (!cJSON_IsString(tree.get())) return std::nullopt;
  return tree->valuestring;
}

// Visits the members or items between `open` and `close`.
std::optional<std::vector<Part>> PartsOf(std::string_view text, char open, char close, bool named) {
  std::size_t at = SkipWhiteSpace(text, 0);
  if (at >= text.size() || text[at] != open) return std::nullopt;
  std::vector<Part> parts;
  at = SkipWhiteSpace(text, at + 1);
  while (at < text.size() && text[at] != close) {
    Part part;
    std::size_t end = EndOfValue(text, at);
    if (named) {
      std::optional<std::string> name = TextOfString(text.substr(at, end - at));
      if (!name) return std::nullopt;
      part.name = std::move(*name);
      at = SkipWhiteSpace(text, end);
      if (at >= text.size() || text[at] != ':') return std::nullopt;
      at = SkipWhiteSpace(text, at + 1);
      end = EndOfValue(text, at);
    }
    if (end == at) return std::nullopt;
    part.value = text.substr(at, end - at);
    parts.push_back(std::move(part));
    at = SkipWhiteSpace(text, end);
    if (at < text.size() && text[at] == ',') at = SkipWhiteSpace(text, at + 1);
  }
  return parts;
}

}  // namespace

Tree ReadWhole(std::string_view text, Findings& findings) {
  if (!g_utf8_validate_len(text.data(), text.size(), nullptr)) {
    findings.push_back({"document", "expected UTF-8 without NUL"});
    return nullptr;
  }
  if (text.starts_with(kByteOrderMark)) {
    findings.push_back({PlaceOfByte(0), "expected no byte order mark"});
    return nullptr;
  }
  if (HoldsEscapedNul(text)) {
    findings.push_back({"document", "expected no NUL in a string"});
    return nullptr;
  }
  if (HoldsTooManyValues(text)) {
    findings.push_back(TooManyValues());
    return nullptr;
  }
  std::size_t end = 0;
  Tree tree = ReadValue(text, 0, end);
  if (tree == nullptr) {
    findings.push_back({PlaceOfByte(end), "expected whole JSON"});
    return nullptr;
  }
  end = SkipWhiteSpace(text, end);
  if (end != text.size()) {
    findings.push_back({PlaceOfByte(end), "expected the end of the document"});
    return nullptr;
  }
  return tree;
}

std::optional<std::vector<Part>> MembersOf(std::string_view object) {
  return PartsOf(object, '{', '}', true);
}

std::optional<std::vector<Part>> ItemsOf(std::string_view array) {
  return PartsOf(array, '[', ']', false);
}

std::optional<std::string> StringOf(std::string_view value) { return TextOfString(value); }

bool HoldsTooManyValues(std::string_view text) { return CountSeparators(text) >= kMostValues; }

Finding TooManyValues() {
  return {"document", "expected at most " + std::to_string(kMostValues) + " values"};
}

std::string Quoted(std::string_view text) {
  const Tree tree(cJSON_CreateString(std::string(text).c_str()));
  char* printed = cJSON_PrintUnformatted(tree.get());
  std::string quoted = printed;
  cJSON_free(printed);
  return quoted;
}

}  // namespace shelflink::json
