// One connection against a stream that does what the test says: how far writing came, and when a
// peer that does not read is given up.
#define BOOST_TEST_MODULE connection
#include "tier/transport/connection.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace shelflink::transport {
namespace {

using std::chrono::milliseconds;

class FakeStream;

// Time is set by the test; nothing is listened to, and every dial gives a FakeStream.
class FakeLoop : public net::Loop {
 public:
  net::Time Now() const override { return now; }
  std::int64_t WallMicros() const override { return 0; }
  std::int64_t LastingMicros() const override { return 0; }
  net::TimerPtr NewTimer(std::function<void()>) override { return nullptr; }
  void Post(std::function<void()>) override {}
  net::StreamPtr Dial(const net::Address& to, net::StreamUser& user) override;
  net::ListenerPtr Listen(const net::Address&) override { return nullptr; }
  net::DatagramsPtr Bind(const net::Address&, net::Datagrams::OnMessage) override {
    return nullptr;
  }

  net::Time now;
  FakeStream* stream = nullptr;  // The last one.
};

class FakeStream : public net::Stream {
 public:
  explicit FakeStream(net::StreamUser* the_user) : user(the_user) {}
  void SetUser(net::StreamUser& the_user) override { user = &the_user; }
  void Receive() override { ++receives; }
  // What `answers` says next; all that is given once those are used up.
  net::Written Write(std::string_view bytes) override {
    net::Written written{bytes.size()};
    if (!answers.empty()) {
      written = answers.front();
      answers.pop_front();
    }
    taken += bytes.substr(0, written.bytes);
    return written;
  }
  net::Ahead Peek() override { return net::Ahead::kNothing; }
  bool Ended() override { return false; }
  void EndSending() override {}
  void Close() override { closed = true; }
  void Reset() override { closed = true; }
  net::Address peer() const override { return {}; }

  net::StreamUser* user;
  std::deque<net::Written> answers;
  std::string taken;
  int receives = 0;
  bool closed = false;
};

net::StreamPtr FakeLoop::Dial(const net::Address&, net::StreamUser& user) {
  auto made = std::make_unique<FakeStream>(&user);
  stream = made.get();
  return made;
}

struct Owner : ConnectionOwner {
  void OnGreeted(Connection&) override { ++greeted; }
  void OnFrame(Connection&, const Frame& frame) override {
    ++frames;
    if (const auto* message = std::get_if<MessageFrame>(&frame)) bodies.emplace_back(message->body);
  }
  void OnBroken(Connection& connection, const char* cause) override {
    causes.emplace_back(cause);
    connection.Close();
  }
  void OnChanged(Connection&) override {}
  void OnQueued(Connection&) override { ++queued; }
  void OnBytesRead(std::size_t) override {}
  void OnBytesQueued(std::size_t bytes) override { bytes_queued += bytes; }
  void OnBytesWritten(std::size_t bytes) override { bytes_written += bytes; }
  void OnReplaced(std::size_t bytes) override { bytes_queued -= bytes; }

  int greeted = 0, frames = 0, queued = 0;
  std::size_t bytes_queued = 0, bytes_written = 0;
  std::vector<std::string> causes;
  std::vector<std::string> bodies;  // Of messages.
};

const net::Address kPeer = net::Address::V4(0x0a000002, 7000);

// A connection that was dialled, connected and greeted.
struct Scene {
  Scene() {
    connection.Dial(kPeer, 1);
    loop.stream->user->OnConnected(net::Fault::kNone);
    connection.Flush();
    Say(EncodeHello({"peer", "core", "zone", kPeer, 2}, 0));
    BOOST_REQUIRE(owner.greeted == 1);
    loop.stream->taken.clear();
  }
  // The peer does.
  void Say(std::string_view bytes) { loop.stream->user->OnBytes(bytes); }
  std::uint64_t Queue(std::size_t bytes) {
    return connection.Queue(std::string(bytes, 'x'), Connection::Expects::kSignOfLife);
  }

