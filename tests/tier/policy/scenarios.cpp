#include "policy/scenarios.h"

#include <optional>

#include "policy/scenario_tools.h"
#include "policy/simulation.h"

namespace shelflink::policy::testing {
namespace {

// Calls of a summary with its subject's shared parts, and of a short triage.
Call Summary(World& world, std::uint64_t subject) {
  Call call;
  call.prompt = {{1, 800}, {1000 + subject, 3200}, {world.draws.Word(), 1500}};
  call.prompt_tokens = 5500;
  call.output_tokens = 24;
  call.max_attempts = 2;
  call.flow = subject % 5;
  return call;
}

Call Triage(World& world, std::uint64_t flow) {
  Call call;
  call.prompt = {{2, 200}, {world.draws.Word(), 600}};
  call.prompt_tokens = 800;
  call.output_tokens = 16;
  call.max_attempts = 2;
  call.flow = flow;
  return call;
}

MakeCall Triages(World& world) {
  return [&world] { return Triage(world, world.draws.Word() % 8); };
}

// One endpoint of eight is in trouble from the first second on.
World OneInTrouble(std::uint64_t seed) { return World(seed, 4, 8); }

}  // namespace

Findings Quiet(std::uint64_t seed) {
  World world(seed, 4, 9);
  PourAll(world, 4 * kSecond, 20.0, Triages(world));
  for (std::size_t i = 0; i < 4; ++i) {
    Pour(world, i, 0, 4 * kSecond, 3.0,
         [&world] { return Summary(world, world.draws.Word() % 20); });
  }
  world.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(world, 0, 4 * kSecond);
  Expect(findings, tally.served == tally.all, "all are served", tally.all - tally.served);
  Expect(findings, tally.held == 0, "nothing is held", tally.held);
  const Micros typical = tally.FirstEvent(0.95);
  Expect(findings, typical < 100 * kMillisecond, "first events are prompt",
         static_cast<double>(typical));
  return findings;
}

Findings Isolation(std::uint64_t seed) {
  World world(seed, 1, 4);
  Pour(world, 0, 0, 4 * kSecond, 4000.0, [&world] {
    Call call = Triage(world, world.draws.Word() % 8);
    call.level = 1;
    return call;
  });
  Pour(world, 0, 0, 4 * kSecond, 40.0, Triages(world));
  world.RunUntil(10 * kSecond);
  Findings findings;
  const Tally urgent =
      Count(world, kSecond, 4 * kSecond, [](const Record& r) { return r.level == 0; });
  const Tally flood =
      Count(world, kSecond, 4 * kSecond, [](const Record& r) { return r.level == 1; });
  Expect(findings, urgent.served >= 0.95 * urgent.all, "the urgent level is served",
         urgent.served / urgent.all);
  Expect(findings, flood.refused >= 0.2 * flood.all, "the flood is refused",
         flood.refused / flood.all);
  Expect(findings, flood.served >= 0.1 * flood.all, "the flood is not starved",
         flood.served / flood.all);
  return findings;
}

Findings PoolsKeepApart(std::uint64_t seed) {
  World world(seed, 1, 4);
  for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).trouble = Trouble::kDark;
  for (std::uint32_t level = 0; level < 2; ++level) {
    Pour(world, 0, 0, kSecond, 2000.0, [&world, level] {
      Call call = Triage(world, world.draws.Word() % 8);
      call.level = level;
      return call;
    });
  }
  world.RunUntil(kSecond);
  Findings findings;
  double sent[2] = {0.0, 0.0};
  for (const auto& [id, record] : world.records()) sent[record.level] += record.sent >= 0 ? 1 : 0;
  // Twice the endpoints' slots is where the limit starts; a quarter of it is batch's.
  constexpr double kLive = 0.75 * 2.0 * 4 * 16;
  Expect(findings, sent[0] + sent[1] <= 1.25 * kLive, "live levels keep to their part",
         sent[0] + sent[1]);
  Expect(findings, sent[0] >= 0.5 * kLive, "the urgent level has most of it", sent[0]);
  Expect(findings, sent[1] >= 4.0, "the next one has its own", sent[1]);
  return findings;
}

