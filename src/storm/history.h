// What each party of a storm did and decided, and when: one record a line, as JSON. Every process
// tells its own part in its trace; the lab tells what it did to them, what discovery told them and
// what reached the endpoints. Whoever judges reads nothing else.
#ifndef SHELFLINK_STORM_HISTORY_H_
#define SHELFLINK_STORM_HISTORY_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "storm/script.h"

namespace storm {

// What of it the judgement knows; other words may stand in a history and are passed over.
namespace what {
// Of processes.
constexpr const char* kList = "list";    // It took a list: version.
constexpr const char* kHeard = "heard";  // It took a list of a peer: version; about: since when, on
                                         // the lab's clock, discovery is known to have said it.
constexpr const char* kLesson = "lesson";  // It stored what it had learned; about: in its words.
constexpr const char* kRecall = "recall";  // It began with what an earlier life had learned; about.
constexpr const char* kAsk = "ask";        // It asked discovery.
constexpr const char* kSend = "send";  // It sent an attempt, resting on a version; about: to whom.
// Of processes that share a coordination store; version: a fence.
constexpr const char* kWon = "won";    // It owns maintenance from now on.
constexpr const char* kLost = "lost";  // It owns it no more.
constexpr const char* kAct = "act";    // It called a member; about: order and member.
constexpr const char* kOut = "out";    // Its turn: it goes out; version: the revision at which the
                                       // store noted its part; about: the caller's fence, order.
constexpr const char* kBack = "back";  // It is back; about: order.
constexpr const char* kLate = "refused_late";         // A call: the fence is lower than one seen.
constexpr const char* kRefused = "refused_by_store";  // A call: the store says that it is over.
// Of the lab.
constexpr const char* kOrdered = "ordered";  // An operator's order was taken; version: how many may
                                             // be out at once; about: its name.
constexpr const char* kStarted = "started";
constexpr const char* kReady = "ready";
constexpr const char* kKilled = "killed";
constexpr const char* kStopped = "stopped";
constexpr const char* kWoken = "woken";
constexpr const char* kCalled = "called";        // Its call reached discovery.
constexpr const char* kTold = "told";            // Discovery has written it an answer: version.
constexpr const char* kConnected = "connected";  // A connection of it came up; about: at whom.
constexpr const char* kLeft = "left";            // It ended by itself, in order.
constexpr const char* kUnready = "unready";      // It says that it is not healthy.
}  // namespace what

struct Record {
  Micros at = 0;  // On the lab's clock.
  std::string who;
  std::uint64_t life = 0;  // Counts the starts of the process, from 1; 0: of no process.
  std::string what;
  std::optional<std::int64_t> version;
  std::string about;
};

struct BadHistory : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Without the end of the line.
std::string LineOf(const Record& record);
// Throws BadHistory naming what is wrong; `name` and `line` say where.
Record ParseRecord(std::string_view text, const std::string& name, std::size_t line);
std::vector<Record> ParseHistory(std::string_view text, const std::string& name);

// A line of a process's trace, whose times are of the wall clock; none for other lines. `start` is
// the wall clock at the lab's time 0, in microseconds.
std::optional<Record> FromTrace(std::string_view line, std::int64_t start);

}  // namespace storm

#endif  // SHELFLINK_STORM_HISTORY_H_
