#include "tier/policy/module.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include "deadlines.h"
#include "mix.h"
#include "tier/policy/endpoint.h"
#include "tier/policy/mutant.h"
#include "tier/policy/outcome_feedback.h"
#include "tier/policy/pending_call.h"
#include "tier/policy/picker.h"
#include "tier/policy/priority_levels.h"
#include "tier/policy/services.h"

namespace shelflink::policy {
namespace {

// Longest wait in a queue: the lower of these fractions of the timeout and of the objective. After
// a longer wait the refusal itself would be late.
constexpr double kMaxWaitPerTimeout = 0.05;
constexpr double kMaxWaitPerObjective = 0.25;

// Initial and lowest limit, in multiples of this sidecar's even share of all endpoints' slots.
constexpr double kInitialLimitFactor = 2.0;
constexpr double kMinLimitFactor = 0.5;
// Fraction of its pool with which a lower level may use reserved slots.
constexpr double kReservedSlotShare = 0.25;

// Timeout of a first event: this multiple of the predicted time, with bounds in objectives.
constexpr double kFirstEventFactor = 4.0;
constexpr double kMinFirstEventTimeout = 0.25;
constexpr double kMaxFirstEventTimeout = 2.0;
// Objectives, for batch calls, which endpoints delay in favour of live ones.
constexpr double kBatchFirstEventTimeout = 5.0;

constexpr double kRetryTime = 0.1;  // Objectives that must be left before the deadline.
// Retry-after advice of a refused call: a minimum plus a random spread, both in objectives, but at
// most this fraction of the time to its deadline.
constexpr double kRetryAfterMin = 0.5;
constexpr double kRetryAfterSpread = 1.0;
constexpr double kRetryAfterMaxShare = 0.25;

Micros Scale(double fraction, Micros span) {
  return static_cast<Micros>(fraction * static_cast<double>(span));
}

}  // namespace

class Module::Impl {
 public:
  Impl(std::uint64_t seed, Actions& actions)
      : seed_(seed), actions_(actions), feedback_(seed, services_, levels_, retry_budget_) {}

  void OnConfig(Micros now, const ModuleConfig& config) {
    SetTime(now);
    config_ = config;
    levels_.SetCount(std::max(1U, config.levels));
    services_.SetConfig(config);
    UpdateLimits();
    DispatchAll();
  }

  void OnService(Micros now, const ServiceInfo& info) {
    SetTime(now);
    services_.Set(info);
    UpdateLimits();
    DispatchAll();
  }

  void OnServiceRemoved(Micros now, const std::string& name) {
    SetTime(now);
    if (!services_.Remove(name)) return;
    UpdateLimits();
    DispatchAll();
  }

  void OnCall(Micros now, const Call& call) {
    SetTime(now);
    const auto [it, inserted] = calls_.try_emplace(call.id);
    if (!inserted) return;  // Duplicate id: ignored.
    PendingCall& pending = it->second;
    pending.call = call;
    if (Mutated(Mutant::kSingleFlow)) pending.call.flow = 0;
    pending.call.level =
        static_cast<std::uint32_t>(std::min<std::size_t>(call.level, levels_.count() - 1));
    if (calls_.size() > config_.max_calls || !services_.CanServe(call.service))
      return Refuse(pending);
    const std::uint32_t level = pending.call.level;
    OutcomeFeedback::NoteArrival(services_.At(call.service).stats, call);
    levels_.NoteArrival(now, level);
    pending.queued = true;
    const auto shed = levels_.Enqueue(level, {call.id, pending.call.flow, call.deadline});
    if (shed) Refuse(calls_.at(*shed));
    Dispatch(level);
    QueueOrRefuse(call.id);
    ArmTimer();
  }

  void OnFirstEvent(Micros now, CallId id, std::uint32_t number) {
    SetTime(now);
    PendingCall* pending = FindCall(id);
    Attempt* attempt = AttemptInFlight(pending, number);
    if (attempt != nullptr && !attempt->first_event_received) RecordFirstEvent(*pending, *attempt);
  }

  void OnProgress(Micros now, CallId id, std::uint32_t number, std::uint32_t tokens) {
    SetTime(now);
    Attempt* attempt = AttemptInFlight(FindCall(id), number);
    if (attempt != nullptr) attempt->endpoint->NoteProgress(now, *attempt, tokens);
  }

