// The owner's part of an order: whom to call next, and when the order is over. Pure: what stands in
// the store comes in with its time, calls and an end come out. All that must outlive the owner
// stands in the store; what is here is how long it has been watching.
#ifndef SHELFLINK_MAINTENANCE_TURN_H_
#define SHELFLINK_MAINTENANCE_TURN_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "maintenance/order.h"

namespace maintenance {

class Turn {
 public:
  // A call that was not taken up is made again after this.
  static constexpr Micros kAgain = 2'000'000;

  struct Seen {
    Order order;
    std::map<std::string, Part> parts;  // Of this order, by member.
    std::set<std::string> present;      // Members at this moment.
  };
  struct Say {
    struct ToCall {
      std::string member;
      std::uint32_t slot = 0;
    };
    std::vector<ToCall> calls;
    std::optional<State> end;
    std::string why;  // Of an end that is kStopped.
  };

  // At each change and at each tick, some every 100 ms, while it owns the work.
  Say Plan(Micros now, const Seen& seen);
  // All that decides its future, as words.
  std::string Words() const;

 private:
  struct Called {
    Micros first = 0;
    Micros last = 0;
    std::uint32_t slot = 0;
  };
  // Whom it waits for, longest first come; empty if nobody is overdue.
  std::string Overdue(Micros now, const Seen& seen) const;
  void Forget(const Seen& seen);

  std::string order_;
  std::map<std::string, Called> called_;     // That have not taken their part yet.
  std::map<std::string, Micros> out_since_;  // That it has seen out.
  std::map<std::string, Micros> missing_since_;
};

}  // namespace maintenance

#endif  // SHELFLINK_MAINTENANCE_TURN_H_
