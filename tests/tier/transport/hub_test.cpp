// The hub on the virtual network: what it promises of order, loss, time-outs and silence.
#define BOOST_TEST_MODULE hub
#include "tier/transport/hub.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
    hub->HandleCall(kEcho, [](const PeerIdentity&, std::string_view body, Hub::Reply reply) {
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace shelflink::transport
