// What a module has dropped of what others sent to it: counted by cause, and told in the log by one
// line a minute for each cause, whoever sends.
#ifndef SHELFLINK_TIER_FOUNDATION_DROP_COUNTER_H_
#define SHELFLINK_TIER_FOUNDATION_DROP_COUNTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "net/loop.h"
#include "tier/foundation/flood_gate.h"

namespace shelflink {

class DropCounter {
 public:
  using Counts = std::map<std::string, std::uint64_t>;

  // `module` names the logger; `by_cause` are its owner's counters.
  DropCounter(const net::Loop& loop, std::string module, Counts& by_cause)
      : loop_(loop), module_(std::move(module)), by_cause_(by_cause) {}

  // Counted only.
  void Count(const std::string& cause) { ++by_cause_[cause]; }
  // Counted and told: `text` says what of whom. Whether it went into the log.
  bool Tell(const std::string& cause, const std::string& text);

 private:
  const net::Loop& loop_;
  std::string module_;
  Counts& by_cause_;
  FloodGate gate_;
};

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_DROP_COUNTER_H_
