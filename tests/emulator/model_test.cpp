// The fleet, the catalog, the incident script and the callers, all on virtual time.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <sstream>
#include <string>

#include "emulator/catalog.h"
#include "emulator/connections.h"
#include "emulator/fleet.h"
#include "emulator/incident.h"
#include "emulator/load.h"

namespace shelflab {
namespace {

FleetSpec TwoTiers() {
  FleetSpec fleet;
  ClassSpec safe;
  safe.name = "look";
  safe.repeat = Repeat::kIdempotent;
  safe.work = {Shape::kUniform, 8000, 12'000};
  safe.give_up = 2 * kSecond;
  ClassSpec never = safe;
  never.name = "post";
  never.repeat = Repeat::kAtMostOnce;
  fleet.classes = {safe, never};
  fleet.tenants = {{"a", 3, 0}, {"b", 1, 0}};
  TierSpec front;
  front.name = "front";
  front.nodes = 4;
  front.calls = 1.5;
  front.work_share = 0.4;
  TierSpec store;
  store.name = "store";
  store.nodes = 10;
  store.work_share = 0.6;
  store.kinds = {{"fast", 1, 2, 3}, {"slow", 1, 0.5, 1}};
  fleet.tiers = {front, store};
  return fleet;
}

// Plays requests at the first tier; calls go to the store's nodes in turn. The whole history, as
// text.
std::string Play(std::uint64_t seed, const std::vector<Step>& steps) {
  const FleetSpec spec = TwoTiers();
  Fleet fleet(spec, seed);
  LoadSpec load;
  load.phases = {{5 * kSecond, 200, 200}};
  Arrivals arrivals(load, spec, seed);
  std::ostringstream history;
  std::uint64_t next_id = 0;
  std::map<std::uint64_t, std::uint64_t> parent;  // Attempt at the store, attempt at the front.
  std::size_t step = 0;
  NodeId turn = 0;
  const std::function<void()> settle = [&] {
    for (const FleetEffect& e : fleet.TakeEffects()) {
      history << e.at << ' ' << static_cast<int>(e.kind) << ' ' << static_cast<int>(e.answer) << ' '
              << e.attempt << ' ' << e.node << '\n';
      if (e.kind == FleetEffect::Kind::kCall) {
        const Attempt call{++next_id, 4 + turn++ % 10, e.cls, e.due, false};
        parent[call.id] = e.attempt;
        fleet.OnAttempt(e.at, call);
        settle();
      }
      const auto p = parent.find(e.attempt);
      if (e.kind == FleetEffect::Kind::kAnswer && p != parent.end()) {
        fleet.CallDone(e.at, p->second, e.answer == FleetEffect::Answer::kOk);
        settle();
      }
    }
  };
  const auto run_to = [&](Micros until) {
    for (;;) {
      Micros next = fleet.Next();
      if (step < steps.size()) next = std::min(next, steps[step].at);
      if (next > until || next == kNever) return;
      if (step < steps.size() && steps[step].at == next) {
        fleet.Apply(next, steps[step++]);
      } else {
        fleet.Advance(next);
      }
      settle();
    }
  };
  while (const auto a = arrivals.Next()) {
    run_to(a->at);
    fleet.OnAttempt(a->at, {++next_id, turn++ % 4, a->cls, a->at + 2 * kSecond, false});
    settle();
  }
  run_to(60 * kSecond);
  return history.str();
}

std::vector<Incident> Everything() {
  std::vector<Incident> script;
  for (const std::string& word : TroubleWords()) {
    Incident i;
    i.trouble = *TroubleOf(word);
    i.at = static_cast<Micros>(script.size()) * 200'000;
    i.lasts = 400'000;
    i.share = 0.3;
    const bool share = i.trouble == Trouble::kFastErrors || i.trouble == Trouble::kResets ||
                       i.trouble == Trouble::kHalfAnswers;
    i.size = share ? 0.5 : 3;
    i.drain = i.down = 100'000;
    script.push_back(i);
  }
  return script;
}

TEST(History, IsTheSameForTheSameSeedAndAnotherForAnother) {
  const std::vector<Step> steps = Compile(Everything(), TwoTiers(), 7);
  const std::string once = Play(7, steps);
  EXPECT_GT(once.size(), 20'000U);
  EXPECT_EQ(once, Play(7, steps));
  EXPECT_NE(once, Play(8, steps));
}

TEST(History, EveryAttemptIsAnsweredOnceUnlessItsNodeDied) {
  std::istringstream history(Play(3, {}));
  std::map<std::uint64_t, int> answers;
  Micros last = 0;
  for (std::int64_t at = 0, kind = 0, answer = 0, attempt = 0, node = 0;
       history >> at >> kind >> answer >> attempt >> node;) {
    EXPECT_GE(at, last);
    last = at;
    if (kind == static_cast<int>(FleetEffect::Kind::kAnswer)) {
      ++answers[static_cast<std::uint64_t>(attempt)];
    }
  }
  EXPECT_GT(answers.size(), 2000U);
  for (const auto& [attempt, count] : answers) EXPECT_EQ(count, 1) << attempt;
}

TEST(FleetTest, KindsAreDealtByTheirShares) {
  const Fleet fleet(TwoTiers(), 1);
  int fast = 0;
  for (NodeId n = 4; n < 14; ++n) {
    const bool is_fast = fleet.kind(n) == "fast";
    fast += is_fast ? 1 : 0;
    EXPECT_GE(fleet.speed(n), is_fast ? 2 : 0.5);
    EXPECT_LE(fleet.speed(n), is_fast ? 3 : 1);
  }
  EXPECT_EQ(fast, 5);
}

TEST(FleetTest, ADeadNodeAnswersNothingAndStartsCold) {
  FleetSpec spec = TwoTiers();
  spec.tiers[1].server.cold_share = 0.1;
  spec.tiers[1].server.warm_up = 10 * kSecond;
  Fleet fleet(spec, 1);
  fleet.OnAttempt(0, {1, 5, 0, kNever, false});
  fleet.Apply(100, {100, Step::Kind::kNodeDie, 5, 0, 0});
  fleet.Apply(200, {200, Step::Kind::kNodeStart, 5, 0, 0});
  fleet.Advance(60 * kSecond);
  const auto effects = fleet.TakeEffects();
  ASSERT_EQ(effects.size(), 2U);
  EXPECT_EQ(effects[0].kind, FleetEffect::Kind::kDied);
  EXPECT_EQ(effects[1].kind, FleetEffect::Kind::kStarted);
  EXPECT_EQ(fleet.View(5).started, 200);
  EXPECT_EQ(fleet.View(5).failed, 1U);
}

TEST(FleetTest, WhatIsOverOrDrainingIsTurnedAway) {
  Fleet fleet(TwoTiers(), 1);
  fleet.OnAttempt(100, {1, 5, 0, 100, false});
  fleet.Apply(200, {200, Step::Kind::kNodeDrain, 6, 0, 1});
  fleet.OnAttempt(300, {2, 6, 0, kNever, false});
  for (const FleetEffect& e : fleet.TakeEffects()) {
    EXPECT_EQ(e.answer, FleetEffect::Answer::kTurnedAway);
  }
  EXPECT_EQ(fleet.View(5).turned_away + fleet.View(6).turned_away, 2U);
}

// ---- The incident script ----

TEST(Script, ASharePicksTheSameNodesForTheSameSeed) {
  Incident slow;
  slow.tier = "store";
  slow.share = 0.3;
  slow.size = 4;
  slow.at = kSecond;
  slow.lasts = kSecond;
  const auto pick = [&](std::uint64_t seed) {
    std::string nodes;
    for (const Step& s : Compile({slow}, TwoTiers(), seed)) nodes += std::to_string(s.node) + " ";
    return nodes;
  };
  EXPECT_EQ(Compile({slow}, TwoTiers(), 1).size(), 6U) << "three nodes, on and off";
  EXPECT_EQ(pick(1), pick(1));
  EXPECT_NE(pick(1), pick(2));
}

TEST(Script, ARollingRestartTakesOneNodeAtATime) {
  Incident rolling;
  rolling.trouble = Trouble::kRollingRestart;
  rolling.drain = 2 * kSecond;
  rolling.down = kSecond;
  int down = 0;
  for (const Step& s : Compile({rolling}, TwoTiers(), 1)) {
    if (s.kind == Step::Kind::kNodeDrain) ++down;
    if (s.kind == Step::Kind::kNodeStart) --down;
    EXPECT_LE(down, 1);
    EXPECT_LT(s.node, 4U) << "the first tier, where none is named";
  }
  EXPECT_EQ(down, 0);
}

TEST(Script, WhatTheFleetCannotHaveIsToldByNumberAndKey) {
  const auto error = [](const Incident& i) -> std::string {
    try {
      Compile({i}, TwoTiers(), 1);
    } catch (const BadIncident& e) {
      return e.what();
    }
    return "";
  };
  Incident i;
  i.size = 0.5;
  EXPECT_EQ(error(i), "incident 1: size: expected at least 1 for slow");
  i.size = 2;
  i.tier = "nowhere";
  EXPECT_EQ(error(i), "incident 1: tier: the fleet has none named 'nowhere'");
  i.tier.reset();
  i.nodes = {"store-99"};
  EXPECT_EQ(error(i), "incident 1: nodes: the fleet has none named 'store-99'");
  i.trouble = Trouble::kResets;
  EXPECT_EQ(error(i), "incident 1: size: expected a share above 0, up to 1, for resets");
}

// ---- Discovery ----

class CatalogTest : public ::testing::Test {
 protected:
  CatalogTest() : catalog_(Spec(), 1) {
    catalog_.List(0, {{0, Health::kServing, 0}, {1, Health::kServing, 0}});
  }
  static DiscoverySpec Spec() { return {kSecond, 1000, 100'000}; }
  CatalogCall Watch(std::uint64_t id, std::int64_t after) { return {id, 0, after, 20 * kSecond}; }
  std::vector<CatalogAnswer> Until(Micros now) {
    catalog_.Advance(now);
    return catalog_.TakeAnswers();
  }
  Catalog catalog_;
};

TEST_F(CatalogTest, AWatchWaitsForTheNewsAndGetsOnlyThat) {
  catalog_.OnCall(0, Watch(1, 1));
  EXPECT_TRUE(Until(kSecond).empty());
  catalog_.OnFact(kSecond, 0, {1, Health::kDraining, 0});
  EXPECT_TRUE(Until(2 * kSecond - 1).empty()) << "news is late";
  const auto answers = Until(3 * kSecond);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].at, 2 * kSecond + 1000);
  EXPECT_EQ(answers[0].seq, 2);
  EXPECT_FALSE(answers[0].whole);
  ASSERT_EQ(answers[0].rows.size(), 1U);
  EXPECT_EQ(answers[0].rows[0].health, Health::kDraining);
}

TEST_F(CatalogTest, AWatchWithoutNewsEndsEmptyAfterItsTime) {
  catalog_.OnCall(0, Watch(1, 1));
  const auto answers = Until(30 * kSecond);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].at, 20 * kSecond);
  EXPECT_TRUE(answers[0].rows.empty());
  EXPECT_FALSE(answers[0].whole);
}

TEST_F(CatalogTest, CallsAreHandledInTurnAndFailWhenTheyWaitedTooLong) {
  for (std::uint64_t id = 1; id <= 200; ++id) catalog_.OnCall(0, {id, 0, std::nullopt, 0});
  int failed = 0;
  Micros last = 0;
  for (const CatalogAnswer& a : Until(kSecond)) {
    failed += a.ok ? 0 : 1;
    EXPECT_EQ(a.at, a.ok ? last += 1000 : 100'000);
  }
  EXPECT_EQ(failed, 99);
}

TEST_F(CatalogTest, OneThatFellBehindAcrossLivesGetsTheWholeList) {
  catalog_.OnFact(0, 0, {1, Health::kDeleted, 0});
  Until(2 * kSecond);
  catalog_.OnCall(2 * kSecond, Watch(1, 99));
  const auto answers = Until(3 * kSecond);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers[0].whole);
  ASSERT_EQ(answers[0].rows.size(), 1U);
  EXPECT_EQ(answers[0].rows[0].node, 0U);
}

TEST_F(CatalogTest, BusyRefusesAndDownSaysNothing) {
  catalog_.SetBusy(true);
  catalog_.OnCall(0, {1, 0, std::nullopt, 0});
  auto answers = Until(1000);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_FALSE(answers[0].ok);
  catalog_.SetBusy(false);
  catalog_.OnCall(2000, Watch(2, 1));
  catalog_.SetDown(true);
  catalog_.OnCall(3000, {3, 0, std::nullopt, 0});
  EXPECT_TRUE(Until(60 * kSecond).empty());
}

// ---- Connections ----

using Verdict = Connections::Verdict;

TEST(ConnectionsTest, TheFirstRequestCostsAHandshakeTheNextDoesNot) {
  Connections table(10, 0);
  table.Opened(0, 1);
  EXPECT_EQ(table.OnRequest(1), Verdict::kFirst);
  table.OnAnswered(5, 1);
  EXPECT_EQ(table.OnRequest(1), Verdict::kServe);
  EXPECT_EQ(table.OnRequest(9), Verdict::kTurnAway) << "unknown";
  EXPECT_EQ(table.Next(), kNever) << "nothing is closed for standing idle";
}

TEST(ConnectionsTest, MoreThanTheCapAreTurnedAwayUntilOneLeaves) {
  Connections table(2, 0);
  for (ConnectionId id = 1; id <= 3; ++id) table.Opened(0, id);
  EXPECT_EQ(table.OnRequest(3), Verdict::kTurnAway);
  table.Closed(1);
  EXPECT_EQ(table.OnRequest(3), Verdict::kFirst);
}

TEST(ConnectionsTest, OnlyWhatStandsIdleForItsTimeIsClosed) {
  Connections table(10, kSecond);
  table.Opened(0, 1);
  table.Opened(0, 2);
  table.OnRequest(2);
  EXPECT_EQ(table.Next(), kSecond);
  EXPECT_EQ(table.Expire(kSecond), std::vector<ConnectionId>{1});
  EXPECT_EQ(table.Next(), kNever) << "the other is busy";
  table.OnAnswered(5 * kSecond, 2);
  EXPECT_TRUE(table.Expire(6 * kSecond - 1).empty());
  EXPECT_EQ(table.Expire(6 * kSecond), std::vector<ConnectionId>{2});
  EXPECT_EQ(table.size(), 0U);
}

TEST(ConnectionsTest, DeadOnesSayItWithTheNextRequest) {
  Connections table(10, 0);
  table.Opened(0, 1);
  table.Opened(0, 2);
  table.OnRequest(2);
  table.KillIdle();
  EXPECT_EQ(table.OnRequest(1), Verdict::kReset);
  table.OnAnswered(1, 2);
  EXPECT_EQ(table.OnRequest(2), Verdict::kServe) << "it was not idle";
}

// ---- Callers ----

TEST(ArrivalsTest, FollowTheRateAndTheShares) {
  LoadSpec load;
  load.phases = {{10 * kSecond, 0, 1000}, {10 * kSecond, 1000, 1000}};
  load.bursts = {{15 * kSecond, 2 * kSecond, 2, 0}};
  Arrivals arrivals(load, TwoTiers(), 5);
  std::map<Micros, int> seconds;
  int first_tenant = 0;
  int all = 0;
  Micros last = 0;
  while (const auto a = arrivals.Next()) {
    EXPECT_GE(a->at, last);
    last = a->at;
    ++seconds[a->at / kSecond];
    first_tenant += a->tenant == 0 ? 1 : 0;
    ++all;
  }
  EXPECT_NEAR(seconds[0], 50, 30);
  EXPECT_NEAR(seconds[12], 1000, 130);
  EXPECT_NEAR(seconds[15], 2000, 180);
  EXPECT_NEAR(seconds[16], 2000, 180);
  EXPECT_NEAR(static_cast<double>(first_tenant) / all, 0.75, 0.02);
}

TEST(ArrivalsTest, EvenOnesAreEvenlySpaced) {
  LoadSpec load;
  load.even = true;
  load.phases = {{kSecond, 250, 250}};
  Arrivals arrivals(load, TwoTiers(), 5);
  Micros expected = 0;
  while (const auto a = arrivals.Next()) EXPECT_EQ(a->at, expected += 4000);
  EXPECT_EQ(expected, 996'000);
}

TEST(ArrivalsTest, ATraceIsPlayedWindowByWindow) {
  LoadSpec load;
  load.trace = TraceSpec{kSecond, {{10, 0}, {0, 0}, {3, 7}}};
  Arrivals arrivals(load, TwoTiers(), 5);
  std::map<std::pair<Micros, std::uint32_t>, int> counts;
  while (const auto a = arrivals.Next()) ++counts[{a->at / kSecond, a->cls}];
  EXPECT_EQ(counts, (std::map<std::pair<Micros, std::uint32_t>, int>{
                        {{0, 0}, 10}, {{2, 0}, 3}, {{2, 1}, 7}}));
}

class Habits : public ::testing::Test {
 protected:
  Habits() : random_(1), habits_(Spec(), random_) {}
  static ClientSpec Spec() {
    ClientSpec spec;
    spec.pause_low = spec.pause_high = 0;
    spec.give_up_low = spec.give_up_high = 0.5;
    return spec;
  }
  FleetSpec fleet_ = TwoTiers();
  Random random_;
  ClientHabits habits_;
};

TEST_F(Habits, ATryIsGivenUpAfterItsShareOfTheTime) {
  EXPECT_EQ(habits_.Patience(fleet_.classes[0], 2 * kSecond), kSecond);
  EXPECT_EQ(habits_.Patience(fleet_.classes[0], 50'000), 50'000);
}

TEST_F(Habits, OnlyWhatIsSafeIsTriedAgainAfterAFailure) {
  for (const TryEnd end : {TryEnd::kFailed, TryEnd::kTimedOut}) {
    EXPECT_TRUE(habits_.Retry(fleet_.classes[0], end, 1, kSecond, 0));
    EXPECT_FALSE(habits_.Retry(fleet_.classes[1], end, 1, kSecond, 0));
  }
  for (const TryEnd end : {TryEnd::kRefused, TryEnd::kUnreached}) {
    EXPECT_TRUE(habits_.Retry(fleet_.classes[1], end, 1, kSecond, 0));
  }
  EXPECT_FALSE(habits_.Retry(fleet_.classes[0], TryEnd::kServed, 1, kSecond, 0));
  EXPECT_TRUE(habits_.Retry(fleet_.classes[0], TryEnd::kRefused, 3, kSecond, 0));
  EXPECT_FALSE(habits_.Retry(fleet_.classes[0], TryEnd::kRefused, 4, kSecond, 0));
}

TEST_F(Habits, AdviceIsHeededUpToItsLimit) {
  EXPECT_EQ(habits_.Retry(fleet_.classes[0], TryEnd::kRefused, 1, 9 * kSecond, kSecond), kSecond);
  EXPECT_EQ(habits_.Retry(fleet_.classes[0], TryEnd::kRefused, 1, 9 * kSecond, 60 * kSecond),
            2 * kSecond);
  EXPECT_FALSE(habits_.Retry(fleet_.classes[0], TryEnd::kRefused, 1, kSecond, kSecond));
}

}  // namespace
}  // namespace shelflab
