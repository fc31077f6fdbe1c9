// Batch jobs together with live calls in fleets as large as the system must support.
#include <cstddef>
#include <deque>
#include <map>
#include <numeric>

#include "policy/scenario_tools.h"
#include "policy/scenarios.h"
#include "policy/simulation.h"

namespace shelflink::policy::testing {
namespace {

constexpr std::uint32_t kBatchLevel = 1;
constexpr Micros kJobDeadline = 8 * kSecond;
constexpr Micros kLoadEnd = 12 * kSecond;  // Calls and jobs arrive until then.

struct FleetPlan {
  std::size_t sidecars = 0;
  std::size_t endpoints = 0;
  int slots = 0;
  double live_per_second = 0.0;  // Of the fleet; 0.3 times as many descriptions.
  double jobs_per_second = 0.0;
  std::size_t items = 0;  // In each job.
};

// About 20 ms of prefill and two events; other calls share its first prompt parts.
Call ClassificationCall(Simulation& simulation) {
  Call call;
  call.prompt = {{1 + simulation.draws.Word() % 16, 341},
                 {100 + simulation.draws.Word() % 4000, 227},
                 {simulation.draws.Word(), 1200}};
  call.prompt_tokens = 1768;
  call.output_tokens = 28;
  return call;
}

Call DescriptionCall(Simulation& simulation) {
  Call call;
  call.prompt = {{50 + simulation.draws.Word() % 40, 210}, {simulation.draws.Word(), 900}};
  call.prompt_tokens = 1110;
  call.output_tokens = 170;
  call.max_attempts = 2;
  return call;
}

Call BatchItem(Simulation& simulation) {
  Call call;
  call.batch = true;
  call.level = kBatchLevel;
  call.objective = 500 * kMillisecond;
  call.prompt = {{9000 + simulation.draws.Word() % 30, 432}, {simulation.draws.Word(), 400}};
  call.prompt_tokens = 832;
  call.output_tokens = 672;
  return call;
}

// One store with all jobs; it assigns items to the sidecars that report room.
class JobStore {
 public:
  explicit JobStore(Simulation& simulation) : simulation_(simulation) {}

  void Submit(std::size_t items) { waiting_.insert(waiting_.end(), items, simulation_.now()); }

  void AssignItems() {
    std::vector<std::size_t> order(simulation_.sidecars());
    std::iota(order.begin(), order.end(), 0U);
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[simulation_.draws.Word() % i]);
    }
    for (const std::size_t sidecar : order) {
      std::uint32_t room = simulation_.module(sidecar).Room(simulation_.now(), kBatchLevel);
      for (; room > 0 && !waiting_.empty(); --room) {
        submitted_[simulation_.SubmitCall(sidecar, BatchItem(simulation_))] = waiting_.front();
        waiting_.pop_front();
      }
    }
    simulation_.Schedule(simulation_.now() + 50 * kMillisecond, [this] { AssignItems(); });
  }

  // Fraction of all submitted items that were completed before the deadline.
  double InTime() const {
    double in_time = 0.0;
    for (const auto& [call, submitted] : submitted_) {
      const CallRecord& record = simulation_.records().at(call);
      if (record.served && record.ended_at - submitted <= kJobDeadline) ++in_time;
    }
    return in_time / static_cast<double>(submitted_.size() + waiting_.size());
  }

 private:
  Simulation& simulation_;
  std::deque<Micros> waiting_;          // Submission times of unassigned items.
  std::map<CallId, Micros> submitted_;  // Submission times of assigned items.
};

struct FleetResult {
  Tally live;
  double items_in_time = 1.0;
};

FleetResult RunFleet(const FleetPlan& plan, std::uint64_t seed, bool with_jobs) {
  EngineOptions engine;
  engine.slots = plan.slots;
  engine.micros_per_prompt_token = 9.8;
  engine.max_waiting = 12;
  engine.reports_load = false;
  Simulation simulation(seed, plan.sidecars, plan.endpoints, engine, 2);
  const double per_sidecar = plan.live_per_second / static_cast<double>(plan.sidecars);
  GenerateFleetCalls(simulation, kLoadEnd, per_sidecar,
                     [&simulation] { return ClassificationCall(simulation); });
  GenerateFleetCalls(simulation, kLoadEnd, 0.3 * per_sidecar,
                     [&simulation] { return DescriptionCall(simulation); });
  JobStore store(simulation);
  if (with_jobs) {
    const Micros gap = static_cast<Micros>(1e6 / plan.jobs_per_second);
    for (Micros at = gap; at < kLoadEnd; at += gap) {
      simulation.Schedule(at, [&store, &plan] { store.Submit(plan.items); });
    }
    store.AssignItems();
  }
  simulation.RunUntil(kLoadEnd + kJobDeadline);
  FleetResult result;
  result.live = Count(simulation, kSecond, kLoadEnd,
                      [](const CallRecord& record) { return record.level == 0; });
  if (with_jobs) result.items_in_time = store.InTime();
  return result;
}

Findings CompareWithAndWithoutJobs(const FleetPlan& plan, std::uint64_t seed) {
  FleetResult without_jobs = RunFleet(plan, seed, false);
  FleetResult with_jobs = RunFleet(plan, seed, true);
  Findings findings;
  Expect(findings, with_jobs.items_in_time >= 0.99, "items meet the deadline",
         with_jobs.items_in_time);
  const double served_without_jobs = without_jobs.live.served / without_jobs.live.total;
  const double served_with_jobs = with_jobs.live.served / with_jobs.live.total;
  Expect(findings, served_with_jobs >= served_without_jobs - 0.01,
         "as many live calls are served as without jobs", served_with_jobs - served_without_jobs);
  const Micros added = with_jobs.live.FirstEvent(0.95) - without_jobs.live.FirstEvent(0.95);
  Expect(findings, added <= 75 * kMillisecond,
         "first events of live calls take as long as without jobs", static_cast<double>(added));
  return findings;
}

}  // namespace

Findings FleetFinishesBatch(std::uint64_t seed) {
  return CompareWithAndWithoutJobs({70, 48, 8, 480.0, 1.5, 60}, seed);
}

Findings LargeFleetFinishesBatch(std::uint64_t seed) {
  return CompareWithAndWithoutJobs({255, 48, 32, 1200.0, 6.0, 60}, seed);
}

}  // namespace shelflink::policy::testing
