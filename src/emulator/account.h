// The account of the rules, kept from what was seen on the wire and from nothing else: what clients
// sent and got, what endpoints got and answered, what discovery told. It knows the promises, not
// the program that makes them.
//
//   one final answer   each request taken ends once, whole, and before its caller stops waiting
//   no forged answer   what is served is what an endpoint answered to this request
//   no double run      a request that must not run twice is sent again, or refused, only when no
//                      earlier attempt may have run
//   few attempts       at most FleetSpec::max_attempts for a request
//   drains kept        no attempt at a draining or gone node later than the grace after the
//                      sidecar was told
//   no cold node over  no node that has just started is pushed over
//   only own requests  an attempt bears the id of a request that a client sent
#ifndef SHELFLAB_EMULATOR_ACCOUNT_H_
#define SHELFLAB_EMULATOR_ACCOUNT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "emulator/spec.h"

namespace shelflab {

enum class Rule {
  kLost,        // The sidecar ended the connection without a whole answer.
  kUnanswered,  // No answer in time.
  kTwice,       // A second answer.
  kForged,
  kDoubleRun,
  kRefusedRun,  // Refused although an attempt may have run.
  kTooMany,
  kDrain,
  kColdFall,
  kForeign,
  kAfterLeft,  // An attempt begun for a client that had gone.
};
constexpr std::size_t kRules = 11;
const char* WordOf(Rule rule);

struct Seen {
  enum class Kind {
    kTaken,         // A client wrote the last byte of request `txn`; due: when it stops waiting.
    kFinal,         // It got an answer: status, body.
    kCut,           // Its connection ended before a whole answer came.
    kGone,          // The client went away, or the sidecar was killed: nothing is owed.
    kLeft,          // The same, and it closed the connection: nothing more may be begun for it.
    kAttemptBegan,  // `txn` has reached `node` whole, through `sidecar`.
    kAttemptEnded,  // ... and was answered: never_ran where the answer proves that; body.
    kTold,          // `sidecar` was told that `node` drains or is gone ...
    kServing,       // ... or that it serves (again).
    kFellOver,      // `node` was pushed over while cold.
  };
  Kind kind = Kind::kTaken;
  Micros at = 0;
  Micros sent = 0;  // kAttemptBegan: when its first byte was written, where that is known; else 0.
  std::uint64_t txn = 0;
  std::uint32_t attempt = 0;  // Number of the attempt at the endpoint, as Began gave it.
  NodeId node = 0;
  std::uint32_t sidecar = 0;
  std::uint32_t cls = 0;
  Micros due = 0;
  int status = 0;
  std::uint64_t body = 0;  // Hash.
  bool never_ran = false;
};

struct Broken {
  Rule rule;
  Micros at;
  std::uint64_t txn;
  NodeId node;
  std::string text;
};

// What the observer can see. Where it does not see the clients, a request is known from its first
// attempt on; where it does not see the endpoints, it cannot tell a forged answer.
struct Sight {
  bool clients = true;
  bool endpoints = true;
};

class Account {
 public:
  // `slack`: how far past a limit an event may be seen, in microseconds: what the rules grant real
  // sockets, and the observer's own lateness.
  Account(const FleetSpec& spec, Micros slack, Sight sight = {})
      : spec_(spec), slack_(slack), sight_(sight) {}

  // Events in the order of their times; those of one time in any order that cause and effect allow.
  void On(const Seen& seen);
  // Nothing is open any more that was due before `now`; checks what ran out and forgets what is
  // long over, so that the account stays small however long it runs.
  void Expire(Micros now);

  const std::array<std::uint64_t, kRules>& broken() const { return counts_; }
  std::uint64_t all_broken() const;
  // The first ones, with their text.
  const std::vector<Broken>& examples() const { return examples_; }
  std::uint64_t taken() const { return taken_; }
  std::uint64_t attempts() const { return attempts_; }
  std::size_t held() const { return requests_.size(); }

 private:
  struct Request {
    std::uint32_t cls = 0;
    Micros due = kNever;
    Micros last = 0;
    bool taken = false;
    bool ended = false;    // Answered, or nothing is owed.
    bool late = false;     // Held unanswered; an answer may still come.
    Micros left = kNever;  // When its client closed the connection.
    std::uint32_t attempts = 0;
    std::uint32_t unproven = 0;         // Attempts that may have run, or still may.
    std::vector<std::uint64_t> bodies;  // Of whole 200 answers by endpoints.
  };

  void Break(Rule rule, const Seen& seen, std::string text);
  void Final(Request& request, const Seen& seen);
  void Began(const Seen& seen);

  FleetSpec spec_;
  Micros slack_;
  Sight sight_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::multimap<Micros, std::uint64_t> ends_;  // When to look at a request again.
  std::map<std::pair<std::uint32_t, NodeId>, Micros> told_;
  std::array<std::uint64_t, kRules> counts_{};
  std::vector<Broken> examples_;
  std::uint64_t taken_ = 0;
  std::uint64_t attempts_ = 0;
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_ACCOUNT_H_
