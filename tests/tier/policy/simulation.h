// Discrete-event simulation of endpoints, clients and sidecars on a virtual clock, to test the
// decision module. Endpoints prefill prompts one at a time, cache prompt parts, run calls in slots
// and queue a few more.
#ifndef SHELFLINK_TESTS_TIER_POLICY_SIMULATION_H_
#define SHELFLINK_TESTS_TIER_POLICY_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "draws.h"
#include "tier/policy/batch_owners.h"
#include "tier/policy/module.h"

namespace shelflink::policy::testing {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

struct EngineOptions {
  int slots = 16;
  double micros_per_prompt_token = 4.0;
  double micros_per_output_token = 1000.0;
  std::size_t max_waiting = 6;
  std::uint64_t kv_tokens = 200'000;
  bool reports_load = true;  // With the first event of each call.
};

enum class Fault {
  kNone,
  kUnresponsive,  // Accepts calls and sends nothing.
  kUnreachable,   // Connections fail.
  kFailing,       // Answers every call with an error immediately.
  kRejecting,     // Rejects every call.
};

// History of one call; times are -1 until they happen.
struct CallRecord {
  Micros arrived_at = 0;
  Micros first_sent_at = -1;
  Micros first_event_at = -1;
  Micros ended_at = -1;
  std::uint32_t level = 0;
  std::uint64_t flow = 0;
  int sends = 0;
  bool served = false;
  bool refused = false;
  bool failed = false;
  bool abandoned = false;
};

class Simulation;

class Engine {
 public:
  Engine(Simulation& simulation, std::string id, const EngineOptions& options)
      : simulation_(simulation), id_(std::move(id)), options_(options) {}

  struct Work {
    std::size_t sidecar;
    CallId call;
    std::uint32_t attempt;
    Call request;
  };

  void Arrive(const Work& work);
  void Cancel(std::size_t sidecar, CallId call);

  const std::string& id() const { return id_; }
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  const EngineOptions& options() const { return options_; }

  Fault fault = Fault::kNone;
  double slowness = 1.0;
  bool draining = false;
  bool listed = true;
  Micros cold_until = 0;
  std::uint64_t prompt_tokens_prefilled = 0;
  std::uint64_t arrived = 0;
  std::size_t max_running = 0;
  std::uint64_t shared_parts_prefilled = 0;

 private:
  using Key = std::pair<std::size_t, CallId>;

  void StartCall(const Work& work);
  void EmitEvent(const Work& work, std::uint32_t done);
  void Finish(const Work& work, Outcome outcome);
  std::uint64_t Prefill(const Call& call);

