// Sends mutated client requests and endpoint responses. Whatever the mutation: no request reaches
// an endpoint that the client did not send, no incomplete response looks complete, and the next
// request is served.
#define BOOST_TEST_MODULE proxy_mutation
#include <boost/test/unit_test.hpp>
#include <set>

#include "proxy/mutations.h"
#include "proxy/proxy_fixture.h"

using proxy_test::Client;
using proxy_test::Endpoint;
using proxy_test::Lower;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::Mutations;
using proxy_test::Printable;
using proxy_test::ProxyFixture;
using proxy_test::Request;
using proxy_test::RespondWith;
using Connection = Endpoint::Connection;

namespace {

std::string TargetOf(const Message& request) {
  const std::size_t start = request.start_line.find(' ') + 1;
  return request.start_line.substr(start, request.start_line.rfind(' ') - start);
}

// Checks a request received by an endpoint against the bytes that the client has sent.
void CheckReceivedRequest(const Message& request, const std::string& sent) {
  BOOST_TEST(sent.find(TargetOf(request)) != sent.npos);
  BOOST_TEST(sent.find(request.Value("Shelflink-Request-Id")) != sent.npos);
  BOOST_TEST(sent.find(request.body) != sent.npos);
  BOOST_TEST(request.Count("Content-Length") == 1U);
  BOOST_TEST(request.Count("Transfer-Encoding") == 0U);
  BOOST_TEST(request.Count("Shelflink-Request-Id") == 1U);
  BOOST_TEST(request.Count("Shelflink-Credential") == 0U);
  BOOST_TEST(request.Count("Host") == 1U);
  for (const auto& [name, value] : request.headers) {
    BOOST_TEST(name.find_first_of(" \t\r\n") == name.npos);
    BOOST_TEST(value.find_first_of("\r\n") == value.npos);
    if (Lower(name) == "shelflink-tenant") BOOST_TEST(value == "ten");
  }
}

void CheckClientMessage(ProxyFixture& fixture, const std::string& text) {
  BOOST_TEST_CONTEXT(Printable(text)) {
    Endpoint& endpoint = *fixture.endpoints.front();
    endpoint.requests.clear();
    auto client = fixture.SendRequest(text);
    fixture.Run(milliseconds(30));
    client->Disconnect();
    for (const Message& request : endpoint.requests) CheckReceivedRequest(request, text);
    while (true) {
      const Message response = client->NextResponse();
      if (!response.whole) break;
      const bool success = response.Status() == 200;
      BOOST_TEST((response.Value("Shelflink-Response-Stamp") == "stamp.1") == success);
      if (success) BOOST_TEST(response.body == "served");
    }
    fixture.Run(milliseconds(10));
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(client_requests_with_a_length) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("served"));
  const std::string& text = proxy_test::kRequestWithLength;
  const std::string next =
      "POST /keyed/b HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 0c0d\r\n"
      "Shelflink-Credential: key-2\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& mutation : Mutations(text)) CheckClientMessage(fixture, mutation + next);
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(client_requests_in_chunks) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("served"));
  const std::string& text = proxy_test::kRequestInChunks;
  const std::string next =
      "GET /get/b HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 0c0d\r\n\r\n";
  for (const std::string& mutation : Mutations(text)) {
    BOOST_TEST_CONTEXT(Printable(mutation)) {
      Endpoint& endpoint = *fixture.endpoints.front();
      endpoint.requests.clear();
      auto client = fixture.SendRequest(mutation + next);
      fixture.Run(milliseconds(30));
      client->Disconnect();
      for (const Message& request : endpoint.requests) {
        BOOST_TEST(request.Count("Transfer-Encoding") == 0U);
        BOOST_TEST(request.body.size() <= mutation.size() + next.size());
        // The body of the next request must not contain bytes of this one.
        if (request.Value("Shelflink-Request-Id") == "0c0d") BOOST_TEST(request.body.empty());
      }
      fixture.Run(milliseconds(10));
    }
  }
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

namespace {

// The endpoint sends `text` as the response to the first request and responds correctly to others.
void CheckResponse(const std::string& path, const std::string& text, bool may_pass_body) {
  BOOST_TEST_CONTEXT(Printable(text)) {
    ProxyFixture fixture;
    bool first = true;
    fixture.Add([&](Connection& connection, const Message& request) {
      if (std::exchange(first, false)) {
        connection.Write(text);
        fixture.endpoints[0]->RunAfter(milliseconds(100), [&connection] { connection.Close(); });
      } else {
        connection.Write(Endpoint::Response(request, "the next one's"));
      }
    });
    auto client = fixture.SendRequest(Request(path, "0a0b"));
    fixture.Run(milliseconds(50));
    // Sent while the proxy may still wait for the first response.
    auto next = fixture.SendRequest(Request("/post/a", "0c0d"));
    fixture.Run(milliseconds(300));
    BOOST_TEST(next->NextResponse().body == "the next one's");
    const Message response = client->NextResponse();
    BOOST_TEST(response.Status() != 503);
    BOOST_TEST(response.Status() != 429);
    if (response.Status() / 100 == 2) {
      BOOST_TEST(response.Value("Shelflink-Request-Id") == "0a0b");
      BOOST_TEST(response.Count("Shelflink-Response-Stamp") >= 1U);
      if (response.whole) BOOST_TEST((may_pass_body || !response.body.empty()));
    }
    BOOST_TEST(fixture.endpoints[0]->requests.size() == 2U);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(endpoint_responses) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nShelflink-Request-Id: 0a0b\r\nShelflink-Response-Stamp: 3e1b\r\n"
      "Keep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nbytes";
  for (const std::string& mutation : Mutations(text)) CheckResponse("/post/a", mutation, true);
}

BOOST_AUTO_TEST_CASE(endpoint_streams) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nShelflink-Request-Id: 0a0b\r\nShelflink-Response-Stamp: 3e1b\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Endpoint::Chunk(Endpoint::EventText(1)) + Endpoint::Chunk(Endpoint::EventText(2)) +
      "0\r\n\r\n";
  for (const std::string& mutation : Mutations(text)) CheckResponse("/stream/a", mutation, true);
}

BOOST_AUTO_TEST_CASE(truncated_responses_never_look_complete) {
  const std::string sized =
      "HTTP/1.1 200 OK\r\nShelflink-Request-Id: 0a0b\r\nShelflink-Response-Stamp: 3e1b\r\n"
      "Content-Length: 5\r\n\r\nbytes";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nShelflink-Request-Id: 0a0b\r\nShelflink-Response-Stamp: 3e1b\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Endpoint::Chunk(Endpoint::EventText(1)) + Endpoint::Chunk(Endpoint::EventText(2)) +
      "0\r\n\r\n";
  for (const auto& [path, text] :
       {std::pair<std::string, std::string>{"/post/a", sized}, {"/stream/a", stream}}) {
    for (std::size_t length = 0; length < text.size(); ++length) {
      BOOST_TEST_CONTEXT(Printable(text.substr(0, length))) {
        ProxyFixture fixture;
        const std::string part = text.substr(0, length);
        fixture.Add([&](Connection& connection, const Message&) {
          connection.Write(part);
          fixture.endpoints[0]->RunAfter(milliseconds(20), [&connection] { connection.Close(); });
        });
        auto client = fixture.SendRequest(Request(path, "0a0b"));
        fixture.Run(milliseconds(100));
        const Message response = client->NextResponse();
        if (response.Status() == 200) {
          BOOST_TEST(!response.whole);
          BOOST_TEST(client->closed);
        } else {
          BOOST_TEST(response.Status() == 502);
        }
      }
    }
  }
}