Findings StuckSeats(std::uint64_t seed) {
  World world(seed, 1, 3);
  for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).trouble = Trouble::kDark;
  Pour(world, 0, 0, kSecond, 500.0, Triages(world));
  world.RunUntil(1500 * kMillisecond);
  Findings findings;
  const Tally tally = Count(world, 0, kSecond);
  Expect(findings, tally.refused >= 0.5 * tally.all, "most are refused", tally.refused / tally.all);
  Expect(findings, tally.longest_wait <= 80 * kMillisecond, "and told soon",
         static_cast<double>(tally.longest_wait));
  return findings;
}

Findings FairTenants(std::uint64_t seed) {
  World world(seed, 1, 4);
  Pour(world, 0, 0, 4 * kSecond, 4000.0, [&world] { return Triage(world, 77); });
  Pour(world, 0, 0, 4 * kSecond, 60.0, [&world] { return Triage(world, world.draws.Word() % 6); });
  world.RunUntil(10 * kSecond);
  Findings findings;
  const Tally small =
      Count(world, kSecond, 4 * kSecond, [](const Record& r) { return r.flow != 77; });
  const Tally large =
      Count(world, kSecond, 4 * kSecond, [](const Record& r) { return r.flow == 77; });
  Expect(findings, small.served >= 0.75 * small.all, "small tenants are served",
         small.served / small.all);
  Expect(findings, large.served > 0, "the large tenant is not starved", large.served);
  const Micros wait = std::max(small.longest_wait, large.longest_wait);
  Expect(findings, wait <= 80 * kMillisecond, "nobody waits beyond the cap",
         static_cast<double>(wait));
  return findings;
}

Findings NoHerd(std::uint64_t seed) {
  World world(seed, 8, 8);
  PourAll(world, 4 * kSecond, 60.0, Triages(world));
  world.RunUntil(8 * kSecond);
  Findings findings;
  double all = 0.0;
  double most = 0.0;
  for (std::size_t i = 0; i < world.engines(); ++i) {
    all += static_cast<double>(world.engine(i).arrived);
    most = std::max(most, static_cast<double>(world.engine(i).arrived));
  }
  Expect(findings, most <= 3.0 * all / 8.0, "no endpoint draws three times the mean", most / all);
  const Tally tally = Count(world, 0, 4 * kSecond);
  Expect(findings, tally.served >= 0.97 * tally.all, "all are served", tally.served / tally.all);
  return findings;
}

namespace {

Findings PlayTrouble(std::uint64_t seed, Trouble trouble, double slowness, double most_lost) {
  World world = OneInTrouble(seed);
  PourAll(world, 6 * kSecond, 30.0, Triages(world));
  Engine& engine = world.engine(seed % 8);
  std::uint64_t before = 0;
  world.At(kSecond, [&] {
    engine.trouble = trouble;
    engine.slowness = slowness;
  });
  world.At(3 * kSecond, [&] { before = engine.arrived; });
  world.RunUntil(12 * kSecond);
  Findings findings;
  Tally tally = Count(world, kSecond, 6 * kSecond);
  Expect(findings, tally.served >= (1.0 - most_lost) * tally.all, "few calls are lost",
         tally.served / tally.all);
  const auto later = static_cast<double>(engine.arrived - before);
  const double share = later / (4.0 * 30.0 * 3.0);
  Expect(findings, share <= 0.08, "calls keep from it", share);
  return findings;
}

}  // namespace