  Simulation& simulation_;
  std::string id_;
  EngineOptions options_;
  std::map<Key, Work> running_;
  std::deque<Work> waiting_;
  Micros prefill_free_at_ = 0;
  std::map<std::uint64_t, std::uint64_t> cached_;  // Use count at a part's last use.
  std::map<std::uint64_t, std::uint32_t> cached_part_tokens_;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t use_count_ = 0;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, std::size_t sidecars, std::size_t engines,
             const EngineOptions& options = {}, std::uint32_t levels = 3)
      : draws(gaugecart::Mix(seed)), seed_(seed) {
    for (std::size_t i = 0; i < engines; ++i) {
      engines_.push_back(std::make_unique<Engine>(*this, "endpoint-" + std::to_string(i), options));
    }
    std::vector<BatchOwners::Sidecar> members;
    for (std::size_t i = 0; i < sidecars; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, i, seed));
      ModuleConfig config;
      config.node = NodeName(i);
      config.zone = "zone-" + std::to_string(i % 2);
      config.sidecars = static_cast<std::uint32_t>(sidecars);
      config.levels = levels;
      nodes_[i]->module.OnConfig(0, config);
      members.push_back({config.node, config.zone});
    }
    batch_owners_.SetSidecars(members);
    PublishEndpoints();
  }

  // Sends the current list of endpoints to all sidecars.
  void PublishEndpoints() {
    ServiceInfo service;
    service.name = "model";
    service.kv_tokens = engines_.front()->options().kv_tokens;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (!engines_[i]->listed) continue;
      EndpointInfo info;
      info.id = engines_[i]->id();
      info.zone = "zone-" + std::to_string(i % 2);
      info.slots = engines_[i]->options().slots;
      info.draining = engines_[i]->draining;
      info.cold_until = engines_[i]->cold_until;
      service.endpoints.push_back(info);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (EndpointInfo& info : service.endpoints) {
        info.owned_for_batch = batch_owners_.Owns(NodeName(i), info.id, info.zone);
      }
      nodes_[i]->module.OnService(now_, service);
    }
  }

  Engine& AddEngine() {
    const std::string id = "endpoint-" + std::to_string(engines_.size());
    const EngineOptions options = engines_.front()->options();
    engines_.push_back(std::make_unique<Engine>(*this, id, options));
    return *engines_.back();
  }

  // Submits a call of a client. The client of a live call leaves if no event arrives for two
  // seconds.
  CallId SubmitCall(std::size_t sidecar, Call call) {
    call.id = ++last_call_;
    call.service = "model";
    if (!call.batch) {
      if (call.timeout == 0) call.timeout = 5 * kSecond;
      if (call.objective == 0) call.objective = 300 * kMillisecond;
      if (call.deadline == kNever) call.deadline = now_ + 5 * kSecond;
    }
    CallRecord& record = records_[call.id];
    record.arrived_at = now_;
    record.level = call.level;
    record.flow = call.flow;
    nodes_[sidecar]->module.OnCall(now_, call);
    if (!call.batch) {
      Schedule(now_ + 2 * kSecond, [this, sidecar, id = call.id] {
        const CallRecord& current = records_[id];
        if (current.ended_at >= 0 || current.first_event_at >= 0) return;
        for (auto& engine : engines_) engine->Cancel(sidecar, id);
        records_[id].abandoned = true;
        records_[id].ended_at = now_;
        nodes_[sidecar]->calls.erase(id);
        nodes_[sidecar]->module.OnAbandoned(now_, id);
      });
    }
    CallsOf(sidecar)[call.id] = call;
    return call.id;
  }

  void Schedule(Micros at, std::function<void()> action) {
    events_.push({std::max(at, now_), next_order_++, std::move(action)});
  }
  void RunUntil(Micros until) {
    while (!events_.empty() && events_.top().at <= until) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = until;
  }

  Micros now() const { return now_; }
  Module& module(std::size_t sidecar) { return nodes_[sidecar]->module; }
  Engine& engine(std::size_t index) { return *engines_[index]; }
  std::size_t engines() const { return engines_.size(); }
  std::size_t sidecars() const { return nodes_.size(); }
  const std::map<CallId, CallRecord>& records() const { return records_; }
  CallRecord& record(CallId id) { return records_[id]; }
  std::uint64_t sends() const { return sends_; }

  gaugecart::Draws draws;

 private:
  friend class Engine;

  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  struct Node : Actions {
    Node(Simulation& in, std::size_t number, std::uint64_t seed)
        : simulation(in), index(number), module(seed * 100 + number, *this) {}

    void Send(CallId call, std::uint32_t attempt, const std::string& endpoint) override {
      CallRecord& record = simulation.records_[call];
      if (record.first_sent_at < 0) record.first_sent_at = simulation.now_;
      ++record.sends;
      ++simulation.sends_;
      simulation.Schedule(simulation.now_ + kMillisecond / 2, [this, call, attempt, endpoint] {
        for (auto& engine : simulation.engines_) {
          if (engine->id() == endpoint && calls.contains(call)) {
            engine->Arrive({index, call, attempt, calls.at(call)});
          }
        }
      });
    }
    void Refuse(CallId call, Micros) override {
      Simulation::MarkEnded(simulation.records_[call], simulation.now_).refused = true;
    }
    void Fail(CallId call) override {
      Simulation::MarkEnded(simulation.records_[call], simulation.now_).failed = true;
    }
    void SetTimer(Micros at) override {
      simulation.Schedule(at, [this] { module.OnTimer(simulation.now_); });
    }

    Simulation& simulation;
    std::size_t index;
    std::map<CallId, Call> calls;
    Module module;
  };

  std::string NodeName(std::size_t sidecar) const {
    return "edge-" + std::to_string(seed_) + "-" + std::to_string(sidecar);
  }

  static CallRecord& MarkEnded(CallRecord& record, Micros now) {
    record.ended_at = now;
    return record;
  }

  std::map<CallId, Call>& CallsOf(std::size_t sidecar) { return nodes_[sidecar]->calls; }

  // Delivers an outcome to the sidecar after the network delay, with `may_continue` as the proxy
  // sets it.
  void DeliverOutcome(std::size_t sidecar, CallId call, std::uint32_t attempt, Outcome outcome) {
    Schedule(now_ + kMillisecond / 2, [this, sidecar, call, attempt, outcome] {
      CallRecord& record = records_[call];
      if (record.ended_at >= 0) return;
      const bool may_continue = outcome != Outcome::kSuccess && outcome != Outcome::kError;
      if (!may_continue) {
        record.ended_at = now_;
        record.served = outcome == Outcome::kSuccess;
        record.failed = !record.served;
      }
      nodes_[sidecar]->module.OnOutcome(now_, call, attempt, outcome, may_continue);
    });
  }

  std::uint64_t seed_;
  BatchOwners batch_owners_;
  Micros now_ = 0;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<CallId, CallRecord> records_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  CallId last_call_ = 0;
  std::uint64_t sends_ = 0;
};