  FakeLoop loop;
  Owner owner;
  PeerIdentity self{"self", "core", "zone", net::Address::V4(0x0a000001, 7000), 1};
  Connection connection{1, loop, owner, self, {milliseconds(1000), milliseconds(1000)}};
};

BOOST_FIXTURE_TEST_SUITE(connection, Scene)

BOOST_AUTO_TEST_CASE(BytesThatWentBeforeAFaultMayHaveLeft) {
  const std::uint64_t first = Queue(100);
  const std::uint64_t second = Queue(100);
  const std::uint64_t third = Queue(100);
  loop.stream->answers = {{101, net::Fault::kReset}};
  connection.Flush();
  BOOST_TEST(owner.causes == (std::vector<std::string>{"reset"}), boost::test_tools::per_element());
  BOOST_TEST(connection.MayHaveLeft(first));
  BOOST_TEST(connection.MayHaveLeft(second));
  BOOST_TEST(!connection.MayHaveLeft(third));
  BOOST_TEST(owner.bytes_queued - owner.bytes_written == connection.queued());
}

// What is queued once the peer has greeted may find the own greeting still waiting.
BOOST_AUTO_TEST_CASE(NothingOvertakesTheGreeting) {
  FakeLoop other_loop;
  Owner other_owner;
  Connection late{2, other_loop, other_owner, self, {milliseconds(1000), milliseconds(1000)}};
  late.Dial(kPeer, 1);
  other_loop.stream->user->OnConnected(net::Fault::kNone);
  other_loop.stream->user->OnBytes(EncodeHello({"peer", "core", "zone", kPeer, 2}, 0));
  BOOST_REQUIRE(other_owner.greeted == 1);
  late.Queue("urgent", Connection::Expects::kNothing, {.urgent = true});
  late.Flush();
  const std::string hello = EncodeHello(self, 1);
  BOOST_TEST((other_loop.stream->taken == hello + "urgent"));
}

BOOST_AUTO_TEST_CASE(WhatIsReplacedIsNoLongerQueued) {
  const Delivery in_slot{.slot = 1};
  connection.Queue(std::string(100, 'x'), Connection::Expects::kSignOfLife, in_slot);
  connection.Queue(std::string(300, 'y'), Connection::Expects::kSignOfLife, in_slot);
  BOOST_TEST(connection.queued() == 300U);
  BOOST_TEST(owner.bytes_queued - owner.bytes_written == connection.queued());
  connection.Flush();
  BOOST_TEST((loop.stream->taken == std::string(300, 'y')));
}

// A list of endpoints need not wait for the end of a document that has begun to leave.
BOOST_AUTO_TEST_CASE(AnUrgentFrameGoesBetweenThePartsOfALongOne) {
  const std::string body(10 * kLongestPart, 'd');
  const std::uint64_t place =
      connection.Queue(EncodeMessage(201, body), Connection::Expects::kSignOfLife);
  loop.stream->answers = {{100}};
  connection.Flush();
  BOOST_TEST(connection.MayHaveLeft(place));
  const std::string list = EncodeMessage(202, "a list");
  connection.Queue(list, Connection::Expects::kSignOfLife, {.urgent = true});
  loop.stream->user->OnWritable();
  const std::size_t at = loop.stream->taken.find(list);
  BOOST_REQUIRE(at != std::string::npos);
  BOOST_TEST(at <= OutboxLane::kChunk);
  BOOST_TEST(owner.bytes_queued - owner.bytes_written == connection.queued());

  Scene other;
  const net::Time before = other.loop.now;
  const std::string_view bytes = loop.stream->taken;
  constexpr std::size_t kPiece = 1000;
  for (std::size_t from = 0; from < bytes.size(); from += kPiece) {
    BOOST_TEST(other.connection.Receives(before) == (from > 0));
    other.Say(bytes.substr(from, kPiece));
  }
  BOOST_TEST(!other.connection.Receives(before));
  BOOST_TEST((other.owner.bodies == std::vector<std::string>{"a list", body}));
  BOOST_TEST(other.owner.causes.empty());
}

// One after the other: a part in a part, garbage, and more than a frame may hold.
BOOST_AUTO_TEST_CASE(PartsThatMakeNoFrameEndTheConnection) {
  const auto cause_of = [&](const std::vector<std::string>& parts) {
    Scene other;
    for (const std::string& part : parts) {
      if (other.owner.causes.empty()) other.Say(part);
    }
    BOOST_TEST(other.owner.frames == 0);
    return other.owner.causes.empty() ? std::string() : other.owner.causes.front();
  };
  const std::string inner = EncodePart(true, "x").substr(kFrameHead);
  BOOST_TEST(cause_of({EncodePart(true, inner)}) == "malformed");
  BOOST_TEST(cause_of({EncodePart(false, "gar"), EncodePart(true, "bage")}) == "malformed");
  const std::string large = EncodePart(false, std::string(kLargestFrame / 2, 'x'));
  BOOST_TEST(cause_of({large, large}).empty());
  BOOST_TEST(cause_of({large, large, EncodePart(true, "x")}) == "too_long");
}

BOOST_AUTO_TEST_CASE(NothingIsWrittenUntilThereIsRoom) {
  Queue(100);
  loop.stream->answers = {{60}};
  connection.Flush();
  const int asked = owner.queued;
  Queue(50);
  BOOST_TEST(owner.queued == asked);  // OnWritable will come.
  connection.Flush();
  BOOST_TEST(loop.stream->taken.size() == 60U);
  loop.stream->user->OnWritable();
  BOOST_TEST(loop.stream->taken.size() == 150U);
  BOOST_TEST(connection.queued() == 0U);
}

BOOST_AUTO_TEST_CASE(APeerThatDoesNotReadIsGivenUpUnlessItTakesSomething) {
  connection.Queue(std::string(100, 'x'), Connection::Expects::kNothing);
  loop.stream->answers = {{10}, {10}, {0}};
  connection.Flush();
  loop.now += milliseconds(600);
  connection.CheckSilence(loop.now);  // Asks, behind what is queued.
  loop.stream->user->OnWritable();    // Ten more have been taken.
  loop.now += milliseconds(600);
  connection.CheckSilence(loop.now);
  BOOST_TEST(owner.causes.empty());
  loop.now += milliseconds(600);
  connection.CheckSilence(loop.now);
  BOOST_TEST(owner.causes == (std::vector<std::string>{"silence"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AClosedConnectionDoesNothingMore) {
  Queue(100);
  connection.Close();
  connection.Flush();
  BOOST_TEST(loop.stream->taken.empty());
  BOOST_TEST(loop.stream->closed);
  BOOST_CHECK(connection.NextCheck() == net::Time::max());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace shelflink::transport
