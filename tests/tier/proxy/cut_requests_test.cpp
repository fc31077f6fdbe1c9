// Requests that arrive in two parts: at the proxy with an endpoint behind it, and at a server whose
// client sends an invalid rest of the body while the request is being handled.
#define BOOST_TEST_MODULE proxy_cut_requests
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "proxy/cut_listener.h"

using proxy_test::kPauseBetweenParts;
using proxy_test::kResponseTime;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::Printable;
using proxy_test::ProxyFixture;
using proxy_test::Request;
using proxy_test::RespondWith;
using proxy_test::TestServer;

// Guards against an error response inside the body of a response that has started: the client would
// take its status line for a part of the body.
BOOST_AUTO_TEST_CASE(an_invalid_rest_of_the_body_aborts_a_response_that_has_started) {
  TestServer server(0);
  int gone_calls = 0;
  server.on_request = [&](const TestServer::ClientPtr& client) {
    client->OnGone([&] { ++gone_calls; });
    client->Pull([](const std::string&, bool) {});
    client->Begin(kelpspring::PlainText(boost::beast::http::status::ok, ""), 100, [] {});
    client->Part("a part");
  };
  const auto client =
      server.SendRequest("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  server.Run(kPauseBetweenParts);
  client->Send("no chunk\r\n");
  server.Run(kResponseTime);
  BOOST_TEST(client->closed);
  BOOST_TEST(gone_calls == 1);
  BOOST_TEST(client->received.find("HTTP/1.1", 1) == std::string::npos);
  BOOST_TEST(server.Ready());
  BOOST_TEST(server.clients() == 0U);
}

// The handler may still respond in its OnGone callback; the client gets that response alone.
BOOST_AUTO_TEST_CASE(an_invalid_request_gets_one_response) {
  TestServer server(0);
  server.on_request = [](const TestServer::ClientPtr& client) {
    client->OnGone([client] { client->RespondPlain(503, "gone\n"); });
    client->Pull([](const std::string&, bool) {});
  };
  const auto client =
      server.SendRequest("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  server.Run(kPauseBetweenParts);
  client->Send("no chunk\r\n");
  server.Run(kResponseTime);
  BOOST_TEST(client->NextResponse().Status() == 503);
  BOOST_TEST(client->received.empty());
}

namespace {

// Requests received by the endpoint and output to the client, for one split position.
struct Exchanged {
  std::vector<std::string> requests;
  std::string output;

  bool operator==(const Exchanged&) const = default;
};

std::ostream& operator<<(std::ostream& out, const Exchanged& exchanged) {
  out << "{requests:";
  for (const std::string& request : exchanged.requests) out << " <" << Printable(request) << ">";
  return out << ", output: " << Printable(exchanged.output) << "}";
}

Exchanged ExchangeWithCut(ProxyFixture& fixture, const std::string& text, std::size_t cut) {
  proxy_test::Endpoint& endpoint = *fixture.endpoints.front();
  endpoint.requests.clear();
  const auto client = fixture.SendRequest(text.substr(0, cut));
  fixture.Run(kPauseBetweenParts);
  if (cut < text.size()) BOOST_TEST(endpoint.requests.size() <= 1U);
  client->Send(text.substr(cut));
  fixture.Run(kResponseTime);
  Exchanged exchanged;
  for (const Message& request : endpoint.requests) {
    exchanged.requests.push_back(request.start_line + "\n" + request.Value("Shelflink-Request-Id") +
                                 "\n" + request.body);
  }
  exchanged.output = client->received;
  client->Disconnect();
  fixture.Run(milliseconds(10));
  return exchanged;
}

void CheckProxy(const std::string& text) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("served"));
  const Exchanged uncut = ExchangeWithCut(fixture, text, text.size());
  BOOST_TEST(uncut.requests.size() == 2U);
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    BOOST_TEST_CONTEXT("cut at " << cut) {
      BOOST_TEST(ExchangeWithCut(fixture, text, cut) == uncut);
    }
  }
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

}  // namespace

// The proxy, with an endpoint behind it.
BOOST_AUTO_TEST_CASE(at_the_proxy_with_a_length) {
  CheckProxy(proxy_test::kRequestWithLength + Request("/post/b", "0c0d"));
}

BOOST_AUTO_TEST_CASE(at_the_proxy_in_chunks) {
  CheckProxy(proxy_test::kRequestInChunks + Request("/post/b", "0c0d"));
}
