// Maintenance in turn: what is ordered, who takes part, and how both stand in the coordination
// store. Plain values, their text, and the transactions that change them; no clock, no I/O.
//
// An order drains or restarts members one after the other, at most so many out at a time. Who is
// out holds a slot, a key of the store, and takes it in the transaction that notes its part: so at
// most so many are out however late a call comes, and each takes part once.
#ifndef SHELFLINK_MAINTENANCE_ORDER_H_
#define SHELFLINK_MAINTENANCE_ORDER_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "coordination/words.h"
#include "ownership/fence.h"

namespace maintenance {

using coordination::Revision;
using coordination::Txn;
using Micros = std::int64_t;

// Names the field at fault and what was expected.
struct BadOrder : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kMostMembers = 5000;

enum class What {
  kDrain,   // Takes nothing new until all that it holds is over, then serves again.
  kRestart  // Drains, then ends; whoever keeps it running starts it again.
};
const char* WordOf(What what);

enum class State {
  kRunning,
  kPaused,   // Who is out comes back; nobody else goes.
  kOff,      // Called off, as kPaused for good.
  kStopped,  // By itself: a member has failed to come back.
  kDone
};
const char* WordOf(State state);

struct Order {
  std::string id;
  What what = What::kDrain;
  std::vector<std::string> members;  // In their order.
  std::uint32_t at_once = 1;
  Micros back_within = 60'000'000;  // From going out; beyond it the order stops.
  State state = State::kRunning;
  std::string why;  // It stopped.

  bool open() const { return state == State::kRunning || state == State::kPaused; }
};
// In JSON. Throws BadOrder.
std::string TextOf(const Order& order);
Order ParseOrder(const std::string& text);
// What an operator asks for: {"what", "members" (none: all of `all`), "at_once", "back_within_s"}.
Order ParseWish(const std::string& text, const std::vector<std::string>& all);

// What a member has noted of its own part.
struct Part {
  std::string start;  // Which of its starts took it.
  std::uint32_t slot = 0;
  ownership::Fence fence = 0;  // Of the owner that called it.
  bool back = false;
};
std::string TextOf(const Part& part);
Part ParsePart(const std::string& text);

// The owner's call to a member.
struct Call {
  std::string order;
  Revision order_revision = 0;  // As the owner has seen the order.
  ownership::Fence fence = 0;
  std::uint32_t slot = 0;
};
std::string TextOf(const Call& call);
Call ParseCall(const std::string& text);

// Names of keys under a fleet's prefix, which ends in '/'.
struct Keys {
  std::string prefix;
  std::string Members() const { return prefix + "members/"; }
  std::string Member(const std::string& name) const { return Members() + name; }
  std::string Work() const { return prefix + "work/maintenance"; }
  std::string TheOrder() const { return prefix + "order"; }
  std::string Parts(const std::string& order) const { return prefix + "parts/" + order + '/'; }
  std::string PartOf(const std::string& order, const std::string& name) const {
    return Parts(order) + name;
  }
  std::string Slots(const std::string& order) const { return prefix + "slots/" + order + '/'; }
  std::string Slot(const std::string& order, std::uint32_t slot) const {
    return Slots(order) + std::to_string(slot);
  }
};

// The member takes its part, if the caller still owns the work, the order still stands as the
// caller saw it, and neither the part nor the slot is taken. Else finds, in this order, work,
// order, part.
Txn TakePart(const Keys& keys, const std::string& name, const std::string& start, const Call& call);
// It is back: `seen` is the revision at which its part stood.
Txn BringBack(const Keys& keys, const std::string& name, const std::string& order, Part part,
              Revision seen);
// Replaces the order that stood at `seen` (0: none did).
Txn ChangeOrder(const Keys& keys, const Order& order, Revision seen);
// A new one in the place of that; what `last` (empty: none) has left goes with it.
Txn BeginOrder(const Keys& keys, const Order& order, Revision seen, const std::string& last);
// The same by the owner, under its fence.
Txn EndOrder(const Keys& keys, const Order& order, Revision seen, ownership::Fence fence);

}  // namespace maintenance

#endif  // SHELFLINK_MAINTENANCE_ORDER_H_
