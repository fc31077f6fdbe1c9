#include "tier/policy/module.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include "deadlines.h"
#include "mix.h"
#include "tier/policy/call.h"
#include "tier/policy/endpoint.h"
#include "tier/policy/levels.h"
#include "tier/policy/mutant.h"
#include "tier/policy/picker.h"
#include "tier/policy/subset.h"

namespace shelflink::policy {
namespace {

constexpr double kWaitFraction = 0.05;   // Longest wait in a queue, as part of the timeout...
constexpr double kWaitObjective = 0.25;  // ...and of the objective: later a refusal is late.
constexpr double kStartFactor = 2.0;     // First limit, in even shares of all endpoints' slots.
constexpr double kFloorFactor = 0.5;     // The least the limit falls to, likewise.
constexpr double kBatchFactor = 0.35;    // The most batch calls at once, likewise.
constexpr double kBatchReading = 1.0;    // Batch prompts unread at once, for each endpoint in use.
constexpr double kBusy = 0.7;            // Part of the slots taken from which one batch call runs.
constexpr double kSurePart = 0.25;       // Part of its pool that a lower level may use in any case.
constexpr double kConnectionFactor = 2.0;  // Connections before one counts as too many, likewise.
constexpr double kPatience = 4.0;          // Expected times to a first event until it is overdue...
constexpr double kLeastPatience = 0.25;    // ...at least so many objectives...
constexpr double kMostPatience = 2.0;      // ...and at most so many.
constexpr double kBatchPatience = 5.0;     // Of batch calls, which endpoints let wait for others.
constexpr double kLeastOffer = 0.1;        // Objectives that a retry must have left.
constexpr double kHasty = 1.0;             // Objectives: a time-out with less time tells nothing.
constexpr double kAdviceLeast = 0.5;       // Objectives after which a refused call may come back...
constexpr double kAdviceSpread = 1.0;      // ...and so many more, drawn for each...
constexpr double kAdviceMost = 0.25;       // ...but never beyond this part of its time left.
constexpr Micros kAliveSpan = 2'000'000;   // A sign this recent shows that it is up.
constexpr Micros kRest = 100'000;          // How long a full endpoint is passed over at first.
constexpr double kUsualGain = 0.05;        // Weight of one call in what is usual.
// Signs of overload that one call turned away counts as: with one, every eighth send would find its
// endpoint full once the limit stands still, urgent ones among them.
constexpr int kFullWeight = 4;
constexpr int kHeavy = 2;  // Failures that silence counts as: nothing else ends it so late.

Micros Part(double part, Micros span) {
  return static_cast<Micros>(part * static_cast<double>(span));
}

// One service: its endpoints as far as they are known, the subset in use, what is learned of all.
struct Service {
  explicit Service(Subset::Finder find) : subset(std::move(find)) {}

  std::unordered_map<std::string, Endpoint> touched;  // By id; only those that were ever members.
  Subset subset;
  Picker picker;
  ServiceFacts facts;
  gaugecart::UsualFailure usual_failure;
  int max_connections = 0;
  double slots = 0.0;  // Of all endpoints.
  std::size_t in_flight = 0;
  bool gone = false;
};

}  // namespace

class Module::Impl {
 public:
  Impl(std::uint64_t seed, Actions& actions) : seed_(seed), actions_(actions) {}

  void OnShape(Micros now, const Shape& shape) {
    now_ = now;
    shape_ = shape;
    levels_.SetCount(std::max(1U, shape.levels));
    for (auto& [name, service] : services_) Place(*service);
    UpdateHints();
    Settle();
  }

  void OnService(Micros now, const ServiceInfo& info) {
    now_ = now;
    Service& service = ServiceNamed(info.name);
    service.gone = false;
    service.facts.kv_tokens = info.kv_tokens;
    service.max_connections = info.max_conns;
    service.slots = 0.0;
    for (const EndpointInfo& endpoint : info.endpoints) service.slots += endpoint.slots;
    service.subset.SetEndpoints(info.endpoints);
    std::vector<std::uint64_t> serving;
    for (std::size_t i = 0; i < info.endpoints.size(); ++i) {
      if (!info.endpoints[i].draining) serving.push_back(service.subset.hashes()[i]);
    }
    service.facts.long_prompts.SetEndpoints(std::move(serving));
    UpdateTouched(service, info.endpoints);
    UpdateHints();
    Settle();
  }

