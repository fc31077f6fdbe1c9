// Batch jobs beside live calls in whole fleets, as large as those that the system is asked to
// serve.
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
constexpr Micros kRunAim = 8 * kSecond;
constexpr Micros kUntil = 12 * kSecond;  // Calls and jobs come until then.

struct FleetPlan {
  std::size_t sidecars = 0;
  std::size_t endpoints = 0;
  int slots = 0;
  double live_per_second = 0.0;  // Of each of the two kinds of calls, over the fleet.
  double jobs_per_second = 0.0;
  std::size_t items = 0;  // Of each job.
};

// About 20 ms of reading and two events, with parts that many calls share.
Call Check(World& world) {
  Call call;
  call.prompt = {{1 + world.draws.Word() % 16, 341},
                 {100 + world.draws.Word() % 4000, 227},
                 {world.draws.Word(), 1200}};
  call.prompt_tokens = 1768;
  call.output_tokens = 28;
  return call;
}

Call Description(World& world) {
  Call call;
  call.prompt = {{50 + world.draws.Word() % 40, 210}, {world.draws.Word(), 900}};
  call.prompt_tokens = 1110;
  call.output_tokens = 170;
  call.max_attempts = 2;
  return call;
}

Call Item(World& world) {
  Call call;
  call.batch = true;
  call.level = kBatchLevel;
  call.objective = 500 * kMillisecond;
  call.prompt = {{9000 + world.draws.Word() % 30, 432}, {world.draws.Word(), 400}};
  call.prompt_tokens = 832;
  call.output_tokens = 672;
  return call;
}

// One store that holds all jobs, and hands items to the sidecars that tell of room.
class JobStore {
 public:
  explicit JobStore(World& world) : world_(world) {}

  void Submit(std::size_t items) { waiting_.insert(waiting_.end(), items, world_.now()); }

  void HandOut() {
    std::vector<std::size_t> order(world_.sidecars());
    std::iota(order.begin(), order.end(), 0U);
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[world_.draws.Word() % i]);
    }
    for (const std::size_t sidecar : order) {
      std::uint32_t room = world_.module(sidecar).Room(world_.now(), kBatchLevel);
      for (; room > 0 && !waiting_.empty(); --room) {
        submitted_[world_.Ask(sidecar, Item(world_))] = waiting_.front();
        waiting_.pop_front();
      }
    }
    world_.At(world_.now() + 50 * kMillisecond, [this] { HandOut(); });
  }

  // Items that were done when due, of all that were submitted.
  double InTime() const {
    double in_time = 0.0;
    for (const auto& [call, submitted] : submitted_) {
      const Record& record = world_.records().at(call);
      if (record.served && record.ended - submitted <= kRunAim) ++in_time;
    }
    return in_time / static_cast<double>(submitted_.size() + waiting_.size());
  }

 private:
  World& world_;
  std::deque<Micros> waiting_;          // When each was submitted.
  std::map<CallId, Micros> submitted_;  // Of those handed out.
};

struct FleetDay {
  Tally live;
  double items_in_time = 1.0;
};

FleetDay PlayFleet(const FleetPlan& plan, std::uint64_t seed, bool with_jobs) {
  EngineOptions engine;
  engine.slots = plan.slots;
  engine.micros_per_prompt_token = 9.8;
  engine.most_waiting = 12;
  engine.tells_load = false;
  World world(seed, plan.sidecars, plan.endpoints, engine, 2);
  const double of_each = plan.live_per_second / static_cast<double>(plan.sidecars);
  PourAll(world, kUntil, of_each, [&world] { return Check(world); });
  PourAll(world, kUntil, 0.3 * of_each, [&world] { return Description(world); });
  JobStore store(world);
  if (with_jobs) {
    const Micros gap = static_cast<Micros>(1e6 / plan.jobs_per_second);
    for (Micros at = gap; at < kUntil; at += gap) {
      world.At(at, [&store, &plan] { store.Submit(plan.items); });
    }
    store.HandOut();
  }
  world.RunUntil(kUntil + kRunAim);
  FleetDay day;
  day.live = Count(world, kSecond, kUntil, [](const Record& record) { return record.level == 0; });
  if (with_jobs) day.items_in_time = store.InTime();
  return day;
}

Findings CompareDays(const FleetPlan& plan, std::uint64_t seed) {
  FleetDay alone = PlayFleet(plan, seed, false);
  FleetDay beside = PlayFleet(plan, seed, true);
  Findings findings;
  Expect(findings, beside.items_in_time >= 0.99, "items are done when due", beside.items_in_time);
  const double served_alone = alone.live.served / alone.live.all;
  const double served_beside = beside.live.served / beside.live.all;
  Expect(findings, served_beside >= served_alone - 0.01, "live calls are served as without jobs",
         served_beside - served_alone);
  const Micros added = beside.live.FirstEvent(0.95) - alone.live.FirstEvent(0.95);
  Expect(findings, added <= 75 * kMillisecond, "first events of live calls come as without jobs",
         static_cast<double>(added));
  return findings;
}

}  // namespace

Findings FleetFinishesBatch(std::uint64_t seed) {
  return CompareDays({70, 48, 8, 480.0, 1.5, 60}, seed);
}

Findings LargeFleetFinishesBatch(std::uint64_t seed) {
  return CompareDays({255, 48, 32, 1200.0, 6.0, 60}, seed);
}

}  // namespace shelflink::policy::testing
