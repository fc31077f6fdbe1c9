// The hub on the virtual network: what it promises of order, loss, time-outs and silence.
#define BOOST_TEST_MODULE hub
#include "tier/transport/hub.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/random.h"
#include "net/virtual.h"
#include "tier/transport/frames.h"

namespace shelflink::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MessageKind kNote = kClusterKinds;
constexpr MessageKind kEcho = kClusterKinds + 1;
constexpr MessageKind kHold = kClusterKinds + 2;  // Answered when the test says so.

PeerIdentity IdentityOf(std::uint32_t host, std::uint64_t incarnation = 1) {
  return {"node-" + std::to_string(host & 0xffU), "core", "zone-1", net::Address::V4(host, 7000),
          incarnation};
}

// A process with a hub that notes all that it is told.
struct Node {
  Node(net::VirtualNet& net, std::uint32_t host, std::uint64_t incarnation = 1,
       Hub::Options options = {})
      : process(net, host, "node", 64),
        hub(std::make_unique<Hub>(process, IdentityOf(host, incarnation), options)) {
    hub->Handle(kNote, [this](const PeerIdentity& from, std::string_view body) {
      notes.emplace_back(body);
      last_from = from;
    });
    hub->HandleCall(kEcho, [](const PeerIdentity&, std::string_view body, const Hub::Reply& reply) {
      reply("echo " + std::string(body));
    });
    hub->HandleCall(kHold, [this](const PeerIdentity&, std::string_view, Hub::Reply reply) {
      held.push_back(std::move(reply));
    });
    hub->Watch([this](const PeerIdentity& peer, bool up) {
      changes.push_back((up ? "+" : "-") + std::to_string(peer.incarnation));
    });
  }
  ~Node() { process.Kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  net::Address address() const { return hub->self().address; }
  std::uint64_t dropped(const std::string& cause) const {
    const auto it = hub->counters().dropped.find(cause);
    return it == hub->counters().dropped.end() ? 0 : it->second;
  }
  void Call(const net::Address& to, MessageKind kind, std::string body, milliseconds timeout) {
    const std::size_t index = answers.size();
    answers.emplace_back();
    hub->Call(to, kind, std::move(body), timeout, [this, index](Result<std::string> result) {
      BOOST_REQUIRE(!answers[index]);  // Once.
      answers[index] = std::move(result);
    });
    BOOST_REQUIRE(!answers[index]);  // Not from inside.
  }
  std::optional<ErrorCode> error(std::size_t index) const {
    if (!answers[index] || *answers[index]) return std::nullopt;
    return answers[index]->error().code;
  }

  net::VirtualProcess process;
  std::unique_ptr<Hub> hub;
  std::vector<std::string> notes;
  PeerIdentity last_from;
  std::vector<std::optional<Result<std::string>>> answers;
  std::vector<Hub::Reply> held;
  std::vector<std::string> changes;
};

constexpr std::uint32_t kHostA = 0x0a000001;
constexpr std::uint32_t kHostB = 0x0a000002;

struct Scene {
  ~Scene() {
    a.reset();
    b.reset();
    net.Clear();
  }
  void Run(net::Span span) { net.RunUntil(net.Now() + span); }
  void Connect() {
    a->hub->Send(b->address(), kNote, "first");
    Run(milliseconds(50));
    BOOST_REQUIRE(b->notes.size() == 1);
    b->notes.clear();
  }

  net::VirtualNet net{1};
  std::unique_ptr<Node> a = std::make_unique<Node>(net, kHostA);
  std::unique_ptr<Node> b = std::make_unique<Node>(net, kHostB);
};

BOOST_FIXTURE_TEST_SUITE(hub, Scene)

BOOST_AUTO_TEST_CASE(MessagesArriveOnceAndInOrderHoweverTheyAreCut) {
  net::Weather weather;
  weather.cut = 0.5;
  weather.late = 0.2;
  net.SetWeather(weather);
  std::vector<std::string> sent;
  for (int i = 0; i < 300; ++i) {
    sent.push_back(std::string(static_cast<std::size_t>(i * 7 % 400), 'x') + std::to_string(i));
    a->hub->Send(b->address(), kNote, sent.back());
    if (i % 10 == 0) Run(milliseconds(1));
  }
  Run(seconds(1));
  BOOST_TEST(b->notes == sent, boost::test_tools::per_element());
  BOOST_TEST(b->last_from.node == "node-1");
  BOOST_TEST(b->last_from.address.Text() == a->address().Text());
  BOOST_TEST(a->hub->Connected(b->address()));
}

BOOST_AUTO_TEST_CASE(CallsAreAnsweredBothWaysOnOneConnection) {
  a->Call(b->address(), kEcho, "one", seconds(1));
  Run(milliseconds(50));
  b->Call(a->address(), kEcho, "two", seconds(1));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(0).value().value() == "echo one");
  BOOST_TEST(b->answers.at(0).value().value() == "echo two");
  BOOST_TEST(a->process.descriptors() == 2U);  // The listener and one connection.
  BOOST_TEST(b->process.descriptors() == 2U);
}

