#include "policy/scenarios.h"

#include <optional>

#include "policy/scenario_tools.h"
#include "policy/simulation.h"

namespace shelflink::policy::testing {
namespace {

// A summary call, whose prompt shares the parts of its subject, and a short triage call.
Call Summary(Simulation& simulation, std::uint64_t subject) {
  Call call;
  call.prompt = {{1, 800}, {1000 + subject, 3200}, {simulation.draws.Word(), 1500}};
  call.prompt_tokens = 5500;
  call.output_tokens = 24;
  call.max_attempts = 2;
  call.flow = subject % 5;
  return call;
}

Call Triage(Simulation& simulation, std::uint64_t flow) {
  Call call;
  call.prompt = {{2, 200}, {simulation.draws.Word(), 600}};
  call.prompt_tokens = 800;
  call.output_tokens = 16;
  call.max_attempts = 2;
  call.flow = flow;
  return call;
}

MakeCall Triages(Simulation& simulation) {
  return [&simulation] { return Triage(simulation, simulation.draws.Word() % 8); };
}

// The fleet of the scenarios with one faulty endpoint.
Simulation FaultScenarioFleet(std::uint64_t seed) { return Simulation(seed, 4, 8); }

}  // namespace

Findings LightLoad(std::uint64_t seed) {
  Simulation simulation(seed, 4, 9);
  GenerateFleetCalls(simulation, 4 * kSecond, 20.0, Triages(simulation));
  for (std::size_t i = 0; i < 4; ++i) {
    GenerateCalls(simulation, i, 0, 4 * kSecond, 3.0,
                  [&simulation] { return Summary(simulation, simulation.draws.Word() % 20); });
  }
  simulation.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(simulation, 0, 4 * kSecond);
  Expect(findings, tally.served == tally.total, "all are served", tally.total - tally.served);
  Expect(findings, tally.delayed == 0, "no call is queued", tally.delayed);
  const Micros typical = tally.FirstEvent(0.95);
  Expect(findings, typical < 100 * kMillisecond, "first events are fast",
         static_cast<double>(typical));
  return findings;
}

Findings LevelIsolation(std::uint64_t seed) {
  Simulation simulation(seed, 1, 4);
  GenerateCalls(simulation, 0, 0, 4 * kSecond, 4000.0, [&simulation] {
    Call call = Triage(simulation, simulation.draws.Word() % 8);
    call.level = 1;
    return call;
  });
  GenerateCalls(simulation, 0, 0, 4 * kSecond, 40.0, Triages(simulation));
  simulation.RunUntil(10 * kSecond);
  Findings findings;
  const Tally urgent =
      Count(simulation, kSecond, 4 * kSecond, [](const CallRecord& r) { return r.level == 0; });
  const Tally flood =
      Count(simulation, kSecond, 4 * kSecond, [](const CallRecord& r) { return r.level == 1; });
  Expect(findings, urgent.served >= 0.95 * urgent.total, "the urgent level is served",
         urgent.served / urgent.total);
  Expect(findings, flood.refused >= 0.2 * flood.total, "the flood is refused",
         flood.refused / flood.total);
  Expect(findings, flood.served >= 0.1 * flood.total, "the flood is not starved",
         flood.served / flood.total);
  return findings;
}

Findings PoolLimits(std::uint64_t seed) {
  Simulation simulation(seed, 1, 4);
  for (std::size_t i = 0; i < simulation.engines(); ++i)
    simulation.engine(i).fault = Fault::kUnresponsive;
  for (std::uint32_t level = 0; level < 2; ++level) {
    GenerateCalls(simulation, 0, 0, kSecond, 2000.0, [&simulation, level] {
      Call call = Triage(simulation, simulation.draws.Word() % 8);
      call.level = level;
      return call;
    });
  }
  simulation.RunUntil(kSecond);
  Findings findings;
  double sent[2] = {0.0, 0.0};
  for (const auto& [id, record] : simulation.records())
    sent[record.level] += record.first_sent_at >= 0 ? 1 : 0;
  // The limit starts at twice the endpoints' slots; a quarter of it is reserved for batch.
  constexpr double kLive = 0.75 * 2.0 * 4 * 16;
  Expect(findings, sent[0] + sent[1] <= 1.25 * kLive, "live levels stay within their limit",
         sent[0] + sent[1]);
  Expect(findings, sent[0] >= 0.5 * kLive, "the urgent level has most of the limit", sent[0]);
  Expect(findings, sent[1] >= 4.0, "the next level has a pool of its own", sent[1]);
  return findings;
}

Findings HungCallsFillPool(std::uint64_t seed) {
  Simulation simulation(seed, 1, 3);
  for (std::size_t i = 0; i < simulation.engines(); ++i)
    simulation.engine(i).fault = Fault::kUnresponsive;
  GenerateCalls(simulation, 0, 0, kSecond, 500.0, Triages(simulation));
  simulation.RunUntil(1500 * kMillisecond);
  Findings findings;
  const Tally tally = Count(simulation, 0, kSecond);
  Expect(findings, tally.refused >= 0.5 * tally.total, "most are refused",
         tally.refused / tally.total);
  Expect(findings, tally.longest_wait <= 80 * kMillisecond, "calls are refused soon",
         static_cast<double>(tally.longest_wait));
  return findings;
}

Findings TenantFairness(std::uint64_t seed) {
  Simulation simulation(seed, 1, 4);
  GenerateCalls(simulation, 0, 0, 4 * kSecond, 4000.0,
                [&simulation] { return Triage(simulation, 77); });
  GenerateCalls(simulation, 0, 0, 4 * kSecond, 60.0,
                [&simulation] { return Triage(simulation, simulation.draws.Word() % 6); });
  simulation.RunUntil(10 * kSecond);
  Findings findings;
  const Tally small =
      Count(simulation, kSecond, 4 * kSecond, [](const CallRecord& r) { return r.flow != 77; });
  const Tally large =
      Count(simulation, kSecond, 4 * kSecond, [](const CallRecord& r) { return r.flow == 77; });
  Expect(findings, small.served >= 0.75 * small.total, "small tenants are served",
         small.served / small.total);
  Expect(findings, large.served > 0, "the large tenant is not starved", large.served);
  const Micros wait = std::max(small.longest_wait, large.longest_wait);
  Expect(findings, wait <= 80 * kMillisecond, "no call waits longer than allowed",
         static_cast<double>(wait));
  return findings;
}

Findings NoHerding(std::uint64_t seed) {
  Simulation simulation(seed, 8, 8);
  GenerateFleetCalls(simulation, 4 * kSecond, 60.0, Triages(simulation));
  simulation.RunUntil(8 * kSecond);
  Findings findings;
  double total = 0.0;
  double max_arrived = 0.0;
  for (std::size_t i = 0; i < simulation.engines(); ++i) {
    total += static_cast<double>(simulation.engine(i).arrived);
    max_arrived = std::max(max_arrived, static_cast<double>(simulation.engine(i).arrived));
  }
  Expect(findings, max_arrived <= 3.0 * total / 8.0, "no endpoint gets three times the mean",
         max_arrived / total);
  const Tally tally = Count(simulation, 0, 4 * kSecond);
  Expect(findings, tally.served >= 0.97 * tally.total, "all are served",
         tally.served / tally.total);
  return findings;
}

namespace {

Findings RunOneFaulty(std::uint64_t seed, Fault fault, double slowness, double max_lost_share) {
  Simulation simulation = FaultScenarioFleet(seed);
  GenerateFleetCalls(simulation, 6 * kSecond, 30.0, Triages(simulation));
  Engine& engine = simulation.engine(seed % 8);
  std::uint64_t before = 0;
  simulation.Schedule(kSecond, [&] {
    engine.fault = fault;
    engine.slowness = slowness;
  });
  simulation.Schedule(3 * kSecond, [&] { before = engine.arrived; });
  simulation.RunUntil(12 * kSecond);
  Findings findings;
  Tally tally = Count(simulation, kSecond, 6 * kSecond);
  Expect(findings, tally.served >= (1.0 - max_lost_share) * tally.total, "few calls are lost",
         tally.served / tally.total);
  const auto later = static_cast<double>(engine.arrived - before);
  const double share = later / (4.0 * 30.0 * 3.0);
  Expect(findings, share <= 0.08, "calls avoid the faulty endpoint", share);
  return findings;
}

}  // namespace

Findings OneUnresponsive(std::uint64_t seed) {
  return RunOneFaulty(seed, Fault::kUnresponsive, 1.0, 0.06);
}
Findings OneFailing(std::uint64_t seed) { return RunOneFaulty(seed, Fault::kFailing, 1.0, 0.05); }
Findings OneUnreachable(std::uint64_t seed) {
  return RunOneFaulty(seed, Fault::kUnreachable, 1.0, 0.0);
}
Findings OneSlow(std::uint64_t seed) { return RunOneFaulty(seed, Fault::kNone, 10.0, 0.03); }

Findings UnresponsivePrefixOwner(std::uint64_t seed) {
  Simulation simulation(seed, 3, 8);
  GenerateFleetCalls(simulation, 6 * kSecond, 10.0,
                     [&simulation] { return Summary(simulation, 7); });
  simulation.Schedule(2 * kSecond, [&simulation] {
    std::size_t busiest = 0;
    for (std::size_t i = 0; i < simulation.engines(); ++i) {
      if (simulation.engine(i).arrived > simulation.engine(busiest).arrived) busiest = i;
    }
    simulation.engine(busiest).fault = Fault::kUnresponsive;
  });
  simulation.RunUntil(12 * kSecond);
  Findings findings;
  const Tally tally = Count(simulation, 2 * kSecond, 6 * kSecond);
  Expect(findings, tally.served >= 0.95 * tally.total, "few calls are lost",
         tally.served / tally.total);
  return findings;
}

Findings RollingReplacement(std::uint64_t seed) {
  constexpr std::size_t kEngines = 6;
  Simulation simulation(seed, 3, kEngines);
  GenerateFleetCalls(simulation, 6 * kSecond, 40.0, Triages(simulation));
  for (std::size_t i = 0; i < kEngines; ++i) {
    const Micros at = kSecond + static_cast<Micros>(i) * 700 * kMillisecond;
    simulation.Schedule(at, [&simulation, i] {
      Engine& fresh = simulation.AddEngine();
      fresh.cold_until = simulation.now() + kSecond;
      fresh.slowness = 3.0;
      simulation.Schedule(fresh.cold_until, [&fresh] { fresh.slowness = 1.0; });
      simulation.engine(i).draining = true;
      simulation.PublishEndpoints();
    });
    simulation.Schedule(at + 500 * kMillisecond, [&simulation, i] {
      simulation.engine(i).listed = false;
      simulation.engine(i).fault = Fault::kUnreachable;
      simulation.PublishEndpoints();
    });
  }
  simulation.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(simulation, 0, 6 * kSecond);
  Expect(findings, tally.served == tally.total, "all are served", tally.served / tally.total);
  const Micros p99 = tally.FirstEvent(0.99);
  Expect(findings, p99 <= 150 * kMillisecond, "first events come in time",
         static_cast<double>(p99));
  return findings;
}

Findings AllUnresponsive(std::uint64_t seed) {
  Simulation simulation(seed, 3, 6);
  GenerateFleetCalls(simulation, 8 * kSecond, 20.0, Triages(simulation));
  const auto set = [&](Fault fault) {
    for (std::size_t i = 0; i < simulation.engines(); ++i) simulation.engine(i).fault = fault;
  };
  simulation.Schedule(kSecond, [&] { set(Fault::kUnresponsive); });
  simulation.Schedule(4 * kSecond, [&] { set(Fault::kNone); });
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  simulation.Schedule(3 * kSecond, [&] { before = simulation.sends(); });
  simulation.Schedule(4 * kSecond, [&] { after = simulation.sends(); });
  simulation.RunUntil(14 * kSecond);
  Findings findings;
  Expect(findings, after - before >= 20, "calls are still sent",
         static_cast<double>(after - before));
  const Tally tally = Count(simulation, 6 * kSecond, 8 * kSecond);
  Expect(findings, tally.served >= 0.95 * tally.total, "calls are served again soon",
         tally.served / tally.total);
  return findings;
}

Findings AllRejecting(std::uint64_t seed) {
  Simulation simulation(seed, 2, 6);
  for (std::size_t i = 0; i < simulation.engines(); ++i)
    simulation.engine(i).fault = Fault::kRejecting;
  GenerateFleetCalls(simulation, 4 * kSecond, 50.0, Triages(simulation));
  simulation.RunUntil(10 * kSecond);
  Findings findings;
  const Tally tally = Count(simulation, 0, 4 * kSecond);
  Expect(findings, tally.refused == tally.total, "all are refused", tally.refused / tally.total);
  const auto sends = static_cast<double>(simulation.sends());
  Expect(findings, sends <= 1.1 * tally.total + 20.0, "there are few retries", sends / tally.total);
  Micros longest = 0;
  for (const auto& [id, record] : simulation.records()) {
    longest = std::max(longest, record.ended_at - record.arrived_at);
  }
  Expect(findings, longest <= 90 * kMillisecond, "calls are refused soon",
         static_cast<double>(longest));
  return findings;
}

namespace {

constexpr std::uint32_t kBatchLevel = 2;

// Starts batch items like the runner of the program: as many as the module reports room for.
void RunBatch(Simulation& simulation, std::size_t sidecar, Micros until) {
  for (std::uint32_t room = simulation.module(sidecar).Room(simulation.now(), kBatchLevel);
       room > 0; --room) {
    Call call;
    call.batch = true;
    call.level = kBatchLevel;
    call.objective = 400 * kMillisecond;
    call.prompt = {{3, 400}, {simulation.draws.Word(), 800}};
    call.prompt_tokens = 1200;
    call.output_tokens = 40;
    simulation.SubmitCall(sidecar, call);
  }
  if (simulation.now() < until) {
    simulation.Schedule(simulation.now() + 20 * kMillisecond,
                        [&simulation, sidecar, until] { RunBatch(simulation, sidecar, until); });
  }
}

Tally RunBatchLoad(std::uint64_t seed, bool batch, Findings& findings) {
  Simulation simulation(seed, 3, 6);
  GenerateFleetCalls(simulation, 4 * kSecond, 40.0, Triages(simulation));
  if (batch) {
    for (std::size_t i = 0; i < 3; ++i) {
      simulation.Schedule(0, [&simulation, i] { RunBatch(simulation, i, 4 * kSecond); });
    }
  }
  simulation.RunUntil(10 * kSecond);
  if (batch) {
    const Tally items = Count(simulation, 0, 4 * kSecond,
                              [](const CallRecord& r) { return r.level == kBatchLevel; });
    Expect(findings, items.served >= 200, "batch progresses", items.served);
    Expect(findings, items.delayed == 0, "batch items within the room are not queued",
           items.delayed);
    Expect(findings, items.refused <= 0.02 * items.total,
           "batch items within the room are not refused", items.refused);
  }
  return Count(simulation, 0, 4 * kSecond, [](const CallRecord& r) { return r.level == 0; });
}

}  // namespace

Findings BatchBesideLive(std::uint64_t seed) {
  Findings findings;
  Tally without_jobs = RunBatchLoad(seed, false, findings);
  Tally with_jobs = RunBatchLoad(seed, true, findings);
  Expect(findings, with_jobs.served >= 0.99 * with_jobs.total, "live calls are served",
         with_jobs.served / with_jobs.total);
  const Micros added = with_jobs.FirstEvent(0.9) - without_jobs.FirstEvent(0.9);
  Expect(findings, added <= 60 * kMillisecond, "live calls are hardly slower",
         static_cast<double>(added));
  return findings;
}

Findings PrefixAffinity(std::uint64_t seed) {
  constexpr std::uint64_t kSubjects = 25;
  Simulation simulation(seed, 6, 9);
  GenerateFleetCalls(simulation, 6 * kSecond, 5.0, [&simulation] {
    const double place = simulation.draws.Unit();
    return Summary(simulation, static_cast<std::uint64_t>(place * place * kSubjects));
  });
  simulation.RunUntil(12 * kSecond);
  Findings findings;
  std::uint64_t prefills = 0;
  double max_arrived = 0.0;
  double total = 0.0;
  for (std::size_t i = 0; i < simulation.engines(); ++i) {
    prefills += simulation.engine(i).shared_parts_prefilled;
    max_arrived = std::max(max_arrived, static_cast<double>(simulation.engine(i).arrived));
    total += static_cast<double>(simulation.engine(i).arrived);
  }
  // Without affinity all 9 endpoints would prefill the part of each subject and the common part.
  const double per_subject = static_cast<double>(prefills) / kSubjects;
  Expect(findings, per_subject <= 4.0, "shared parts are prefilled at few endpoints", per_subject);
  Expect(findings, max_arrived <= 0.5 * total, "no endpoint gets half of all calls",
         max_arrived / total);
  const Tally tally = Count(simulation, 0, 6 * kSecond);
  Expect(findings, tally.served == tally.total, "all are served", tally.served / tally.total);
  return findings;
}

Findings HotPrefix(std::uint64_t seed) {
  Simulation simulation(seed, 6, 9);
  GenerateFleetCalls(simulation, 4 * kSecond, 30.0,
                     [&simulation] { return Summary(simulation, 7); });
  simulation.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(simulation, kSecond, 4 * kSecond);
  Expect(findings, tally.served >= 0.97 * tally.total, "a hot prefix is served",
         tally.served / tally.total);
  const Micros median = tally.FirstEvent(0.5);
  Expect(findings, median <= 200 * kMillisecond, "first events come in time",
         static_cast<double>(median));
  return findings;
}

Findings NoStarvation(std::uint64_t seed) {
  Simulation simulation(seed, 3, 4);
  for (std::uint32_t level = 0; level < 2; ++level) {
    GenerateFleetCalls(simulation, 6 * kSecond, 80.0, [&simulation, level] {
      Call call = Triage(simulation, simulation.draws.Word() % 8);
      call.output_tokens = 400;
      call.level = level;
      return call;
    });
  }
  for (std::size_t i = 0; i < 3; ++i) {
    simulation.Schedule(0, [&simulation, i] { RunBatch(simulation, i, 6 * kSecond); });
  }
  simulation.RunUntil(14 * kSecond);
  Findings findings;
  Tally of[3];
  for (std::uint32_t level = 0; level < 3; ++level) {
    of[level] = Count(simulation, kSecond, 6 * kSecond,
                      [level](const CallRecord& record) { return record.level == level; });
  }
  const double live = (of[0].served + of[1].served) / (of[0].total + of[1].total);
  Expect(findings, live <= 0.7, "the load exceeds the capacity", live);
  Expect(findings, of[0].served / of[0].total >= of[1].served / of[1].total,
         "urgent calls come first", of[0].served / of[0].total);
  Expect(findings, of[1].served / of[1].total >= 0.3 * live, "the lower level is not starved",
         of[1].served / of[1].total);
  Expect(findings, of[2].served >= 5.0, "batch is not starved", of[2].served);
  return findings;
}

Findings LongAnswers(std::uint64_t seed) {
  Simulation simulation(seed, 6, 9);
  GenerateFleetCalls(simulation, 4 * kSecond, 12.0, [&simulation] {
    Call call = Triage(simulation, simulation.draws.Word() % 8);
    call.prompt = {{9, 300}, {10, 500}};
    call.output_tokens = 400;
    return call;
  });
  simulation.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(simulation, kSecond, 4 * kSecond);
  Expect(findings, tally.served >= 0.99 * tally.total, "long answers are served",
         tally.served / tally.total);
  const Micros p95 = tally.FirstEvent(0.95);
  Expect(findings, p95 <= 50 * kMillisecond, "no call waits for a slot", static_cast<double>(p95));
  return findings;
}

Findings SubsetGrowth(std::uint64_t seed) {
  Simulation simulation(seed, 1, 9);
  GenerateCalls(simulation, 0, 0, 3 * kSecond, 2000.0, Triages(simulation));
  simulation.RunUntil(8 * kSecond);
  Findings findings;
  const Tally tally = Count(simulation, kSecond, 3 * kSecond);
  Expect(findings, tally.served >= 0.95 * tally.total, "one sidecar uses many endpoints",
         tally.served / tally.total);
  return findings;
}

namespace {

// Drives one module with random events and checks its decisions against an independent model of the
// rules.
class RandomEventDriver : private Actions {
 public:
  explicit RandomEventDriver(std::uint64_t seed)
      : draws_(gaugecart::Mix(seed)), module_(seed, *this) {}

