// Listeners of the serving tier on the virtual network. Of two peers one says whatever the bytes
// are, in two parts with time between; the other keeps to the protocol and must be served.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fuzz/tier_targets.h"
#include "proxy/proxy_fixture.h"
#include "sidecar/server.h"
#include "tier/proxy/metrics_answer.h"
#include "tier/transport/frames.h"
#include "tier/transport/hub.h"

namespace fuzz {
namespace {

using proxy_test::Client;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using shelflink::transport::Hub;

// Beyond each time-out that a listener keeps for what has not come whole.
constexpr auto kWhole = std::chrono::seconds(60);
constexpr auto kBetweenParts = milliseconds(40);
constexpr auto kServed = milliseconds(200);

// The first two bytes say where the others are cut.
struct Parts {
  explicit Parts(std::string_view bytes) {
    if (bytes.size() < 2) return;
    const std::string_view text = bytes.substr(2);
    const std::size_t wanted =
        static_cast<unsigned char>(bytes[0]) | static_cast<unsigned char>(bytes[1]) << 8U;
    const std::size_t cut = text.empty() ? 0 : wanted % (text.size() + 1);
    first = text.substr(0, cut);
    second = text.substr(cut);
  }
  std::string first;
  std::string second;
};

void MustBeWhole(const Message& answer, int status, const char* who) {
  if (!answer.whole || answer.Status() != status) {
    throw Breach(std::string(who) + " got " +
                 (answer.whole ? answer.start_line : "no whole answer"));
  }
}

// All that came on a connection must be answers.
void MustBeAnswers(Client& client) {
  while (true) {
    const Message answer = client.NextResponse();
    if (!answer.whole) break;
  }
  if (!client.received.empty() && client.received.substr(0, 9) != "HTTP/1.1 " &&
      client.received.size() >= 9) {
    throw Breach("what is no answer: " + client.received.substr(0, 40));
  }
}

}  // namespace

void PlayFront(std::string_view bytes) {
  const Parts parts(bytes);
  ProxyFixture world;
  world.Add(proxy_test::RespondWith("served"));
  auto odd = world.SendRequest(parts.first);
  world.Run(kBetweenParts);
  odd->Send(parts.second);
  auto good = world.SendRequest(proxy_test::Request("/post/a", "0c0d"));
  world.Run(kServed);
  const Message answer = good->NextResponse();
  MustBeWhole(answer, 200, "the next request");
  if (answer.body != "served") throw Breach("the next request got another body");
  MustBeAnswers(*odd);
  odd->Disconnect();
  good->Disconnect();
  world.Run(kWhole);
  if (world.calls.active_calls() + world.front.clients() > 0)
    throw Breach("something is left at rest");
}

namespace {

// A server without anything behind it; what it does with a request is the test's to say.
class Stage {
 public:
  enum class Manner { kAnswer, kReadThenAnswer, kAnswerInParts };

  Stage(std::uint64_t most_body, Manner manner)
      : network(1),
        process(network, 0x0a010001, "server", 1000),
        outside(network, 0x0a090001, "clients", 1000),
        log(process, [](std::string_view) {}),
        budget{100, 0, [] { return false; }, nullptr},
        manner_(manner),
        server(
            process, log, process.Listen(net::Address::V4(0x0a010001, 8687)), budget, drain,
            [] { return true; }, [most_body] { return most_body; },
            [this](const std::shared_ptr<kelpspring::Client>& client,
                   const kelpspring::HttpRequest& request,
                   kelpspring::Arrival arrival) { Serve(client, request, arrival); },
            Terms()) {
    server.Open();
  }
  ~Stage() { network.Clear(); }
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  void Run(net::Span span) { network.RunUntil(network.Now() + span); }
  std::unique_ptr<Client> Ask(const std::string& text) {
    auto client = std::make_unique<Client>(outside, server.address());
    client->Send(text);
    return client;
  }

  net::VirtualNet network;
  net::VirtualProcess process;
  net::VirtualProcess outside;
  kelpspring::Log log;
  kelpspring::SocketBudget budget;
  kelpspring::Drain drain;

 private:
  using ClientPtr = std::shared_ptr<kelpspring::Client>;

  static kelpspring::ServerTerms Terms() {
    kelpspring::ServerTerms terms;
    terms.health_path = "/ready";
    terms.body_limit = 100'000;
    return terms;
  }
  void Serve(const ClientPtr& client, const kelpspring::HttpRequest& request,
             kelpspring::Arrival arrival) {
    if (manner_ == Manner::kAnswerInParts) return AnswerInParts(client, arrival);
    if (manner_ == Manner::kReadThenAnswer && !arrival.whole) {
      return ReadOn(client, request.body().size());
    }
    shelflink::proxy::AnswerMetrics(*client, request, [] { return std::string("figures 1\n"); });
  }
  void ReadOn(const ClientPtr& client, std::size_t read) {
    client->Pull([this, client, read](const std::string& part, bool last) {
      if (!last) return ReadOn(client, read + part.size());
      client->RespondPlain(200, std::to_string(read + part.size()));
    });
  }
  // Begins its answer while the rest of the body is still to come.
  void AnswerInParts(const ClientPtr& client, kelpspring::Arrival arrival) {
    if (!arrival.whole) client->Pull([](const std::string&, bool) {});
    client->Begin(kelpspring::PlainText(boost::beast::http::status::ok, ""), std::nullopt, [] {});
    client->Part("one part");
    if (arrival.whole) client->EndBody();
  }

