#include "tier/policy/pending_call.h"

#include <algorithm>

#include "tier/policy/endpoint.h"
#include "tier/policy/mutant.h"

namespace shelflink::policy {

bool PendingCall::HasAttemptInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& a) { return a.in_flight; });
}

bool PendingCall::Tried(const Endpoint& endpoint) const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [&](const Attempt& a) { return a.endpoint_hash == endpoint.hash(); });
}

bool PendingCall::RejectedBy(const Endpoint& endpoint) const {
  return std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& a) {
    return a.rejected && !Mutated(Mutant::kRetryRejectingEndpoint) &&
           a.endpoint_hash == endpoint.hash();
  });
}

bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kNotRun || outcome == Outcome::kMisdirected ||
         outcome == Outcome::kNeverSent;
}

bool CountsAsSend(Outcome outcome) {
  return outcome != Outcome::kNeverSent && outcome != Outcome::kMisdirected;
}

bool HasAttemptsLeft(const PendingCall& pending, Micros now) {
  const int max_sends =
      Mutated(Mutant::kExtraAttempts) ? 9 : std::max(1, pending.call.max_attempts);
  return now < pending.call.deadline && pending.sends < max_sends &&
         pending.attempts.size() < kMaxAttemptsIncludingUnsent;
}

bool MaySendAgain(const PendingCall& pending, Micros now) {
  if (pending.HasAttemptInFlight()) return false;
  const bool may_repeat = pending.call.repeatable || Mutated(Mutant::kRetryNonRepeatable);
  if (pending.may_have_run && !may_repeat) return false;
  return HasAttemptsLeft(pending, now);
}

}  // namespace shelflink::policy
