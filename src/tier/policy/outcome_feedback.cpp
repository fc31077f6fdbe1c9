#include "tier/policy/outcome_feedback.h"

#include <algorithm>
#include <vector>

#include "tier/policy/mutant.h"

namespace shelflink::policy {
namespace {

constexpr double kHasty = 1.0;            // Objectives: a time-out with less time tells nothing.
constexpr Micros kAliveSpan = 2'000'000;  // A sign this recent shows that it is up.
constexpr Micros kRest = 100'000;         // How long a full endpoint is passed over at first.
constexpr double kUsualGain = 0.05;       // Weight of one call in what is usual.
// Signs of overload that one call turned away counts as: with one, every eighth send would find its
// endpoint full once the limit stands still, urgent ones among them.
constexpr int kFullWeight = 4;
// A batch call waited for a slot where its first event came so much later than without a wait:
// parts of the shortest objective of the live calls that would have waited too.
constexpr double kBatchWait = 0.25;
constexpr int kHeavy = 2;  // Failures that silence counts as: nothing else ends it so late.

}  // namespace

void Learning::NoteUsual(ServiceFacts& facts, const Call& call) {
  const double memory = static_cast<double>(call.prompt_tokens) + call.output_tokens;
  facts.usual_prompt += kUsualGain * (call.prompt_tokens - facts.usual_prompt);
  facts.usual_memory += kUsualGain * (memory - facts.usual_memory);
  if (!call.batch) facts.shortest_objective = std::min(facts.shortest_objective, ObjectiveOf(call));
}

void Learning::NoteBegun(Micros now, const HeldCall& held, Attempt& attempt) {
  ServiceFacts& facts = services_.At(held.call.service).facts;
  const Micros took = now - attempt.sent;
  attempt.endpoint->NoteFirstEvent(now, attempt, held.call);
  // How long a batch call waited for more urgent ones tells nothing of the endpoint's pace.
  if (held.call.batch) {
    NoteBatchBegun(held, attempt, took);
  } else {
    const double expected = facts.first_event.Expected(attempt.model_tokens);
    if (facts.first_event.Known() && expected > 0) {
      attempt.endpoint->NotePace(now, static_cast<double>(took) / expected);
    }
    facts.first_event.Note(attempt.model_tokens, static_cast<double>(took));
    levels_.NoteFirstEvent(now, held.call.level, took, ObjectiveOf(held.call));
    if (took > ObjectiveOf(held.call)) NoteLiveLate(services_.At(held.call.service));
  }
  NoteHealth(now, held, *attempt.endpoint, false, 1);
}

void Learning::NoteLiveLate(Service& service) {
  for (Endpoint* endpoint : service.batch_endpoints) endpoint->batch_limit().NoteLiveLate();
}

void Learning::NoteBatchBegun(const HeldCall& held, const Attempt& attempt, Micros took) {
  ServiceFacts& facts = services_.At(held.call.service).facts;
  Endpoint& endpoint = *attempt.endpoint;
  const Micros objective = std::min(facts.shortest_objective, ObjectiveOf(held.call));
  const double reading =
      facts.first_event.Known() ? facts.first_event.PerToken() * attempt.model_tokens : 0.0;
  const double waited = facts.batch_start.Note(static_cast<double>(took), reading);
  if (waited > kBatchWait * static_cast<double>(objective)) {
    endpoint.batch_limit().NoteWait();
  } else {
    endpoint.batch_limit().NotePrompt(endpoint.batch_calls());
  }
}

void Learning::NoteOutcome(Micros now, const HeldCall& held, Attempt& attempt, Outcome outcome) {
  Endpoint& endpoint = *attempt.endpoint;
  switch (outcome) {
    case Outcome::kSuccess:
      if (!attempt.begun) NoteBegun(now, held, attempt);
      endpoint.NoteSign(now);
      levels_.NoteServed(now, held.call.level, now - attempt.sent);
      retry_budget_.Earn();
      break;
    case Outcome::kNotRun:
      endpoint.NoteSign(now);
      endpoint.NoteFull(now, kRest);
      if (held.call.batch) endpoint.batch_limit().NoteFull();
      endpoint.prefixes().NoteUnread(held.call.prompt);
      endpoint.health().EndTrial();
      for (int i = 0; i < kFullWeight; ++i) NoteOverload(held.call);
      break;
    case Outcome::kMisdirected:
      endpoint.NoteMisdirected(now);
      endpoint.prefixes().NoteUnread(held.call.prompt);
      endpoint.health().EndTrial();
      services_.At(held.call.service).subset.Invalidate();
      break;
    case Outcome::kNeverSent:
      endpoint.prefixes().NoteUnread(held.call.prompt);
      NoteUnreachable(now, held, endpoint);
      break;
    case Outcome::kError:
      endpoint.NoteSign(now);
      NoteHealth(now, held, endpoint, true, 1);
      break;
    case Outcome::kReset:
      NoteHealth(now, held, endpoint, true, 1);
      NoteOverload(held.call);
      break;
    case Outcome::kTimeout:
      NoteTimeout(now, held, attempt);
      break;
    case Outcome::kTruncated:
      NoteHealth(now, held, endpoint, true, 1);
      break;
    case Outcome::kCancelled:
      if (!attempt.begun) endpoint.prefixes().NoteUnread(held.call.prompt);
      endpoint.health().EndTrial();
      break;
  }
}

// One that has just shown life may be short of connections only; it is passed over for a while.
void Learning::NoteUnreachable(Micros now, const HeldCall& held, Endpoint& endpoint) {
  endpoint.NoteFull(now, kRest);
  if (endpoint.health().ejected() || now - endpoint.last_sign() >= kAliveSpan) {
    NoteHealth(now, held, endpoint, true, kHeavy);
  }
}

// With less time than a fair chance takes, a call ends late at the healthiest endpoint.
void Learning::NoteTimeout(Micros now, const HeldCall& held, Attempt& attempt) {
  const Micros allowed = held.call.deadline == kNever ? kNever : held.call.deadline - attempt.sent;
  const auto fair = static_cast<Micros>(kHasty * static_cast<double>(ObjectiveOf(held.call)));
  if (allowed < fair) {
    return attempt.endpoint->health().EndTrial();
  }
  NoteHealth(now, held, *attempt.endpoint, true, attempt.begun ? 1 : kHeavy);
  NoteOverload(held.call);
}

// Batch calls are the first that an endpoint turns away or lets wait: live ones need not yield.
void Learning::NoteOverload(const Call& call) {
  if (!call.batch) levels_.NoteOverload(call.level);
}

void Learning::NoteHealth(Micros now, const HeldCall& held, Endpoint& endpoint, bool failed,
                          int times) {
  Service& service = services_.At(held.call.service);
  const auto most_ejected = [&] { return MostEjected(now, service); };
  if (failed && Mutated(Mutant::kNeverEject)) return;
  service.usual_failure.Note(failed);
  bool changed = false;
  for (int i = 0; i < times && !changed; ++i) {
    changed = endpoint.health().Note(failed, service.usual_failure, most_ejected,
                                     seed_ ^ endpoint.hash(), now);
  }
  if (changed) service.subset.Invalidate();
}

// One more would be beyond the part of the subset that may be ejected at once.
bool Learning::MostEjected(Micros now, Service& service) {
  const std::vector<Endpoint*>& members = service.subset.Members(now);
  const auto ejected = std::count_if(members.begin(), members.end(),
                                     [](const Endpoint* e) { return e->health().ejected(); });
  return static_cast<double>(ejected + 1) >
         gaugecart::kMaxEjected * static_cast<double>(members.size());
}

}  // namespace shelflink::policy