  Manner manner_;

 public:
  kelpspring::Server server;
};

}  // namespace

// The first byte: how much of a body may be held, and what is done with requests.
void PlayReady(std::string_view bytes) {
  const unsigned sort = bytes.empty() ? 0 : static_cast<unsigned char>(bytes[0]);
  const Parts parts(bytes.empty() ? bytes : bytes.substr(1));
  constexpr std::uint64_t kMost[] = {0, 1, UINT64_MAX};
  Stage stage(kMost[sort % 3], static_cast<Stage::Manner>(sort / 3 % 3));
  auto odd = stage.Ask(parts.first);
  stage.Run(kBetweenParts);
  odd->Send(parts.second);
  auto good = stage.Ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  stage.Run(kServed);
  MustBeWhole(good->NextResponse(), 200, "a readiness check");
  odd->Disconnect();
  good->Disconnect();
  stage.Run(kWhole);
  if (stage.server.clients() + stage.budget.open > 1) throw Breach("something is left at rest");
  if (stage.server.body_bytes() > 0) throw Breach("a body counts as held at rest");
}

// The first byte: whether the bytes follow a proper greeting.
void PlayHub(std::string_view bytes) {
  namespace transport = shelflink::transport;
  const bool greet = !bytes.empty() && (bytes[0] & 1) != 0;
  const Parts parts(bytes.empty() ? bytes : bytes.substr(1));
  const auto identity = [](std::uint32_t host) {
    return transport::PeerIdentity{"node", "core", "zone", net::Address::V4(host, 7000), 1};
  };
  net::VirtualNet network(1);
  net::VirtualProcess here(network, 0x0a010001, "hub", 100);
  net::VirtualProcess there(network, 0x0a010002, "peer", 100);
  net::VirtualProcess stranger(network, 0x0a010003, "stranger", 100);
  constexpr transport::MessageKind kEcho = transport::kClusterKinds;
  Hub hub(here, identity(0x0a010001), {});
  Hub peer(there, identity(0x0a010002), {});
  std::vector<Hub::Reply> unanswered;
  hub.HandleCall(kEcho, [](const transport::PeerIdentity&, std::string_view body,
                           const Hub::Reply& reply) { reply(std::string(body)); });
  hub.HandleCall(kEcho + 1, [&](const transport::PeerIdentity&, std::string_view,
                                Hub::Reply reply) { unanswered.push_back(std::move(reply)); });
  hub.Handle(kEcho + 2, [&](const transport::PeerIdentity& from, std::string_view body) {
    hub.Send(from.address, kEcho + 2, std::string(body));
  });
  Client odd(stranger, hub.self().address);
  if (greet) odd.Send(transport::EncodeHello(identity(0x0a010003), 1));
  odd.Send(parts.first);
  network.RunUntil(network.Now() + kBetweenParts);
  odd.Send(parts.second);
  std::string answer;
  peer.Call(hub.self().address, kEcho, "still there", std::chrono::seconds(1),
            [&](const shelflink::Result<std::string>& result) {
              answer = result ? result.value() : result.error().text;
            });
  network.RunUntil(network.Now() + std::chrono::seconds(2));
  if (answer != "still there") throw Breach("the next call got: " + answer);
  for (const Hub::Reply& reply : unanswered) reply(std::string("late"));
  odd.Disconnect();
  network.RunUntil(network.Now() + std::chrono::seconds(10));
  network.Clear();
}

// The first byte: the route; then where the endpoint's bytes are cut.
void PlayAnswer(std::string_view bytes) {
  constexpr const char* kPaths[] = {"/get/a", "/post/a", "/stream/a", "/resume/a"};
  const unsigned sort = bytes.empty() ? 0 : static_cast<unsigned char>(bytes[0]);
  const Parts parts(bytes.empty() ? bytes : bytes.substr(1));
  ProxyFixture world;
  bool first = true;
  world.Add([&](Endpoint::Connection& line, const Message& request) {
    if (!std::exchange(first, false))
      return line.Write(Endpoint::Response(request, "the next one's"));
    line.Write(parts.first);
    const bool ends = (sort & 0x80U) != 0;
    world.endpoints[0]->RunAfter(kBetweenParts, [&line, &parts, ends] {
      if (line.open()) line.Write(parts.second);
      if (line.open() && ends) line.Close();
    });
  });
  auto client = world.SendRequest(proxy_test::Request(kPaths[sort % 4], "0a0b"));
  world.Run(kServed);
  auto next = world.SendRequest(proxy_test::Request("/post/a", "0c0d"));
  world.Run(kServed);
  const Message answer = next->NextResponse();
  MustBeWhole(answer, 200, "the next request");
  if (answer.body != "the next one's") throw Breach("the next request got another body");
  world.Run(kWhole);
  client->Disconnect();
  next->Disconnect();
  world.Run(kWhole);
  if (world.calls.active_calls() + world.front.clients() > 0)
    throw Breach("something is left at rest");
}

}  // namespace fuzz
