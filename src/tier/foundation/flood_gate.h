// Bounds how often an event is told: once a minute for each key, with the number of those that were
// held back meanwhile. Pure: times come in.
#ifndef SHELFLINK_TIER_FOUNDATION_FLOOD_GATE_H_
#define SHELFLINK_TIER_FOUNDATION_FLOOD_GATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace shelflink {

class FloodGate {
 public:
  static constexpr std::int64_t kSpanMicros = 60'000'000;
  // Beyond so many keys, further ones share one entry.
  static constexpr std::size_t kMostKeys = 256;

  // How many were held back since the last one that passed; none: this one is held back too.
  // `now_micros` is any steady clock.
  std::optional<std::uint64_t> Pass(const std::string& key, std::int64_t now_micros) {
    auto found = entries_.find(key);
    if (found == entries_.end()) {
      const std::string name = entries_.size() < kMostKeys ? key : std::string();
      found = entries_.try_emplace(name, Entry{now_micros - kSpanMicros, 0}).first;
    }
    Entry& entry = found->second;
    if (now_micros - entry.passed_at < kSpanMicros) {
      ++entry.held_back;
      return std::nullopt;
    }
    const std::uint64_t held_back = entry.held_back;
    entry = {now_micros, 0};
    return held_back;
  }

 private:
  struct Entry {
    std::int64_t passed_at = 0;
    std::uint64_t held_back = 0;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_FLOOD_GATE_H_
