#include "emulator/account.h"

#include <algorithm>
#include <utility>

namespace shelflab {
namespace {

constexpr std::size_t kMostExamples = 20;
// An attempt may come in long after its request was answered; after this it is held foreign.
constexpr Micros kMemory = 8 * kSecond;
constexpr int kServed = 200;
constexpr Micros kLeftSpan = 100'000;  // By the terms: an attempt that begins later is a break.

std::string Hex(std::uint64_t txn) {
  std::string hex(16, '0');
  for (int i = 15; i >= 0; --i, txn >>= 4) {
    hex[static_cast<std::size_t>(i)] = "0123456789abcdef"[txn & 15];
  }
  return hex;
}

}  // namespace

const char* WordOf(Rule rule) {
  switch (rule) {
    case Rule::kLost:
      return "lost answers";
    case Rule::kUnanswered:
      return "no answer in time";
    case Rule::kTwice:
      return "second answers";
    case Rule::kForged:
      return "forged answers";
    case Rule::kDoubleRun:
      return "forbidden resends";
    case Rule::kRefusedRun:
      return "refused though it may have run";
    case Rule::kTooMany:
      return "too many attempts";
    case Rule::kDrain:
      return "sends after a drain";
    case Rule::kColdFall:
      return "cold nodes pushed over";
    case Rule::kForeign:
      return "requests nobody sent";
    case Rule::kAfterLeft:
      return "attempts for clients that had left";
  }
  return "?";
}

std::uint64_t Account::all_broken() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t n : counts_) sum += n;
  return sum;
}

void Account::Break(Rule rule, const Seen& seen, std::string text) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (examples_.size() < kMostExamples) {
    examples_.push_back({rule, seen.at, seen.txn, seen.node, std::move(text)});
  }
}

void Account::On(const Seen& seen) {
  using Kind = Seen::Kind;
  Expire(seen.at);
  switch (seen.kind) {
    case Kind::kTaken: {
      Request& r = requests_[seen.txn];
      r.cls = seen.cls;
      r.due = seen.due;
      r.taken = true;
      ++taken_;
      ends_.emplace(seen.due + slack_ + 1, seen.txn);
      return;
    }
    case Kind::kFinal:
    case Kind::kCut:
    case Kind::kLeft:
    case Kind::kGone: {
      const auto it = requests_.find(seen.txn);
      if (it != requests_.end()) Final(it->second, seen);
      return;
    }
    case Kind::kAttemptBegan:
      return Began(seen);
    case Kind::kAttemptEnded: {
      const auto it = requests_.find(seen.txn);
      if (it == requests_.end()) return;
      if (seen.never_ran && it->second.unproven > 0) --it->second.unproven;
      if (seen.status == kServed) it->second.bodies.push_back(seen.body);
      return;
    }
    case Kind::kTold:
      // Told again is no new start: the first word counts.
      told_.try_emplace({seen.sidecar, seen.node}, seen.at);
      return;
    case Kind::kServing:
      told_.erase({seen.sidecar, seen.node});
      return;
    case Kind::kFellOver:
      return Break(Rule::kColdFall, seen, "node " + std::to_string(seen.node) + " fell over");
  }
}

void Account::Final(Request& r, const Seen& seen) {
  if (seen.kind == Seen::Kind::kLeft) r.left = std::min(r.left, seen.at);
  if (seen.kind == Seen::Kind::kGone || seen.kind == Seen::Kind::kLeft) {
    r.ended = true;
    return;
  }
  if (std::exchange(r.late, false)) return;
  if (r.ended) {
    if (seen.kind == Seen::Kind::kFinal)
      Break(Rule::kTwice, seen, Hex(seen.txn) + " answered again");
    return;
  }
  r.ended = true;
  if (seen.kind == Seen::Kind::kCut) {
    return Break(Rule::kLost, seen, Hex(seen.txn) + " ended without an answer");
  }
  if (seen.at > r.due + slack_) {
    Break(Rule::kUnanswered, seen,
          Hex(seen.txn) + " answered " + std::to_string((seen.at - r.due) / 1000) + " ms late");
  }
  if (sight_.endpoints && seen.status == kServed &&
      std::find(r.bodies.begin(), r.bodies.end(), seen.body) == r.bodies.end()) {
    Break(Rule::kForged, seen, Hex(seen.txn) + " served with what no endpoint answered");
  }
  const bool refused = seen.status == 429 || seen.status == 503;
  if (refused && r.unproven > 0 && spec_.classes[r.cls].repeat == Repeat::kAtMostOnce) {
    Break(Rule::kRefusedRun, seen, Hex(seen.txn) + " refused, but it may have run");
  }
}

void Account::Began(const Seen& seen) {
  auto it = requests_.find(seen.txn);
  ++attempts_;
  if (it == requests_.end() && !sight_.clients) {
    it = requests_.emplace(seen.txn, Request{}).first;
    it->second.cls = seen.cls;
    it->second.due = seen.at;
    it->second.ended = true;
    ends_.emplace(seen.at + kMemory, seen.txn);
  }
  if (it == requests_.end()) {
    return Break(Rule::kForeign, seen, Hex(seen.txn) + " was sent by no client");
  }
  Request& r = it->second;
  r.last = seen.at;
  if (r.unproven > 0 && spec_.classes[r.cls].repeat == Repeat::kAtMostOnce) {
    Break(Rule::kDoubleRun, seen,
          Hex(seen.txn) + " sent to node " + std::to_string(seen.node) + " though it may have run");
  }
  ++r.unproven;
  if (++r.attempts > spec_.max_attempts) {
    Break(Rule::kTooMany, seen, Hex(seen.txn) + ": attempt " + std::to_string(r.attempts));
  }
  // A send counts from its first byte, however long a cut held that up.
  const Micros sent = seen.sent > 0 ? seen.sent : seen.at;
  if (r.left != kNever && sent > r.left + kLeftSpan + slack_) {
    Break(Rule::kAfterLeft, seen,
          Hex(seen.txn) + " sent to node " + std::to_string(seen.node) + " " +
              std::to_string((sent - r.left) / 1000) + " ms after its client had left");
  }
  const auto told = told_.find({seen.sidecar, seen.node});
  if (told != told_.end() && sent > told->second + spec_.drain_grace + slack_) {
    Break(Rule::kDrain, seen,
          Hex(seen.txn) + " sent to node " + std::to_string(seen.node) + " " +
              std::to_string((sent - told->second) / 1000) + " ms after its drain was told");
  }
}

void Account::Expire(Micros now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const auto [at, txn] = *ends_.begin();
    ends_.erase(ends_.begin());
    const auto it = requests_.find(txn);
    if (it == requests_.end()) continue;
    Request& r = it->second;
    if (r.taken && !r.ended) {
      r.ended = r.late = true;
      Seen seen;
      seen.at = at;
      seen.txn = txn;
      Break(Rule::kUnanswered, seen, Hex(txn) + " was never answered");
    }
    if (std::max(r.due, r.last) + kMemory <= now) {
      requests_.erase(it);
    } else {
      ends_.emplace(std::max(r.due, r.last) + kMemory, txn);
    }
  }
}

}  // namespace shelflab
