// Implements Balancer (include/gaugecart/choice.h). A request's class selects a priority level with
// its own concurrency limit; its tenant, a few of the level's queues, which are served round-robin;
// a rotation over a subset of endpoints selects the target. CallTable checks every action last.
#include <map>

#include "deadlines.h"
#include "policy/fleet.h"
#include "policy/level.h"
#include "policy/limiter.h"
#include "validate.h"

namespace gaugecart {
constexpr double kMaxWaitFraction = 0.1;  // Longest wait in a queue, as a fraction of give_up.
constexpr double kStartAims = 0.5;        // Answer time, in aims, that sizes the initial limit...
constexpr double kTailAims = 0.25;        // ...where late answers count in the goal.
constexpr double kSpareFraction = 0.7;    // Fraction of a level open to tenants over their share.
constexpr Micros kDispatchRetryMicros = 20'000;  // Retry interval while no endpoint can be used.

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, Actions* actions, Micros now)
      : settings_((Validate(settings), std::move(settings))),
        seed_(seed),
        actions_(*actions),
        calls_(settings_),
        fleet_(settings_, seed),
        tenant_shares_(settings_),
        limiter_(InitialLimit(settings_),
                 kMinLevelLimit * static_cast<double>(settings_.classes.size())) {
    for (std::uint32_t i = 0; i < settings_.classes.size(); ++i)
      levels_.emplace_back(i, settings_.tail_counts);
    arrivals_.resize(std::max<std::size_t>(1, settings_.tenants.size()));
    has_no_quotas_ = TotalQuota(settings_) <= 0;
    if (settings_.discovery_by_ask) {
      // Spreads the group's subscriptions: a simultaneous start must not overload discovery.
      const double position = (static_cast<double>(settings_.me % settings_.group_size) + 0.5) /
                              static_cast<double>(settings_.group_size);
      Arm(now + static_cast<Micros>(position * 0.5 * static_cast<double>(settings_.ask_within)),
          Timer::kFollow, 0);
    }
    UpdateTimer();
  }

  void OnEndpoints(Micros now, ListKind kind, const std::vector<Endpoint>& endpoints) {
    if (kind != ListKind::kStale) discovery_failures_ = 0;
    fleet_.Update(now, kind, endpoints);
    DispatchAndUpdateTimer(now);
  }

  void OnDiscoveryFailed(Micros now) {
    // Exponential backoff with jitter from the seed, well within ask_within.
    const Micros pause = 500'000LL << std::min(discovery_failures_++, 4);
    const Micros base = std::min<Micros>(settings_.ask_within / 2, pause);
    const double spread = Unit(Mix(seed_ ^ static_cast<std::uint64_t>(now)));
    Arm(now + static_cast<Micros>(static_cast<double>(base) * (0.5 + spread)), Timer::kFollow, 0);
    UpdateTimer();
  }

  void OnRequest(Micros now, const Request& request) {
    if (request.priority_level >= levels_.size()) return;
    Call* call = calls_.Add(request);
    if (call == nullptr) return;
    const std::uint32_t tenant = TenantOf(request);
    arrivals_[tenant].Add(now, 1.0);
    // Without quotas the initial limit follows the observed demand.
    if (has_no_quotas_) limiter_.RaiseStart(LimitForDemand(now));
    Level& level = levels_[request.priority_level];
    level.demand.Add(now, ExpectedMicros(request.priority_level) / 1e6);
    // Leaves the embedder room to accept and refuse more. A level keeps its even share.
    const std::size_t load = (level.queues.size() + level.in_flight) * levels_.size();
    if (std::min(calls_.size() - 1, load) >= settings_.max_pending) return Refuse(request.id, now);
    Arm(request.due, Timer::kRequestDue, request.id);
    const Micros wait = MaxQueueWait(*call, now);
    call->queued = true;
    const auto shed = level.queues.Enqueue({request.id, tenant, request.due},
                                           [&](std::uint64_t t) { return ShareExcess(t, now); });
    Arm(now + wait, Timer::kQueueTimeout, request.id);
    if (shed) Refuse(*shed, now);
    Dispatch(request.priority_level, now);
    UpdateTimer();
  }

  void OnFirstByte(Micros, RequestId request, std::uint32_t attempt) {
    Call* call = calls_.Find(request);
    if (call == nullptr || attempt >= call->attempts.size()) return;
    call->streaming = true;
  }

  void OnOutcome(Micros now, const Outcome& o) {
    const auto entry = attempt_levels_.find(std::pair(o.request, o.attempt));
    if (entry == attempt_levels_.end()) return;  // Unknown, or already reported.
    const std::uint32_t index = entry->second;
    attempt_levels_.erase(entry);
    Level& level = levels_[index];
    --level.in_flight;
    if (const double limit = LevelLimit(index, now); limit < 1.0) {
      level.paused_until = now + static_cast<Micros>(ExpectedMicros(index) * (1.0 / limit - 1.0));
    }
    EndpointState* endpoint = fleet_.Find(o.endpoint);
    if (endpoint == nullptr ||
        fleet_.NoteOutcome(*endpoint, o, index, level.times.typical(), now)) {
      AdjustLimit(level, settings_.classes[index], o, now);
    }
    if (Call* call = calls_.Find(o.request)) {
      if (o.attempt < call->attempts.size()) {
        call->attempts[o.attempt].in_flight = false;
        call->attempts[o.attempt].provably_not_run = ProvablyNotRun(o.code);
      }
      if (o.closed) {
        Finish(*call);
      } else if (!call->AnyInFlight()) {
        RetryOrRefuse(*call, o.code == OutcomeCode::kConnectFailed, now);
      }
    }
    DispatchAndUpdateTimer(now);
  }

  std::size_t CountAvoided(Micros now) const { return fleet_.CountAvoided(now); }

  LearnedState Export(Micros now) const { return {limiter_.limit(), fleet_.Ejections(now)}; }

  void Restore(Micros now, const LearnedState& state) {
    if (state.limit > 0) limiter_.Restore(state.limit);
    for (const LearnedState::Ejection& e : state.ejections) fleet_.RestoreEjection(e, now);
  }

  void OnAbandoned(Micros now, RequestId request) {
    if (Call* call = calls_.Find(request)) Finish(*call);
    DispatchAndUpdateTimer(now);
  }

  void OnTimer(Micros now, std::uint64_t) {
    timers_.Run(now, [&](const Timer& event) { HandleTimer(event, now); });
    UpdateTimer();
  }

 private:
  struct Timer {
    enum Kind { kRequestDue, kQueueTimeout, kFollow, kDispatch };
    Kind kind;
    RequestId request;
  };

  // The limit that carries all quotas if an answer takes half its aim (sized for the whole aim,
  // dozens of calls are in flight to an endpoint before the first late answer), and at least so
  // much that a mostly idle balancer never queues.
  static double InitialLimit(const Settings& s) {
    double aim = 0.0;
    for (const ClassSettings& c : s.classes) aim += static_cast<double>(c.aim) / 1e6;
    aim /= static_cast<double>(s.classes.size());
    const double own =
        TotalQuota(s) / s.group_size * aim * (s.tail_counts ? kTailAims : kStartAims);
    return std::max(own, 4.0 * static_cast<double>(s.classes.size()));
  }
  // The limit that carries the present demand at baseline answer times, with spare capacity.
  double LimitForDemand(Micros now) {
    double limit = 0.0;
    for (Level& level : levels_) {
      if (level.times.baseline() > 0) limit += level.demand.Rate(now) / level.times.Slowness();
    }
    return limit / kSpareFraction;
  }
  std::uint32_t TenantOf(const Request& r) const {
    return r.tenant && *r.tenant < arrivals_.size() ? *r.tenant : 0;
  }

  // A tenant's arrival rate over its share of the service.
  double ShareExcess(std::uint64_t tenant, Micros now) {
    const double share = settings_.tenants.empty() ? 1.0 : settings_.tenants[tenant].share;
    return arrivals_[tenant].Rate(now) / std::max(share, 1e-6);
  }

  double ExpectedMicros(std::uint32_t index) const {
    const double typical = levels_[index].times.typical();
    return typical > 0 ? typical : 0.3 * static_cast<double>(settings_.classes[index].aim);
  }

  Micros MaxQueueWait(const Call& call, Micros now) const {
    const ClassSettings& c = calls_.ClassOf(call);
    const double fixed = kMaxWaitFraction * static_cast<double>(c.give_up);
    // A wait that uses up the expected answer time only delays the failure.
    const double room =
        static_cast<double>(call.request.due - now) - ExpectedMicros(call.request.priority_level);
    return static_cast<Micros>(std::max(0.0, std::min(fixed, room)));
  }

  // A level's isolated share of the total limit: a quarter of it evenly, the rest by demand.
  double LevelLimit(std::uint32_t index, Micros now) {
    double total = 0.0;
    for (Level& level : levels_) total += level.demand.Rate(now);
    const double even = 1.0 / static_cast<double>(levels_.size());
    const double by_demand = total > 0 ? levels_[index].demand.Rate(now) / total : even;
    const double share = 0.25 * even + 0.75 * by_demand;
    return std::max(std::min(kMinLevelLimit, limiter_.limit() * even), limiter_.limit() * share);
  }

  double InFlight() const {
    std::size_t sum = 0;
    for (const Level& level : levels_) sum += level.in_flight;
    return static_cast<double>(sum);
  }

  void AdjustLimit(Level& level, const ClassSettings& c, const Outcome& o, Micros now) {
    const bool normal = level.NearBaseline();
    const bool slow = !normal && level.times.typical() > kPromptPart * static_cast<double>(c.aim);
    const bool late = slow && level.times.typical() > static_cast<double>(c.aim);
    if (o.code == OutcomeCode::kTimeout || o.code == OutcomeCode::kReset ||
        o.code == OutcomeCode::kFull) {
      limiter_.NoteOverload(InFlight(), slow, late);
    }
    if (o.code != OutcomeCode::kOk) return;
    retry_budget_.Earn();
    level.times.Note(static_cast<double>(o.rtt), now);
    const bool far_below = limiter_.IsFarBelowStart();
    const bool prompt = static_cast<double>(o.rtt) <= kPromptPart * static_cast<double>(c.aim);
    // At baseline answer times fewer calls do not make answers faster. A prompt answer may still
    // have queued: a limit that rises until answers are late overloads endpoints long before.
    if (o.rtt > c.aim && !(normal && far_below)) {
      limiter_.NoteOverload(InFlight(), slow, late);
    } else if ((normal && far_below) || (prompt && (normal || (!slow && far_below)))) {
      limiter_.NotePrompt(InFlight() + 1.0, !settings_.tail_counts);
    }
  }

  void Finish(Call& call) {
    if (call.queued) {
      levels_[call.request.priority_level].queues.Remove(call.request.id, TenantOf(call.request));
    }
    calls_.Remove(call.request.id);
  }

  // Ends the request: with a refusal where the call table allows one, else with a failure.
  void Refuse(RequestId id, Micros now) {
    Call* call = calls_.Find(id);
    if (call == nullptr) return;
    if (calls_.MayRefuse(*call) && !call->AnyInFlight() && now < call->request.due) {
      // Jitter: requests refused together must not be retried together.
      const Micros aim = calls_.ClassOf(*call).aim;
      const double spread = 0.5 * static_cast<double>(aim) * Unit(Mix(seed_ ^ id));
      const Micros advice = aim / 4 + static_cast<Micros>(spread);
      actions_.Refuse(id, settings_.may_advise ? std::min(settings_.max_advice, advice) : 0);
    } else {
      actions_.Fail(id);
    }
    Finish(*call);
  }

  // A failed connection cost its endpoint next to nothing: its retry needs no budget.
  void RetryOrRefuse(Call& call, bool unconnected, Micros now) {
    if (calls_.MaySend(call, now) && (unconnected || retry_budget_.Has())) {
      if (EndpointState* endpoint = fleet_.Pick(calls_, call, now)) {
        if (!unconnected) retry_budget_.Spend();
        Send(call, *endpoint, now);
        return;
      }
    }
    Refuse(call.request.id, now);
  }

  void Send(Call& call, EndpointState& target, Micros now) {
    if (!calls_.MaySendTo(call, target.info, now)) return;  // Checked for every send.
    const std::uint32_t index = call.request.priority_level;
    const auto attempt = static_cast<std::uint32_t>(call.attempts.size());
    const std::optional<Micros> write_by = calls_.WriteBy(call);
    call.attempts.push_back({target.info.id, now, target.info.zone, target.info.cell, true, false});
    attempt_levels_[std::pair(call.request.id, attempt)] = index;
    ++levels_[index].in_flight;
    const Micros left = call.request.due - now;
    const Micros aim = settings_.classes[index].aim;
    fleet_.NoteSent(target, {call.request.id, attempt, now, aim, left, index}, now);
    fleet_.NoteInFlight(static_cast<std::size_t>(InFlight()));
    actions_.Send(call.request.id, target.info.id, left, write_by);
  }

  void DispatchAndUpdateTimer(Micros now) {
    DispatchAll(now);
    UpdateTimer();
  }
  void DispatchAll(Micros now) {
    for (std::uint32_t i = 0; i < levels_.size(); ++i) Dispatch(i, now);
  }

  // While below the limit, sends one request from each non-empty queue in turn: tenants within
  // their share first; those over it, and requests with less time than an answer typically takes,
  // only in spare capacity. Trade-off: where answer times vary widely, some of these would succeed.
  void Dispatch(std::uint32_t index, Micros now) {
    Level& level = levels_[index];
    while (level.queues.size() > 0) {
      const double limit = LevelLimit(index, now);
      const double in_flight = static_cast<double>(level.in_flight) + 1.0;
      if (in_flight > std::max(1.0, limit)) return;
      if (limit < 1.0 && now < level.paused_until) {
        ArmDispatch(level.paused_until);
        return;
      }
      std::optional<QueuedRequest> w = level.queues.Next([&](const QueuedRequest& x) {
        return tenant_shares_.HasBudget(x.flow, now) &&
               static_cast<double>(x.due - now) >= level.times.typical();
      });
      if (!w && in_flight <= kSpareFraction * level.SpareFraction() * limit)
        w = level.queues.Next([](const QueuedRequest&) { return true; });
      if (!w) return;
      Call* call = calls_.Find(w->request);
      if (call == nullptr) continue;
      EndpointState* endpoint = fleet_.Pick(calls_, *call, now);
      if (endpoint == nullptr) {
        level.queues.PutBack(*w);
        // One shared timer: a timer per waiting call would set further timers without end.
        ArmDispatch(now + kDispatchRetryMicros);
        return;
      }
      tenant_shares_.Spend(w->flow, now);
      call->queued = false;
      Send(*call, *endpoint, now);
    }
  }

  void HandleTimer(const Timer& event, Micros now) {
    if (event.kind == Timer::kFollow) return actions_.Follow();
    if (event.kind == Timer::kDispatch) {
      dispatch_armed_ = false;
      return DispatchAll(now);
    }
    const Call* call = calls_.Find(event.request);
    if (call == nullptr) return;
    if (event.kind == Timer::kQueueTimeout ? call->queued : !call->streaming)
      Refuse(event.request, now);
  }

  void Arm(Micros at, Timer::Kind kind, RequestId request) { timers_.Add(at, {kind, request}); }
  void ArmDispatch(Micros at) {
    if (!dispatch_armed_) Arm(at, Timer::kDispatch, 0);
    dispatch_armed_ = true;
  }
  void UpdateTimer() {
    timers_.Arm([&](Micros at) { actions_.SetTimer(at, 0); });
  }

  Settings settings_;
  std::uint64_t seed_;
  Actions& actions_;
  CallTable calls_;
  Fleet fleet_;
  TenantShares tenant_shares_;
  Limiter limiter_;
  std::vector<Level> levels_;
  std::vector<DecayingRate> arrivals_;
  std::map<std::pair<RequestId, std::uint32_t>, std::uint32_t> attempt_levels_;
  Deadlines<Timer> timers_;
  bool dispatch_armed_ = false;
  bool has_no_quotas_ = false;
  RetryBudget retry_budget_;
  int discovery_failures_ = 0;
};