  void OnOutcome(Micros now, CallId id, std::uint32_t number, Outcome outcome, bool may_continue) {
    SetTime(now);
    PendingCall* pending = FindCall(id);
    Attempt* attempt = AttemptInFlight(pending, number);
    if (attempt == nullptr) return;
    // An attempt that was never sent and may not continue was cancelled by this sidecar.
    const bool cancelled = outcome == Outcome::kNeverSent && !may_continue;
    RecordOutcome(*pending, *attempt, cancelled ? Outcome::kCancelled : outcome);
    attempt->rejected = outcome == Outcome::kNotRun || outcome == Outcome::kMisdirected;
    FinishAttempt(*pending, *attempt);
    if (!CountsAsSend(outcome)) --pending->sends;
    if (!ProvesNotRun(outcome)) pending->may_have_run = true;
    if (!may_continue) {
      calls_.erase(id);
    } else if (!Retry(*pending, outcome)) {
      RefuseOrFail(*pending);
    }
    DispatchAll();
  }

  void OnAbandoned(Micros now, CallId id) {
    SetTime(now);
    PendingCall* pending = FindCall(id);
    if (pending == nullptr) return;
    for (Attempt& attempt : pending->attempts) {
      if (!attempt.in_flight) continue;
      // A caller that left after the first-event timeout counts as a timeout of the endpoint.
      const bool overdue =
          !attempt.first_event_received && now - attempt.sent >= attempt.first_event_timeout;
      RecordOutcome(*pending, attempt, overdue ? Outcome::kTimeout : Outcome::kCancelled);
      FinishAttempt(*pending, attempt);
    }
    RemoveCall(*pending);
    DispatchAll();
  }

  void OnLoad(Micros now, const std::string& id, std::uint32_t running, std::uint32_t waiting,
              std::uint32_t slots) {
    SetTime(now);
    services_.NoteLoad(id, running, waiting, slots);
  }

  void OnTimer(Micros now) {
    SetTime(now);
    deadlines_.Run(now, [&](CallId id) {
      PendingCall* pending = FindCall(id);
      if (pending != nullptr && pending->queued) Refuse(*pending);
    });
    DispatchAll();
  }

  bool CanRetryElsewhere(Micros now, CallId id, std::uint32_t number) {
    PendingCall* pending = FindCall(id);
    const Attempt* attempt = AttemptInFlight(pending, number);
    if (attempt == nullptr || !pending->call.repeatable) return false;
    if (!HasAttemptsLeft(*pending, now) || !retry_budget_.Has()) return false;
    if (pending->call.deadline - now < Scale(kRetryTime, ObjectiveOf(pending->call))) return false;
    Service& service = services_.At(pending->call.service);
    return Picker::HasAlternative(now, *pending, CandidatesFor(now, *pending, service),
                                  *attempt->endpoint);
  }

  BatchState batch() const { return services_.batch(); }

  std::uint32_t Room(Micros now, std::uint32_t level) const {
    if (level >= levels_.count() || levels_.waiting(level) > 0) return 0;
    if (Mutated(Mutant::kUnboundedBatch)) return 1000;
    const std::size_t in_flight = levels_.in_flight(level);
    if (levels_.IsBatch(level)) return BatchRoom(now, in_flight);
    const double room = levels_.LimitOf(now, level) - static_cast<double>(in_flight);
    return static_cast<std::uint32_t>(std::max(0.0, room));
  }

 private:
  void SetTime(Micros now) {
    now_ = now;
    services_.SetNow(now);
  }

  void UpdateLimits() {
    const double share = services_.EvenShare(services_.TotalSlots());
    levels_.SetInitialLimit(kInitialLimitFactor * share);
    levels_.SetMinLimit(kMinLimitFactor * share);
    levels_.SetBatchLimit(services_.BatchSlots());
    services_.ShareConnections();
  }

  std::uint32_t BatchRoom(Micros now, std::size_t in_flight) const {
    if (!levels_.AnyWaiting()) {
      if (const std::uint32_t room = services_.BatchRoom(now); room > 0) return room;
    }
    // If live calls wait or slots are short, one batch call at a time, so that batch progresses.
    if (Mutated(Mutant::kStarveLowerLevels)) return 0;
    return in_flight == 0 && services_.CanRunBatch(now) ? 1 : 0;
  }

  PendingCall* FindCall(CallId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
  }

  static Attempt* AttemptInFlight(PendingCall* pending, std::uint32_t number) {
    if (pending == nullptr || number >= pending->attempts.size()) return nullptr;
    return pending->attempts[number].in_flight ? &pending->attempts[number] : nullptr;
  }

  Micros MaxQueueWait(const PendingCall& pending) const {
    const Call& call = pending.call;
    if (Mutated(Mutant::kUnboundedWait)) return call.deadline - now_;
    if (call.batch || call.timeout <= 0) return 0;  // Batch items queue in the job store.
    Micros wait = std::min(Scale(kMaxWaitPerTimeout, call.timeout),
                           Scale(kMaxWaitPerObjective, ObjectiveOf(call)));
    // Leave enough time to run the call: after a longer wait it would miss its deadline.
    if (call.deadline != kNever)
      wait = std::min(wait, call.deadline - now_ - levels_.TypicalDuration(call.level));
    return wait;
  }