inline void Engine::Arrive(const Work& work) {
  ++arrived;
  if (fault == Fault::kUnresponsive) return;
  if (fault == Fault::kUnreachable) {
    return simulation_.DeliverOutcome(work.sidecar, work.call, work.attempt, Outcome::kNeverSent);
  }
  if (fault == Fault::kFailing) {
    return simulation_.DeliverOutcome(work.sidecar, work.call, work.attempt, Outcome::kError);
  }
  const bool full = static_cast<int>(running_.size()) >= options_.slots;
  if (fault == Fault::kRejecting || (full && waiting_.size() >= options_.max_waiting)) {
    return simulation_.DeliverOutcome(work.sidecar, work.call, work.attempt, Outcome::kNotRun);
  }
  if (full) {
    waiting_.push_back(work);
  } else {
    StartCall(work);
  }
}

inline void Engine::Cancel(std::size_t sidecar, CallId call) {
  std::erase_if(waiting_, [&](const Work& w) { return w.sidecar == sidecar && w.call == call; });
  running_.erase({sidecar, call});
}

inline void Engine::StartCall(const Work& work) {
  running_[{work.sidecar, work.call}] = work;
  max_running = std::max(max_running, running_.size());
  const auto tokens = static_cast<double>(Prefill(work.request));
  const auto prefill = static_cast<Micros>(tokens * options_.micros_per_prompt_token * slowness);
  prefill_free_at_ = std::max(prefill_free_at_, simulation_.now()) + prefill;
  simulation_.Schedule(prefill_free_at_, [this, work] { EmitEvent(work, 0); });
}

inline void Engine::EmitEvent(const Work& work, std::uint32_t done) {
  if (!running_.contains({work.sidecar, work.call}) || fault == Fault::kUnresponsive) return;
  constexpr std::uint32_t kTokensPerEvent = 8;
  const std::uint32_t remaining =
      work.request.output_tokens - std::min(done, work.request.output_tokens);
  const std::uint32_t tokens = std::min(kTokensPerEvent, remaining);
  simulation_.Schedule(
      simulation_.now() + kMillisecond / 2,
      [this, work, done, tokens, running = running_.size(), waiting = waiting_.size()] {
        CallRecord& record = simulation_.record(work.call);
        if (record.ended_at >= 0) return;
        Module& module = simulation_.module(work.sidecar);
        if (done == 0) {
          record.first_event_at = simulation_.now();
          if (options_.reports_load) {
            module.OnLoad(simulation_.now(), id_, static_cast<std::uint32_t>(running),
                          static_cast<std::uint32_t>(waiting),
                          static_cast<std::uint32_t>(options_.slots));
          }
          module.OnFirstEvent(simulation_.now(), work.call, work.attempt);
        }
        module.OnProgress(simulation_.now(), work.call, work.attempt, tokens);
      });
  if (remaining <= tokens) return Finish(work, Outcome::kSuccess);
  const double load = 1.0 + static_cast<double>(running_.size()) / options_.slots;
  const double span = options_.micros_per_output_token * tokens * load * slowness;
  simulation_.Schedule(simulation_.now() + static_cast<Micros>(span),
                       [this, work, done, tokens] { EmitEvent(work, done + tokens); });
}

inline void Engine::Finish(const Work& work, Outcome outcome) {
  running_.erase({work.sidecar, work.call});
  simulation_.DeliverOutcome(work.sidecar, work.call, work.attempt, outcome);
  while (!waiting_.empty() && static_cast<int>(running_.size()) < options_.slots) {
    const Work next = waiting_.front();
    waiting_.pop_front();
    StartCall(next);
  }
}

// Returns the prompt tokens that are not cached, and adds all parts to the cache.
inline std::uint64_t Engine::Prefill(const Call& call) {
  std::uint64_t cached = 0;
  bool prefix_cached = true;
  for (std::size_t i = 0; i < call.prompt.size(); ++i) {
    const PromptPart& part = call.prompt[i];
    prefix_cached = prefix_cached && cached_.contains(part.id);
    if (prefix_cached) cached += part.tokens;
    if (!prefix_cached && i + 1 < call.prompt.size()) ++shared_parts_prefilled;
    if (!cached_.contains(part.id)) cached_tokens_ += part.tokens;
    cached_[part.id] = ++use_count_;
    cached_part_tokens_[part.id] = part.tokens;
  }
  while (cached_tokens_ > options_.kv_tokens) {
    const auto oldest =
        std::min_element(cached_.begin(), cached_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    cached_tokens_ -= cached_part_tokens_[oldest->first];
    cached_.erase(oldest);
  }
  const std::uint64_t uncached =
      call.prompt_tokens - std::min<std::uint64_t>(cached, call.prompt_tokens);
  prompt_tokens_prefilled += uncached;
  return uncached;
}

}  // namespace shelflink::policy::testing

#endif  // SHELFLINK_TESTS_TIER_POLICY_SIMULATION_H_