BOOST_AUTO_TEST_CASE(OneCallsItself) {
  a->Call(a->address(), kEcho, "me", seconds(1));
  a->hub->Send(a->address(), kNote, "note");
  a->Call(a->address(), kHold, "", milliseconds(100));
  Run(milliseconds(10));
  BOOST_TEST(a->answers.at(0).value().value() == "echo me");
  BOOST_TEST(a->notes.size() == 1U);
  Run(milliseconds(100));
  BOOST_CHECK(a->error(1) == ErrorCode::kUnknown);
}

// ---- Loss ----

BOOST_AUTO_TEST_CASE(AConnectionLostInMidFrameDeliversNothingOfItAndTheNextOneIsFresh) {
  Connect();
  net::Weather slow;
  slow.window = 1000;
  net.SetWeather(slow);
  a->Call(b->address(), kEcho, std::string(50'000, 'x'), seconds(5));
  a->Call(b->address(), kEcho, "behind it", seconds(5));
  Run(milliseconds(5));  // A part of it has gone.
  net.ResetBetween(kHostA, kHostB);
  Run(milliseconds(50));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnknown);      // Bytes of it have left.
  BOOST_CHECK(a->error(1) == ErrorCode::kUnavailable);  // None of this.
  BOOST_TEST(!a->hub->Connected(b->address()));
  net.SetWeather({});
  a->Call(b->address(), kEcho, "again", seconds(5));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(2).value().value() == "echo again");
  BOOST_TEST(a->changes == (std::vector<std::string>{"+1", "-1", "+1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(WhoIsNotThereIsUnavailableAndDialledWithPauses) {
  b.reset();
  const net::Address gone = IdentityOf(kHostB).address;
  a->Call(gone, kEcho, "x", seconds(5));
  Run(milliseconds(10));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnavailable);
  a->Call(gone, kEcho, "x", seconds(5));
  Run(milliseconds(10));
  BOOST_TEST(!a->answers[1]);  // The next dial waits for its pause to end.
  Run(milliseconds(100));
  BOOST_CHECK(a->error(1) == ErrorCode::kUnavailable);
  a->hub->Send(gone, kNote, "lost");
  Run(milliseconds(500));
  BOOST_TEST(a->dropped("unreachable") == 1U);
  b = std::make_unique<Node>(net, kHostB);
  a->hub->Send(gone, kNote, "here");
  Run(milliseconds(500));
  BOOST_TEST(b->notes == (std::vector<std::string>{"here"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ACallThatWaitsForAConnectionNeverLeavesAfterItsTime) {
  net.SetCut(kHostA, kHostB, true);
  a->Call(b->address(), kHold, "x", milliseconds(200));
  a->Call(b->address(), kEcho, "y", seconds(5));
  Run(milliseconds(250));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnavailable);
  net.SetCut(kHostA, kHostB, false);
  Run(seconds(2));
  BOOST_TEST(a->answers.at(1).value().value() == "echo y");
  BOOST_TEST(b->held.empty());
}

BOOST_AUTO_TEST_CASE(ADialThatNobodyAnswersIsGivenUp) {
  net.SetCut(kHostA, kHostB, true);
  a->Call(b->address(), kEcho, "x", seconds(5));
  Run(milliseconds(990));
  BOOST_TEST(!a->answers[0]);
  Run(milliseconds(20));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnavailable);
  BOOST_TEST(a->dropped("connect") == 1U);
}

BOOST_AUTO_TEST_CASE(AMachineThatAcceptsButWhoseProcessDoesNotGreetIsUnavailable) {
  b->process.SetPaused(true);
  a->Call(b->address(), kEcho, "x", seconds(5));
  Run(milliseconds(1600));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnavailable);
  b->process.SetPaused(false);
  a->Call(b->address(), kEcho, "y", seconds(5));
  Run(milliseconds(1600));
  BOOST_TEST(a->answers.at(1).value().value() == "echo y");
}

// ---- Silence ----

BOOST_AUTO_TEST_CASE(ASilentCutIsFoundByWhoeverIsOwedSomething) {
  Connect();
  net.SetCut(kHostA, kHostB, true);
  a->Call(b->address(), kEcho, "x", seconds(10));
  b->hub->Send(a->address(), kNote, "one way");  // Is owed a sign of life, too.
  Run(milliseconds(1400));
  BOOST_TEST(a->hub->Connected(b->address()));
  Run(milliseconds(200));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnknown);
  BOOST_TEST(!a->hub->Connected(b->address()));
  BOOST_TEST(!b->hub->Connected(a->address()));
  BOOST_TEST(a->dropped("silence") == 1U);
  BOOST_TEST(b->dropped("silence") == 1U);
  net.SetCut(kHostA, kHostB, false);
  a->Call(b->address(), kEcho, "healed", seconds(10));
  Run(seconds(2));
  BOOST_TEST(a->answers.at(1).value().value() == "echo healed");
}

BOOST_AUTO_TEST_CASE(ACutDuringWhichNothingIsSentHurtsNobody) {
  Connect();
  Run(seconds(3));
  net.SetCut(kHostA, kHostB, true);
  Run(seconds(30));
  net.SetCut(kHostA, kHostB, false);
  a->Call(b->address(), kEcho, "x", seconds(1));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(0).value().value() == "echo x");
  BOOST_TEST(a->changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ASlowHandlerIsNoSilence) {
  Connect();
  a->Call(b->address(), kHold, "", seconds(60));
  Run(seconds(20));
  BOOST_REQUIRE(b->held.size() == 1);
  b->held[0](std::string("done"));
  b->held[0](std::string("twice"));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(0).value().value() == "done");
  BOOST_TEST(a->dropped("late") == 0U);
  BOOST_TEST(a->changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ASlowLinkIsNoSilence) {
  Connect();
  net::Weather slow;
  slow.window = 1000;  // And half a millisecond each way: 4 s for the whole.
  slow.latency_low = slow.latency_high = std::chrono::microseconds(500);
  net.SetWeather(slow);
  a->Call(b->address(), kEcho, std::string(2'000'000, 'x'), seconds(60));
  Run(seconds(10));
  BOOST_TEST(a->answers.at(0).value().value().size() == 2'000'005U);
  BOOST_TEST(a->changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnIdleConnectionCausesNoEvents) {
  Connect();
  a->Call(b->address(), kEcho, "x", seconds(1));
  Run(seconds(5));
  const auto events = net.events();
  Run(std::chrono::minutes(10));
  BOOST_TEST(net.events() == events);
  BOOST_TEST(a->hub->Connected(b->address()));
}

BOOST_AUTO_TEST_CASE(AFrozenPeerIsGivenUpAndItsLateAnswerMatchesNothing) {
  Connect();
  a->Call(b->address(), kHold, "", seconds(60));
  Run(milliseconds(50));
  b->process.SetPaused(true);
  Run(seconds(5));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnknown);
  b->process.SetPaused(false);
  a->Call(b->address(), kHold, "", seconds(60));
  Run(seconds(2));
  BOOST_REQUIRE(b->held.size() == 2);
  b->held[0](std::string("old"));
  b->held[1](std::string("new"));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(1).value().value() == "new");
  BOOST_TEST(b->dropped("late") == 1U);
}

