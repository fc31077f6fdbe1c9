#include "tier/policy/pending_call.h"

#include <algorithm>

#include "tier/policy/endpoint.h"
#include "tier/policy/mutant.h"

namespace shelflink::policy {

bool HeldCall::AnyOut() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

bool HeldCall::Tried(const Endpoint& endpoint) const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [&](const Attempt& a) { return a.endpoint_hash == endpoint.hash(); });
}

bool HeldCall::TurnedAwayBy(const Endpoint& endpoint) const {
  return std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& a) {
    return a.turned_away && !Mutated(Mutant::kAskAgain) && a.endpoint_hash == endpoint.hash();
  });
}

bool ProvesUnrun(Outcome outcome) {
  return outcome == Outcome::kNotRun || outcome == Outcome::kMisdirected ||
         outcome == Outcome::kNeverSent;
}

bool CountsAsSend(Outcome outcome) {
  return outcome != Outcome::kNeverSent && outcome != Outcome::kMisdirected;
}

bool HasAttemptsLeft(const HeldCall& held, Micros now) {
  const int most = Mutated(Mutant::kManyAttempts) ? 9 : std::max(1, held.call.max_attempts);
  return now < held.call.deadline && held.sends < most && held.attempts.size() < kMostAttempts;
}

bool MaySendAgain(const HeldCall& held, Micros now) {
  if (held.AnyOut()) return false;
  const bool may_repeat = held.call.repeatable || Mutated(Mutant::kRepeatAnything);
  if (held.may_have_run && !may_repeat) return false;
  return HasAttemptsLeft(held, now);
}

}  // namespace shelflink::policy