  Findings Run() {
    ChangeConfig();
    ChangeEndpoints();
    for (int i = 0; i < 400; ++i) FireRandomEvent();
    FinishAllCalls();
    for (const auto& [id, call] : calls_) {
      if (!call.finished) Note("a call was never answered");
    }
    return findings_;
  }

 private:
  struct CallState {
    Call call;
    std::map<std::uint32_t, std::string> in_flight;
    std::uint32_t attempts = 0;
    int sends = 0;  // That count towards max_attempts.
    bool may_have_run = false;
    bool finished = false;
    std::set<std::string> rejected;
  };

  void Send(CallId id, std::uint32_t attempt, const std::string& endpoint) override {
    CallState& state = calls_[id];
    if (state.finished) Note("sent after it finished");
    if (!state.in_flight.empty()) Note("two attempts in flight");
    if (attempt != state.attempts) Note("attempts are not numbered in order");
    if (state.may_have_run && !state.call.repeatable) Note("sent again though it may have run");
    if (state.sends >= state.call.max_attempts) Note("sent to more than max_attempts");
    if (now_ >= state.call.deadline) Note("sent after its deadline");
    if (!usable_.contains(endpoint)) Note("sent to a draining or removed endpoint");
    if (state.rejected.contains(endpoint)) Note("sent again to an endpoint that rejected it");
    ++state.attempts;
    ++state.sends;
    state.in_flight[attempt] = endpoint;
  }
  void Refuse(CallId id, Micros retry_after) override {
    if (retry_after < 0) Note("negative retry-after");
    if (calls_[id].may_have_run) Note("refused though it may have run");
    MarkEnded(id);
  }
  void Fail(CallId id) override {
    if (!calls_[id].may_have_run) Note("failed though it never ran");
    MarkEnded(id);
  }
  void SetTimer(Micros at) override {
    if (at < now_) Note("timer set in the past");
    timer_ = std::min(timer_, at);
  }