Findings OneDark(std::uint64_t seed) { return PlayTrouble(seed, Trouble::kDark, 1.0, 0.06); }
Findings OneFailing(std::uint64_t seed) { return PlayTrouble(seed, Trouble::kErrors, 1.0, 0.05); }
Findings OneUnreachable(std::uint64_t seed) {
  return PlayTrouble(seed, Trouble::kRefused, 1.0, 0.0);
}
Findings OneSlow(std::uint64_t seed) { return PlayTrouble(seed, Trouble::kNone, 10.0, 0.03); }

Findings DarkOwner(std::uint64_t seed) {
  World world(seed, 3, 8);
  PourAll(world, 6 * kSecond, 10.0, [&world] { return Summary(world, 7); });
  world.At(2 * kSecond, [&world] {
    std::size_t busiest = 0;
    for (std::size_t i = 0; i < world.engines(); ++i) {
      if (world.engine(i).arrived > world.engine(busiest).arrived) busiest = i;
    }
    world.engine(busiest).trouble = Trouble::kDark;
  });
  world.RunUntil(12 * kSecond);
  Findings findings;
  const Tally tally = Count(world, 2 * kSecond, 6 * kSecond);
  Expect(findings, tally.served >= 0.95 * tally.all, "few calls are lost",
         tally.served / tally.all);
  return findings;
}

Findings Release(std::uint64_t seed) {
  constexpr std::size_t kEngines = 6;
  World world(seed, 3, kEngines);
  PourAll(world, 6 * kSecond, 40.0, Triages(world));
  for (std::size_t i = 0; i < kEngines; ++i) {
    const Micros at = kSecond + static_cast<Micros>(i) * 700 * kMillisecond;
    world.At(at, [&world, i] {
      Engine& fresh = world.AddEngine();
      fresh.cold_until = world.now() + kSecond;
      fresh.slowness = 3.0;
      world.At(fresh.cold_until, [&fresh] { fresh.slowness = 1.0; });
      world.engine(i).draining = true;
      world.List();
    });
    world.At(at + 500 * kMillisecond, [&world, i] {
      world.engine(i).listed = false;
      world.engine(i).trouble = Trouble::kRefused;
      world.List();
    });
  }
  world.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(world, 0, 6 * kSecond);
  Expect(findings, tally.served == tally.all, "all are served", tally.served / tally.all);
  const Micros most = tally.FirstEvent(0.99);
  Expect(findings, most <= 150 * kMillisecond, "first events come in time",
         static_cast<double>(most));
  return findings;
}

Findings AllDark(std::uint64_t seed) {
  World world(seed, 3, 6);
  PourAll(world, 8 * kSecond, 20.0, Triages(world));
  const auto set = [&](Trouble trouble) {
    for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).trouble = trouble;
  };
  world.At(kSecond, [&] { set(Trouble::kDark); });
  world.At(4 * kSecond, [&] { set(Trouble::kNone); });
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  world.At(3 * kSecond, [&] { before = world.sends(); });
  world.At(4 * kSecond, [&] { after = world.sends(); });
  world.RunUntil(14 * kSecond);
  Findings findings;
  Expect(findings, after - before >= 20, "calls go on being tried",
         static_cast<double>(after - before));
  const Tally tally = Count(world, 6 * kSecond, 8 * kSecond);
  Expect(findings, tally.served >= 0.95 * tally.all, "served again soon", tally.served / tally.all);
  return findings;
}

Findings AllFull(std::uint64_t seed) {
  World world(seed, 2, 6);
  for (std::size_t i = 0; i < world.engines(); ++i) world.engine(i).trouble = Trouble::kFull;
  PourAll(world, 4 * kSecond, 50.0, Triages(world));
  world.RunUntil(10 * kSecond);
  Findings findings;
  const Tally tally = Count(world, 0, 4 * kSecond);
  Expect(findings, tally.refused == tally.all, "all are refused", tally.refused / tally.all);
  const auto sends = static_cast<double>(world.sends());
  Expect(findings, sends <= 1.1 * tally.all + 20.0, "retries don't compound", sends / tally.all);
  Micros longest = 0;
  for (const auto& [id, record] : world.records()) {
    longest = std::max(longest, record.ended - record.came);
  }
  Expect(findings, longest <= 90 * kMillisecond, "each is told soon", static_cast<double>(longest));
  return findings;
}

