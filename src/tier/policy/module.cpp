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

constexpr double kWaitFraction = 0.05;   // Longest wait in a queue, as part of the timeout...
constexpr double kWaitObjective = 0.25;  // ...and of the objective: later a refusal is late.
constexpr double kStartFactor = 2.0;     // First limit, in even shares of all endpoints' slots.
constexpr double kFloorFactor = 0.5;     // The least the limit falls to, likewise.
constexpr double kSurePart = 0.25;       // Part of its pool that a lower level may use in any case.
constexpr double kFirstEventFactor = 4.0;  // Expected times to a first event until it is overdue...
constexpr double kShortestFirstEventTimeout = 0.25;  // ...at least so many objectives...
constexpr double kLongestFirstEventTimeout = 2.0;    // ...and at most so many.
constexpr double kBatchFirstEvent = 5.0;  // Of batch calls, which endpoints let wait for others.
constexpr double kLeastOffer = 0.1;       // Objectives that a retry must have left.
constexpr double kAdviceLeast = 0.5;      // Objectives after which a refused call may come back...
constexpr double kAdviceSpread = 1.0;     // ...and so many more, drawn for each...
constexpr double kAdviceMost = 0.25;      // ...but never beyond this part of its time left.
Micros Part(double part, Micros span) {
  return static_cast<Micros>(part * static_cast<double>(span));
}

}  // namespace

class Module::Impl {
 public:
  Impl(std::uint64_t seed, Actions& actions)
      : seed_(seed), actions_(actions), learning_(seed, services_, levels_, retry_budget_) {}

  void OnConfig(Micros now, const ModuleConfig& config) {
    Advance(now);
    config_ = config;
    levels_.SetCount(std::max(1U, config.levels));
    services_.SetConfig(config);
    UpdateHints();
    Settle();
  }

  void OnService(Micros now, const ServiceInfo& info) {
    Advance(now);
    services_.Set(info);
    UpdateHints();
    Settle();
  }

  void OnServiceRemoved(Micros now, const std::string& name) {
    Advance(now);
    if (!services_.Remove(name)) return;
    UpdateHints();
    Settle();
  }

  void OnCall(Micros now, const Call& call) {
    Advance(now);
    const auto [it, fresh] = calls_.try_emplace(call.id);
    if (!fresh) return;  // An id never comes twice; a repeat changes nothing.
    HeldCall& held = it->second;
    held.call = call;
    if (Mutated(Mutant::kOneFlow)) held.call.flow = 0;
    held.call.level =
        static_cast<std::uint32_t>(std::min<std::size_t>(call.level, levels_.count() - 1));
    if (calls_.size() > config_.max_pending_calls || !services_.CanServe(call.service))
      return Refuse(held);
    const std::uint32_t level = held.call.level;
    Learning::NoteUsual(services_.At(call.service).facts, call);
    levels_.NoteArrival(now, level);
    held.queued = true;
    const auto shed = levels_.Enqueue(level, {call.id, held.call.flow, call.deadline});
    if (shed) Refuse(calls_.at(*shed));
    Pump(level);
    WaitOrRefuse(call.id);
    ArmTimer();
  }

  void OnFirstEvent(Micros now, CallId id, std::uint32_t number) {
    Advance(now);
    HeldCall* held = Find(id);
    Attempt* attempt = OutAttempt(held, number);
    if (attempt != nullptr && !attempt->begun) Begin(*held, *attempt);
  }

  void OnProgress(Micros now, CallId id, std::uint32_t number, std::uint32_t tokens) {
    Advance(now);
    Attempt* attempt = OutAttempt(Find(id), number);
    if (attempt != nullptr) attempt->endpoint->NoteProgress(now, *attempt, tokens);
  }

  void OnOutcome(Micros now, CallId id, std::uint32_t number, Outcome outcome, bool again) {
    Advance(now);
    HeldCall* held = Find(id);
    Attempt* attempt = OutAttempt(held, number);
    if (attempt == nullptr) return;
    // What was never sent and is not to go on was given up on this side.
    const bool given_up = outcome == Outcome::kNeverSent && !again;
    Learn(*held, *attempt, given_up ? Outcome::kCancelled : outcome);
    attempt->turned_away = outcome == Outcome::kNotRun || outcome == Outcome::kMisdirected;
    Finish(*held, *attempt);
    if (!CountsAsSend(outcome)) --held->sends;
    if (!ProvesUnrun(outcome)) held->may_have_run = true;
    if (!again) {
      calls_.erase(id);
    } else if (!Retry(*held, outcome)) {
      End(*held);
    }
    Settle();
  }

  void OnAbandoned(Micros now, CallId id) {
    Advance(now);
    HeldCall* held = Find(id);
    if (held == nullptr) return;
    for (Attempt& attempt : held->attempts) {
      if (!attempt.out) continue;
      // A caller that left because nothing came tells what a time-out tells.
      const bool overdue = !attempt.begun && now - attempt.sent >= attempt.first_event_timeout;
      Learn(*held, attempt, overdue ? Outcome::kTimeout : Outcome::kCancelled);
      Finish(*held, attempt);
    }
    Forget(*held);
    Settle();
  }

