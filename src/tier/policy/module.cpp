#include "tier/policy/module.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>
#include <utility>

#include "mix.h"

namespace shelflink::policy {
namespace {

constexpr double kWaitFraction = 0.1;       // Longest wait in a queue, as part of the timeout.
constexpr std::size_t kQueueCapacity = 64;  // Calls waiting in one level.
constexpr std::size_t kFirstLimit = 256;    // Calls in flight of one level.
constexpr Micros kRetryAfter = 100'000;     // The least advice of a refusal.

struct Attempt {
  std::string endpoint;
  bool out = true;
  std::uint64_t tokens = 0;  // Booked at the endpoint.
};

struct HeldCall {
  Call call;
  bool queued = false;
  bool may_have_run = false;
  std::vector<Attempt> attempts;
};

struct Endpoint {
  EndpointInfo info;
  std::uint64_t tokens = 0;  // In flight.
  std::size_t calls = 0;
};

struct Service {
  std::vector<std::string> endpoints;
};

struct Level {
  std::deque<CallId> queue;
  std::size_t in_flight = 0;
};

}  // namespace

class Module::Impl {
 public:
  Impl(std::uint64_t seed, Actions& actions) : seed_(seed), actions_(actions) {}

  void OnShape(Micros now, const Shape& shape) {
    shape_ = shape;
    levels_.resize(std::max<std::size_t>(levels_.size(), std::max(1U, shape.levels)));
    ReleaseAll(now);
  }

  void OnService(Micros now, const ServiceInfo& service) {
    Forget(service.name);
    Service& known = services_[service.name];
    for (const EndpointInfo& info : service.endpoints) {
      known.endpoints.push_back(info.id);
      endpoints_[info.id].info = info;
    }
    ReleaseAll(now);
  }

  void OnServiceGone(Micros now, const std::string& service) {
    Forget(service);
    services_.erase(service);
    ReleaseAll(now);
  }

  void OnCall(Micros now, const Call& call) {
    const auto [it, fresh] = calls_.try_emplace(call.id);
    if (!fresh) return;
    HeldCall& held = it->second;
    held.call = call;
    held.call.level = std::min<std::uint32_t>(call.level, levels_.size() - 1);
    Level& level = levels_[held.call.level];
    if (calls_.size() > shape_.most_held) return Refuse(held);
    if (level.queue.empty() && Free(level) && TrySend(now, held)) return;
    const Micros wait = LongestWait(now, call);
    if (wait <= 0 || level.queue.size() >= kQueueCapacity) return Refuse(held);
    held.queued = true;
    level.queue.push_back(call.id);
    Arm(now + wait, call.id);
  }

  void OnProgress(CallId id, std::uint32_t attempt, std::uint32_t tokens) {
    HeldCall* held = Find(id);
    if (held == nullptr || attempt >= held->attempts.size()) return;
    Attempt& told = held->attempts[attempt];
    const auto it = endpoints_.find(told.endpoint);
    const std::uint64_t done = std::min<std::uint64_t>(told.tokens, tokens);
    told.tokens -= done;
    if (it != endpoints_.end()) it->second.tokens -= std::min(it->second.tokens, done);
  }

  void OnOutcome(Micros now, CallId id, std::uint32_t attempt, Outcome outcome, bool again) {
    HeldCall* held = Find(id);
    if (held == nullptr || attempt >= held->attempts.size() || !held->attempts[attempt].out) return;
    Release(*held, held->attempts[attempt]);
    const bool not_run = outcome == Outcome::kNotRun || outcome == Outcome::kMisdirected ||
                         outcome == Outcome::kNeverSent;
    if (!not_run) held->may_have_run = true;
    const bool may_repeat = !held->may_have_run || held->call.repeatable;
    const bool attempts_left =
        held->attempts.size() < static_cast<std::size_t>(std::max(1, held->call.max_attempts));
    if (!again) {
      calls_.erase(id);
    } else if (!may_repeat || !attempts_left || now >= held->call.due || !TrySend(now, *held)) {
      End(*held);
    }
    ReleaseAll(now);
  }

  void OnAbandoned(Micros now, CallId id) {
    HeldCall* held = Find(id);
    if (held == nullptr) return;
    for (Attempt& attempt : held->attempts) {
      if (attempt.out) Release(*held, attempt);
    }
    Dequeue(*held);
    calls_.erase(id);
    ReleaseAll(now);
  }

  void OnTimer(Micros now) {
    while (!timers_.empty() && timers_.top().first <= now) {
      const CallId id = timers_.top().second;
      timers_.pop();
      HeldCall* held = Find(id);
      if (held != nullptr && held->queued) Refuse(*held);
    }
    if (!timers_.empty()) actions_.SetTimer(timers_.top().first);
  }

  std::uint32_t Room(std::uint32_t level) const {
    if (level >= levels_.size() || !levels_[level].queue.empty()) return 0;
    return static_cast<std::uint32_t>(kFirstLimit -
                                      std::min(kFirstLimit, levels_[level].in_flight));
  }

