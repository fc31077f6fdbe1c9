// A listener of the proxy's kind with nothing behind it, and what each of its connections came to:
// for requests in two parts, cut anywhere, with time between.
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

constexpr auto kBetweenParts = milliseconds(20);
constexpr auto kServed = milliseconds(60);

// What one connection came to.
struct Outcome {
  std::vector<std::string> dispatched;  // Head and body of each request.
  std::string answered;
  bool closed = false;

  bool operator==(const Outcome&) const = default;
};

inline std::ostream& operator<<(std::ostream& out, const Outcome& outcome) {
  out << "{dispatched:";
  for (const std::string& request : outcome.dispatched) out << " <" << Shown(request) << ">";
  return out << ", answered: " << Shown(outcome.answered) << (outcome.closed ? ", over}" : "}");
}

// A listener that reads each request to its end and answers with what it has read, so that every
// connection shows what was dispatched on it.
class Listener {
 public:
  explicit Listener(std::uint64_t most_body)
      : network_(1),
        process_(network_, 0x0a010001, "server", 4000),
        outside_(network_, 0x0a090001, "clients", 4000),
        log_(process_, [](std::string_view) {}),
        budget_{3000, 0, [] { return false; }, nullptr},
        server_(
            process_, log_, process_.Listen(net::Address::V4(0x0a010001, 8687)), budget_, drain_,
            [] { return true; }, [most_body] { return most_body; },
            [this](const std::shared_ptr<kelpspring::Client>& client,
                   kelpspring::HttpRequest request,
                   kelpspring::Arrival arrival) { Serve(client, std::move(request), arrival); },
            Terms()) {
    server_.Open();
  }
  ~Listener() { network_.Clear(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // One connection for each of the texts, all at once; each text in the parts that it is cut into.
  std::vector<Outcome> Play(const std::string& text, const std::vector<std::size_t>& cuts) {
    std::vector<std::unique_ptr<Client>> clients;
    for (const std::size_t cut : cuts) {
      clients.push_back(Dial());
      clients.back()->Send(text.substr(0, cut));
    }
    Run(kBetweenParts);
    for (std::size_t i = 0; i < cuts.size(); ++i) clients[i]->Send(text.substr(cuts[i]));
    Run(kServed);
    std::vector<Outcome> outcomes;
    for (const auto& client : clients) outcomes.push_back(OutcomeOf(*client));
    for (const auto& client : clients) client->Disconnect();
    Run(milliseconds(10));
    return outcomes;
  }
  // A readiness check by another client.
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

  // In place of reading and answering, where it is set.
  std::function<void(const ClientPtr&)> serve;

 private:
  static kelpspring::ServerTerms Terms() {
    kelpspring::ServerTerms terms;
    terms.health_path = "/ready";
    return terms;
  }
  std::unique_ptr<Client> Dial() { return std::make_unique<Client>(outside_, server_.address()); }
  void Serve(const ClientPtr& client, kelpspring::HttpRequest request,
             kelpspring::Arrival arrival) {
    if (serve) return serve(client);
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
      const Message answer = client.NextResponse();
      if (!answer.whole) break;
      if (answer.Status() == 200) {
        outcome.dispatched.push_back(answer.body);
      } else {
        outcome.answered += answer.start_line + " " + answer.body;
      }
    }
    outcome.answered += client.received;
    return outcome;
  }

  net::VirtualNet network_;
  net::VirtualProcess process_;
  net::VirtualProcess outside_;
  kelpspring::Log log_;
  kelpspring::SocketBudget budget_;
  kelpspring::Drain drain_;
  kelpspring::Server server_;
};

}  // namespace proxy_test

#endif  // TESTS_TIER_PROXY_CUT_LISTENER_H_