  void Note(const std::string& what) { findings_.push_back(what); }
  void MarkEnded(CallId id) {
    CallState& state = calls_[id];
    if (state.finished) Note("answered twice");
    if (!state.in_flight.empty()) Note("answered while an attempt is in flight");
    state.finished = true;
  }

  std::uint64_t Below(std::uint64_t bound) { return draws_.Word() % bound; }

  void FireRandomEvent() {
    AdvanceTo(now_ + static_cast<Micros>(Below(30'000)));
    const std::uint64_t choice = Below(20);
    if (choice < 8) return SubmitCall();
    if (choice < 15) return DeliverRandomOutcome();
    if (choice < 16) return ChangeEndpoints();
    if (choice < 17) return AbandonRandomCall();
    if (choice < 18) return DeliverFirstEvent();
    if (choice < 19) return ReportLoad();
    if (Below(5) == 0) ChangeConfig();
  }

  void AdvanceTo(Micros until) {
    while (timer_ <= until) {
      now_ = timer_;
      timer_ = kNever;
      module_.OnTimer(now_);
    }
    now_ = until;
  }

  void ChangeConfig() {
    ModuleConfig config;
    config.node = "edge-1";
    config.levels = 1 + static_cast<std::uint32_t>(Below(4));
    config.sidecars = 1 + static_cast<std::uint32_t>(Below(30));
    config.max_calls = 4 + Below(40);
    module_.OnConfig(now_, config);
  }

  void ChangeEndpoints() {
    if (Below(12) == 0) {
      usable_.clear();
      return module_.OnServiceRemoved(now_, "model");
    }
    ServiceInfo service;
    service.name = "model";
    service.kv_tokens = Below(2) * 10'000;
    service.max_conns = static_cast<int>(Below(3) * 20);
    usable_.clear();
    for (std::uint64_t i = Below(3); i < 12; i += 1 + Below(3)) {
      EndpointInfo info;
      info.id = "e" + std::to_string(i);
      info.slots = 1 + static_cast<int>(Below(8));
      info.draining = Below(5) == 0;
      info.cold_until = Below(3) == 0 ? now_ + 1'000'000 : 0;
      service.endpoints.push_back(info);
      if (!info.draining) usable_.insert(info.id);
    }
    module_.OnService(now_, service);
  }

  void SubmitCall() {
    CallState state;
    state.call.id = ++last_call_;
    state.call.service = Below(20) == 0 ? "unknown" : "model";
    state.call.level = static_cast<std::uint32_t>(Below(5));
    state.call.flow = Below(6);
    state.call.timeout = static_cast<Micros>(Below(4) * 1'000'000);
    state.call.objective = static_cast<Micros>(Below(2) * 300'000);
    if (Below(4) > 0) state.call.deadline = now_ + static_cast<Micros>(Below(3'000'000));
    state.call.max_attempts = 1 + static_cast<int>(Below(3));
    state.call.repeatable = Below(2) == 0;
    state.call.prompt = {{Below(4), 300}, {100 + Below(10), 500}, {1000 + last_call_, 200}};
    state.call.prompt_tokens = 1000;
    state.call.output_tokens = static_cast<std::uint32_t>(Below(100));
    calls_[state.call.id] = state;
    module_.OnCall(now_, state.call);
  }

  std::optional<CallId> RandomCallInFlight() {
    std::vector<CallId> candidates;
    for (const auto& [id, state] : calls_) {
      if (!state.in_flight.empty()) candidates.push_back(id);
    }
    if (candidates.empty()) return std::nullopt;
    return candidates[Below(candidates.size())];
  }

  void DeliverRandomOutcome() {
    const auto id = RandomCallInFlight();
    if (!id) return;
    constexpr Outcome kOutcomes[] = {
        Outcome::kSuccess,   Outcome::kNotRun,    Outcome::kMisdirected,
        Outcome::kNeverSent, Outcome::kError,     Outcome::kReset,
        Outcome::kTimeout,   Outcome::kTruncated, Outcome::kCancelled};
    DeliverOutcome(*id, kOutcomes[Below(std::size(kOutcomes))], Below(6) > 0);
  }

  void DeliverOutcome(CallId id, Outcome outcome, bool may_continue) {
    CallState& state = calls_[id];
    const auto [attempt, endpoint] = *state.in_flight.begin();
    state.in_flight.clear();
    const bool not_run = outcome == Outcome::kNotRun || outcome == Outcome::kMisdirected ||
                         outcome == Outcome::kNeverSent;
    if (!not_run) state.may_have_run = true;
    if (outcome == Outcome::kNeverSent || outcome == Outcome::kMisdirected) --state.sends;
    if (outcome == Outcome::kNotRun) state.rejected.insert(endpoint);
    if (outcome == Outcome::kSuccess) may_continue = false;
    if (!may_continue) state.finished = true;
    module_.OnOutcome(now_, id, attempt, outcome, may_continue);
  }

  void DeliverFirstEvent() {
    const auto id = RandomCallInFlight();
    if (!id) return;
    const std::uint32_t attempt = calls_[*id].in_flight.begin()->first;
    module_.OnFirstEvent(now_, *id, attempt);
    module_.OnProgress(now_, *id, attempt, static_cast<std::uint32_t>(Below(50)));
  }

  void AbandonRandomCall() {
    if (calls_.empty()) return;
    const CallId id = 1 + Below(last_call_);
    CallState& state = calls_[id];
    state.in_flight.clear();
    state.finished = true;
    module_.OnAbandoned(now_, id);
  }

  void ReportLoad() {
    const std::string endpoint = "e" + std::to_string(Below(12));
    module_.OnLoad(now_, endpoint, static_cast<std::uint32_t>(Below(20)),
                   static_cast<std::uint32_t>(Below(5)), static_cast<std::uint32_t>(Below(9)));
  }

  void FinishAllCalls() {
    // Queued calls may be sent when others finish or a timer fires.
    for (int i = 0; i < 10'000; ++i) {
      const auto id = RandomCallInFlight();
      if (id) {
        DeliverOutcome(*id, Outcome::kSuccess, false);
      } else if (timer_ != kNever) {
        AdvanceTo(timer_);
      } else {
        break;
      }
    }
    if (timer_ != kNever) Note("timer still set without queued calls");
  }

  gaugecart::Draws draws_;
  Micros now_ = 0;
  Micros timer_ = kNever;
  std::map<CallId, CallState> calls_;
  CallId last_call_ = 0;
  std::set<std::string> usable_;
  Findings findings_;
  Module module_;
};

}  // namespace

Findings RandomEvents(std::uint64_t seed) { return RandomEventDriver(seed).Run(); }

const std::vector<Scenario>& AllScenarios() {
  static const std::vector<Scenario> all = {
      {"light load", LightLoad, 30},
      {"level isolation", LevelIsolation, 10},
      {"pool limits", PoolLimits, 20},
      {"hung calls fill pool", HungCallsFillPool, 20},
      {"tenant fairness", TenantFairness, 10},
      {"no herding", NoHerding, 10},
      {"one unresponsive", OneUnresponsive, 20},
      {"unresponsive prefix owner", UnresponsivePrefixOwner, 20},
      {"one failing", OneFailing, 20},
      {"one unreachable", OneUnreachable, 20},
      {"one slow", OneSlow, 20},
      {"rolling replacement", RollingReplacement, 20},
      {"all unresponsive", AllUnresponsive, 20},
      {"all rejecting", AllRejecting, 20},
      {"batch beside live", BatchBesideLive, 10},
      {"fleet finishes batch", FleetFinishesBatch, 2},
      {"large fleet finishes batch", LargeFleetFinishesBatch, 1},
      {"prefix affinity", PrefixAffinity, 20},
      {"hot prefix", HotPrefix, 10},
      {"no starvation", NoStarvation, 20},
      {"long answers", LongAnswers, 10},
      {"subset growth", SubsetGrowth, 5},
      {"random events", RandomEvents, 3000},
  };
  return all;
}

}  // namespace shelflink::policy::testing