 private:
  using Timer = std::pair<Micros, CallId>;

  HeldCall* Find(CallId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
  }

  void Forget(const std::string& service) {
    const auto it = services_.find(service);
    if (it == services_.end()) return;
    for (const std::string& id : it->second.endpoints) {
      const auto endpoint = endpoints_.find(id);
      if (endpoint == endpoints_.end()) continue;
      if (endpoint->second.calls == 0) {
        endpoints_.erase(endpoint);
      } else {
        endpoint->second.info.draining = true;
      }
    }
    it->second.endpoints.clear();
  }

  static bool Free(const Level& level) { return level.in_flight < kFirstLimit; }

  static Micros LongestWait(Micros now, const Call& call) {
    if (call.timeout <= 0) return 0;
    const auto fraction = static_cast<Micros>(kWaitFraction * static_cast<double>(call.timeout));
    return call.due == kNever ? fraction : std::min(fraction, call.due - now);
  }

  bool TrySend(Micros now, HeldCall& held) {
    if (now >= held.call.due) return false;
    const auto service = services_.find(held.call.service);
    if (service == services_.end()) return false;
    Endpoint* best = nullptr;
    std::pair<bool, std::uint64_t> best_cost;
    for (const std::string& id : service->second.endpoints) {
      Endpoint& endpoint = endpoints_.at(id);
      if (endpoint.info.draining) continue;
      const bool tried = std::any_of(held.attempts.begin(), held.attempts.end(),
                                     [&](const Attempt& a) { return a.endpoint == id; });
      const std::pair cost{tried, endpoint.tokens};
      if (best == nullptr || cost < best_cost) {
        best = &endpoint;
        best_cost = cost;
      }
    }
    if (best == nullptr) return false;
    Book(held, *best);
    return true;
  }

  void Book(HeldCall& held, Endpoint& endpoint) {
    const std::uint64_t tokens = held.call.prompt_tokens + held.call.output_tokens + 1ULL;
    endpoint.tokens += tokens;
    ++endpoint.calls;
    ++levels_[held.call.level].in_flight;
    held.queued = false;
    held.attempts.push_back({endpoint.info.id, true, tokens});
    actions_.Send(held.call.id, static_cast<std::uint32_t>(held.attempts.size() - 1),
                  endpoint.info.id);
  }

  void Release(HeldCall& held, Attempt& attempt) {
    attempt.out = false;
    --levels_[held.call.level].in_flight;
    const auto it = endpoints_.find(attempt.endpoint);
    if (it == endpoints_.end()) return;
    it->second.tokens -= std::min(it->second.tokens, attempt.tokens);
    --it->second.calls;
  }

  void ReleaseAll(Micros now) {
    for (Level& level : levels_) {
      while (!level.queue.empty() && Free(level)) {
        HeldCall* held = Find(level.queue.front());
        if (held != nullptr && !TrySend(now, *held)) break;
        level.queue.pop_front();
      }
    }
  }

  void Dequeue(HeldCall& held) {
    if (held.queued) std::erase(levels_[held.call.level].queue, held.call.id);
    held.queued = false;
  }

  void End(HeldCall& held) {
    if (held.may_have_run && !held.call.repeatable) {
      actions_.Fail(held.call.id);
      calls_.erase(held.call.id);
    } else {
      Refuse(held);
    }
  }

  void Refuse(HeldCall& held) {
    const CallId id = held.call.id;
    Dequeue(held);
    const double spread = gaugecart::Unit(gaugecart::Mix(seed_ ^ id));
    calls_.erase(id);
    actions_.Refuse(id, static_cast<Micros>(static_cast<double>(kRetryAfter) * (1.0 + spread)));
  }

  void Arm(Micros at, CallId id) {
    timers_.push({at, id});
    actions_.SetTimer(timers_.top().first);
  }

  std::uint64_t seed_;
  Actions& actions_;
  Shape shape_;
  std::vector<Level> levels_{1};
  std::unordered_map<std::string, Service> services_;
  std::unordered_map<std::string, Endpoint> endpoints_;
  std::unordered_map<CallId, HeldCall> calls_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
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
void Module::OnFirstEvent(Micros, CallId, std::uint32_t) {}
void Module::OnProgress(Micros, CallId call, std::uint32_t attempt, std::uint32_t tokens) {
  impl_->OnProgress(call, attempt, tokens);
}
void Module::OnOutcome(Micros now, CallId call, std::uint32_t attempt, Outcome outcome,
                       bool again) {
  impl_->OnOutcome(now, call, attempt, outcome, again);
}
void Module::OnAbandoned(Micros now, CallId call) { impl_->OnAbandoned(now, call); }
void Module::OnLoad(Micros, const std::string&, std::uint32_t, std::uint32_t, std::uint32_t) {}
void Module::OnTimer(Micros now) { impl_->OnTimer(now); }
std::uint32_t Module::Room(Micros, std::uint32_t level) const { return impl_->Room(level); }

}  // namespace shelflink::policy
