// Requests in two parts at the front, with an endpoint behind it; and what a listener does where
// the rest of a request is spoilt while it is under way.
#define BOOST_TEST_MODULE proxy_cut_requests
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "proxy/cut_listener.h"

using proxy_test::kBetweenParts;
using proxy_test::kServed;
using proxy_test::Listener;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using proxy_test::Request;
using proxy_test::RespondWith;
using proxy_test::Shown;

// A status line inside an answer's body would pass for a part of it.
BOOST_AUTO_TEST_CASE(a_rest_that_is_spoilt_breaks_off_an_answer_that_has_begun) {
  Listener listener(0);
  int gone = 0;
  listener.serve = [&](const Listener::ClientPtr& client) {
    client->OnGone([&] { ++gone; });
    client->Pull([](const std::string&, bool) {});
    client->Begin(kelpspring::PlainText(boost::beast::http::status::ok, ""), 100, [] {});
    client->Part("a part");
  };
  const auto client =
      listener.SendRequest("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  listener.Run(kBetweenParts);
  client->Send("no chunk\r\n");
  listener.Run(kServed);
  BOOST_TEST(client->closed);
  BOOST_TEST(gone == 1);
  BOOST_TEST(client->received.find("HTTP/1.1", 1) == std::string::npos);
  BOOST_TEST(listener.Ready());
  BOOST_TEST(listener.clients() == 0U);
}

// Whoever is told that its client has gone may answer it all the same.
BOOST_AUTO_TEST_CASE(a_request_that_is_spoilt_is_answered_once) {
  Listener listener(0);
  listener.serve = [](const Listener::ClientPtr& client) {
    client->OnGone([client] { client->RespondPlain(503, "gone\n"); });
    client->Pull([](const std::string&, bool) {});
  };
  const auto client =
      listener.SendRequest("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  listener.Run(kBetweenParts);
  client->Send("no chunk\r\n");
  listener.Run(kServed);
  BOOST_TEST(client->NextResponse().Status() == 503);
  BOOST_TEST(client->received.empty());
}

namespace {

// The requests that an endpoint saw, and the client's answers, for one cut at the proxy's front.
struct Served {
  std::vector<std::string> seen;
  std::string answered;

  bool operator==(const Served&) const = default;
};

std::ostream& operator<<(std::ostream& out, const Served& served) {
  out << "{seen:";
  for (const std::string& request : served.seen) out << " <" << Shown(request) << ">";
  return out << ", answered: " << Shown(served.answered) << "}";
}

Served ServedOf(ProxyFixture& fixture, const std::string& text, std::size_t cut) {
  proxy_test::Endpoint& endpoint = *fixture.endpoints.front();
  endpoint.requests.clear();
  const auto client = fixture.SendRequest(text.substr(0, cut));
  fixture.Run(kBetweenParts);
  if (cut < text.size()) BOOST_TEST(endpoint.requests.size() <= 1U);
  client->Send(text.substr(cut));
  fixture.Run(kServed);
  Served served;
  for (const Message& request : endpoint.requests) {
    served.seen.push_back(request.start_line + "\n" + request.Value("Shelflink-Request-Id") + "\n" +
                          request.body);
  }
  served.answered = client->received;
  client->Disconnect();
  fixture.Run(milliseconds(10));
  return served;
}

void CheckFront(const std::string& text) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("served"));
  const Served uncut = ServedOf(fixture, text, text.size());
  BOOST_TEST(uncut.seen.size() == 2U);
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    BOOST_TEST_CONTEXT("cut at " << cut) { BOOST_TEST(ServedOf(fixture, text, cut) == uncut); }
  }
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

}  // namespace

// The front itself, with an endpoint behind it.
BOOST_AUTO_TEST_CASE(at_the_front_with_a_length) {
  CheckFront(proxy_test::kRequestWithLength + Request("/post/b", "0c0d"));
}

BOOST_AUTO_TEST_CASE(at_the_front_in_chunks) {
  CheckFront(proxy_test::kRequestInChunks + Request("/post/b", "0c0d"));
}