namespace {

constexpr std::uint32_t kBatchLevel = 2;

// A runner as in the program: it asks for room, then starts items.
void RunBatch(World& world, std::size_t sidecar, Micros until) {
  for (std::uint32_t room = world.module(sidecar).Room(world.now(), kBatchLevel); room > 0;
       --room) {
    Call call;
    call.batch = true;
    call.level = kBatchLevel;
    call.objective = 400 * kMillisecond;
    call.prompt = {{3, 400}, {world.draws.Word(), 800}};
    call.prompt_tokens = 1200;
    call.output_tokens = 40;
    world.Ask(sidecar, call);
  }
  if (world.now() < until) {
    world.At(world.now() + 20 * kMillisecond,
             [&world, sidecar, until] { RunBatch(world, sidecar, until); });
  }
}

Tally PlayBatch(std::uint64_t seed, bool batch, Findings& findings) {
  World world(seed, 3, 6);
  PourAll(world, 4 * kSecond, 40.0, Triages(world));
  if (batch) {
    for (std::size_t i = 0; i < 3; ++i) {
      world.At(0, [&world, i] { RunBatch(world, i, 4 * kSecond); });
    }
  }
  world.RunUntil(10 * kSecond);
  if (batch) {
    const Tally items =
        Count(world, 0, 4 * kSecond, [](const Record& r) { return r.level == kBatchLevel; });
    Expect(findings, items.served >= 200, "batch gets on", items.served);
    Expect(findings, items.held == 0, "batch items that had room don't wait", items.held);
    Expect(findings, items.refused <= 0.02 * items.all, "nor are they refused", items.refused);
  }
  return Count(world, 0, 4 * kSecond, [](const Record& r) { return r.level == 0; });
}

}  // namespace

Findings BatchYields(std::uint64_t seed) {
  Findings findings;
  Tally alone = PlayBatch(seed, false, findings);
  Tally beside = PlayBatch(seed, true, findings);
  Expect(findings, beside.served >= 0.99 * beside.all, "live calls are served",
         beside.served / beside.all);
  const Micros added = beside.FirstEvent(0.9) - alone.FirstEvent(0.9);
  Expect(findings, added <= 60 * kMillisecond, "live calls are hardly slowed",
         static_cast<double>(added));
  return findings;
}

Findings Stickiness(std::uint64_t seed) {
  constexpr std::uint64_t kSubjects = 25;
  World world(seed, 6, 9);
  PourAll(world, 6 * kSecond, 5.0, [&world] {
    const double place = world.draws.Unit();
    return Summary(world, static_cast<std::uint64_t>(place * place * kSubjects));
  });
  world.RunUntil(12 * kSecond);
  Findings findings;
  std::uint64_t read = 0;
  double most = 0.0;
  double all = 0.0;
  for (std::size_t i = 0; i < world.engines(); ++i) {
    read += world.engine(i).shared_parts_read;
    most = std::max(most, static_cast<double>(world.engine(i).arrived));
    all += static_cast<double>(world.engine(i).arrived);
  }
  // Anywhere: some 9 endpoints read each subject's part in the end, and the common one.
  const double per_subject = static_cast<double>(read) / kSubjects;
  Expect(findings, per_subject <= 4.0, "shared parts are read at few endpoints", per_subject);
  Expect(findings, most <= 0.5 * all, "no endpoint draws half of all", most / all);
  const Tally tally = Count(world, 0, 6 * kSecond);
  Expect(findings, tally.served == tally.all, "all are served", tally.served / tally.all);
  return findings;
}

