// Each incident on real sockets, seen by the sidecar's own endpoint side: what comes back must be
// the outcome that the protocol's table gives for it. No sleeps: time is waited for on the loop.
#include "lab/emulation.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "emulator/account.h"
#include "lab/clock.h"
#include "lab/experiment.h"
#include "lab/folder.h"
#include "lab/plan.h"
#include "net/sockets.h"
#include "sidecar/upstream.h"

namespace shelflab {
namespace {

using gaugecart::OutcomeCode;
using std::chrono::milliseconds;

const char kFleet[] = R"(
[[class]]
name = "look"
work_ms = 5
aim = 1.0
give_up = 4.0
repeat = "safe"
[[tier]]
name = "store"
nodes = 2
slots = 1
waiting_room = 1
cold_share = 0.5
warm_up = 5
[discovery]
lateness = 0.05
)";

// Long messages are not played here.
struct Nobody : kelpspring::AttemptUser {
  bool OnUp(kelpspring::AttemptKey) override { return true; }
  void OnWhole(kelpspring::AttemptKey) override {}
  void OnWantsMore(kelpspring::AttemptKey) override {}
  bool OnAnswerBegun(kelpspring::AttemptKey, kelpspring::HttpResponse,
                     std::optional<std::uint64_t>) override {
    return false;
  }
  bool OnAnswerPart(kelpspring::AttemptKey, std::string_view) override { return true; }
};

class EmulationTest : public ::testing::Test {
 protected:
  EmulationTest() : EmulationTest(kFleet) {}
  explicit EmulationTest(const std::string& text)
      : plan_(ParsePlan(text, "test")),
        account_(plan_.fleet, 50'000, {false, true}),
        emulation_(io_, plan_, {}, [this](const Seen& s) { account_.On(s); }),
        upstream_(loop_, log_, budget_, std::chrono::seconds(60), milliseconds(300), nobody_,
                  [] { return kelpspring::kHeldBody; }) {
    budget_.limit = 1000;
    for (const NodeId node : {0U, 1U}) upstream_.SetEndpoint(node, AddressOf(node), true, 0);
  }
  ~EmulationTest() override {
    emulation_.Stop();
    io_.poll();
  }

  using Outcome = std::optional<kelpspring::Answer>;
  // Starts an attempt; its outcome is there once the loop has found it.
  std::shared_ptr<Outcome> Send(milliseconds patience = milliseconds(10'000)) {
    const std::uint64_t id = ++next_;
    auto message =
        std::make_shared<kelpspring::HttpRequest>(boost::beast::http::verb::get, "/api", 11);
    message->set("X-Txn", TxnText(id));
    message->set("X-Lane", "look");
    message->set("X-Remaining-Ms", std::to_string(patience.count()));
    auto outcome = std::make_shared<Outcome>();
    upstream_.Send({id, 0}, 0, {*message, false, std::nullopt, loop_.Now() + patience, {}, {}},
                   [outcome, message](kelpspring::Answer a) { *outcome = std::move(a); });
    return outcome;
  }
  OutcomeCode Await(const std::shared_ptr<Outcome>& outcome) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!*outcome && std::chrono::steady_clock::now() < until) {
      io_.run_one_for(milliseconds(100));
    }
    EXPECT_TRUE(*outcome) << "no outcome";
    return *outcome ? (*outcome)->code : OutcomeCode::kNeverSent;
  }
  OutcomeCode Try(milliseconds patience = milliseconds(10'000)) { return Await(Send(patience)); }
  // Lets the loop turn until that many attempts have reached the endpoints.
  void AwaitAttempts(std::uint64_t count) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (account_.attempts() < count && std::chrono::steady_clock::now() < until) {
      io_.run_one_for(milliseconds(100));
    }
    EXPECT_EQ(account_.attempts(), count);
  }
  void Do(Step::Kind kind, double size = 1) { emulation_.Carry({0, kind, 0, 0, size}); }

  boost::asio::io_context io_{1};
  Plan plan_;
  Account account_;
  Emulation emulation_;
  net::Address AddressOf(NodeId node) const {
    return net::Address::V4(0x7f000001, emulation_.NodeAddress(node).port());
  }

  net::SocketLoop loop_{io_};
  kelpspring::Log log_{loop_, kelpspring::LogToStandardError};
  kelpspring::SocketBudget budget_;
  Nobody nobody_;
  kelpspring::Upstream upstream_;
  std::uint64_t next_ = 0;
};

TEST_F(EmulationTest, AServedRequestBringsItsBody) {
  const auto outcome = Send();
  EXPECT_EQ(Await(outcome), OutcomeCode::kOk);
  EXPECT_EQ((*outcome)->message.body().size(), plan_.answer_bytes);
  EXPECT_EQ(account_.attempts(), 1U);
  EXPECT_EQ(account_.all_broken(), 0U);
}

TEST_F(EmulationTest, ASlowNodeTakesSoMuchLonger) {
  Do(Step::Kind::kNodeSlow, 20);
  const Micros before = Now();
  EXPECT_EQ(Try(), OutcomeCode::kOk);
  EXPECT_GE(Now() - before, 100'000);
}

TEST_F(EmulationTest, ASharedSlownessReachesEveryNodeOfTheTier) {
  Do(Step::Kind::kTierSlow, 20);
  EXPECT_DOUBLE_EQ(emulation_.fleet().View(0).slow, 20);
  EXPECT_DOUBLE_EQ(emulation_.fleet().View(1).slow, 20);
  const Micros before = Now();
  EXPECT_EQ(Try(), OutcomeCode::kOk);
  EXPECT_GE(Now() - before, 100'000);
}

TEST_F(EmulationTest, FastErrorsAreErrors) {
  Do(Step::Kind::kNodeErrors, 1);
  EXPECT_EQ(Try(), OutcomeCode::kError);
  Do(Step::Kind::kNodeErrors, 0);
  EXPECT_EQ(Try(), OutcomeCode::kOk);
}

TEST_F(EmulationTest, AResetComesAfterTheRequestHasRun) {
  Do(Step::Kind::kNodeResets, 1);
  EXPECT_EQ(Try(), OutcomeCode::kReset);
  EXPECT_EQ(account_.attempts(), 1U);
}

TEST_F(EmulationTest, AHalfAnswerIsAResetThatRan) {
  Do(Step::Kind::kNodeHalves, 1);
  EXPECT_EQ(Try(), OutcomeCode::kReset);
  EXPECT_EQ(account_.attempts(), 1U);
}

TEST_F(EmulationTest, ADeadIdleConnectionEndsAsAResetAndRunsNothing) {
  EXPECT_EQ(Try(), OutcomeCode::kOk);
  Do(Step::Kind::kNodeDeadIdle);
  EXPECT_EQ(Try(), OutcomeCode::kReset);
  EXPECT_EQ(account_.attempts(), 1U);
  EXPECT_EQ(Try(), OutcomeCode::kOk) << "a new connection is a good one";
}

TEST_F(EmulationTest, AStalledNodeTakesTheRequestAndSaysNothingUntilItGoesOn) {
  Do(Step::Kind::kNodeStall, 1);
  EXPECT_EQ(Try(milliseconds(200)), OutcomeCode::kTimeout);
  EXPECT_EQ(account_.attempts(), 1U) << "it was taken";
  const auto outcome = Send();
  AwaitAttempts(2);
  Do(Step::Kind::kNodeStall, 0);
  EXPECT_EQ(Await(outcome), OutcomeCode::kOk);
}

TEST_F(EmulationTest, APausedNodeDoesNotEvenRead) {
  EXPECT_EQ(Try(), OutcomeCode::kOk);
  Do(Step::Kind::kNodePause, 1);
  EXPECT_EQ(Try(milliseconds(200)), OutcomeCode::kTimeout);
  EXPECT_EQ(account_.attempts(), 1U);
  const auto outcome = Send();
  Do(Step::Kind::kNodePause, 0);
  EXPECT_EQ(Await(outcome), OutcomeCode::kOk);
}

TEST_F(EmulationTest, ASilentNodeLetsNothingComeUpAndWasSilentOnWhatStood) {
  EXPECT_EQ(Try(), OutcomeCode::kOk);
  Do(Step::Kind::kNodeSilence, 1);
  EXPECT_EQ(Try(milliseconds(200)), OutcomeCode::kTimeout) << "on the connection that stood";
  EXPECT_EQ(Try(milliseconds(2000)), OutcomeCode::kConnectFailed) << "on a new one";
  EXPECT_EQ(account_.attempts(), 1U);
  Do(Step::Kind::kNodeSilence, 0);
  OutcomeCode back = Try();
  for (int i = 0; i < 20 && back != OutcomeCode::kOk; ++i) back = Try();
  EXPECT_EQ(back, OutcomeCode::kOk);
}

TEST_F(EmulationTest, ALostNodeResetsAndRefusesAndIsBackAtItsAddress) {
  Do(Step::Kind::kNodeStall, 1);
  const auto outcome = Send();
  AwaitAttempts(1);
  Do(Step::Kind::kNodeDie);
  EXPECT_EQ(Await(outcome), OutcomeCode::kReset);
  EXPECT_EQ(Try(), OutcomeCode::kConnectFailed);
  Do(Step::Kind::kNodeStart);
  EXPECT_EQ(Try(), OutcomeCode::kOk);
  EXPECT_GT(emulation_.fleet().View(0).started, 0);
}

TEST_F(EmulationTest, ADrainingNodeTurnsAway) {
  Do(Step::Kind::kNodeDrain, 1);
  EXPECT_EQ(Try(), OutcomeCode::kFull);
  Do(Step::Kind::kNodeDrain, 0);
  EXPECT_EQ(Try(), OutcomeCode::kOk);
}

TEST_F(EmulationTest, WhatFitsNeitherSlotNorRoomIsTurnedAway) {
  Do(Step::Kind::kNodeStall, 1);
  const auto first = Send();
  const auto second = Send();
  AwaitAttempts(2);
  EXPECT_EQ(Try(), OutcomeCode::kFull);
  Do(Step::Kind::kNodeStall, 0);
  EXPECT_EQ(Await(first), OutcomeCode::kOk);
  EXPECT_EQ(Await(second), OutcomeCode::kOk);
}

TEST_F(EmulationTest, DiscoveryTellsWhatItKnowsRefusesWhenBusyAndIsGoneWhenDown) {
  using boost::asio::ip::tcp;
  const tcp::endpoint at = emulation_.DiscoveryAddress(0);
  // Empty where no connection came up, or it ended without an answer.
  const auto ask = [&]() -> std::string {
    tcp::socket socket(io_);
    std::string answer;
    bool over = false;
    socket.async_connect(at, [&](boost::system::error_code ec) {
      over = over || ec;
      if (ec) return;
      boost::asio::write(
          socket,
          boost::asio::buffer(std::string("GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n")));
      boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
                                    [&](boost::system::error_code, std::size_t) { over = true; });
    });
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!over && std::chrono::steady_clock::now() < until) io_.run_one_for(milliseconds(100));
    return answer;
  };
  const std::string whole = ask();
  EXPECT_NE(whole.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_NE(whole.find("\"host\":\"store-1\""), std::string::npos) << whole;
  Do(Step::Kind::kDiscoveryBusy, 1);
  EXPECT_EQ(ask().substr(0, 12), "HTTP/1.1 503");
  Do(Step::Kind::kDiscoveryBusy, 0);
  Do(Step::Kind::kDiscoveryDown, 1);
  EXPECT_EQ(ask(), "");
  Do(Step::Kind::kDiscoveryDown, 0);
  EXPECT_EQ(ask().substr(0, 12), "HTTP/1.1 200");
}

// ---- A whole fleet with real sidecars ----

const char kWhole[] = R"(
[experiment]
seed = 3
window = 0.5
[[class]]
name = "look"
share = 1
work_ms = [4, 8]
aim = 0.5
give_up = 2.0
repeat = "safe"
[[class]]
name = "post"
share = 1
work_ms = [4, 8]
aim = 0.5
give_up = 2.0
repeat = "never"
[[tenant]]
name = "a"
quota = 1000
[[tier]]
name = "front"
nodes = 2
sidecars = 2
cores = 2
calls = 1.5
work_share = 0.4
[[tier]]
name = "store"
nodes = 4
cores = 2
work_share = 0.6
[discovery]
lateness = 0.1
[load]
clients = 20
[[load.phase]]
for = 3
rate = 60
[[incident]]
kind = "rolling_restart"
tier = "store"
share = 0.5
at = 0.5
drain = 0.5
down = 0.2
[[incident]]
kind = "fast_errors"
tier = "front"
share = 0.5
size = 0.5
at = 1.5
for = 0.5
[[incident]]
kind = "discovery_down"
at = 1.0
for = 0.5
[[incident]]
kind = "sidecar_restart"
share = 0.5
at = 2.0
drain = 0.5
down = 0.1
)";

TEST(Experiment, TwoTiersWithRealSidecarsKeepTheRulesThroughIncidents) {
  Plan plan = ParsePlan(kWhole, "test");
  const Folder folder("");
  const nlohmann::json result = RunExperiment(plan, {KELPSPRING_PROGRAM, folder.path(), nullptr});
  const nlohmann::json& run = result.at("runs").at(0);
  const nlohmann::json& account = run.at("account");
  EXPECT_EQ(account.at("broken"), 0) << account.dump(1);
  EXPECT_GT(run.at("totals").at("arrivals").get<int>(), 120);
  EXPECT_GT(run.at("totals").at("goodput").get<double>(), 0.3);
  EXPECT_EQ(run.at("tool").at("crashes"), 0);
  // Both tiers were sent to: one and a half calls for each request that got through.
  EXPECT_GT(run.at("totals").at("attempts_per_request_by_tier").at(1).get<double>(), 0.5);
  EXPECT_EQ(run.at("windows").size(), 6U);
  const std::string page = ReportOf(result);
  EXPECT_NE(page.find("rolling_restart"), std::string::npos);
  EXPECT_NE(page.find("<svg"), std::string::npos);
  EXPECT_EQ(page.find("http://"), std::string::npos) << "nothing is fetched";
}

}  // namespace
}  // namespace shelflab
