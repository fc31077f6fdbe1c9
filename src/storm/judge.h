// Reads a history and says what of it breaks a promise, and how the fleet came back. It knows the
// promises (docs/design/coming-back.md), not the code that is to keep them.
#ifndef SHELFLINK_STORM_JUDGE_H_
#define SHELFLINK_STORM_JUDGE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "storm/history.h"

namespace storm {

struct Promise {
  // From the write of a version to a process until its decisions rest on it, while it runs.
  Micros knows_within = 250'000;
  // Beyond which a list of a peer decides nothing, and how exactly the clocks of processes and lab
  // compare.
  Micros list_age = 300 * kSecond;
  Micros clocks = 20'000;
  // Beyond which limits and shunned endpoints of an earlier life decide nothing.
  Micros lesson_age = 60 * kSecond;
  // How exactly an owner's look at its lease and its call are one.
  Micros act_slack = 50'000;
  // Within which list calls of a process that has come back are counted.
  Micros return_span = 10 * kSecond;
};

struct Finding {
  std::string rule;  // A few words, the same for all findings of its sort.
  Micros at = 0;
  std::string who;
  std::string text;
};

// How one start of a process went that was not its first.
struct Back {
  std::string who;
  std::uint64_t life = 0;
  Micros started = 0;
  std::optional<Micros> ready;  // None if it was never seen to be.
  bool cut_short = false;       // Killed or stopped within the span in which its calls count.
  std::size_t calls = 0;        // That reached discovery within the span.
};

struct Judgement {
  std::vector<Finding> findings;
  std::vector<Back> backs;
  std::size_t calls = 0;                // That reached discovery.
  std::size_t fullest_tenth_calls = 0;  // In a tenth of a second from `since` on.
  std::size_t connections = 0;          // That came up at endpoints.
  std::size_t fullest_tenth_connections = 0;
  std::size_t heard = 0;      // Lists that were taken from peers.
  std::size_t recalled = 0;   // Lessons of earlier lives that a process began with.
  std::size_t decisions = 0;  // That were held to the promise about stale ones.
  // Of work that one does for all.
  std::size_t wins = 0;          // Of its ownership.
  std::size_t outs = 0;          // Turns that were taken.
  std::size_t late_refused = 0;  // Calls of owners that owned no more, by receiver or store.
  Micros longest_ownerless = 0;  // From a loss, a death or a stop of the owner to the next win.
};

// In any order of the records; those before `since` count for what was known, not for the tenths.
Judgement Judge(std::vector<Record> history, const Promise& promise, Micros since);

// The most of the times that lie within any tenth of a second.
std::size_t FullestTenth(std::vector<Micros> times);

}  // namespace storm

#endif  // SHELFLINK_STORM_JUDGE_H_