Findings HotPrefix(std::uint64_t seed) {
  World world(seed, 6, 9);
  PourAll(world, 4 * kSecond, 30.0, [&world] { return Summary(world, 7); });
  world.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(world, kSecond, 4 * kSecond);
  Expect(findings, tally.served >= 0.97 * tally.all, "a hot prefix is served",
         tally.served / tally.all);
  const Micros median = tally.FirstEvent(0.5);
  Expect(findings, median <= 200 * kMillisecond, "its first events come in time",
         static_cast<double>(median));
  return findings;
}

Findings NobodyStarves(std::uint64_t seed) {
  World world(seed, 3, 4);
  for (std::uint32_t level = 0; level < 2; ++level) {
    PourAll(world, 6 * kSecond, 80.0, [&world, level] {
      Call call = Triage(world, world.draws.Word() % 8);
      call.output_tokens = 400;
      call.level = level;
      return call;
    });
  }
  for (std::size_t i = 0; i < 3; ++i) {
    world.At(0, [&world, i] { RunBatch(world, i, 6 * kSecond); });
  }
  world.RunUntil(14 * kSecond);
  Findings findings;
  Tally of[3];
  for (std::uint32_t level = 0; level < 3; ++level) {
    of[level] = Count(world, kSecond, 6 * kSecond,
                      [level](const Record& record) { return record.level == level; });
  }
  const double live = (of[0].served + of[1].served) / (of[0].all + of[1].all);
  Expect(findings, live <= 0.7, "there is less than is asked for", live);
  Expect(findings, of[0].served / of[0].all >= of[1].served / of[1].all, "urgent ones go first",
         of[0].served / of[0].all);
  Expect(findings, of[1].served / of[1].all >= 0.3 * live, "the lower level is not starved",
         of[1].served / of[1].all);
  Expect(findings, of[2].served >= 5.0, "nor is batch", of[2].served);
  return findings;
}

Findings LongAnswers(std::uint64_t seed) {
  World world(seed, 6, 9);
  PourAll(world, 4 * kSecond, 12.0, [&world] {
    Call call = Triage(world, world.draws.Word() % 8);
    call.prompt = {{9, 300}, {10, 500}};
    call.output_tokens = 400;
    return call;
  });
  world.RunUntil(10 * kSecond);
  Findings findings;
  Tally tally = Count(world, kSecond, 4 * kSecond);
  Expect(findings, tally.served >= 0.99 * tally.all, "long answers are served",
         tally.served / tally.all);
  const Micros most = tally.FirstEvent(0.95);
  Expect(findings, most <= 50 * kMillisecond, "none waits for a slot", static_cast<double>(most));
  return findings;
}

Findings SubsetGrows(std::uint64_t seed) {
  World world(seed, 1, 9);
  Pour(world, 0, 0, 3 * kSecond, 2000.0, Triages(world));
  world.RunUntil(8 * kSecond);
  Findings findings;
  const Tally tally = Count(world, kSecond, 3 * kSecond);
  Expect(findings, tally.served >= 0.95 * tally.all, "one sidecar uses many endpoints",
         tally.served / tally.all);
  return findings;
}

namespace {

// Drives one module by random events and keeps its own account of what is lawful.
class RandomDrive : private Actions {
 public:
  explicit RandomDrive(std::uint64_t seed) : draws_(gaugecart::Mix(seed)), module_(seed, *this) {}

  Findings Run() {
    Reshape();
    Relist();
    for (int i = 0; i < 400; ++i) Step();
    EndAll();
    for (const auto& [id, call] : calls_) {
      if (!call.over) Note("a call was never answered");
    }
    return findings_;
  }

 private:
  struct Known {
    Call call;
    std::map<std::uint32_t, std::string> out;
    std::uint32_t attempts = 0;
    int sends = 0;  // That reached an endpoint, or may have.
    bool may_have_run = false;
    bool over = false;
    std::set<std::string> turned_away;
  };