  void QueueOrRefuse(CallId id) {
    PendingCall* pending = FindCall(id);
    if (pending == nullptr || !pending->queued) return;
    const Micros wait = MaxQueueWait(*pending);
    if (wait <= 0) return Refuse(*pending);
    deadlines_.Add(now_ + wait, id);
  }

  void DispatchAll() {
    for (std::uint32_t level = 0; level < levels_.allocated_count(); ++level) Dispatch(level);
    ArmTimer();
  }

  void ArmTimer() {
    deadlines_.Arm([&](Micros at) { actions_.SetTimer(at); });
  }

  void Dispatch(std::uint32_t level) {
    while (const auto next = levels_.Next(now_, level)) {
      PendingCall* pending = FindCall(next->request);
      if (pending == nullptr) continue;
      pending->may_use_reserved_slots = MayUseReservedSlots(pending->call);
      const Choice choice = now_ < pending->call.deadline ? Pick(*pending) : Choice{};
      if (choice.only_reserved_slots && !pending->call.batch) return levels_.PutBack(level, *next);
      pending->queued = false;
      if (choice.endpoint != nullptr) {
        Send(*pending, *choice.endpoint);
      } else {
        Refuse(*pending);
      }
    }
  }

  // Some slots of an endpoint are reserved for level 0. The other levels may use them for a few
  // calls, so that they are not starved while level 0 uses all the capacity.
  bool MayUseReservedSlots(const Call& call) const {
    const std::size_t in_flight = levels_.in_flight(call.level);
    if (call.level == 0) return true;
    if (Mutated(Mutant::kStarveLowerLevels)) return false;
    if (call.batch) return in_flight == 0;
    return static_cast<double>(in_flight) + 1.0 <=
           kReservedSlotShare * levels_.LimitOf(now_, call.level);
  }

  Choice Pick(const PendingCall& pending) {
    Service* service = services_.Find(pending.call.service);
    if (service == nullptr) return {};
    return service->picker.Pick(now_, pending, CandidatesFor(now_, pending, *service),
                                service->stats);
  }

  const std::vector<Endpoint*>& CandidatesFor(Micros now, const PendingCall& pending,
                                              Service& service) const {
    if (!pending.call.batch) return service.subset.Members(now);
    return services_.BatchCandidates(now, service, pending.may_use_reserved_slots);
  }

  void Send(PendingCall& pending, Endpoint& endpoint) {
    const Call& call = pending.call;
    Service& service = services_.At(call.service);
    Attempt attempt;
    attempt.endpoint = &endpoint;
    attempt.endpoint_hash = endpoint.hash();
    attempt.sent = now_;
    attempt.uncached_tokens = Picker::UncachedTokens(call, endpoint);
    attempt.tokens_to_first_event =
        static_cast<double>(attempt.uncached_tokens + endpoint.queued_prefill_tokens());
    attempt.remaining_output_tokens = call.output_tokens;
    attempt.first_event_timeout =
        FirstEventTimeout(call, service.stats, attempt.tokens_to_first_event);
    endpoint.AddAttempt(attempt, call);
    endpoint.health().StartTrial();
    levels_.Start(call.level);
    ++service.in_flight;
    if (pending.sends == 0 && !call.batch && service.stats.first_event.HasEnoughSamples()) {
      service.stats.long_prompt_pool.Note(Picker::UnsharedPrefillTime(call, service.stats),
                                          static_cast<double>(ObjectiveOf(call)));
    }
    ++pending.sends;
    service.subset.NoteInFlight(now_, service.in_flight, PrefixOf(call));
    pending.attempts.push_back(attempt);
    actions_.Send(call.id, static_cast<std::uint32_t>(pending.attempts.size() - 1),
                  endpoint.info().id);
  }

  static Micros FirstEventTimeout(const Call& call, const ServiceStats& stats, double tokens) {
    const Micros objective = ObjectiveOf(call);
    if (call.batch) return Scale(kBatchFirstEventTimeout, objective);
    if (!stats.first_event.HasEnoughSamples()) return Scale(kMaxFirstEventTimeout, objective);
    const auto timeout =
        static_cast<Micros>(kFirstEventFactor * stats.first_event.Expected(tokens));
    return std::clamp(timeout, Scale(kMinFirstEventTimeout, objective),
                      Scale(kMaxFirstEventTimeout, objective));
  }

