// The moments in which something ends while something is still owed: docs/design/endings.md.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "recovery/pace.h"
#include "scene.h"

namespace scene {
namespace {

constexpr std::size_t kMuch = 40'000;  // Of bytes sent ahead: more than is read of them.

std::size_t Requests(const Scene& s) {
  return static_cast<std::size_t>(std::count_if(
      s.at_node.begin(), s.at_node.end(), [](const PeerPtr& talk) { return talk->Has("/api"); }));
}

// Discovery says on this connection that the node drains: the other is given up, and nothing goes
// to the node any more.
void ExpectHeeded(Scene& s, RecordingPeer& told, const RecordingPeer& other) {
  nlohmann::json row = JsonOf(shelflab::MemberRow{"n0", rig::kNodeAt.Text(), "z", "k"});
  row["health"] = "DRAINING";
  told.Send(Answer(nlohmann::json{{"seq", 2}, {"whole", false}, {"hosts", {row}}}.dump()));
  s.Run(milliseconds(20));
  EXPECT_TRUE(other.ended);
  s.Open(kClientsAt, Call(1));
  s.Run(seconds(1));
  EXPECT_EQ(Requests(s), 0u);
}

// ---- Discovery ----

TEST(SilentWatch, AnotherIsOpenedSoSoonThatADrainIsKnownWithinTheTerm) {
  Scene s;
  ASSERT_EQ(s.at_discovery.size(), 1u);  // It says nothing, and never will.
  s.Run(std::chrono::microseconds(recovery::kWatch + recovery::kLate));
  s.Run(milliseconds(100));
  ASSERT_EQ(s.at_discovery.size(), 2u);
  EXPECT_FALSE(s.at_discovery.at(0)->ended);  // Its turn may still come.
  ExpectHeeded(s, *s.at_discovery.at(1), *s.at_discovery.at(0));
  EXPECT_EQ(std::count(s.log.begin(), s.log.end(), '\n'), 0) << s.log;  // Nothing has failed.
}

TEST(SilentWatch, ALateAnswerOfItIsTakenAndTheOtherGivenUp) {
  Scene s;
  s.Run(seconds(4));
  ASSERT_EQ(s.at_discovery.size(), 2u);
  ExpectHeeded(s, *s.at_discovery.at(0), *s.at_discovery.at(1));
}

// Whatever becomes of each call, the next follows so soon that the last of them is answered in
// time.
TEST(LostDiscovery, IsFoundWithinTheTermOfItsReturnWithTheTableFullOfIdleClients) {
  Scene s(64);
  s.CutDiscovery(true);
  s.Run(seconds(20));  // By then calls have hung and been given up several times.
  std::vector<PeerPtr> idle;
  for (int i = 0; i < 100; ++i) idle.push_back(s.Open(kClientsAt));
  s.Run(milliseconds(500));
  const std::size_t before = s.at_discovery.size();
  s.CutDiscovery(false);
  s.Run(std::chrono::microseconds(recovery::kTold - recovery::kAnswer));
  ASSERT_GT(s.at_discovery.size(), before);
  EXPECT_TRUE(std::any_of(s.at_discovery.begin() + static_cast<std::ptrdiff_t>(before),
                          s.at_discovery.end(),
                          [](const PeerPtr& talk) { return talk->Has("/catalog/members"); }));
  const auto client = s.Open(kClientsAt, Call(1));
  s.Run(milliseconds(200));
  ASSERT_EQ(Requests(s), 1u);
  s.at_node.back()->Send(Answer("one"));
  s.Run(milliseconds(20));
  EXPECT_EQ(client->Status(), 200);
}

// ---- Clients that leave ----

// Its end stands behind bytes that nobody reads while a request is held.
TEST(LeftClient, GetsNoAttemptThoughReadingFromItWasPaused) {
  Scene s;
  s.CutNode(true);
  const auto client = s.Open(kClientsAt, Call(1) + std::string(kMuch, 'x'));
  s.Run(milliseconds(20));
  client->Close();
  s.Run(milliseconds(20));
  s.CutNode(false);
  s.Run(seconds(3));
  EXPECT_EQ(Requests(s), 0u);
  EXPECT_EQ(s.sidecar->holds().requests, 0u);
}

// The same between attempts, where the next one has a connection that lies idle.
TEST(LeftClient, GetsNoFurtherAttemptThoughReadingFromItWasPaused) {
  Scene s;
  const auto client = s.Open(kClientsAt, Call(1) + std::string(kMuch, 'x'));
  ASSERT_EQ(Requests(s), 1u);
  client->Close();
  s.Run(milliseconds(20));
  const std::string first = s.at_node.at(0)->received;
  s.at_node.at(0)->Send(Answer("no", "500 Internal Server Error"));
  s.Run(seconds(3));
  EXPECT_EQ(s.at_node.at(0)->received, first);
  EXPECT_EQ(Requests(s), 1u);
}

// The same while the attempt's own connection comes up: the cut holds that up, and no timer looks.
TEST(LeftClient, GetsNothingOnAConnectionThatComesUpAfterItWent) {
  Scene s;
  s.SlowNode(milliseconds(60));
  const auto client = s.Open(kClientsAt, Call(1) + std::string(kMuch, 'x'));
  client->Close();
  s.Run(seconds(3));
  ASSERT_FALSE(s.at_node.empty());
  EXPECT_EQ(Requests(s), 0u);
}

// ---- The end of the process ----

// Its end closes what is open, and over unread bytes that resets the connection: a client that had
// sent on would lose the answer before it.
TEST(Leaving, WaitsUntilWhoeverWasAnsweredLastHasReadIt) {
  Scene s;
  const auto client = s.Open(kClientsAt, Call(1));
  bool done = false;
  s.sidecar->Leave(false, [&done] { done = true; });
  s.Run(milliseconds(900));
  ASSERT_EQ(Requests(s), 1u);
  client->Hold(true);  // It is slow to read.
  s.at_node.back()->Send(Answer("one"));
  s.Run(milliseconds(50));
  client->Send(Call(2));  // It had not seen that this is the end.
  s.Run(milliseconds(50));
  EXPECT_FALSE(done);
  client->Hold(false);
  s.Run(seconds(1));
  EXPECT_EQ(client->Status(), 200);
  EXPECT_FALSE(client->broken);
  EXPECT_TRUE(done);
  EXPECT_EQ(Requests(s), 1u);  // What was read after the shutdown is not sent on.
}

}  // namespace
}  // namespace scene
