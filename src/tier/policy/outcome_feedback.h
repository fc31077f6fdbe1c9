// Feeds the outcomes of attempts back into the estimates that later choices use: the latency and
// health of endpoints, the statistics of services and the concurrency limits. No I/O and no clock.
#ifndef SHELFLINK_TIER_POLICY_OUTCOME_FEEDBACK_H_
#define SHELFLINK_TIER_POLICY_OUTCOME_FEEDBACK_H_

#include <cstdint>

#include "policy/limiter.h"
#include "tier/policy/pending_call.h"
#include "tier/policy/priority_levels.h"
#include "tier/policy/services.h"

namespace shelflink::policy {

class OutcomeFeedback {
 public:
  OutcomeFeedback(std::uint64_t seed, Services& services, PriorityLevels& levels,
                  gaugecart::RetryBudget& retry_budget)
      : seed_(seed), services_(services), levels_(levels), retry_budget_(retry_budget) {}

  // Records an arrived call in the statistics of its service.
  static void NoteArrival(ServiceStats& stats, const Call& call);
  // Records the first event of an attempt, or its answer.
  void NoteFirstEvent(Micros now, const PendingCall& pending, Attempt& attempt);
  void NoteOutcome(Micros now, const PendingCall& pending, Attempt& attempt, Outcome outcome);

 private:
  void NoteUnreachable(Micros now, const PendingCall& pending, Endpoint& endpoint);
  void NoteTimeout(Micros now, const PendingCall& pending, Attempt& attempt);
  void NoteOverload(const Call& call);
  void NoteHealth(Micros now, const PendingCall& pending, Endpoint& endpoint, bool failed,
                  int times);
  static void NoteLateLiveCall(Service& service);
  void NoteBatchFirstEvent(const PendingCall& pending, const Attempt& attempt, Micros elapsed);
  static bool EjectionLimitReached(Micros now, Service& service);

  std::uint64_t seed_;
  Services& services_;
  PriorityLevels& levels_;
  gaugecart::RetryBudget& retry_budget_;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_OUTCOME_FEEDBACK_H_
