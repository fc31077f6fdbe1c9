// A hash map with texts as keys, in which views of texts can be looked up.
#ifndef SHELFLINK_TIER_FOUNDATION_TEXT_MAP_H_
#define SHELFLINK_TIER_FOUNDATION_TEXT_MAP_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace shelflink {

struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

template <typename T>
using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_TEXT_MAP_H_