  void OnServiceGone(Micros now, const std::string& name) {
    now_ = now;
    const auto it = services_.find(name);
    if (it == services_.end()) return;
    it->second->gone = true;
    it->second->slots = 0.0;
    it->second->subset.SetEndpoints({});
    UpdateTouched(*it->second, {});
    if (it->second->in_flight == 0) services_.erase(it);
    UpdateHints();
    Settle();
  }

  void OnCall(Micros now, const Call& call) {
    now_ = now;
    const auto [it, fresh] = calls_.try_emplace(call.id);
    if (!fresh) return;  // An id never comes twice; a repeat changes nothing.
    HeldCall& held = it->second;
    held.call = call;
    if (Mutated(Mutant::kOneFlow)) held.call.flow = 0;
    held.call.level =
        static_cast<std::uint32_t>(std::min<std::size_t>(call.level, levels_.count() - 1));
    if (calls_.size() > shape_.most_held || !CanServe(call.service)) return Refuse(held);
    const std::uint32_t level = held.call.level;
    NoteUsual(services_.at(call.service)->facts, call);
    levels_.NoteArrival(now, level);
    held.queued = true;
    const auto shed = levels_.Enqueue(level, {call.id, held.call.flow, call.due});
    if (shed) Refuse(calls_.at(*shed));
    Pump(level);
    WaitOrRefuse(call.id);
    ArmTimer();
  }

  void OnFirstEvent(Micros now, CallId id, std::uint32_t number) {
    now_ = now;
    HeldCall* held = Find(id);
    Attempt* attempt = OutAttempt(held, number);
    if (attempt != nullptr && !attempt->begun) Begin(*held, *attempt);
  }

  void OnProgress(Micros now, CallId id, std::uint32_t number, std::uint32_t tokens) {
    now_ = now;
    Attempt* attempt = OutAttempt(Find(id), number);
    if (attempt != nullptr) attempt->endpoint->NoteProgress(now, *attempt, tokens);
  }

  void OnOutcome(Micros now, CallId id, std::uint32_t number, Outcome outcome, bool again) {
    now_ = now;
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
    now_ = now;
    HeldCall* held = Find(id);
    if (held == nullptr) return;
    for (Attempt& attempt : held->attempts) {
      if (!attempt.out) continue;
      // A caller that left because nothing came tells what a time-out tells.
      const bool overdue = !attempt.begun && now - attempt.sent >= attempt.patience;
      Learn(*held, attempt, overdue ? Outcome::kTimeout : Outcome::kCancelled);
      Finish(*held, attempt);
    }
    Forget(*held);
    Settle();
  }

  void OnLoad(Micros now, const std::string& id, std::uint32_t running, std::uint32_t waiting,
              std::uint32_t slots) {
    now_ = now;
    for (auto& [name, service] : services_) {
      const auto it = service->touched.find(id);
      if (it != service->touched.end()) it->second.NoteLoad(now, running, waiting, slots);
    }
  }

  void OnTimer(Micros now) {
    now_ = now;
    deadlines_.Run(now, [&](CallId id) {
      HeldCall* held = Find(id);
      if (held != nullptr && held->queued) Refuse(*held);
    });
    Settle();
  }

  bool CanMove(Micros now, CallId id, std::uint32_t number) {
    HeldCall* held = Find(id);
    const Attempt* attempt = OutAttempt(held, number);
    if (attempt == nullptr || !held->call.repeatable) return false;
    if (!HasAttemptsLeft(*held, now) || !retry_budget_.Has()) return false;
    if (held->call.due - now < Part(kLeastOffer, ObjectiveOf(held->call))) return false;
    Service& service = *services_.at(held->call.service);
    return Picker::HasOther(now, *held, service.subset.Members(now), *attempt->endpoint);
  }

  std::uint32_t Room(Micros now, std::uint32_t level) const {
    if (level >= levels_.count() || levels_.waiting(level) > 0) return 0;
    double seats = levels_.Seats(now, level);
    if (Mutated(Mutant::kBatchUnbounded)) return 1000;
    if (levels_.IsBatch(level)) {
      // Where live calls wait or slots are short, one at a time: batch is not to stand still.
      const bool spare = !levels_.AnyWaiting() && HasSpareSlots(now);
      if (!spare && Mutated(Mutant::kStarveOthers)) return 0;
      const double most = spare ? kBatchFactor * EvenShare(AllSlots()) : 1.0;
      seats = std::min(seats, std::max(1.0, most));
    }
    double room = seats - static_cast<double>(levels_.in_flight(level));
    if (levels_.IsBatch(level)) room = std::min(room, ReadingRoom(now));
    return static_cast<std::uint32_t>(std::max(0.0, room));
  }

