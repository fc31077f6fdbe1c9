// What falls due when, earliest first, and the one timer that it needs.
#ifndef GAUGECART_DEADLINES_H_
#define GAUGECART_DEADLINES_H_

#include <cstdint>
#include <limits>
#include <queue>
#include <utility>

#include "gaugecart/choice.h"

namespace gaugecart {

// `What` is copied. Entries are never taken out: whoever handles one checks that it still holds.
template <typename What>
class Deadlines {
 public:
  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  void Add(Micros at, const What& what) { entries_.push({at, next_order_++, what}); }

  // Handles what is due by now, what is added meanwhile too.
  template <typename Handle>
  void Run(Micros now, const Handle& handle) {
    if (now >= armed_at_) armed_at_ = kNever;
    while (!entries_.empty() && entries_.top().at <= now) {
      const What what = entries_.top().what;
      entries_.pop();
      handle(what);
    }
  }

  // Calls set(at) where the timer has to ring earlier than it was last set to.
  template <typename Set>
  void Arm(const Set& set) {
    if (entries_.empty() || entries_.top().at >= armed_at_) return;
    armed_at_ = entries_.top().at;
    set(armed_at_);
  }

 private:
  struct Entry {
    Micros at;
    std::uint64_t order;  // Those of one moment in the order in which they came.
    What what;
    bool operator<(const Entry& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  std::priority_queue<Entry> entries_;
  std::uint64_t next_order_ = 0;
  Micros armed_at_ = kNever;
};

}  // namespace gaugecart

#endif  // GAUGECART_DEADLINES_H_
