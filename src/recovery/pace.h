// When a sidecar asks discovery: pure, events with their time in, the time of the next call out.
//
// One discovery serves a whole group in turn. A group that comes back at one instant and asks at
// one instant makes a queue of which the end gives up and asks again: the return becomes the next
// outage. Each member therefore takes a place of its own in a window that the whole group fits
// into, and leaves discovery to those that know nothing until these have had their turn.
//
// It must never reach a clock, a socket or a file, and it says nothing about requests: which
// endpoint gets one, and whether it is tried again, is the decision module's.
#ifndef SHELFLINK_RECOVERY_PACE_H_
#define SHELFLINK_RECOVERY_PACE_H_

#include <cstdint>
#include <optional>

namespace recovery {

using Micros = std::int64_t;  // A point of the caller's clock, or a span, in microseconds.

// What a call is taken to cost discovery until it has shown what it needs. It sizes the window of a
// first call: a slower discovery keeps a queue for the difference, a faster one idles for it, and
// either happens once in a start.
constexpr Micros kCallGuess = 20'000;

// Part of discovery's time that is left, while a group comes back, to calls other than the second
// ones of those who have their list.
constexpr Micros kRoomFactor = 4;

// After a change that all were told of at once, the least window for asking again. It lies inside
// the 200 ms within which the protocol takes the next call for the same watch.
constexpr Micros kSpread = 150'000;

class Pace {
 public:
  struct Place {
    std::uint32_t me = 0;     // Number in the group, from 0; unlike that of any other member.
    std::uint32_t group = 1;  // Members of the group.
    Micros ask_within = 10'000'000;  // The longest that a member may go without asking.
    bool knows = false;              // It was started with a list.
    double fresh = 0;                // From 1 for one just told to 0: too old, or of unknown age.
    std::uint64_t seed = 0;          // Of all that is drawn.
  };
  explicit Pace(const Place& place) : place_(place), draws_(place.seed), returning_(!place.knows) {}

  // When one that starts at `start` makes its first call.
  Micros FirstAsk(Micros start) const;

  // A call was answered after `took`. Returns when to ask again; `news`: the answer said something
  // that was not known, so that many may be told the same now.
  Micros OnAnswer(Micros now, Micros took, bool news);

  // Why a call brought nothing.
  struct Failure {
    bool refused = false;          // Discovery is there and said no; else it cannot be reached.
    std::optional<Micros> advice;  // How long it asks to stay away.
  };
  // Returns the time before which it is not to be asked; when it is, is for others to say.
  Micros OnFailure(Micros now, const Failure& failure);

  // What one call is known or guessed to cost discovery.
  Micros CallCost() const { return shown_.value_or(kCallGuess); }

 private:
  double Draw();
  // The time that discovery needs for one call of each member, within limits.
  Micros Window(Micros cost, Micros most) const;

  Place place_;
  std::uint64_t draws_;
  // What an answer took that had nothing to wait for but its turn: the first, to one that knew
  // nothing. A watch may have waited for news, and tells nothing of what discovery needs.
  std::optional<Micros> shown_;
  bool returning_;    // It knew nothing at its start, and has not been told yet.
  int refusals_ = 0;  // In a row.
};

}  // namespace recovery

#endif  // SHELFLINK_RECOVERY_PACE_H_