 private:
  // ---- Services and endpoints ----

  Service& ServiceNamed(const std::string& name) {
    const auto it = services_.find(name);
    if (it != services_.end()) return *it->second;
    auto service = std::make_unique<Service>(
        [this, name](const EndpointInfo& info, std::uint64_t hash) -> Endpoint& {
          return Touch(*services_.at(name), info, hash);
        });
    Service& made = *services_.emplace(name, std::move(service)).first->second;
    Place(made);
    return made;
  }

  Endpoint& Touch(Service& service, const EndpointInfo& info, std::uint64_t hash) {
    const auto [it, fresh] = service.touched.try_emplace(info.id, hash);
    if (fresh) it->second.Update(now_, info, service.facts.kv_tokens);
    return it->second;
  }

  void Place(Service& service) {
    service.subset.SetNode(shape_.node, shape_.zone);
    service.picker = Picker(shape_.zone);
  }

  // Of an endpoint that is gone nothing is kept once nothing is out to it.
  void UpdateTouched(Service& service, const std::vector<EndpointInfo>& listed) {
    for (auto& [id, endpoint] : service.touched) endpoint.SetListed(false);
    for (const EndpointInfo& info : listed) {
      const auto it = service.touched.find(info.id);
      if (it != service.touched.end()) it->second.Update(now_, info, service.facts.kv_tokens);
    }
    std::erase_if(service.touched, [](const auto& entry) {
      return !entry.second.listed() && entry.second.calls() == 0;
    });
  }

  double AllSlots() const {
    double slots = 0.0;
    for (const auto& [name, service] : services_) slots += service->slots;
    return slots;
  }

  double EvenShare(double of_all) const { return of_all / std::max(1U, shape_.sidecars); }

  void UpdateHints() {
    const double share = EvenShare(AllSlots());
    levels_.StartFrom(kStartFactor * share);
    levels_.SetFloor(kFloorFactor * share);
    for (auto& [name, service] : services_) {
      service->facts.connections_share = kConnectionFactor * EvenShare(service->max_connections);
    }
  }

  bool CanServe(const std::string& name) {
    const auto it = services_.find(name);
    if (it == services_.end() || it->second->gone) return false;
    return !it->second->subset.Members(now_).empty();
  }

  // Prompts of batch calls that may still be sent to be read. An endpoint reads them among those of
  // live calls, whose first events come later for it.
  double ReadingRoom(Micros now) const {
    std::size_t members = 0;
    for (const auto& [name, service] : services_) members += service->subset.Members(now).size();
    const double most = std::max(1.0, kBatchReading * static_cast<double>(members));
    return most - static_cast<double>(batch_reading_);
  }

  bool HasSpareSlots(Micros now) const {
    for (const auto& [name, service] : services_) {
      double running = 0.0;
      double slots = 0.0;
      for (const Endpoint* endpoint : service->subset.Members(now)) {
        running += endpoint->Running(now);
        slots += endpoint->slots();
      }
      if (running < kBusy * slots) return true;
    }
    return false;
  }

  static void NoteUsual(ServiceFacts& facts, const Call& call) {
    const double memory = static_cast<double>(call.prompt_tokens) + call.output_tokens;
    facts.usual_prompt += kUsualGain * (call.prompt_tokens - facts.usual_prompt);
    facts.usual_memory += kUsualGain * (memory - facts.usual_memory);
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
    if (Mutated(Mutant::kWaitLong)) return call.due - now_;
    if (call.batch || call.timeout <= 0) return 0;  // Batch items wait in the store.
    Micros wait =
        std::min(Part(kWaitFraction, call.timeout), Part(kWaitObjective, ObjectiveOf(call)));
    // Leave the work its usual time: a wait that eats it wins nothing.
    if (call.due != kNever) wait = std::min(wait, call.due - now_ - levels_.UsualSpan(call.level));
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
      const Choice choice = now_ < held->call.due ? Pick(*held) : Choice{};
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
    return static_cast<double>(out) + 1.0 <= kSurePart * levels_.Seats(now_, call.level);
  }