  void OnLoad(Micros now, const std::string& id, std::uint32_t running, std::uint32_t waiting,
              std::uint32_t slots) {
    Advance(now);
    services_.NoteLoad(id, running, waiting, slots);
  }

  void OnTimer(Micros now) {
    Advance(now);
    deadlines_.Run(now, [&](CallId id) {
      HeldCall* held = Find(id);
      if (held != nullptr && held->queued) Refuse(*held);
    });
    Settle();
  }

  bool CanRetryElsewhere(Micros now, CallId id, std::uint32_t number) {
    HeldCall* held = Find(id);
    const Attempt* attempt = OutAttempt(held, number);
    if (attempt == nullptr || !held->call.repeatable) return false;
    if (!HasAttemptsLeft(*held, now) || !retry_budget_.Has()) return false;
    if (held->call.deadline - now < Part(kLeastOffer, ObjectiveOf(held->call))) return false;
    Service& service = services_.At(held->call.service);
    return Picker::HasOther(now, *held, MembersFor(now, *held, service), *attempt->endpoint);
  }

  BatchState batch() const { return services_.batch(); }

  std::uint32_t Room(Micros now, std::uint32_t level) const {
    if (level >= levels_.count() || levels_.waiting(level) > 0) return 0;
    if (Mutated(Mutant::kBatchUnbounded)) return 1000;
    const std::size_t in_flight = levels_.in_flight(level);
    if (levels_.IsBatch(level)) return BatchRoom(now, in_flight);
    const double room = levels_.LimitOf(now, level) - static_cast<double>(in_flight);
    return static_cast<std::uint32_t>(std::max(0.0, room));
  }

 private:
  void Advance(Micros now) {
    now_ = now;
    services_.SetNow(now);
  }

  void UpdateHints() {
    const double share = services_.EvenShare(services_.AllSlots());
    levels_.StartFrom(kStartFactor * share);
    levels_.SetFloor(kFloorFactor * share);
    levels_.SetBatchSeats(services_.BatchSlots());
    services_.ShareConnections();
  }

  std::uint32_t BatchRoom(Micros now, std::size_t in_flight) const {
    if (!levels_.AnyWaiting()) {
      if (const std::uint32_t room = services_.BatchRoom(now); room > 0) return room;
    }
    // Where live calls wait or slots are short, one at a time: batch is not to stand still.
    if (Mutated(Mutant::kStarveOthers)) return 0;
    return in_flight == 0 && services_.CanRunBatch(now) ? 1 : 0;
  }

  // ---- Calls ----

  HeldCall* Find(CallId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
  }

  static Attempt* OutAttempt(HeldCall* held, std::uint32_t number) {
    if (held == nullptr || number >= held->attempts.size()) return nullptr;
    return held->attempts[number].out ? &held->attempts[number] : nullptr;
  }

  Micros LongestWait(const HeldCall& held) const {
    const Call& call = held.call;
    if (Mutated(Mutant::kWaitLong)) return call.deadline - now_;
    if (call.batch || call.timeout <= 0) return 0;  // Batch items wait in the store.
    Micros wait =
        std::min(Part(kWaitFraction, call.timeout), Part(kWaitObjective, ObjectiveOf(call)));
    // Leave the work its usual time: a wait that eats it wins nothing.
    if (call.deadline != kNever)
      wait = std::min(wait, call.deadline - now_ - levels_.UsualSpan(call.level));
    return wait;
  }

  void WaitOrRefuse(CallId id) {
    HeldCall* held = Find(id);
    if (held == nullptr || !held->queued) return;
    const Micros wait = LongestWait(*held);
    if (wait <= 0) return Refuse(*held);
    deadlines_.Add(now_ + wait, id);
  }

  void Settle() {
    for (std::uint32_t level = 0; level < levels_.kept(); ++level) Pump(level);
    ArmTimer();
  }

  void ArmTimer() {
    deadlines_.Arm([&](Micros at) { actions_.SetTimer(at); });
  }

  void Pump(std::uint32_t level) {
    while (const auto next = levels_.Next(now_, level)) {
      HeldCall* held = Find(next->request);
      if (held == nullptr) continue;
      held->last_slots = MayTakeLastSlots(held->call);
      const Choice choice = now_ < held->call.deadline ? Pick(*held) : Choice{};
      if (choice.crowded && !held->call.batch) return levels_.PutBack(level, *next);
      held->queued = false;
      if (choice.endpoint != nullptr) {
        Send(*held, *choice.endpoint);
      } else {
        Refuse(*held);
      }
    }
  }

  // The last slots of an endpoint are left to the first level, but for so few calls of the others
  // that none of them is starved while the first takes all there is.
  bool MayTakeLastSlots(const Call& call) const {
    const std::size_t out = levels_.in_flight(call.level);
    if (call.level == 0) return true;
    if (Mutated(Mutant::kStarveOthers)) return false;
    if (call.batch) return out == 0;
    return static_cast<double>(out) + 1.0 <= kSurePart * levels_.LimitOf(now_, call.level);
  }