  // Releases the capacity that the attempt used in its level and at the endpoint.
  void FinishAttempt(PendingCall& pending, Attempt& attempt) {
    attempt.endpoint->RemoveAttempt(attempt, pending.call);
    attempt.endpoint = nullptr;
    attempt.in_flight = false;
    levels_.Finish(pending.call.level);
    services_.NoteFinished(pending.call.service);
  }

  bool Retry(PendingCall& pending, Outcome outcome) {
    if (!MaySendAgain(pending, now_)) return false;
    if (pending.call.deadline - now_ < Scale(kRetryTime, ObjectiveOf(pending.call))) return false;
    // An attempt that reached no endpoint caused no work there and needs no retry token.
    const bool uses_budget = CountsAsSend(outcome);
    if (uses_budget && !retry_budget_.Has() && !Mutated(Mutant::kNoRetryBudget)) return false;
    Endpoint* endpoint = Pick(pending).endpoint;
    if (endpoint == nullptr) return false;
    if (uses_budget) retry_budget_.Spend();
    Send(pending, *endpoint);
    return true;
  }

  void RefuseOrFail(PendingCall& pending) {
    if (!pending.may_have_run || Mutated(Mutant::kRefuseFailures)) return Refuse(pending);
    actions_.Fail(pending.call.id);
    RemoveCall(pending);
  }

  void Refuse(PendingCall& pending) {
    actions_.Refuse(pending.call.id, RetryAfter(pending.call));
    RemoveCall(pending);
  }

  // Randomized, so that calls refused at the same time do not all return at the same time.
  Micros RetryAfter(const Call& call) const {
    const double jitter = gaugecart::Unit(gaugecart::Mix(seed_ ^ call.id));
    const Micros retry_after =
        Scale(kRetryAfterMin + kRetryAfterSpread * jitter, ObjectiveOf(call));
    if (call.deadline == kNever) return retry_after;
    return std::min(retry_after,
                    std::max<Micros>(0, Scale(kRetryAfterMaxShare, call.deadline - now_)));
  }

  void RemoveCall(PendingCall& pending) {
    if (pending.queued) levels_.Remove(pending.call.level, pending.call.id, pending.call.flow);
    calls_.erase(pending.call.id);
  }

  void RecordFirstEvent(const PendingCall& pending, Attempt& attempt) {
    feedback_.NoteFirstEvent(now_, pending, attempt);
  }

  void RecordOutcome(const PendingCall& pending, Attempt& attempt, Outcome outcome) {
    feedback_.NoteOutcome(now_, pending, attempt, outcome);
  }

  std::uint64_t seed_;
  Actions& actions_;
  Micros now_ = 0;
  ModuleConfig config_;
  PriorityLevels levels_;
  Services services_;
  std::unordered_map<CallId, PendingCall> calls_;
  gaugecart::Deadlines<CallId> deadlines_;
  gaugecart::RetryBudget retry_budget_;
  OutcomeFeedback feedback_;
};

Module::Module(std::uint64_t seed, Actions& actions)
    : impl_(std::make_unique<Impl>(seed, actions)) {}
Module::~Module() = default;

void Module::OnConfig(Micros now, const ModuleConfig& config) { impl_->OnConfig(now, config); }
void Module::OnService(Micros now, const ServiceInfo& service) { impl_->OnService(now, service); }
void Module::OnServiceRemoved(Micros now, const std::string& service) {
  impl_->OnServiceRemoved(now, service);
}
void Module::OnCall(Micros now, const Call& call) { impl_->OnCall(now, call); }
void Module::OnFirstEvent(Micros now, CallId call, std::uint32_t attempt) {
  impl_->OnFirstEvent(now, call, attempt);
}
void Module::OnProgress(Micros now, CallId call, std::uint32_t attempt, std::uint32_t tokens) {
  impl_->OnProgress(now, call, attempt, tokens);
}
void Module::OnOutcome(Micros now, CallId call, std::uint32_t attempt, Outcome outcome,
                       bool may_continue) {
  impl_->OnOutcome(now, call, attempt, outcome, may_continue);
}
void Module::OnAbandoned(Micros now, CallId call) { impl_->OnAbandoned(now, call); }
void Module::OnLoad(Micros now, const std::string& endpoint, std::uint32_t running,
                    std::uint32_t waiting, std::uint32_t slots) {
  impl_->OnLoad(now, endpoint, running, waiting, slots);
}
void Module::OnTimer(Micros now) { impl_->OnTimer(now); }
bool Module::CanRetryElsewhere(Micros now, CallId call, std::uint32_t attempt) const {
  return impl_->CanRetryElsewhere(now, call, attempt);
}
std::uint32_t Module::Room(Micros now, std::uint32_t level) const {
  return impl_->Room(now, level);
}

BatchState Module::batch() const { return impl_->batch(); }

}  // namespace shelflink::policy
