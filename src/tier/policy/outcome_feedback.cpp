#include "tier/policy/outcome_feedback.h"

#include <algorithm>
#include <vector>

#include "tier/policy/mutant.h"

namespace shelflink::policy {
namespace {

// Objectives; a timeout of an attempt that had less time is not evidence against the endpoint.
constexpr double kMinTimeoutObjectives = 1.0;
constexpr Micros kRecentActivity = 2'000'000;  // Shows that the endpoint is up.
constexpr Micros kBackOffBase = 100'000;       // First back-off delay after a rejection.
constexpr double kMeanGain = 0.05;             // Weight of one call in the means.
// Overload signals for each rejected call. With one, the limit would settle where every eighth
// attempt is rejected, urgent calls included.
constexpr int kRejectionWeight = 4;
// A batch call counts as having waited for a slot if its first event was delayed by this fraction
// of the shortest objective of the live calls, which would have waited too.
constexpr double kBatchWaitObjectives = 0.25;
// Failures that an unanswered attempt counts as, because it is detected later than any other
// failure.
constexpr int kSilenceWeight = 2;

}  // namespace

void OutcomeFeedback::NoteArrival(ServiceStats& stats, const Call& call) {
  const double kv_tokens = static_cast<double>(call.prompt_tokens) + call.output_tokens;
  stats.mean_prompt_tokens += kMeanGain * (call.prompt_tokens - stats.mean_prompt_tokens);
  stats.mean_kv_tokens += kMeanGain * (kv_tokens - stats.mean_kv_tokens);
  if (!call.batch) stats.shortest_objective = std::min(stats.shortest_objective, ObjectiveOf(call));
}

void OutcomeFeedback::NoteFirstEvent(Micros now, const PendingCall& pending, Attempt& attempt) {
  ServiceStats& stats = services_.At(pending.call.service).stats;
  const Micros elapsed = now - attempt.sent;
  attempt.endpoint->NoteFirstEvent(now, attempt, pending.call);
  // Batch calls wait for more urgent ones, so their latency says nothing about the endpoint.
  if (pending.call.batch) {
    NoteBatchFirstEvent(pending, attempt, elapsed);
  } else {
    const double expected = stats.first_event.Expected(attempt.tokens_to_first_event);
    if (stats.first_event.HasEnoughSamples() && expected > 0) {
      attempt.endpoint->NoteLatencyRatio(now, static_cast<double>(elapsed) / expected);
    }
    stats.first_event.Note(attempt.tokens_to_first_event, static_cast<double>(elapsed));
    levels_.NoteFirstEvent(now, pending.call.level, elapsed, ObjectiveOf(pending.call));
    if (elapsed > ObjectiveOf(pending.call)) NoteLateLiveCall(services_.At(pending.call.service));
  }
  NoteHealth(now, pending, *attempt.endpoint, false, 1);
}

void OutcomeFeedback::NoteLateLiveCall(Service& service) {
  for (Endpoint* endpoint : service.batch_endpoints) endpoint->batch_limit().NoteLateLiveCall();
}

void OutcomeFeedback::NoteBatchFirstEvent(const PendingCall& pending, const Attempt& attempt,
                                          Micros elapsed) {
  ServiceStats& stats = services_.At(pending.call.service).stats;
  Endpoint& endpoint = *attempt.endpoint;
  const Micros objective = std::min(stats.shortest_objective, ObjectiveOf(pending.call));
  const double prefill = stats.first_event.HasEnoughSamples()
                             ? stats.first_event.PerToken() * attempt.tokens_to_first_event
                             : 0.0;
  const double waited = stats.batch_start_delay.Note(static_cast<double>(elapsed), prefill);
  if (waited > kBatchWaitObjectives * static_cast<double>(objective)) {
    endpoint.batch_limit().NoteWait();
  } else {
    endpoint.batch_limit().NoteImmediateStart(endpoint.batch_calls());
  }
}

void OutcomeFeedback::NoteOutcome(Micros now, const PendingCall& pending, Attempt& attempt,
                                  Outcome outcome) {
  Endpoint& endpoint = *attempt.endpoint;
  switch (outcome) {
    case Outcome::kSuccess:
      if (!attempt.first_event_received) NoteFirstEvent(now, pending, attempt);
      endpoint.NoteActivity(now);
      levels_.NoteCompleted(now, pending.call.level, now - attempt.sent);
      retry_budget_.Earn();
      break;
    case Outcome::kNotRun:
      endpoint.NoteActivity(now);
      endpoint.BackOff(now, kBackOffBase);
      if (pending.call.batch) endpoint.batch_limit().NoteRejected();
      endpoint.prefixes().NoteNotPrefilled(pending.call.prompt);
      endpoint.health().EndTrial();
      for (int i = 0; i < kRejectionWeight; ++i) NoteOverload(pending.call);
      break;
    case Outcome::kMisdirected:
      endpoint.NoteMisdirected(now);
      endpoint.prefixes().NoteNotPrefilled(pending.call.prompt);
      endpoint.health().EndTrial();
      services_.At(pending.call.service).subset.Invalidate();
      break;
    case Outcome::kNeverSent:
      endpoint.prefixes().NoteNotPrefilled(pending.call.prompt);
      NoteUnreachable(now, pending, endpoint);
      break;
    case Outcome::kError:
      endpoint.NoteActivity(now);
      NoteHealth(now, pending, endpoint, true, 1);
      break;
    case Outcome::kReset:
      NoteHealth(now, pending, endpoint, true, 1);
      NoteOverload(pending.call);
      break;
    case Outcome::kTimeout:
      NoteTimeout(now, pending, attempt);
      break;
    case Outcome::kTruncated:
      NoteHealth(now, pending, endpoint, true, 1);
      break;
    case Outcome::kCancelled:
      if (!attempt.first_event_received) endpoint.prefixes().NoteNotPrefilled(pending.call.prompt);
      endpoint.health().EndTrial();
      break;
  }
}

// An endpoint with recent activity may only be out of connections: it backs off without a failure.
void OutcomeFeedback::NoteUnreachable(Micros now, const PendingCall& pending, Endpoint& endpoint) {
  endpoint.BackOff(now, kBackOffBase);
  if (endpoint.health().ejected() || now - endpoint.last_activity() >= kRecentActivity) {
    NoteHealth(now, pending, endpoint, true, kSilenceWeight);
  }
}

// A timeout of an attempt that had less time than its objective says nothing about the endpoint:
// the call would also time out at a healthy one.
void OutcomeFeedback::NoteTimeout(Micros now, const PendingCall& pending, Attempt& attempt) {
  const Micros allowed =
      pending.call.deadline == kNever ? kNever : pending.call.deadline - attempt.sent;
  const auto min_timeout =
      static_cast<Micros>(kMinTimeoutObjectives * static_cast<double>(ObjectiveOf(pending.call)));
  if (allowed < min_timeout) {
    return attempt.endpoint->health().EndTrial();
  }
  NoteHealth(now, pending, *attempt.endpoint, true,
             attempt.first_event_received ? 1 : kSilenceWeight);
  NoteOverload(pending.call);
}

// Batch calls are excluded: endpoints reject or delay them first, and live calls need not be
// limited for that.
void OutcomeFeedback::NoteOverload(const Call& call) {
  if (!call.batch) levels_.NoteOverload(call.level);
}

void OutcomeFeedback::NoteHealth(Micros now, const PendingCall& pending, Endpoint& endpoint,
                                 bool failed, int times) {
  Service& service = services_.At(pending.call.service);
  const auto ejection_limit_reached = [&] { return EjectionLimitReached(now, service); };
  if (failed && Mutated(Mutant::kNeverEject)) return;
  service.baseline_failure_rate.Note(failed);
  bool changed = false;
  for (int i = 0; i < times && !changed; ++i) {
    changed = endpoint.health().Note(failed, service.baseline_failure_rate, ejection_limit_reached,
                                     seed_ ^ endpoint.hash(), now);
  }
  if (changed) service.subset.Invalidate();
}

// Whether one more ejection would exceed the fraction of the subset that may be ejected at a time.
bool OutcomeFeedback::EjectionLimitReached(Micros now, Service& service) {
  const std::vector<Endpoint*>& members = service.subset.Members(now);
  const auto ejected = std::count_if(members.begin(), members.end(),
                                     [](const Endpoint* e) { return e->health().ejected(); });
  return static_cast<double>(ejected + 1) >
         gaugecart::kMaxEjectedPart * static_cast<double>(members.size());
}

}  // namespace shelflink::policy
