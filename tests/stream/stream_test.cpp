// Long and slow messages through the sidecar, on the virtual network.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scene.h"

namespace scene {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kHeld = kelpspring::kHeldBody;

std::string Filler(std::size_t size) {
  std::string text(size, 'a');
  for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>('a' + i * 7 % 26);
  return text;
}

std::string BodyOf(const std::string& message) {
  return message.substr(message.find("\r\n\r\n") + 4);
}

std::string Chunks(const std::string& body, std::size_t each, const std::string& trailer = "") {
  std::string text;
  for (std::size_t at = 0; at < body.size(); at += each) {
    const std::string part = body.substr(at, each);
    char size[32];
    std::snprintf(size, sizeof size, "%zx;ext=\"1\"\r\n", part.size());
    text += size + part + "\r\n";
  }
  return text + "0\r\n" + trailer + "\r\n";
}

// What a chunked body says, read without the program's parser.
std::string Unchunked(std::string text) {
  std::string body;
  for (;;) {
    const std::size_t size = std::stoul(text, nullptr, 16);
    text.erase(0, text.find("\r\n") + 2);
    if (size == 0) return text == "\r\n" ? body : "more behind the last chunk";
    body += text.substr(0, size);
    text.erase(0, size + 2);
  }
}

TEST(LongAnswer, GoesOutAsItComesAndKeepsBothConnections) {
  Scene s;
  const std::string body = Filler(kMegabyte);
  const auto client = s.Open(kClientsAt, Call(1));
  const std::string answer = Answer(body);
  s.at_node.at(0)->Send(answer.substr(0, 5000));
  s.Run(milliseconds(20));
  EXPECT_GT(BodyOf(client->received).size(), 4000u);  // Long before the rest is there.
  s.at_node.at(0)->Send(answer.substr(5000));
  s.Run(seconds(1));
  EXPECT_EQ(BodyOf(client->received), body);
  EXPECT_TRUE(client->Has("Content-Length: 1048576\r\n"));
  EXPECT_FALSE(client->ended);
  client->received.clear();
  client->Send(Call(2));
  s.Run(milliseconds(20));
  ASSERT_EQ(s.at_node.size(), 1u);
  s.at_node.at(0)->Send(Answer("short"));
  s.Run(milliseconds(20));
  EXPECT_EQ(BodyOf(client->received), "short");
}

// Neither time-out nor deadline applies once it has begun: it takes 6 s where callers wait 2 s.
TEST(LongAnswer, MayTakeLongerThanTheCallerWaits) {
  Scene s;
  const std::string body = Filler(6 * kHeld);
  const auto client = s.Open(kClientsAt, Call(1));
  const std::string answer = Answer(body);
  for (std::size_t at = 0; at < answer.size(); at += kHeld) {
    s.at_node.at(0)->Send(answer.substr(at, kHeld));
    s.Run(seconds(1));
  }
  EXPECT_EQ(BodyOf(client->received), body);
}

TEST(LongAnswer, InChunksWithExtensionsAndTrailersOrEndedByTheClose) {
  const std::string body = Filler(300'000);
  for (const bool chunked : {true, false}) {
    Scene s;
    const auto client = s.Open(kClientsAt, Call(1));
    s.at_node.at(0)->Send(chunked ? "HTTP/1.1 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n" +
                                        Chunks(body, 7000, "X-Turned-Away: 1\r\n")
                                  : "HTTP/1.1 200 OK\r\n\r\n" + body);
    s.at_node.at(0)->CloseWhenSent();
    s.Run(seconds(1));
    EXPECT_TRUE(client->Has("Transfer-Encoding: chunked\r\n"));
    EXPECT_EQ(Unchunked(BodyOf(client->received)), body) << chunked;
  }
}

TEST(LongAnswer, ToAnOldClientEndsWithItsConnection) {
  Scene s;
  const std::string body = Filler(300'000);
  std::string call = Call(1);
  call.replace(call.find("HTTP/1.1"), 8, "HTTP/1.0");
  const auto client = s.Open(kClientsAt, call);
  s.at_node.at(0)->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        Chunks(body, 9999));
  s.Run(seconds(1));
  EXPECT_TRUE(client->ended);
  EXPECT_FALSE(client->broken);
  EXPECT_FALSE(client->Has("Transfer-Encoding"));
  EXPECT_EQ(BodyOf(client->received), body);
}

// Broken off after a part went out: the client sees that it is not whole, the endpoint is not asked
// again, and it is counted as failed, once.
TEST(LongAnswer, ThatBreaksOffReachesTheClientAsVisiblyNotWhole) {
  for (const std::string& head :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "f0000\r\n")}) {
    Scene s;
    const auto client = s.Open(kClientsAt, Call(1));
    s.at_node.at(0)->Send(head + Filler(200'000));
    s.Run(milliseconds(50));
    EXPECT_EQ(client->Status(), 200);
    s.at_node.at(0)->Reset();
    s.Run(milliseconds(50));
    EXPECT_TRUE(client->ended);
    EXPECT_TRUE(client->broken);
    EXPECT_EQ(s.at_node.size(), 1u);
    const auto figures = s.AskControl("GET", "/metrics");
    EXPECT_TRUE(figures->Has("{group=\"read\",state=\"errored\"} 1\n"));
    EXPECT_TRUE(figures->Has("app_current 0\n"));
  }
}

// An endpoint that falls silent half way holds its client for the longest that a caller waits.
TEST(LongAnswer, ThatFallsSilentIsCutOff) {
  Scene s;
  const auto client = s.Open(kClientsAt, Call(1));
  s.at_node.at(0)->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + Filler(100'000));
  s.Run(milliseconds(2500));
  EXPECT_FALSE(client->ended);
  s.Run(seconds(1));
  EXPECT_TRUE(client->broken);
  EXPECT_EQ(s.sidecar->holds().attempts, 0u);
}

// Four readers that stop, 4 MB for each: their endpoints are read no further, little is held for
// them, and a fifth client is served as if they were not there.
TEST(LongAnswer, ToAReaderThatStopsHoldsUpOnlyItself) {
  Scene s;
  std::vector<PeerPtr> stopped;
  std::size_t taken = 0;
  const std::string answer = Answer(Filler(4 * kMegabyte));
  for (int i = 0; i < 4; ++i) {
    stopped.push_back(s.Open(kClientsAt, Call(i + 1)));
    stopped.back()->Hold(true);
    s.at_node.at(static_cast<std::size_t>(i))->Send(answer);
    s.Run(seconds(2));
    taken += answer.size() - s.at_node.at(static_cast<std::size_t>(i))->unsent();
  }
  // Windows of the machines on both ways, and one part in between.
  EXPECT_LT(taken / 4, kMegabyte);
  const auto fifth = s.Open(kClientsAt, Call(5));
  s.at_node.back()->Send(Answer(Filler(kMegabyte)));
  s.Run(seconds(1));
  EXPECT_EQ(BodyOf(fifth->received).size(), kMegabyte);
  for (const auto& client : stopped) client->Hold(false);
  s.Run(seconds(20));
  for (const auto& client : stopped) EXPECT_EQ(BodyOf(client->received).size(), 4 * kMegabyte);
}

TEST(LongAnswer, IsCancelledWhenItsClientGoes) {
  Scene s;
  const auto client = s.Open(kClientsAt, Call(1));
  s.at_node.at(0)->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + Filler(200'000));
  s.Run(milliseconds(50));
  client->Close();
  s.Run(milliseconds(50));
  EXPECT_TRUE(s.at_node.at(0)->ended);
  const auto holds = s.sidecar->holds();
  EXPECT_EQ(holds.requests + holds.attempts + holds.clients, 0u);
}

std::string LongCall(int txn, const std::string& body, bool chunked = false) {
  return chunked ? Call(txn, Chunks(body, 3333, "X-Txn: 1\r\n"), "Transfer-Encoding: chunked\r\n")
                 : Call(txn, body);
}

TEST(LongRequest, ReachesTheEndpointWhole) {
  const std::string body = Filler(kMegabyte);
  for (const bool chunked : {false, true}) {
    Scene s;
    const auto client = s.Open(kClientsAt, LongCall(1, body, chunked));
    s.Run(seconds(1));
    ASSERT_EQ(s.at_node.size(), 1u);
    const std::string got = BodyOf(s.at_node.at(0)->received);
    EXPECT_EQ(chunked ? Unchunked(got) : got, body);
    s.at_node.at(0)->Send(Answer("taken"));
    s.Run(milliseconds(20));
    EXPECT_EQ(BodyOf(client->received), "taken");
    EXPECT_FALSE(client->ended);
    EXPECT_TRUE(s.AskControl("GET", "/metrics")->Has("app_sends 1\n"));
  }
}

// The held part is enough for another attempt as long as nothing more was asked of the client.
TEST(LongRequest, IsSentAgainOnlyWhileNothingOfItIsGone) {
  Scene s;
  const std::string body = Filler(kMegabyte);
  s.CutNode(true);  // No connection comes up.
  const auto client = s.Open(kClientsAt, Call(1, body).substr(0, 100'000));
  s.Run(milliseconds(250));  // The first attempt has been given up.
  s.CutNode(false);
  s.Run(milliseconds(100));
  client->Send(Call(1, body).substr(100'000));
  s.Run(milliseconds(500));
  ASSERT_FALSE(s.at_node.empty());
  EXPECT_EQ(BodyOf(s.at_node.back()->received), body);
}

// Broken before its last byte it never ran: refused, and no second endpoint gets what is left.
TEST(LongRequest, ThatBreaksOnItsWayIsRefusedAndNotRepeated) {
  Scene s;
  const std::string call = Call(1, Filler(kMegabyte));
  const auto client = s.Open(kClientsAt, call.substr(0, 500'000));
  s.Run(milliseconds(50));
  ASSERT_EQ(s.at_node.size(), 1u);
  s.at_node.at(0)->Reset();
  s.Run(milliseconds(50));
  EXPECT_EQ(client->Status(), 503);
  client->Send(call.substr(500'000));  // Read away: the answer stands.
  s.Run(milliseconds(500));
  EXPECT_EQ(client->Status(), 503);
  EXPECT_FALSE(client->broken);
  EXPECT_EQ(s.at_node.size(), 1u);
}

TEST(LongRequest, EndsWithItsClient) {
  Scene s;
  const auto client = s.Open(kClientsAt, Call(1, Filler(kMegabyte)).substr(0, 500'000));
  s.Run(milliseconds(50));
  EXPECT_GT(s.at_node.at(0)->received.size(), 300'000u);
  client->Close();
  s.Run(milliseconds(50));
  EXPECT_TRUE(s.at_node.at(0)->ended);
  EXPECT_LE(s.at_node.at(0)->received.size(), 500'100u);
  EXPECT_EQ(s.sidecar->holds().requests, 0u);
}

// A head over 2 s and a body at 64 kB/s are borne, and its time counts from its last byte.
TEST(LongRequest, MayComeSlowly) {
  Scene s;
  const std::string body = Filler(4 * kHeld);
  const std::string call = Call(1, body);
  const std::size_t head = call.size() - body.size();
  const auto client = s.Open(kClientsAt, call.substr(0, head / 2));
  s.Run(milliseconds(1990));
  client->Send(call.substr(head / 2, head - head / 2));
  for (std::size_t at = head; at < call.size(); at += 6400) {
    client->Send(call.substr(at, 6400));
    s.Run(milliseconds(100));
  }
  s.Run(milliseconds(1500));
  ASSERT_EQ(s.at_node.size(), 1u);
  EXPECT_EQ(BodyOf(s.at_node.at(0)->received), body);
  s.at_node.at(0)->Send(Answer("taken"));
  s.Run(milliseconds(20));
  EXPECT_EQ(client->Status(), 200);
}

TEST(LongRequest, ThatCreepsIsEnded) {
  for (const std::size_t held : {std::size_t{1000}, std::size_t{200'000}}) {
    Scene s;
    const std::string call = Call(1, Filler(kMegabyte));
    const auto client = s.Open(kClientsAt, call.substr(0, held));
    for (int i = 0; i < 100 && !client->ended; ++i) {
      client->Send("aaaaaaaaaa");
      s.Run(milliseconds(100));
    }
    EXPECT_EQ(client->Status(), 408) << held;
    s.Run(seconds(3));
    EXPECT_EQ(s.sidecar->holds().requests, 0u);
    EXPECT_EQ(s.sidecar->holds().clients, 0u);
  }
}

TEST(LongRequest, GetsAnEndWhenItsEndpointIsSilent) {
  Scene s;
  const auto client = s.Open(kClientsAt, Call(1, Filler(kMegabyte)));
  s.Run(milliseconds(1500));
  EXPECT_EQ(client->Status(), 0);
  s.Run(milliseconds(800));
  EXPECT_EQ(client->Status(), 502);
}

// ---- Discovery ----

// A list that stalls half way: nothing of it is used, the call has an end, and another follows.
TEST(HalfList, IsNeverUsedAndItsCallEnds) {
  Scene s;
  s.Run(seconds(1));
  ASSERT_EQ(s.at_discovery.size(), 1u);
  const std::string list = R"({"seq":2,"whole":true,"hosts":[]})";
  s.at_discovery.at(0)->Send(Answer(list).substr(0, 60));
  for (int i = 0; i < 14; ++i) {
    s.at_discovery.at(0)->Send(" ");  // It trickles on.
    s.Run(seconds(1));
  }
  EXPECT_TRUE(s.at_discovery.at(0)->ended);
  EXPECT_GE(s.at_discovery.size(), 2u);
  EXPECT_TRUE(s.AskControl("GET", "/metrics")->Has("\napp_cluster_size 1\n"));
  const auto client = s.Open(kClientsAt, Call(1));
  ASSERT_FALSE(s.at_node.empty());
  s.at_node.at(0)->Send(Answer("one"));
  s.Run(milliseconds(20));
  EXPECT_EQ(client->Status(), 200);
}

// ---- Forms of HTTP/1.1 ----

TEST(Forms, AContinueIsGivenToWhoWaitsForIt) {
  Scene s;
  const auto client =
      s.Open(kClientsAt, Call(1, "", "Expect: 100-Continue\r\nContent-Length: 5\r\n"));
  EXPECT_EQ(client->received, "HTTP/1.1 100 Continue\r\n\r\n");
  client->Send("hello");
  s.Run(milliseconds(20));
  EXPECT_EQ(BodyOf(s.at_node.at(0)->received), "hello");
  const auto other = s.Open(kClientsAt, Call(2, "", "Expect: a-miracle\r\nContent-Length: 5\r\n"));
  EXPECT_EQ(other->Status(), 417);
}

TEST(Forms, AnAbsoluteTargetGoesOnAsAPathWithItsHost) {
  Scene s;
  std::string call = Call(1);
  call.replace(call.find("/api"), 4, "http://other:80/api?q=1");
  s.Open(kClientsAt, call);
  const auto client = s.Open(kClientsAt, call);
  ASSERT_FALSE(s.at_node.empty());
  EXPECT_EQ(s.at_node.at(0)->received.substr(0, 23), "GET /api?q=1 HTTP/1.1\r\n");
  EXPECT_TRUE(s.at_node.at(0)->Has("Host: other:80\r\n"));
  EXPECT_EQ(s.Open(kClientsAt, "GET http://h/_health HTTP/1.1\r\nHost: h\r\n\r\n")->Status(), 200);
}

// A short answer may be ended by the close as well; cut off by a reset it is none.
TEST(Forms, AShortAnswerEndedByTheClose) {
  Scene s;
  const auto client = s.Open(kClientsAt, Call(1, "effect"));
  s.at_node.at(0)->Send("HTTP/1.0 200 OK\r\n\r\nold");
  s.at_node.at(0)->CloseWhenSent();
  s.Run(milliseconds(50));
  EXPECT_EQ(BodyOf(client->received), "old");
  const auto cut = s.Open(kClientsAt, Call(2, "effect"));
  s.at_node.at(1)->Send("HTTP/1.0 200 OK\r\n\r\nol");
  s.Run(milliseconds(20));
  s.at_node.at(1)->Reset();
  s.Run(milliseconds(50));
  EXPECT_EQ(cut->Status(), 502);
}

// A request sent ahead behind a long one is read as the next.
TEST(Forms, RequestsSentAheadFollowALongOne) {
  Scene s;
  const std::string body = Filler(200'000);
  const auto client = s.Open(kClientsAt, LongCall(1, body, true) + Call(2));
  s.Run(milliseconds(100));
  EXPECT_EQ(Unchunked(BodyOf(s.at_node.at(0)->received)), body);
  s.at_node.at(0)->Send(Answer("one"));
  s.Run(milliseconds(20));
  s.at_node.at(0)->Send(Answer("two"));
  s.Run(milliseconds(20));
  EXPECT_TRUE(client->Has("one"));
  EXPECT_TRUE(client->Has("two"));
}

}  // namespace
}  // namespace scene