  void Send(CallId id, std::uint32_t attempt, const std::string& endpoint) override {
    Known& known = calls_[id];
    if (known.over) Note("sent after its end");
    if (!known.out.empty()) Note("two attempts at a time");
    if (attempt != known.attempts) Note("attempts are not numbered in order");
    if (known.may_have_run && !known.call.repeatable) Note("sent again though it may have run");
    if (known.sends >= known.call.max_attempts) Note("sent to more than max_attempts");
    if (now_ >= known.call.deadline) Note("sent after it was due");
    if (!usable_.contains(endpoint)) Note("sent to one that drains or is gone");
    if (known.turned_away.contains(endpoint)) Note("sent again to one that turned it away");
    ++known.attempts;
    ++known.sends;
    known.out[attempt] = endpoint;
  }
  void Refuse(CallId id, Micros retry_after) override {
    if (retry_after < 0) Note("negative advice");
    if (calls_[id].may_have_run) Note("refused though it may have run");
    Close(id);
  }
  void Fail(CallId id) override {
    if (!calls_[id].may_have_run) Note("failed though it never ran");
    Close(id);
  }
  void SetTimer(Micros at) override {
    if (at < now_) Note("a timer in the past");
    timer_ = std::min(timer_, at);
  }

  void Note(const std::string& what) { findings_.push_back(what); }
  void Close(CallId id) {
    Known& known = calls_[id];
    if (known.over) Note("answered twice");
    if (!known.out.empty()) Note("answered while an attempt is out");
    known.over = true;
  }

  std::uint64_t Below(std::uint64_t bound) { return draws_.Word() % bound; }