// Whenever the freeze begins, and however long it lasts.
BOOST_AUTO_TEST_CASE(AProcessThatWasFrozenKeepsItsConnections) {
  Connect();
  a->Call(b->address(), kHold, "", std::chrono::hours(1));
  for (int i = 0; i < 60; ++i) {
    Run(milliseconds(37 * (i % 21)));
    a->process.SetPaused(true);
    Run(milliseconds(200 * (1 + i % 30)));
    a->process.SetPaused(false);
    Run(milliseconds(i % 3));
  }
  Run(seconds(3));
  BOOST_TEST(a->changes.size() == 1U);
  BOOST_TEST(a->dropped("silence") == 0U);
  b->held.at(0)(std::string("still"));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(0).value().value() == "still");
}

BOOST_AUTO_TEST_CASE(AnAnswerThatCameDuringAFreezeBeatsTheTimeOutOfTheConnection) {
  Connect();
  a->Call(b->address(), kEcho, "x", std::chrono::hours(1));
  a->process.SetPaused(true);
  Run(seconds(20));
  a->process.SetPaused(false);
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(0).value().value() == "echo x");
}

// ---- Urgent messages and slots ----

constexpr std::size_t kDocument = 200'000;
constexpr std::uint32_t kSlot = 1;

// Of no more than a window of 64 KB in 40 ms.
void Narrow(net::VirtualNet& net) {
  net::Weather weather;
  weather.latency_low = weather.latency_high = milliseconds(20);
  net.SetWeather(weather);
}

