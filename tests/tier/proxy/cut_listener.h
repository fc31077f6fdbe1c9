// A kelpspring::Server without a backend, for tests that send requests in two parts, split at any
// byte, with a pause between the parts; records the result of each connection.
#ifndef TESTS_TIER_PROXY_CUT_LISTENER_H_
#define TESTS_TIER_PROXY_CUT_LISTENER_H_

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "proxy/mutations.h"
#include "proxy/proxy_fixture.h"
#include "sidecar/server.h"

namespace proxy_test {

constexpr auto kPauseBetweenParts = milliseconds(20);
constexpr auto kResponseTime = milliseconds(60);

// Result of one connection.
struct Outcome {
  std::vector<std::string> dispatched;  // Head and body of each dispatched request.
  std::string other_output;             // All other output to the client.
  bool closed = false;

  bool operator==(const Outcome&) const = default;
};

inline std::ostream& operator<<(std::ostream& out, const Outcome& outcome) {
  out << "{dispatched:";
  for (const std::string& request : outcome.dispatched) out << " <" << Printable(request) << ">";
  return out << ", other output: " << Printable(outcome.other_output)
             << (outcome.closed ? ", closed}" : "}");
}

// Reads each request completely and responds with its text, so that the responses on a connection
// show which requests were dispatched.
class TestServer {
 public:
  explicit TestServer(std::uint64_t max_body)
      : network_(1),
        process_(network_, 0x0a010001, "server", 4000),
        client_process_(network_, 0x0a090001, "clients", 4000),
        log_(process_, [](std::string_view) {}),
        budget_{3000, 0, [] { return false; }, nullptr},
        server_(
            process_, log_, process_.Listen(net::Address::V4(0x0a010001, 8687)), budget_, drain_,
            [] { return true; }, [max_body] { return max_body; },
            [this](const std::shared_ptr<kelpspring::Client>& client,
                   kelpspring::HttpRequest request,
                   kelpspring::Arrival arrival) { Serve(client, std::move(request), arrival); },
            Terms()) {
    server_.Open();
  }
  ~TestServer() { network_.Clear(); }
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  // Sends `text` on one connection per element of `cuts`, concurrently, split at that byte.
  std::vector<Outcome> SendSplitAt(const std::string& text, const std::vector<std::size_t>& cuts) {
    std::vector<std::unique_ptr<Client>> clients;
    for (const std::size_t cut : cuts) {
      clients.push_back(Dial());
      clients.back()->Send(text.substr(0, cut));
    }
    Run(kPauseBetweenParts);
    for (std::size_t i = 0; i < cuts.size(); ++i) clients[i]->Send(text.substr(cuts[i]));
    Run(kResponseTime);
    std::vector<Outcome> outcomes;
    for (const auto& client : clients) outcomes.push_back(OutcomeOf(*client));
    for (const auto& client : clients) client->Disconnect();
    Run(milliseconds(10));
    return outcomes;
  }
  // Result of a readiness check from a new connection.
  bool Ready() {
    const auto client = Dial();
    client->Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    Run(milliseconds(10));
    const bool ready = client->NextResponse().Status() == 200;
    client->Disconnect();
    Run(milliseconds(10));
    return ready;
  }
  std::unique_ptr<Client> SendRequest(const std::string& text) {
    auto client = Dial();
    client->Send(text);
    return client;
  }
  void Run(net::Span span) { network_.RunUntil(network_.Now() + span); }
  std::size_t clients() const { return server_.clients(); }
  std::uint64_t body_bytes() const { return server_.body_bytes(); }

  using ClientPtr = std::shared_ptr<kelpspring::Client>;

  // If set, called for each request instead of the default handling.
  std::function<void(const ClientPtr&)> on_request;

 private:
  static kelpspring::ServerTerms Terms() {
    kelpspring::ServerTerms terms;
    terms.health_path = "/ready";
    return terms;
  }
  std::unique_ptr<Client> Dial() {
    return std::make_unique<Client>(client_process_, server_.address());
  }
  void Serve(const ClientPtr& client, kelpspring::HttpRequest request,
             kelpspring::Arrival arrival) {
    if (on_request) return on_request(client);
    std::string text = kelpspring::HeadOf(request) + request.body();
    if (arrival.whole) return client->RespondPlain(200, text);
    ReadBody(client, std::move(text));
  }
  void ReadBody(const ClientPtr& client, std::string text) {
    client->Pull([this, client, text = std::move(text)](const std::string& part, bool last) {
      if (last) return client->RespondPlain(200, text + part);
      ReadBody(client, text + part);
    });
  }
  static Outcome OutcomeOf(Client& client) {
    Outcome outcome;
    outcome.closed = client.closed;
    while (true) {
      const Message response = client.NextResponse();
      if (!response.whole) break;
      if (response.Status() == 200) {
        outcome.dispatched.push_back(response.body);
      } else {
        outcome.other_output += response.start_line + " " + response.body;
      }
    }
    outcome.other_output += client.received;
    return outcome;
  }

  net::VirtualNet network_;
  net::VirtualProcess process_;
  net::VirtualProcess client_process_;
  kelpspring::Log log_;
  kelpspring::SocketBudget budget_;
  kelpspring::Drain drain_;
  kelpspring::Server server_;
};

}  // namespace proxy_test

#endif  // TESTS_TIER_PROXY_CUT_LISTENER_H_