  void Step() {
    Pass(now_ + static_cast<Micros>(Below(30'000)));
    const std::uint64_t what = Below(20);
    if (what < 8) return Ask();
    if (what < 15) return Answer();
    if (what < 16) return Relist();
    if (what < 17) return Abandon();
    if (what < 18) return Begin();
    if (what < 19) return Report();
    if (Below(5) == 0) Reshape();
  }

  void Pass(Micros until) {
    while (timer_ <= until) {
      now_ = timer_;
      timer_ = kNever;
      module_.OnTimer(now_);
    }
    now_ = until;
  }

  void Reshape() {
    ModuleConfig config;
    config.node = "edge-1";
    config.levels = 1 + static_cast<std::uint32_t>(Below(4));
    config.sidecars = 1 + static_cast<std::uint32_t>(Below(30));
    config.max_pending_calls = 4 + Below(40);
    module_.OnConfig(now_, config);
  }

  void Relist() {
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

  void Ask() {
    Known known;
    known.call.id = ++last_;
    known.call.service = Below(20) == 0 ? "unknown" : "model";
    known.call.level = static_cast<std::uint32_t>(Below(5));
    known.call.flow = Below(6);
    known.call.timeout = static_cast<Micros>(Below(4) * 1'000'000);
    known.call.objective = static_cast<Micros>(Below(2) * 300'000);
    if (Below(4) > 0) known.call.deadline = now_ + static_cast<Micros>(Below(3'000'000));
    known.call.max_attempts = 1 + static_cast<int>(Below(3));
    known.call.repeatable = Below(2) == 0;
    known.call.prompt = {{Below(4), 300}, {100 + Below(10), 500}, {1000 + last_, 200}};
    known.call.prompt_tokens = 1000;
    known.call.output_tokens = static_cast<std::uint32_t>(Below(100));
    calls_[known.call.id] = known;
    module_.OnCall(now_, known.call);
  }

  std::optional<CallId> AnyOut() {
    std::vector<CallId> out;
    for (const auto& [id, known] : calls_) {
      if (!known.out.empty()) out.push_back(id);
    }
    if (out.empty()) return std::nullopt;
    return out[Below(out.size())];
  }

  void Answer() {
    const auto id = AnyOut();
    if (!id) return;
    constexpr Outcome kOutcomes[] = {
        Outcome::kSuccess,   Outcome::kNotRun,    Outcome::kMisdirected,
        Outcome::kNeverSent, Outcome::kError,     Outcome::kReset,
        Outcome::kTimeout,   Outcome::kTruncated, Outcome::kCancelled};
    Tell(*id, kOutcomes[Below(std::size(kOutcomes))], Below(6) > 0);
  }

  void Tell(CallId id, Outcome outcome, bool again) {
    Known& known = calls_[id];
    const auto [attempt, endpoint] = *known.out.begin();
    known.out.clear();
    const bool unrun = outcome == Outcome::kNotRun || outcome == Outcome::kMisdirected ||
                       outcome == Outcome::kNeverSent;
    if (!unrun) known.may_have_run = true;
    if (outcome == Outcome::kNeverSent || outcome == Outcome::kMisdirected) --known.sends;
    if (outcome == Outcome::kNotRun) known.turned_away.insert(endpoint);
    if (outcome == Outcome::kSuccess) again = false;
    if (!again) known.over = true;
    module_.OnOutcome(now_, id, attempt, outcome, again);
  }

  void Begin() {
    const auto id = AnyOut();
    if (!id) return;
    const std::uint32_t attempt = calls_[*id].out.begin()->first;
    module_.OnFirstEvent(now_, *id, attempt);
    module_.OnProgress(now_, *id, attempt, static_cast<std::uint32_t>(Below(50)));
  }

  void Abandon() {
    if (calls_.empty()) return;
    const CallId id = 1 + Below(last_);
    Known& known = calls_[id];
    known.out.clear();
    known.over = true;
    module_.OnAbandoned(now_, id);
  }

  void Report() {
    const std::string endpoint = "e" + std::to_string(Below(12));
    module_.OnLoad(now_, endpoint, static_cast<std::uint32_t>(Below(20)),
                   static_cast<std::uint32_t>(Below(5)), static_cast<std::uint32_t>(Below(9)));
  }

  void EndAll() {
    // What waits may be sent once others are over, or when a timer rings.
    for (int i = 0; i < 10'000; ++i) {
      const auto id = AnyOut();
      if (id) {
        Tell(*id, Outcome::kSuccess, false);
      } else if (timer_ != kNever) {
        Pass(timer_);
      } else {
        break;
      }
    }
    if (timer_ != kNever) Note("a timer is left though nothing waits");
  }

  gaugecart::Draws draws_;
  Micros now_ = 0;
  Micros timer_ = kNever;
  std::map<CallId, Known> calls_;
  CallId last_ = 0;
  std::set<std::string> usable_;
  Findings findings_;
  Module module_;
};

}  // namespace

Findings Lawful(std::uint64_t seed) { return RandomDrive(seed).Run(); }

const std::vector<Scenario>& AllScenarios() {
  static const std::vector<Scenario> all = {
      {"quiet", Quiet, 30},
      {"isolation", Isolation, 10},
      {"pools keep apart", PoolsKeepApart, 20},
      {"stuck seats", StuckSeats, 20},
      {"fair tenants", FairTenants, 10},
      {"no herd", NoHerd, 10},
      {"one dark", OneDark, 20},
      {"dark owner", DarkOwner, 20},
      {"one failing", OneFailing, 20},
      {"one unreachable", OneUnreachable, 20},
      {"one slow", OneSlow, 20},
      {"release", Release, 20},
      {"all dark", AllDark, 20},
      {"all full", AllFull, 20},
      {"batch yields", BatchYields, 10},
      {"fleet finishes batch", FleetFinishesBatch, 2},
      {"large fleet finishes batch", LargeFleetFinishesBatch, 1},
      {"stickiness", Stickiness, 20},
      {"hot prefix", HotPrefix, 10},
      {"nobody starves", NobodyStarves, 20},
      {"long answers", LongAnswers, 10},
      {"subset grows", SubsetGrows, 5},
      {"lawful", Lawful, 3000},
  };
  return all;
}

}  // namespace shelflink::policy::testing
