// A call that the module has accepted and not finished, its attempts, and the rules on sending it
// again.
#ifndef SHELFLINK_TIER_POLICY_PENDING_CALL_H_
#define SHELFLINK_TIER_POLICY_PENDING_CALL_H_

#include <cstdint>
#include <vector>

#include "tier/policy/module.h"

namespace shelflink::policy {

class Endpoint;

// One attempt to run a call at an endpoint.
struct Attempt {
  Endpoint* endpoint = nullptr;  // Null once it is over: the endpoint may be removed then.
  std::uint64_t endpoint_hash = 0;
  Micros sent = 0;
  bool in_flight = true;  // Its outcome is not known yet.
  bool first_event_received = false;
  bool rejected = false;               // The endpoint refused to run it and would refuse it again.
  Micros first_event_timeout = 0;      // After `sent`; then the first event is overdue.
  double tokens_to_first_event = 0.0;  // Tokens to prefill there before its first event.
  std::uint64_t uncached_tokens = 0;   // Own prompt tokens still to prefill.
  std::uint64_t remaining_output_tokens = 0;
};

struct PendingCall {
  Call call;
  bool queued = false;
  bool may_use_reserved_slots = false;  // May also wait for a slot at the endpoint.
  bool may_have_run = false;            // A finished attempt may have run.
  int sends = 0;                        // Attempts that count towards max_attempts.
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const;
  bool Tried(const Endpoint& endpoint) const;
  bool RejectedBy(const Endpoint& endpoint) const;
};

// Whether the outcome proves that the endpoint never ran the call and never will.
bool ProvesNotRun(Outcome outcome);
// Whether an attempt with this outcome counts towards max_attempts. An attempt that was never sent
// or that reached another instance than the intended one does not.
bool CountsAsSend(Outcome outcome);
// Whether the deadline and the attempt limits allow another attempt.
bool HasAttemptsLeft(const PendingCall& pending, Micros now);
// Whether the rules on retries allow another attempt. Retry budget and remaining time are checked
// by the caller.
bool MaySendAgain(const PendingCall& pending, Micros now);
// Attempts of one call, including those that were never sent.
inline constexpr std::size_t kMaxAttemptsIncludingUnsent = 8;

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PENDING_CALL_H_
