// Whole fleets on the virtual network: members, owners and maintenance in turn over the store that
// stands in, with the same door and the same wire as in the program, and faults between all of them
// drawn from seeds. A checker that knows only the promise reads what each has told.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "fleet/fleet.h"
#include "fleet/world.h"

namespace fleet {
namespace {

TEST(Fleet, AllAreMembersAndOneOwns) {
  World w(1, 5);
  ASSERT_TRUE(w.Until([&] { return w.AllKnow(5) && w.Owners() == 1; }, seconds(10)));
  const Json status = Json::parse(w.members[3]->fleet()->Status());
  EXPECT_EQ(status["members"].size(), 5U);
  EXPECT_EQ(status["members"][2]["name"], "n2");
  EXPECT_EQ(status["owner"]["name"].get<std::string>().substr(0, 2), w.Owner()->name());
  w.members[4]->Leave();
  EXPECT_TRUE(w.Until([&] { return w.members[0]->fleet()->counts().leaves == 1; }, seconds(2)));
  EXPECT_TRUE(w.Until([&] { return w.AllKnow(5); }, seconds(10)));
}

TEST(Fleet, HandsOverAtOnceWhenItsOwnerLeavesAndWithinTheLeaseWhenItDies) {
  World w(2, 5);
  ASSERT_TRUE(w.Until([&] { return w.Owners() == 1; }, seconds(10)));
  Program* first = w.Owner();
  const net::Time left = w.net.Now();
  first->Leave();
  ASSERT_TRUE(w.Until([&] { return w.Owner() != nullptr && w.Owner() != first; }, seconds(5)));
  EXPECT_LE(w.net.Now() - left, milliseconds(200));
  Program* second = w.Owner();
  const net::Time died = w.net.Now();
  second->Kill();
  ASSERT_TRUE(w.Until([&] { return w.Owner() != nullptr; }, seconds(10)));
  EXPECT_LE(w.net.Now() - died, milliseconds(kTtl / 1000 + 500));
}

// One that stood still for three times its lease finds out by its own clock, before it acts.
TEST(Fleet, AnOwnerThatWakesLateHasStoppedBeforeItActs) {
  World w(3, 5);
  ASSERT_TRUE(w.Until([&] { return w.AllKnow(5) && w.Owners() == 1; }, seconds(10)));
  Program* first = w.Owner();
  ASSERT_EQ(w.Begin(R"({"what":"drain"})").status, 200);
  ASSERT_TRUE(w.Until([&] { return CountOf(w.history, "act") > 0; }, seconds(5)));
  first->process().SetPaused(true);
  w.Pass(std::chrono::microseconds(3 * kTtl));
  first->process().StepWall(-3'600'000'000);
  first->process().SetPaused(false);
  ASSERT_TRUE(w.Until([&] { return w.OrderState() == "done"; }, seconds(60)));
  EXPECT_EQ(Broken(w.history, 1), "");
  EXPECT_EQ(CountOf(w.history, "out"), 5U);
  EXPECT_GE(CountOf(w.history, "won"), 2U);
}

TEST(Fleet, WithTheStoreGoneForAMinuteNobodyOwnsAndThenSomebodyDoes) {
  World w(4, 5);
  ASSERT_TRUE(w.Until([&] { return w.AllKnow(5) && w.Owners() == 1; }, seconds(10)));
  ASSERT_EQ(w.Begin(R"({"what":"restart","at_once":2})").status, 200);
  ASSERT_TRUE(w.Until([&] { return CountOf(w.history, "out") > 0; }, seconds(5)));
  w.KillStore();
  w.Pass(std::chrono::microseconds(kTtl));
  EXPECT_EQ(w.Owners(), 0U);
  w.Pass(seconds(60));
  EXPECT_EQ(w.Owners(), 0U);
  w.StartStore();
  ASSERT_TRUE(w.Until([&] { return w.OrderState() == "done"; }, seconds(60)));
  EXPECT_EQ(Broken(w.history, 2), "");
  EXPECT_EQ(CountOf(w.history, "out"), 5U);
}

TEST(Fleet, OfTwoProcessesWithOneNameOneIsTheMember) {
  World w(5, 3);
  ASSERT_TRUE(w.Until([&] { return w.AllKnow(3); }, seconds(10)));
  fleet::Setup setup;
  setup.fleet = "f";
  setup.ttl = kTtl;
  setup.self = {"n1", "10.0.0.1:80", "10.0.9.9:9100", "tier 0", "1", "other"};
  net::VirtualProcess other(w.net, 0x0a000909, "other", 64);
  kelpspring::Log log(other, [](std::string_view) {});
  {
    Fleet second(other, log, setup, StoreFor(other), Hands());
    w.Pass(seconds(10));
    EXPECT_EQ(second.counts().members, 3U);
    const Json status = Json::parse(second.Status());
    EXPECT_EQ(status["members"][1]["door"], w.members[1]->door().Text());
    // The first has gone for good: then the other is.
    w.members[1]->Kill();
    w.Pass(seconds(10));
    EXPECT_EQ(Json::parse(second.Status())["members"][1]["door"], "10.0.9.9:9100");
  }
  w.Pass(seconds(1));
}

TEST(Fleet, AnOrderIsPausedCalledOffAndStopsByItself) {
  World w(6, 4);
  ASSERT_TRUE(w.Until([&] { return w.AllKnow(4) && w.Owners() == 1; }, seconds(10)));
  EXPECT_EQ(w.Ask([](Fleet& f, Answered a) { f.Change(maintenance::State::kPaused, a); }).status,
            409);
  ASSERT_EQ(w.Begin(R"({"what":"drain","back_within_s":5})").status, 200);
  EXPECT_EQ(w.Begin(R"({"what":"drain"})").status, 409);
  ASSERT_TRUE(w.Until([&] { return CountOf(w.history, "out") == 1; }, seconds(5)));
  EXPECT_EQ(w.Ask([](Fleet& f, Answered a) { f.Change(maintenance::State::kPaused, a); }).status,
            200);
  w.Pass(seconds(20));
  EXPECT_EQ(CountOf(w.history, "back"), 1U);
  EXPECT_EQ(CountOf(w.history, "out"), 1U);
  EXPECT_EQ(w.OrderState(), "paused");
  EXPECT_EQ(w.Ask([](Fleet& f, Answered a) { f.Change(maintenance::State::kRunning, a); }).status,
            200);
  ASSERT_TRUE(w.Until([&] { return w.OrderState() == "done"; }, seconds(30)));
  ASSERT_EQ(w.Begin(R"({"what":"drain","back_within_s":5})").status, 200);
  ASSERT_TRUE(w.Until([&] { return CountOf(w.history, "out") == 5; }, seconds(5)));
  EXPECT_EQ(w.Ask([](Fleet& f, Answered a) { f.Change(maintenance::State::kOff, a); }).status, 200);
  w.Pass(seconds(10));
  EXPECT_EQ(CountOf(w.history, "back"), 5U);
  EXPECT_EQ(CountOf(w.history, "out"), 5U);
  for (const auto& m : w.members) EXPECT_FALSE(m->drained());
  // One that does not come back.
  ASSERT_EQ(w.Begin(R"({"what":"drain","back_within_s":5})").status, 200);
  ASSERT_TRUE(w.Until([&] { return CountOf(w.history, "out") == 6; }, seconds(5)));
  for (const auto& m : w.members) {
    if (m->drained()) m->Kill();
  }
  ASSERT_TRUE(w.Until([&] { return w.OrderState() == "stopped"; }, seconds(15)));
  EXPECT_EQ(CountOf(w.history, "out"), 6U);
}

// A member's record, an order or a part that nobody can read: nobody acts on it.
TEST(Fleet, RubbishInTheStoreIsLeftAlone) {
  World w(7, 3);
  ASSERT_TRUE(w.Until([&] { return w.AllKnow(3) && w.Owners() == 1; }, seconds(10)));
  net::VirtualProcess other(w.net, 0x0a000909, "other", 64);
  coordination::HttpStore store(other, {{StoreAt()}, 1'000'000, 30'000'000, nullptr});
  coordination::Txn txn;
  for (const char* key : {"order", "members/x", "parts/o1/n0", "work"}) {
    txn.then.push_back({coordination::Operation::What::kPut,
                        {std::string("/shelflink/f/") + key},
                        std::string("\xff{", 2)});
  }
  store.Commit(txn, [](const auto& answer) { EXPECT_TRUE(answer.done()); });
  w.Pass(seconds(5));
  EXPECT_EQ(w.Owners(), 1U);
  EXPECT_EQ(CountOf(w.history, "act"), 0U);
  EXPECT_NE(w.members[0]->fleet()->Status().find("\"x\""), std::string::npos);
  // An order may take its place.
  ASSERT_EQ(w.Begin(R"({"what":"drain","members":["n0"]})").status, 200);
  EXPECT_TRUE(w.Until([&] { return w.OrderState() == "done"; }, seconds(20)));
}

// What a fleet costs the store: each member renews its record's lease three times within it, and
// the owner the one of its work; nobody else asks anything but for a look now and then.
double CallsPerSecond(std::size_t members, int span) {
  World w(9, static_cast<std::uint32_t>(members));
  EXPECT_TRUE(w.Until([&] { return w.AllKnow(members) && w.Owners() == 1; }, seconds(20)));
  w.Pass(seconds(2 * kTtl / 1'000'000));  // Leases of those that did not win have run out.
  const std::uint64_t before = w.stand_in->calls();
  w.Pass(seconds(span));
  EXPECT_EQ(w.Owners(), 1U);
  return static_cast<double>(w.stand_in->calls() - before) / span;
}

TEST(Fleet, AtRestAMemberCostsTheStoreOneRenewalInAThirdOfItsLease) {
  constexpr double kRenewals = 3e6 / kTtl;
  for (const std::size_t members : {10U, 40U}) {
    const double calls = CallsPerSecond(members, 30);
    EXPECT_LT(calls, 1.25 * kRenewals * static_cast<double>(members + 1)) << members;
    RecordProperty("calls_" + std::to_string(members), std::to_string(calls));
  }
  // For measurements: FLEET_SIZE=1000.
  if (const char* size = std::getenv("FLEET_SIZE")) {
    RecordProperty("calls_" + std::string(size),
                   std::to_string(CallsPerSecond(std::strtoull(size, nullptr, 10), 30)));
  }
}

TEST(Fleet, AHundredCandidatesDoNotRush) {
  World w(8, 100);
  ASSERT_TRUE(w.Until([&] { return w.AllKnow(100) && w.Owners() == 1; }, seconds(20)));
  w.Pass(seconds(5));
  w.Owner()->Kill();
  w.Pass(std::chrono::microseconds(kTtl - 500'000));
  const std::uint64_t before = w.stand_in->calls();
  const net::Time from = w.net.Now();
  ASSERT_TRUE(w.Until([&] { return w.Owners() == 1; }, seconds(5)));
  w.Pass(seconds(1));
  const auto span = static_cast<double>((w.net.Now() - from).count()) / 1e9;
  const auto calls = static_cast<double>(w.stand_in->calls() - before);
  // Beside the renewals each looks at the key's end, and again at who has it; some take a lease and
  // claim.
  EXPECT_LT(calls, 99 * 1.25 * span + 99 * 4) << span;
  EXPECT_EQ(Broken(w.history, 1), "");
}

TEST(FleetSeeds, WhateverBefallsThemNoLateOwnerIsObeyedAndEachIsOutOnce) {
  const char* from = std::getenv("FLEET_SEEDS_FROM");
  const char* count = std::getenv("FLEET_SEEDS");
  const std::uint64_t first = from == nullptr ? 1 : std::strtoull(from, nullptr, 10);
  const std::uint64_t seeds = count == nullptr ? 60 : std::strtoull(count, nullptr, 10);
  std::size_t wrong = 0;
  for (std::uint64_t seed = first; seed < first + seeds && wrong < 5; ++seed) {
    const std::string broken = PlaySeed(seed);
    wrong += broken.empty() ? 0 : 1;
    EXPECT_EQ(broken, "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace fleet