Balancer::Balancer(Settings settings, std::uint64_t seed, Actions* actions, Micros now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, actions, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::OnEndpoints(Micros now, ListKind kind, const std::vector<Endpoint>& endpoints) {
  impl_->OnEndpoints(now, kind, endpoints);
}
void Balancer::OnDiscoveryFailed(Micros now) { impl_->OnDiscoveryFailed(now); }
void Balancer::OnRequest(Micros now, const Request& request) { impl_->OnRequest(now, request); }
void Balancer::OnFirstByte(Micros now, RequestId request, std::uint32_t attempt) {
  impl_->OnFirstByte(now, request, attempt);
}
void Balancer::OnOutcome(Micros now, const Outcome& outcome) { impl_->OnOutcome(now, outcome); }
void Balancer::OnAbandoned(Micros now, RequestId request) { impl_->OnAbandoned(now, request); }
void Balancer::OnTimer(Micros now, std::uint64_t mark) { impl_->OnTimer(now, mark); }
void Balancer::Restore(Micros now, const LearnedState& state) { impl_->Restore(now, state); }
LearnedState Balancer::Export(Micros now) const { return impl_->Export(now); }
std::size_t Balancer::CountAvoided(Micros now) const { return impl_->CountAvoided(now); }

}  // namespace gaugecart