  Choice Pick(const HeldCall& held) {
    const auto it = services_.find(held.call.service);
    if (it == services_.end()) return {};
    Service& service = *it->second;
    return service.picker.Pick(now_, held, service.subset.Members(now_), service.facts);
  }

  void Send(HeldCall& held, Endpoint& endpoint) {
    const Call& call = held.call;
    Service& service = *services_.at(call.service);
    Attempt attempt;
    attempt.endpoint = &endpoint;
    attempt.endpoint_hash = endpoint.hash();
    attempt.sent = now_;
    attempt.read_tokens = Picker::ReadTokens(call, endpoint);
    attempt.model_tokens = static_cast<double>(attempt.read_tokens + endpoint.unread_tokens());
    attempt.output_tokens = call.output_tokens;
    attempt.patience = PatienceOf(call, service.facts, attempt.model_tokens);
    endpoint.Book(attempt, call);
    if (call.batch) ++batch_reading_;
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

  static Micros PatienceOf(const Call& call, const ServiceFacts& facts, double tokens) {
    const Micros objective = ObjectiveOf(call);
    if (call.batch) return Part(kBatchPatience, objective);
    if (!facts.first_event.Known()) return Part(kMostPatience, objective);
    const auto patience = static_cast<Micros>(kPatience * facts.first_event.Expected(tokens));
    return std::clamp(patience, Part(kLeastPatience, objective), Part(kMostPatience, objective));
  }

  // The attempt is over; its seat and what it held at the endpoint are free.
  void Finish(HeldCall& held, Attempt& attempt) {
    if (held.call.batch && !attempt.begun) --batch_reading_;
    attempt.endpoint->Unbook(attempt, held.call);
    attempt.endpoint = nullptr;
    attempt.out = false;
    levels_.Finish(held.call.level);
    const auto it = services_.find(held.call.service);
    if (--it->second->in_flight == 0 && it->second->gone) services_.erase(it);
  }

  bool Retry(HeldCall& held, Outcome outcome) {
    if (!MaySendAgain(held, now_)) return false;
    if (held.call.due - now_ < Part(kLeastOffer, ObjectiveOf(held.call))) return false;
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
    if (call.due == kNever) return advice;
    return std::min(advice, std::max<Micros>(0, Part(kAdviceMost, call.due - now_)));
  }

  void Forget(HeldCall& held) {
    if (held.queued) levels_.Remove(held.call.level, held.call.id, held.call.flow);
    calls_.erase(held.call.id);
  }

  // ---- Learning ----

  void Begin(HeldCall& held, Attempt& attempt) {
    ServiceFacts& facts = services_.at(held.call.service)->facts;
    const Micros took = now_ - attempt.sent;
    if (held.call.batch) --batch_reading_;
    attempt.endpoint->NoteFirstEvent(now_, attempt, held.call);
    // How long a batch call waited for more urgent ones tells nothing of the endpoint.
    if (!held.call.batch) {
      const double expected = facts.first_event.Expected(attempt.model_tokens);
      if (facts.first_event.Known() && expected > 0) {
        attempt.endpoint->NotePace(now_, static_cast<double>(took) / expected);
      }
      facts.first_event.Note(attempt.model_tokens, static_cast<double>(took));
      levels_.NoteFirstEvent(now_, held.call.level, took, ObjectiveOf(held.call));
    }
    NoteHealth(held, *attempt.endpoint, false, 1);
  }

  void Learn(HeldCall& held, Attempt& attempt, Outcome outcome) {
    Endpoint& endpoint = *attempt.endpoint;
    switch (outcome) {
      case Outcome::kSuccess:
        if (!attempt.begun) Begin(held, attempt);
        endpoint.NoteSign(now_);
        levels_.NoteServed(now_, held.call.level, now_ - attempt.sent);
        retry_budget_.Earn();
        break;
      case Outcome::kNotRun:
        endpoint.NoteSign(now_);
        endpoint.NoteFull(now_, kRest);
        endpoint.prefixes().NoteUnread(held.call.prompt);
        endpoint.health().EndTrial();
        for (int i = 0; i < kFullWeight; ++i) NoteOverload(held.call);
        break;
      case Outcome::kMisdirected:
        endpoint.NoteMisdirected(now_);
        endpoint.prefixes().NoteUnread(held.call.prompt);
        endpoint.health().EndTrial();
        services_.at(held.call.service)->subset.Invalidate();
        break;
      case Outcome::kNeverSent:
        endpoint.prefixes().NoteUnread(held.call.prompt);
        LearnUnreachable(held, endpoint);
        break;
      case Outcome::kError:
        endpoint.NoteSign(now_);
        NoteHealth(held, endpoint, true, 1);
        break;
      case Outcome::kReset:
        NoteHealth(held, endpoint, true, 1);
        NoteOverload(held.call);
        break;
      case Outcome::kTimeout:
        LearnTimeout(held, attempt);
        break;
      case Outcome::kCut:
        NoteHealth(held, endpoint, true, 1);
        break;
      case Outcome::kCancelled:
        if (!attempt.begun) endpoint.prefixes().NoteUnread(held.call.prompt);
        endpoint.health().EndTrial();
        break;
    }
  }

  // One that has just shown life may be short of connections only; it is passed over for a while.
  void LearnUnreachable(HeldCall& held, Endpoint& endpoint) {
    endpoint.NoteFull(now_, kRest);
    if (endpoint.health().ejected() || now_ - endpoint.last_sign() >= kAliveSpan) {
      NoteHealth(held, endpoint, true, kHeavy);
    }
  }

  // With less time than a fair chance takes, a call ends late at the healthiest endpoint.
  void LearnTimeout(HeldCall& held, Attempt& attempt) {
    const Micros allowed = held.call.due == kNever ? kNever : held.call.due - attempt.sent;
    if (allowed < Part(kHasty, ObjectiveOf(held.call))) {
      return attempt.endpoint->health().EndTrial();
    }
    NoteHealth(held, *attempt.endpoint, true, attempt.begun ? 1 : kHeavy);
    NoteOverload(held.call);
  }

  // Batch calls are the first that an endpoint turns away or lets wait: live ones need not yield.
  void NoteOverload(const Call& call) {
    if (!call.batch) levels_.NoteOverload(call.level);
  }

  void NoteHealth(HeldCall& held, Endpoint& endpoint, bool failed, int times) {
    Service& service = *services_.at(held.call.service);
    const auto most_ejected = [&] { return MostEjected(service); };
    if (failed && Mutated(Mutant::kNeverEject)) return;
    service.usual_failure.Note(failed);
    bool changed = false;
    for (int i = 0; i < times && !changed; ++i) {
      changed = endpoint.health().Note(failed, service.usual_failure, most_ejected,
                                       seed_ ^ endpoint.hash(), now_);
    }
    if (changed) service.subset.Invalidate();
  }

  // One more would be beyond the part of the subset that may be ejected at once.
  bool MostEjected(Service& service) {
    const std::vector<Endpoint*>& members = service.subset.Members(now_);
    const auto ejected = std::count_if(members.begin(), members.end(),
                                       [](const Endpoint* e) { return e->health().ejected(); });
    return static_cast<double>(ejected + 1) >
           gaugecart::kMaxEjected * static_cast<double>(members.size());
  }

  std::uint64_t seed_;
  Actions& actions_;
  Micros now_ = 0;
  Shape shape_;
  std::size_t batch_reading_ = 0;  // Attempts of batch calls before their first event.
  Levels levels_;
  std::unordered_map<std::string, std::unique_ptr<Service>> services_;
  std::unordered_map<CallId, HeldCall> calls_;
  gaugecart::Deadlines<CallId> deadlines_;
  gaugecart::RetryBudget retry_budget_;
};

Module::Module(std::uint64_t seed, Actions& actions)
    : impl_(std::make_unique<Impl>(seed, actions)) {}
Module::~Module() = default;

void Module::OnShape(Micros now, const Shape& shape) { impl_->OnShape(now, shape); }
void Module::OnService(Micros now, const ServiceInfo& service) { impl_->OnService(now, service); }
void Module::OnServiceGone(Micros now, const std::string& service) {
  impl_->OnServiceGone(now, service);
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
bool Module::CanMove(Micros now, CallId call, std::uint32_t attempt) const {
  return impl_->CanMove(now, call, attempt);
}
std::uint32_t Module::Room(Micros now, std::uint32_t level) const {
  return impl_->Room(now, level);
}

}  // namespace shelflink::policy
