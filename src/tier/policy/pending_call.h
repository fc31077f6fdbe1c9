// A call that the module holds, its attempts, and what may lawfully be done with it.
#ifndef SHELFLINK_TIER_POLICY_PENDING_CALL_H_
#define SHELFLINK_TIER_POLICY_PENDING_CALL_H_

#include <cstdint>
#include <vector>

#include "tier/policy/module.h"

namespace shelflink::policy {

class Endpoint;

struct Attempt {
  Endpoint* endpoint = nullptr;  // Only while it is out; the endpoint may be gone later.
  std::uint64_t endpoint_hash = 0;
  Micros sent = 0;
  bool in_flight = true;              // Its outcome is not known yet.
  bool first_event_received = false;  // Its first event has come.
  bool rejected = false;  // Its endpoint will not run it: asked again, it would say so again.
  Micros first_event_timeout = 0;      // Its first event is overdue after that.
  double tokens_to_first_event = 0.0;  // What was to be read before its first event.
  std::uint64_t uncached_tokens = 0;   // Prompt tokens that the endpoint has to read, booked there.
  std::uint64_t output_tokens = 0;     // Still to come.
};

struct PendingCall {
  Call call;
  bool queued = false;
  bool may_use_reserved_slots =
      false;                  // May take an endpoint's last slots, and wait there for one.
  bool may_have_run = false;  // An attempt that is over may have run.
  int sends = 0;              // Endpoints that it was sent to, as max_attempts counts them.
  std::vector<Attempt> attempts;

  bool HasAttemptInFlight() const;
  bool Tried(const Endpoint& endpoint) const;
  bool RejectedBy(const Endpoint& endpoint) const;
};

// Whether the outcome proves that the endpoint never ran the call and never will.
bool ProvesNotRun(Outcome outcome);
// Whether the attempt counts as one of max_attempts. What never left, or reached another instance
// than the one meant, was not sent to the endpoint.
bool CountsAsSend(Outcome outcome);
// Whether time and attempts are left for another one.
bool HasAttemptsLeft(const PendingCall& pending, Micros now);
// Whether another attempt would keep the rules; whether it is worth it is not asked here.
bool MaySendAgain(const PendingCall& pending, Micros now);
// Attempts of one call in all, those that never left among them.
inline constexpr std::size_t kMaxAttemptsIncludingUnsent = 8;

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PENDING_CALL_H_