BOOST_AUTO_TEST_CASE(AnUrgentMessageOvertakesWhatWaits) {
  Connect();
  Narrow(net);
  const std::string document(kDocument, 'd');
  for (int i = 0; i < 5; ++i) a->hub->Send(b->address(), kNote, document);
  Run(milliseconds(5));
  a->hub->Send(b->address(), kNote, "urgent", {.urgent = true});
  Run(seconds(3));
  BOOST_REQUIRE(b->notes.size() == 6U);
  BOOST_TEST((b->notes[0] == "urgent"));  // The first document had begun to leave.
  for (std::size_t note = 1; note < b->notes.size(); ++note) {
    BOOST_TEST((b->notes[note] == document));
  }
}

BOOST_AUTO_TEST_CASE(OfASlotTheNewestGoesInPlaceOfThoseThatWait) {
  Connect();
  Narrow(net);
  const auto document = [](char letter) { return std::string(kDocument, letter); };
  a->hub->Send(b->address(), kNote, document('a'), {.slot = kSlot});
  Run(milliseconds(5));
  for (const char letter : {'b', 'c', 'd'}) {
    a->hub->Send(b->address(), kNote, document(letter), {.slot = kSlot});
  }
  a->hub->Send(b->address(), kNote, "other");
  a->hub->Send(b->address(), kNote, document('e'), {.slot = kSlot});
  Run(seconds(3));
  BOOST_TEST((b->notes == std::vector<std::string>{document('a'), document('e'), "other"}));
  BOOST_TEST(a->hub->counters().replaced == 3U);
  BOOST_TEST(a->hub->counters().dropped.empty());
}

BOOST_AUTO_TEST_CASE(WhatWaitsForAConnectionKeepsItsUrgencyAndItsSlot) {
  a->hub->Send(b->address(), kNote, "old", {.slot = kSlot});
  a->hub->Send(b->address(), kNote, "ordinary");
  a->hub->Send(b->address(), kNote, "new", {.slot = kSlot});
  a->hub->Send(b->address(), kNote, "urgent", {.urgent = true});
  Run(milliseconds(50));
  BOOST_TEST((b->notes == std::vector<std::string>{"urgent", "new", "ordinary"}));
}

// ---- Limits ----

BOOST_AUTO_TEST_CASE(AFullQueueDropsMessagesAndRefusesCalls) {
  Connect();
  b->process.SetPaused(true);
  const std::string large(8U << 20, 'x');
  for (int i = 0; i < 10; ++i) a->hub->Send(b->address(), kNote, large);
  BOOST_TEST(a->dropped("queue") == 3U);
  a->Call(b->address(), kEcho, large, seconds(1));
  Run(milliseconds(10));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnavailable);
  Run(seconds(3));
  BOOST_TEST(a->dropped("silence") == 1U);
  b->process.SetPaused(false);
  Run(seconds(1));
  BOOST_TEST(b->notes.empty());
}

