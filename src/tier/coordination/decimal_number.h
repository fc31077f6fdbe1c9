// Numbers that keys and values of the replicated map hold as decimal digits.
#ifndef SHELFLINK_TIER_COORDINATION_DECIMAL_NUMBER_H_
#define SHELFLINK_TIER_COORDINATION_DECIMAL_NUMBER_H_

#include <charconv>
#include <cstdint>
#include <string_view>

namespace shelflink::coordination {

// Returns the number that `text` begins with; 0 where it begins with no digit.
inline std::uint64_t DecimalNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_DECIMAL_NUMBER_H_
