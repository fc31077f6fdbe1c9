// The hub on the loop on GLib, over loopback: what the virtual network cannot show.
#define BOOST_TEST_MODULE hub_glib
#include <glib.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/glib_loop.h"
#include "tier/transport/hub.h"

namespace shelflink::transport {
namespace {

constexpr MessageKind kNote = kClusterKinds;
constexpr MessageKind kEcho = kClusterKinds + 1;
constexpr auto kPatience = std::chrono::seconds(10);

struct Scene {
  Scene() {
    server = NewHub();
    client = NewHub();
    at = server->self().address;
    server->Handle(kNote, [this](const PeerIdentity&, std::string_view body) {
      ++notes;
      last_size = body.size();
    });
    server->HandleCall(kEcho, [](const PeerIdentity&, std::string_view body,
                                 const Hub::Reply& reply) { reply(std::string(body)); });
  }
  std::unique_ptr<Hub> NewHub() {
    const PeerIdentity self{"node", "role", "zone", net::Address::V4(0x7f000001, 0), 1};
    return std::make_unique<Hub>(loop, self, Hub::Options{});
  }
  void RunUntil(const std::function<bool()>& done) {
    const net::Time limit = loop.Now() + kPatience;
    const net::TimerPtr guard = loop.NewTimer([] {});
    guard->ArmAt(limit);
    while (!done()) {
      BOOST_REQUIRE((loop.Now() < limit));
      g_main_context_iteration(nullptr, TRUE);
    }
  }
  Result<std::string> Call(const std::string& body) {
    std::optional<Result<std::string>> answer;
    client->Call(at, kEcho, body, std::chrono::seconds(5),
                 [&](Result<std::string> result) { answer = std::move(result); });
    RunUntil([&] { return answer.has_value(); });
    return *answer;
  }

  net::GlibLoop loop;
  std::unique_ptr<Hub> server, client;
  net::Address at;
  std::size_t notes = 0;
  std::size_t last_size = 0;
};

BOOST_FIXTURE_TEST_CASE(CallsAndMessagesLargeAndSmall, Scene) {
  BOOST_TEST(Call("question").value() == "question");
  BOOST_TEST(Call(std::string(3U << 20, 'l')).value().size() == 3U << 20);
  constexpr std::size_t kCount = 1000;
  for (std::size_t i = 0; i < kCount; ++i) {
    client->Send(at, kNote, std::string(i, 'x'));
  }
  client->Send(at, kNote, std::string(20U << 20, 'x'));
  RunUntil([&] { return notes == kCount + 1; });
  BOOST_TEST(last_size == 20U << 20);
  BOOST_TEST(client->counters().dropped.empty());
  BOOST_TEST(server->counters().dropped.empty());
}

BOOST_FIXTURE_TEST_CASE(APeerThatEndsIsTold, Scene) {
  BOOST_REQUIRE(Call("first").has_value());
  bool down = false;
  client->Watch([&](const PeerIdentity&, bool up) { down = !up; });
  server.reset();
  RunUntil([&] { return down; });
  const auto answer = Call("nobody");
  BOOST_REQUIRE(answer.has_error());
  BOOST_CHECK(answer.error().code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace shelflink::transport