BOOST_AUTO_TEST_CASE(AllQueuesTogetherAreBoundedAndFreedWithTheirConnections) {
  Connect();
  Node c(net, 0x0a000003);
  const net::Address nobody = net::Address::V4(0x0a000004, 7000);
  net.SetCutOff(0x0a000004, true);
  const std::string large(16U << 20, 'x');
  for (int round = 0; round < 3; ++round) {
    b->process.SetPaused(true);
    const std::uint64_t dropped = a->dropped("queue");
    for (int i = 0; i < 3; ++i) a->hub->Send(b->address(), kNote, large);
    for (int i = 0; i < 3; ++i) a->hub->Send(nobody, kNote, large);
    BOOST_TEST(a->dropped("queue") == dropped + 1);  // 96 MB of bodies, and the frames' heads.
    Run(seconds(5));
    b->process.SetPaused(false);
    Run(seconds(5));
  }
  a->hub->Send(c.address(), kNote, large);
  Run(seconds(5));
  BOOST_TEST(c.notes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WhatIsLongerThanAFrameIsNotSent) {
  const std::string too_long(kLargestFrame, 'x');
  a->hub->Send(b->address(), kNote, too_long);
  BOOST_TEST(a->dropped("too_long") == 1U);
  a->Call(b->address(), kEcho, too_long, seconds(1));
  a->Call(b->address(), kHold, "", seconds(1));
  Run(milliseconds(50));
  BOOST_CHECK(a->error(0) == ErrorCode::kTooLarge);
  b->held.at(0)(too_long);
  Run(milliseconds(50));
  BOOST_CHECK(a->error(1) == ErrorCode::kTooLarge);
}

BOOST_AUTO_TEST_CASE(LargeMessagesGoWhole) {
  const std::string large = std::string(20U << 20, 'l') + "end";
  a->hub->Send(b->address(), kNote, large);
  a->hub->Send(b->address(), kNote, "small");
  Run(seconds(5));
  BOOST_REQUIRE(b->notes.size() == 2);
  BOOST_TEST((b->notes[0] == large));
  BOOST_TEST(b->notes[1] == "small");
}

BOOST_AUTO_TEST_CASE(ErrorsGoOverTheWireAndUnknownKindsAreUnavailable) {
  b->hub->HandleCall(kEcho, [](const PeerIdentity&, std::string_view, const Hub::Reply& reply) {
    reply(MakeError(ErrorCode::kConflict, "version 7 is in place"));
  });
  a->Call(b->address(), kEcho, "", seconds(1));
  a->Call(b->address(), kBatchKinds, "", seconds(1));
  a->hub->Send(b->address(), kBatchKinds, "");
  Run(milliseconds(50));
  BOOST_CHECK(a->error(0) == ErrorCode::kConflict);
  BOOST_TEST(a->answers[0]->error().text == "version 7 is in place");
  BOOST_CHECK(a->error(1) == ErrorCode::kUnavailable);
  BOOST_TEST(b->dropped("unhandled") == 2U);
}

BOOST_AUTO_TEST_CASE(OneConnectionTooManyIsRefusedAndLackOfDescriptorsPasses) {
  b.reset();
  Hub::Options one;
  one.most_connections = 1;
  b = std::make_unique<Node>(net, kHostB, 1, one);
  Node c(net, 0x0a000003);
  Connect();
  c.Call(b->address(), kEcho, "", milliseconds(500));
  Run(seconds(1));
  BOOST_CHECK(c.error(0) == ErrorCode::kUnavailable);
  BOOST_TEST(b->dropped("connections") == 1U);

  b.reset();
  b = std::make_unique<Node>(net, kHostB, 2);
  Run(milliseconds(10));
  b->process.SetDescriptors(1);  // The listener's.
  c.Call(b->address(), kEcho, "", milliseconds(300));
  Run(milliseconds(400));
  BOOST_CHECK(c.error(1) == ErrorCode::kUnavailable);
  BOOST_TEST(b->dropped("accept") > 0U);
  b->process.SetDescriptors(64);
  c.Call(b->address(), kEcho, "z", seconds(3));
  Run(seconds(4));
  BOOST_TEST(c.answers.at(2).value().value() == "echo z");
}

// ---- Identity ----

BOOST_AUTO_TEST_CASE(BothMayDialAtOnce) {
  a->Call(b->address(), kEcho, "from a", seconds(1));
  b->Call(a->address(), kEcho, "from b", seconds(1));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(0).value().value() == "echo from a");
  BOOST_TEST(b->answers.at(0).value().value() == "echo from b");
  BOOST_TEST(a->changes.size() == 1U);  // Told of the first connection only.
  BOOST_TEST(b->changes.size() == 1U);
  net.ResetBetween(kHostA, kHostB);
  Run(milliseconds(50));
  BOOST_TEST(a->changes.back() == "-1");
  BOOST_TEST(a->changes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsAnewIsAnotherOne) {
  Connect();
  a->Call(b->address(), kHold, "", seconds(10));
  Run(milliseconds(50));
  b.reset();
  b = std::make_unique<Node>(net, kHostB, 2);
  Run(milliseconds(50));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnknown);
  a->hub->Send(b->address(), kNote, "to the second");
  Run(milliseconds(500));
  BOOST_TEST(b->notes.size() == 1U);
  BOOST_TEST(a->changes == (std::vector<std::string>{"+1", "-1", "+2"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AHubThatEndsIsNotCalledAnyMore) {
  Connect();
  a->Call(b->address(), kEcho, "x", seconds(1));
  a->hub->Send(a->address(), kNote, "to itself");
  a->hub.reset();
  Run(seconds(2));
  BOOST_TEST(!a->answers[0]);
  BOOST_TEST(a->notes.empty());
  b->hub.reset();
  Run(seconds(2));
}

// ---- Strangers ----

// Speaks bytes of the test's choice.
struct Stranger : net::StreamUser {
  Stranger(net::VirtualNet& net, std::uint32_t host) : process(net, host, "stranger", 64) {}
  void Dial(const net::Address& to) { stream = process.Dial(to, *this); }
  void Listen(const net::Address& at) {
    listener = process.Listen(at);
    listener->Accept([this](net::Fault, net::StreamPtr accepted) {
      stream = std::move(accepted);
      stream->SetUser(*this);
      stream->Receive();
      stream->Write(on_accept);
    });
  }
  void OnConnected(net::Fault) override { stream->Receive(); }
  void OnBytes(std::string_view bytes) override {
    got += bytes;
    stream->Receive();
  }
  void OnEnd(net::Fault) override { ended = true; }

  net::VirtualProcess process;
  net::ListenerPtr listener;
  net::StreamPtr stream;
  std::string on_accept, got;
  bool ended = false;
};

constexpr std::uint32_t kHostS = 0x0a000009;

struct StrangerScene : Scene {
  // Connects, says `bytes` and waits a little.
  void Say(const std::string& bytes) {
    stranger = std::make_unique<Stranger>(net, kHostS);
    stranger->Dial(a->address());
    Run(milliseconds(5));
    stranger->stream->Write(bytes);
    Run(milliseconds(5));
  }
  std::unique_ptr<Stranger> stranger;
};

BOOST_FIXTURE_TEST_CASE(WhatAStrangerSaysWrongClosesItsConnectionAndIsCounted, StrangerScene) {
  const std::string hello = EncodeHello(IdentityOf(kHostS), 1);
  const struct {
    const char* cause;
    std::string bytes;
  } cases[] = {
      {"version", EncodeHello(IdentityOf(kHostS), 1, kProtocolVersion + 1)},
      {"malformed", EncodeMessage(kNote, "before the greeting")},
      {"malformed", hello + hello},
      {"malformed", std::string("\0\0\0\0", 4)},
      {"malformed", hello + std::string("\0\0\0\x05GET /", 9)},
      {"too_long", "GET / HTTP/1.1\r\n\r\n"},
      {"too_long", std::string("\0\0\x10\x01", 4)},
      {"too_long", hello + std::string("\x03\0\0\x01", 4)},
      {"address", EncodeHello(a->hub->self(), 1)},
  };
  for (const auto& one : cases) {
    const std::uint64_t before = a->dropped(one.cause);
    Say(one.bytes);
    BOOST_TEST(a->dropped(one.cause) == before + 1, one.cause);
    BOOST_TEST(stranger->ended);
  }
  BOOST_TEST(a->notes.empty());
}

BOOST_FIXTURE_TEST_CASE(AStrangerThatNeverFinishesItsGreetingIsClosed, StrangerScene) {
  const std::string hello = EncodeHello(IdentityOf(kHostS), 1);
  Say(hello.substr(0, 10));
  for (int i = 10; i < 14; ++i) {
    Run(milliseconds(300));
    stranger->stream->Write(hello.substr(static_cast<std::size_t>(i), 1));
  }
  Run(milliseconds(500));
  BOOST_TEST(stranger->ended);
  BOOST_TEST(a->dropped("silence") == 1U);
}

BOOST_FIXTURE_TEST_CASE(APeerOfAnotherVersionOrPlaceIsUnavailable, StrangerScene) {
  stranger = std::make_unique<Stranger>(net, kHostS);
  const net::Address at = net::Address::V4(kHostS, 7000);
  stranger->on_accept = EncodeHello(IdentityOf(kHostS), 1, kProtocolVersion + 1);
  stranger->Listen(at);
  a->Call(at, kEcho, "x", seconds(1));
  Run(milliseconds(50));
  BOOST_CHECK(a->error(0) == ErrorCode::kUnavailable);
  BOOST_TEST(a->dropped("version") == 1U);
  stranger->listener.reset();
  stranger->on_accept = EncodeHello(IdentityOf(kHostB), 1);  // Another's address.
  stranger->Listen(at);
  a->Call(at, kEcho, "x", seconds(1));
  Run(milliseconds(500));
  BOOST_CHECK(a->error(1) == ErrorCode::kUnavailable);
  BOOST_TEST(a->dropped("address") == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnAnswerOnAnotherConnectionThanItsCallIsDropped, StrangerScene) {
  Connect();
  a->Call(b->address(), kHold, "", seconds(10));  // The hub's first call: its number is 1.
  Run(milliseconds(50));
  Say(EncodeHello(IdentityOf(kHostS), 1) + EncodeAnswer(1, "forged"));
  BOOST_TEST(a->dropped("late") == 1U);
  BOOST_TEST(!a->answers[0]);
  b->held.at(0)(std::string("true"));
  Run(milliseconds(50));
  BOOST_TEST(a->answers.at(0).value().value() == "true");
}

BOOST_FIXTURE_TEST_CASE(ANewLifeOfAPeerEndsTheConnectionsOfTheOldOne, StrangerScene) {
  Say(EncodeHello(IdentityOf(kHostS, 1), 1));
  Stranger second(net, kHostS);
  second.Dial(a->address());
  Run(milliseconds(5));
  second.stream->Write(EncodeHello(IdentityOf(kHostS, 2), 1));
  Run(milliseconds(5));
  BOOST_TEST(stranger->ended);
  BOOST_TEST(!second.ended);
  BOOST_TEST(a->changes == (std::vector<std::string>{"+1", "-1", "+2"}),
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(APeerThatDialsAgainGivesUpItsOlderConnection, StrangerScene) {
  Say(EncodeHello(IdentityOf(kHostS), 2));
  Stranger newer(net, kHostS), late(net, kHostS);
  newer.Dial(a->address());
  late.Dial(a->address());
  Run(milliseconds(5));
  newer.stream->Write(EncodeHello(IdentityOf(kHostS), 3));
  Run(milliseconds(5));
  BOOST_TEST(stranger->ended);
  // The hello of an earlier dial that was long on its way.
  late.stream->Write(EncodeHello(IdentityOf(kHostS), 1) + EncodeMessage(kNote, "outdated"));
  Run(milliseconds(5));
  BOOST_TEST(late.ended);
  BOOST_TEST(!newer.ended);
  BOOST_TEST(a->notes.empty());
  BOOST_TEST(a->dropped("superseded") == 2U);
}

// Whoever claims the address of a process from another host must not cost that process a call,
// whichever life and dial is claimed and whichever of the two greets first.
BOOST_FIXTURE_TEST_CASE(AClaimFromAnotherHostDoesNotDisplaceTheProcessItself, StrangerScene) {
  constexpr std::uint64_t kLife = 1;
  b.reset();
  for (const std::uint64_t claimed_life : {kLife, kLife + 1}) {
    for (const std::uint64_t claimed_dial : {std::uint64_t{1}, UINT64_MAX}) {
      for (const bool stranger_first : {true, false}) {
        BOOST_TEST_CONTEXT("life " << claimed_life << " dial " << claimed_dial << " stranger first "
                                   << stranger_first) {
          b = std::make_unique<Node>(net, kHostB, kLife);
          const std::string claim = EncodeHello(IdentityOf(kHostB, claimed_life), claimed_dial);
          if (stranger_first) Say(claim);
          b->Call(a->address(), kHold, "", seconds(10));
          Run(milliseconds(50));
          if (!stranger_first) Say(claim);
          BOOST_TEST(stranger->ended);
          BOOST_REQUIRE(a->held.size() == 1U);
          a->held[0](std::string("answered"));
          Run(milliseconds(50));
          BOOST_REQUIRE(b->answers.at(0));
          BOOST_TEST((*b->answers[0] && b->answers[0]->value() == "answered"));
          a->held.clear();
          b.reset();
          Run(milliseconds(50));
        }
      }
    }
  }
}

// One message of a sound conversation is changed in one place; whatever it turns into, the hub goes
// on serving others and keeps nothing of the stranger.
BOOST_FIXTURE_TEST_CASE(OneMessageMutatedAtATimeHarmsNobodyElse, StrangerScene) {
  Connect();
  const std::vector<std::string> said = {
      EncodeHello(IdentityOf(kHostS), 1), EncodeMessage(kNote, "note"),
      EncodeCall(kEcho, 5, "question"), EncodePing(), EncodeAnswer(1, "to nothing")};
  for (std::size_t which = 0; which < said.size(); ++which) {
    for (std::size_t at = 0; at < said[which].size(); ++at) {
      for (const int change : {0x01, 0x20, 0x80, 0xff}) {
        std::string all;
        for (std::size_t i = 0; i < said.size(); ++i) {
          std::string one = said[i];
          if (i == which) one[at] = static_cast<char>(one[at] ^ change);
          all += one;
        }
        Say(all);
        stranger.reset();
      }
    }
  }
  Run(seconds(5));
  BOOST_TEST(a->process.descriptors() == 2U);  // Its listener and the connection with b.
  BOOST_TEST(a->changes.front() == "+1");
  b->Call(a->address(), kEcho, "sound", seconds(1));
  Run(milliseconds(50));
  BOOST_TEST(b->answers.at(0).value().value() == "echo sound");
}

BOOST_AUTO_TEST_SUITE_END()

// ---- Histories ----

// Of each call, exactly one outcome; an answer is its own call's; no call is handled twice;
// kUnavailable means that the handler never ran.
void CheckCalls(const Node& caller, const std::vector<std::string>& bodies,
                std::map<std::string, int>& handled) {
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    BOOST_REQUIRE(caller.answers[i].has_value());
    const auto& answer = *caller.answers[i];
    const int runs = handled[bodies[i]];
    BOOST_REQUIRE(runs <= 1);
    if (answer) {
      BOOST_REQUIRE(answer.value() == bodies[i]);
      BOOST_REQUIRE(runs == 1);
    } else if (answer.error().code == ErrorCode::kUnavailable) {
      BOOST_REQUIRE(runs == 0);
    }
  }
}

// Each at most once and in order.
void CheckNotes(const Node& node) {
  int last = -1;
  for (const std::string& note : node.notes) {
    const int number = std::stoi(note);
    BOOST_REQUIRE(number > last);
    last = number;
  }
}

// Two hubs in rough weather, of which one or both call and send.
class History {
 public:
  History(std::uint64_t seed, bool both_ways)
      : both_ways_(both_ways), net_(seed), random_(seed, 1) {
    net::Weather rough;
    rough.cut = 0.2;
    rough.late = 0.1;
    rough.reset = 0.01;
    rough.refuse = 0.1;
    rough.ignore = 0.1;
    rough.window = 4000;
    net_.SetWeather(rough);
    for (Node* node : {&a_, &b_}) {
      node->hub->HandleCall(kEcho, [&handled = handled_](const PeerIdentity&, std::string_view body,
                                                         const Hub::Reply& reply) {
        ++handled[std::string(body)];
        reply(std::string(body));
      });
    }
  }
  ~History() {
    a_.process.Kill();
    b_.process.Kill();
    net_.Clear();
  }
  History(const History&) = delete;
  History& operator=(const History&) = delete;

  void Play() {
    constexpr int kSteps = 200;
    for (int i = 0; i < kSteps; ++i) {
      Speak(a_, b_, a_bodies_, i);
      if (both_ways_) Speak(b_, a_, b_bodies_, i);
      Trouble();
      net_.RunUntil(net_.Now() + milliseconds(random_.Below(60)));
    }
    net_.SetCut(kHostA, kHostB, false);
    a_.process.SetPaused(false);
    b_.process.SetPaused(false);
    net_.SetWeather({});
    net_.RunUntil(net_.Now() + seconds(10));
  }

  // Of the calls of the first hub.
  std::size_t Answered() const {
    return static_cast<std::size_t>(std::count_if(
        a_.answers.begin(), a_.answers.end(), [](const auto& a) { return a && a->has_value(); }));
  }
  std::size_t Called() const { return a_.answers.size(); }

  void Check() {
    CheckCalls(a_, a_bodies_, handled_);
    CheckCalls(b_, b_bodies_, handled_);
    // Two connections, one dialled by each, need not keep one order.
    if (!both_ways_) CheckNotes(b_);
    a_.Call(b_.address(), kEcho, "after all", seconds(5));
    net_.RunUntil(net_.Now() + seconds(5));
    BOOST_REQUIRE(a_.answers.back()->has_value());
  }

 private:
  void Speak(Node& from, const Node& to, std::vector<std::string>& bodies, int number) {
    const std::string name = from.hub->self().node;
    std::string body = std::to_string(number) + name + std::string(random_.Below(3000), '.');
    from.hub->Send(to.address(), kNote, body);
    from.Call(to.address(), kEcho, body, milliseconds(100 + random_.Below(3000)));
    bodies.push_back(std::move(body));
  }
  void Trouble() {
    if (random_.Chance(0.02)) net_.SetCut(kHostA, kHostB, true);
    if (random_.Chance(0.05)) net_.SetCut(kHostA, kHostB, false);
    for (Node* node : {&a_, &b_}) {
      if (random_.Chance(0.02)) node->process.SetPaused(true);
      if (random_.Chance(0.1)) node->process.SetPaused(false);
    }
  }

  bool both_ways_;
  net::VirtualNet net_;
  shelflab::Random random_;
  Node a_{net_, kHostA};
  Node b_{net_, kHostB};
  std::map<std::string, int> handled_;
  std::vector<std::string> a_bodies_, b_bodies_;
};

// HUB_SEEDS histories of each sort.
BOOST_AUTO_TEST_CASE(HistoriesInRoughWeather) {
  const char* wanted = std::getenv("HUB_SEEDS");
  const std::uint64_t seeds = wanted == nullptr ? 60 : std::strtoull(wanted, nullptr, 10);
  std::size_t called = 0, answered = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const bool both_ways : {false, true}) {
      BOOST_TEST_CONTEXT("seed " << seed << (both_ways ? ", both ways" : "")) {
        History history(seed, both_ways);
        history.Play();
        history.Check();
        called += history.Called();
        answered += history.Answered();
      }
    }
  }
  BOOST_TEST_MESSAGE(answered << " of " << called << " calls were answered");
  // Neither fair weather nor a hub that gives everything up.
  BOOST_TEST(answered * 10 > called * 3);
  BOOST_TEST(answered * 10 < called * 9);
}

}  // namespace
}  // namespace shelflink::transport