  Choice Pick(const HeldCall& held) {
    Service* service = services_.Find(held.call.service);
    if (service == nullptr) return {};
    return service->picker.Pick(now_, held, MembersFor(now_, held, *service), service->facts);
  }

  const std::vector<Endpoint*>& MembersFor(Micros now, const HeldCall& held,
                                           Service& service) const {
    if (!held.call.batch) return service.subset.Members(now);
    return services_.BatchMembers(now, service, held.last_slots);
  }

  void Send(HeldCall& held, Endpoint& endpoint) {
    const Call& call = held.call;
    Service& service = services_.At(call.service);
    Attempt attempt;
    attempt.endpoint = &endpoint;
    attempt.endpoint_hash = endpoint.hash();
    attempt.sent = now_;
    attempt.read_tokens = Picker::ReadTokens(call, endpoint);
    attempt.model_tokens = static_cast<double>(attempt.read_tokens + endpoint.unread_tokens());
    attempt.output_tokens = call.output_tokens;
    attempt.first_event_timeout = FirstEventTimeout(call, service.facts, attempt.model_tokens);
    endpoint.AddAttempt(attempt, call);
    endpoint.health().StartTrial();
    levels_.Start(call.level);
    ++service.in_flight;
    if (held.sends == 0 && !call.batch && service.facts.first_event.Known()) {
      service.facts.long_prompts.Note(Picker::OwnReading(call, service.facts),
                                      static_cast<double>(ObjectiveOf(call)));
    }
    ++held.sends;
    service.subset.NoteInFlight(now_, service.in_flight, PrefixOf(call));
    held.attempts.push_back(attempt);
    actions_.Send(call.id, static_cast<std::uint32_t>(held.attempts.size() - 1),
                  endpoint.info().id);
  }

  static Micros FirstEventTimeout(const Call& call, const ServiceFacts& facts, double tokens) {
    const Micros objective = ObjectiveOf(call);
    if (call.batch) return Part(kBatchFirstEvent, objective);
    if (!facts.first_event.Known()) return Part(kLongestFirstEventTimeout, objective);
    const auto timeout =
        static_cast<Micros>(kFirstEventFactor * facts.first_event.Expected(tokens));
    return std::clamp(timeout, Part(kShortestFirstEventTimeout, objective),
                      Part(kLongestFirstEventTimeout, objective));
  }

  // The attempt is over; its seat and what it held at the endpoint are free.
  void Finish(HeldCall& held, Attempt& attempt) {
    attempt.endpoint->RemoveAttempt(attempt, held.call);
    attempt.endpoint = nullptr;
    attempt.out = false;
    levels_.Finish(held.call.level);
    services_.NoteFinished(held.call.service);
  }

  bool Retry(HeldCall& held, Outcome outcome) {
    if (!MaySendAgain(held, now_)) return false;
    if (held.call.deadline - now_ < Part(kLeastOffer, ObjectiveOf(held.call))) return false;
    // What never reached an endpoint has cost none any work: it needs no token.
    const bool costs = CountsAsSend(outcome);
    if (costs && !retry_budget_.Has() && !Mutated(Mutant::kNoRetryBudget)) return false;
    Endpoint* endpoint = Pick(held).endpoint;
    if (endpoint == nullptr) return false;
    if (costs) retry_budget_.Spend();
    Send(held, *endpoint);
    return true;
  }

  void End(HeldCall& held) {
    if (!held.may_have_run || Mutated(Mutant::kRefuseFailures)) return Refuse(held);
    actions_.Fail(held.call.id);
    Forget(held);
  }

  void Refuse(HeldCall& held) {
    actions_.Refuse(held.call.id, RetryAfter(held.call));
    Forget(held);
  }

  // Those refused at one moment must not all be back at one moment.
  Micros RetryAfter(const Call& call) const {
    const double draw = gaugecart::Unit(gaugecart::Mix(seed_ ^ call.id));
    const Micros advice = Part(kAdviceLeast + kAdviceSpread * draw, ObjectiveOf(call));
    if (call.deadline == kNever) return advice;
    return std::min(advice, std::max<Micros>(0, Part(kAdviceMost, call.deadline - now_)));
  }

  void Forget(HeldCall& held) {
    if (held.queued) levels_.Remove(held.call.level, held.call.id, held.call.flow);
    calls_.erase(held.call.id);
  }

  // The attempt's prompt has been read, whatever else its first event tells.
  void Begin(const HeldCall& held, Attempt& attempt) { learning_.NoteBegun(now_, held, attempt); }

  void Learn(const HeldCall& held, Attempt& attempt, Outcome outcome) {
    learning_.NoteOutcome(now_, held, attempt, outcome);
  }

  std::uint64_t seed_;
  Actions& actions_;
  Micros now_ = 0;
  ModuleConfig config_;
  Levels levels_;
  Services services_;
  std::unordered_map<CallId, HeldCall> calls_;
  gaugecart::Deadlines<CallId> deadlines_;
  gaugecart::RetryBudget retry_budget_;
  Learning learning_;
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
                       bool again) {
  impl_->OnOutcome(now, call, attempt, outcome, again);
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
