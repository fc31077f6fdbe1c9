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

#include <algorithm>
#include <cstdint>
#include <optional>

namespace recovery {

using Micros = std::int64_t;  // A point of the caller's clock, or a span, in microseconds.

// What a call is taken to cost discovery until it has shown what it needs. It sizes the window of a
// first call: a slower discovery keeps a queue for the difference, a faster one idles for it, and
// either happens once in a start.
constexpr Micros kCallGuess = 20'000;

// What discovery has to tell counts as told so long after it had it and could be reached, whatever
// has become of the calls. The spans below are parts of it: added up in the worst order in which
// they may follow one another they leave kAnswer for the call that brings the news.
constexpr Micros kTold = 6'000'000;
constexpr Micros kAnswer = 500'000;
// How long a watch may wait while discovery keeps up. Beside a watch that has not answered so much
// later than its wait another is opened.
constexpr Micros kWatch = 3'000'000;
constexpr Micros kLate = 750'000;
// A connection that has not come up by then will not.
constexpr Micros kDial = 1'000'000;
// Beside a call that has no reason to wait but its turn a second one is made after so long: it may
// hang. It is not given up itself, for its turn may still come.
constexpr Micros kTurn = 2'250'000;
// Guards against a discovery that answers at once with nothing new: asking again without a pause
// would be a busy loop over the network. Inside the 200 ms that keep a watch.
constexpr Micros kGap = 100'000;
// The most by which the first calls of all that start together are spread, and the second ones.
constexpr Micros kMostFirst = 3'000'000;
static_assert(kMostFirst + kTurn + kAnswer < kTold);
// The same of their calls where nobody is there.
constexpr Micros kMostSpread = 1'500'000;
// The most between two calls, where the first may have found discovery there and got no word,
constexpr Micros kMostPause = 500'000;
// and where it was refused, whatever it was advised.
constexpr Micros kMostAway = 1'250'000;
static_assert(kTurn + kMostPause + kMostAway + kMostSpread + kAnswer <= kTold);
static_assert(kWatch + kLate + kMostPause + kMostAway + kAnswer <= kTold);
static_assert(kWatch + kLate + kDial + kMostPause + kAnswer <= kTold);
static_assert(kDial + kMostPause + kMostAway + kTurn + kAnswer <= kTold);

// Part of discovery's time that is left, while a group comes back, to calls other than those of
// members who have a list: to members who have none, and to groups of other tiers.
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
    // Where lists are pushed, an agent of this member's own has them: calls burden nobody, and what
    // the agent has counts as told from the first moment. Then how long all pauses may be; else 0.
    Micros pushed_within = 0;
  };
  explicit Pace(const Place& place) : place_(place), rng_(place.seed), returning_(!place.knows) {}

  // How long a connection to discovery may take to come up.
  Micros Dial() const { return Bounded(kDial); }
  // The least time from one call to the next where nothing new is told.
  Micros Gap() const { return Bounded(kGap); }

  // When one that starts at `start` makes its first call.
  Micros FirstAsk(Micros start) const;

  // A call was answered after `took`. Returns when to ask again; `news`: the answer said something
  // that was not known, so that many may be told the same now.
  Micros OnAnswer(Micros now, Micros took, bool news);

  // Why a call brought nothing.
  enum class Why {
    kAbsent,  // Nobody takes calls there.
    kLost,    // It broke off, or no answer came: discovery may have been there.
    kRefused  // Discovery is there and said no.
  };
  struct Failure {
    Why why = Why::kLost;
    std::optional<Micros> advice = std::nullopt;  // How long it asks to stay away.
  };
  // Returns when to ask again.
  Micros OnFailure(Micros now, const Failure& failure);

  // How long the next watch may wait.
  Micros Wait() const { return std::min(wait_, Longest()); }
  // A watch was answered, or given up, so much later than its wait was over.
  void OnWatchOver(Micros late, bool answered);

  // What one call is known or guessed to cost discovery.
  Micros CallCost() const { return shown_.value_or(kCallGuess); }

 private:
  double Draw();
  // The time that discovery needs for one call of each member, within limits.
  Micros Window(Micros cost, Micros most) const;
  Micros Longest() const;
  static Micros Most(Why why);
  bool pushed() const { return place_.pushed_within > 0; }
  // No longer than lists that are pushed allow.
  Micros Bounded(Micros span) const {
    return pushed() ? std::min(span, place_.pushed_within) : span;
  }

  Place place_;
  std::uint64_t rng_;
  // What an answer took that had nothing to wait for but its turn: the first, to one that knew
  // nothing. A watch may have waited for news, and tells nothing of what discovery needs.
  std::optional<Micros> shown_;
  bool returning_;    // It knew nothing at its start, and has not been told yet.
  int failures_ = 0;  // In a row.
  Micros wait_ = kWatch;
  int overdue_ = 0;  // Watches without an answer, in a row.
};

}  // namespace recovery

#endif  // SHELFLINK_RECOVERY_PACE_H_
