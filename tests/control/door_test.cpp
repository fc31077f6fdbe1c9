// The operators' door and the drain, on the virtual network.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "scene.h"

namespace scene {
namespace {

using kelpspring::Drain;

TEST(DrainMachine, GoesBackFromADrainAndNeverFromLeaving) {
  Drain drain;
  EXPECT_FALSE(drain.End());
  EXPECT_TRUE(drain.Begin());
  EXPECT_FALSE(drain.Begin());
  EXPECT_FALSE(drain.healthy());
  EXPECT_TRUE(drain.End());
  EXPECT_TRUE(drain.healthy());
  EXPECT_TRUE(drain.Leave(false));
  EXPECT_FALSE(drain.Leave(true));
  EXPECT_FALSE(drain.Begin() || drain.End() || drain.healthy() || drain.serving());
}

// The front sees one sidecar: one of two processes on a socket leaves without a word, unless the
// sidecar was drained.
TEST(DrainMachine, OneOfTwoLeavesHealthy) {
  Drain drain;
  drain.Leave(true);
  EXPECT_TRUE(drain.healthy());
  EXPECT_FALSE(drain.serving());
  Drain drained;
  drained.Begin();
  drained.Leave(true);
  EXPECT_FALSE(drained.healthy());
}

TEST(Door, AnswersEachCallAndEndsItsConnection) {
  Scene s;
  const auto ready = s.AskControl("GET", "/ready");
  EXPECT_EQ(ready->Status(), 200);
  EXPECT_TRUE(ready->ended);
  EXPECT_EQ(s.AskControl("GET", "/ready?now=1")->Status(), 200);
  EXPECT_EQ(s.AskControl("GET", "http://h:1/ready")->Status(), 200);
  EXPECT_EQ(s.AskControl("GET", "/metrics")->Status(), 200);
  EXPECT_EQ(s.AskControl("GET", "/api")->Status(), 404);
  const auto wrong = s.AskControl("GET", "/drain");
  EXPECT_EQ(wrong->Status(), 405);
  EXPECT_TRUE(wrong->Has("Allow: POST\r\n"));
  EXPECT_EQ(s.Open(kDoorAt, "noise\r\n\r\n")->Status(), 400);
  EXPECT_EQ(s.Open(kDoorAt, "GET /" + std::string(9000, 'x'))->Status(), 431);
  EXPECT_EQ(s.Open(kDoorAt, "POST /drain HTTP/1.1\r\nContent-Length: 5000\r\n\r\n")->Status(), 413);
  EXPECT_EQ(s.Health(), 200);  // None of these has drained it.
  s.Run(seconds(1));
  EXPECT_EQ(s.door->callers(), 0u);
}

// What concerns the fleet may take a moment, and whoever asked may have gone by then.
TEST(Door, CallsOfTheFleetAreAnsweredLaterAndOnlyWhereThereIsAChannelToIt) {
  Scene s;
  EXPECT_EQ(s.AskControl("GET", "/fleet")->Status(), 404);
  control::Orders orders;
  std::vector<std::pair<std::string, std::string>> asked;
  std::vector<control::Orders::Answered> answers;
  orders.fleet = [&](std::string_view path, const std::string& body,
                     const control::Orders::Answered& answered) {
    asked.emplace_back(path, body);
    answers.push_back(answered);
  };
  const net::Address at = net::Address::V4(kDoorAt.V4Host(), 9999);
  control::Door door(s.machine, s.sidecar->log(), at, orders);
  EXPECT_EQ(s.Open(at, "GET /orders HTTP/1.1\r\n\r\n")->Status(), 405);
  const auto first = s.Open(at, "POST /orders HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
  const auto second = s.Open(at, "POST /turn HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  s.Run(milliseconds(100));
  ASSERT_EQ(asked.size(), 2u);
  EXPECT_EQ(asked[0], std::pair(std::string("/orders"), std::string("{}")));
  EXPECT_FALSE(first->ended);
  answers[0](409, "another came first\n");
  s.Run(milliseconds(10));
  EXPECT_EQ(first->Status(), 409);
  EXPECT_TRUE(first->Has("another came first"));
  // The second is not waited for any longer than any answer.
  s.Run(seconds(3));
  EXPECT_TRUE(second->ended);
  EXPECT_EQ(door.callers(), 0u);
  answers[1](200, "late");
  s.Run(milliseconds(10));
}

// Forty callers that say nothing whole, far beyond the places: a whole call among them is answered
// within a tick, and those that go on saying nothing are gone within 2 s.
TEST(Door, CallersWithoutAWholeCallKeepNobodyOut) {
  Scene s;
  std::vector<PeerPtr> holders;
  for (int i = 0; i < 40; ++i) {
    holders.push_back(s.Open(kDoorAt, i % 2 == 0 ? "" : "GET /ready HTTP/1.1\r\nX-Half: "));
    EXPECT_LE(s.door->callers(), control::Door::kPlaces);
    if (i % 5 == 0) {
      EXPECT_EQ(s.AskControl("GET", "/ready")->Status(), 200) << i;
    }
  }
  s.Run(seconds(3));
  EXPECT_EQ(s.door->callers(), 0u);
  for (const auto& holder : holders) EXPECT_TRUE(holder->ended);
}

// The clients have used up every place of theirs, and more knock: the door has its own.
TEST(Door, AnswersWhenTheClientsHoldEveryPlace) {
  Scene s(128);
  std::vector<PeerPtr> crowd;
  for (int i = 0; i < 200; ++i) crowd.push_back(s.Open(kClientsAt, "GET /api HTTP/1.1\r\n"));
  EXPECT_GT(s.machine.descriptors(), 40u);
  EXPECT_EQ(s.AskControl("GET", "/ready")->Status(), 200);
  EXPECT_EQ(s.AskControl("POST", "/drain")->Status(), 200);
}

TEST(Drained, SaysNoAtOnceServesStragglersAndComesBack) {
  Scene s;
  const auto idle = s.Open(kClientsAt, Call(1));
  s.at_node.at(0)->Send(Answer("one"));
  s.Run(milliseconds(5));
  EXPECT_TRUE(idle->Has("one"));
  EXPECT_EQ(s.AskControl("POST", "/drain")->Status(), 200);
  EXPECT_EQ(s.AskControl("POST", "/drain")->Status(), 200);
  EXPECT_EQ(s.Health(), 503);
  EXPECT_EQ(s.AskControl("GET", "/ready")->Status(), 503);
  EXPECT_FALSE(idle->ended);
  const auto straggler = s.Open(kClientsAt, Call(2));
  s.at_node.at(0)->Send(Answer("two"));
  s.Run(milliseconds(5));
  EXPECT_EQ(straggler->Status(), 200);
  EXPECT_TRUE(straggler->Has("Connection: close"));
  EXPECT_TRUE(straggler->ended);
  s.Run(milliseconds(600));
  EXPECT_TRUE(idle->ended);
  EXPECT_EQ(s.Health(), 503);
  EXPECT_EQ(s.AskControl("POST", "/undrain")->Status(), 200);
  EXPECT_EQ(s.Health(), 200);
  EXPECT_EQ(s.AskControl("GET", "/ready")->Status(), 200);
  const auto after = s.Open(kClientsAt, Call(3));
  s.at_node.at(0)->Send(Answer("three"));
  s.Run(seconds(1));
  EXPECT_EQ(after->Status(), 200);
  EXPECT_FALSE(after->ended);  // Kept again.
}

// By 4 s nothing is idle and nothing is half read, while what was taken before goes on.
TEST(Drained, LeavesNothingIdleAndLetsOldRequestsFinish) {
  Scene s;
  const auto taken = s.Open(kClientsAt, Call(1));
  const auto half = s.Open(kClientsAt, "GET /api HTTP/1.1\r\nX-Half: ");
  const auto silent = s.Open(kClientsAt);
  s.AskControl("POST", "/drain");
  s.Run(milliseconds(700));
  EXPECT_TRUE(silent->ended);
  EXPECT_FALSE(half->ended);
  s.Run(milliseconds(1200));
  EXPECT_EQ(half->Status(), 503);
  EXPECT_TRUE(half->ended);
  const auto late = s.Open(kClientsAt);
  EXPECT_FALSE(taken->ended);
  s.at_node.at(0)->Send(Answer("kept"));
  s.Run(milliseconds(300));
  EXPECT_TRUE(taken->Has("kept"));
  EXPECT_TRUE(taken->ended);
  EXPECT_TRUE(late->ended);
  EXPECT_EQ(s.sidecar->holds().clients, 0u);
}

TEST(Drained, SigtermInADrainEndsItAndUndrainIsRefused) {
  Scene s;
  s.AskControl("POST", "/drain");
  s.Run(milliseconds(100));
  bool done = false;
  s.sidecar->Leave(false, [&] { done = true; });
  EXPECT_EQ(s.AskControl("POST", "/undrain")->Status(), 409);
  EXPECT_EQ(s.AskControl("POST", "/drain")->Status(), 200);
  s.Run(milliseconds(600));
  EXPECT_TRUE(done);
}

// ---- Figures ----

std::string Transactions(const std::string& group, const std::string& state, int count) {
  return "\napp_transactions{group=\"" + group + "\",state=\"" + state + "\"} " +
         std::to_string(count) + "\n";
}

TEST(Figures, StandAtZeroForEveryClassFromTheStart) {
  Scene s;
  const auto figures = s.AskControl("GET", "/metrics");
  EXPECT_TRUE(figures->Has("Content-Type: text/plain; version=0.0.4"));
  for (const char* group : {"read", "wr\\\"ite"}) {
    for (const char* state : {"answered", "deferred", "errored", "abandoned"}) {
      EXPECT_TRUE(figures->Has(Transactions(group, state, 0))) << group << ' ' << state;
    }
  }
  for (const char* line : {"\napp_sends 0\n", "\napp_current 0\n", "\napp_cluster_size 1\n",
                           "\napp_cluster_unhealthy 0\n"}) {
    EXPECT_TRUE(figures->Has(line)) << line;
  }
}

// However a request ends, it is counted once, and nothing is left current.
TEST(Figures, CountEachEndOnce) {
  Scene s;
  const auto answered = s.Open(kClientsAt, Call(1));
  EXPECT_TRUE(s.AskControl("GET", "/metrics")->Has("\napp_current 1\n"));
  s.at_node.at(0)->Send(Answer("one"));
  s.Run(milliseconds(5));
  const auto failed = s.Open(kClientsAt, Call(2, "effect"));
  s.at_node.at(0)->Send(Answer("bad", "500 Bad"));  // May have run: failed.
  s.Run(milliseconds(5));
  const auto gone = s.Open(kClientsAt, Call(3));
  gone->Close();
  s.Run(milliseconds(50));
  for (const auto& talk : s.at_node) talk->Close();
  s.node.Kill();
  const auto refused = s.Open(kClientsAt, Call(4, "effect"));  // Nobody there: never ran.
  s.Run(seconds(3));
  EXPECT_EQ(refused->Status(), 503);
  const auto figures = s.AskControl("GET", "/metrics");
  EXPECT_TRUE(figures->Has(Transactions("read", "answered", 1)));
  EXPECT_TRUE(figures->Has(Transactions("read", "abandoned", 1)));
  EXPECT_TRUE(figures->Has(Transactions("wr\\\"ite", "errored", 1)));
  EXPECT_TRUE(figures->Has(Transactions("wr\\\"ite", "deferred", 1)));
  EXPECT_TRUE(figures->Has("\napp_sends 3\n")) << figures->received;
  EXPECT_TRUE(figures->Has("\napp_current 0\n"));
}

}  // namespace
}  // namespace scene
