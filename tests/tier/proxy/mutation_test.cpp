// One message changed in one place at a time, both ways: whatever comes of it, nothing that was not
// sent runs, nothing looks whole that is not, and the next request is served as ever.
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
using proxy_test::ProxyFixture;
using proxy_test::Request;
using proxy_test::RespondWith;
using proxy_test::Shown;
using Connection = Endpoint::Connection;

namespace {

std::string TargetOf(const Message& request) {
  const std::size_t start = request.start_line.find(' ') + 1;
  return request.start_line.substr(start, request.start_line.rfind(' ') - start);
}

// What an endpoint may see of what a client has sent.
void CheckSeen(const Message& seen, const std::string& sent) {
  BOOST_TEST(sent.find(TargetOf(seen)) != sent.npos);
  BOOST_TEST(sent.find(seen.Value("Shelflink-Request-Id")) != sent.npos);
  BOOST_TEST(sent.find(seen.body) != sent.npos);
  BOOST_TEST(seen.Count("Content-Length") == 1U);
  BOOST_TEST(seen.Count("Transfer-Encoding") == 0U);
  BOOST_TEST(seen.Count("Shelflink-Request-Id") == 1U);
  BOOST_TEST(seen.Count("Shelflink-Credential") == 0U);
  BOOST_TEST(seen.Count("Host") == 1U);
  for (const auto& [name, value] : seen.headers) {
    BOOST_TEST(name.find_first_of(" \t\r\n") == name.npos);
    BOOST_TEST(value.find_first_of("\r\n") == value.npos);
    if (Lower(name) == "shelflink-tenant") BOOST_TEST(value == "ten");
  }
}

void CheckClientMessage(ProxyFixture& fixture, const std::string& text) {
  BOOST_TEST_CONTEXT(Shown(text)) {
    Endpoint& endpoint = *fixture.endpoints.front();
    endpoint.requests.clear();
    auto client = fixture.SendRequest(text);
    fixture.Run(milliseconds(30));
    client->Disconnect();
    for (const Message& seen : endpoint.requests) CheckSeen(seen, text);
    while (true) {
      const Message answer = client->NextResponse();
      if (!answer.whole) break;
      const bool success = answer.Status() == 200;
      BOOST_TEST((answer.Value("Shelflink-Response-Stamp") == "stamp.1") == success);
      if (success) BOOST_TEST(answer.body == "served");
    }
    fixture.Run(milliseconds(10));
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(clients_requests_with_a_length) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("served"));
  const std::string& text = proxy_test::kRequestWithLength;
  const std::string next =
      "POST /keyed/b HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 0c0d\r\n"
      "Shelflink-Credential: key-2\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& mutation : Mutations(text)) CheckClientMessage(fixture, mutation + next);
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(clients_requests_in_chunks) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("served"));
  const std::string& text = proxy_test::kRequestInChunks;
  const std::string next =
      "GET /get/b HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 0c0d\r\n\r\n";
  for (const std::string& mutation : Mutations(text)) {
    BOOST_TEST_CONTEXT(Shown(mutation)) {
      Endpoint& endpoint = *fixture.endpoints.front();
      endpoint.requests.clear();
      auto client = fixture.SendRequest(mutation + next);
      fixture.Run(milliseconds(30));
      client->Disconnect();
      for (const Message& seen : endpoint.requests) {
        BOOST_TEST(seen.Count("Transfer-Encoding") == 0U);
        BOOST_TEST(seen.body.size() <= mutation.size() + next.size());
        // Nothing of the next request was taken for this one's body but by its own length.
        if (seen.Value("Shelflink-Request-Id") == "0c0d") BOOST_TEST(seen.body.empty());
      }
      fixture.Run(milliseconds(10));
    }
  }
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

namespace {

// An endpoint that answers the first request with that text, and the others well.
void CheckAnswer(const std::string& path, const std::string& text, bool may_pass_body) {
  BOOST_TEST_CONTEXT(Shown(text)) {
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
    // While the first may still be waited for.
    auto next = fixture.SendRequest(Request("/post/a", "0c0d"));
    fixture.Run(milliseconds(300));
    BOOST_TEST(next->NextResponse().body == "the next one's");
    const Message answer = client->NextResponse();
    BOOST_TEST(answer.Status() != 503);
    BOOST_TEST(answer.Status() != 429);
    if (answer.Status() / 100 == 2) {
      BOOST_TEST(answer.Value("Shelflink-Request-Id") == "0a0b");
      BOOST_TEST(answer.Count("Shelflink-Response-Stamp") >= 1U);
      if (answer.whole) BOOST_TEST((may_pass_body || !answer.body.empty()));
    }
    BOOST_TEST(fixture.endpoints[0]->requests.size() == 2U);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(endpoints_answers) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nShelflink-Request-Id: 0a0b\r\nShelflink-Response-Stamp: 3e1b\r\n"
      "Keep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nbytes";
  for (const std::string& mutation : Mutations(text)) CheckAnswer("/post/a", mutation, true);
}

BOOST_AUTO_TEST_CASE(endpoints_streams) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nShelflink-Request-Id: 0a0b\r\nShelflink-Response-Stamp: 3e1b\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Endpoint::Chunk(Endpoint::EventText(1)) + Endpoint::Chunk(Endpoint::EventText(2)) +
      "0\r\n\r\n";
  for (const std::string& mutation : Mutations(text)) CheckAnswer("/stream/a", mutation, true);
}

BOOST_AUTO_TEST_CASE(answers_that_end_early_never_look_whole) {
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
      BOOST_TEST_CONTEXT(Shown(text.substr(0, length))) {
        ProxyFixture fixture;
        const std::string part = text.substr(0, length);
        fixture.Add([&](Connection& connection, const Message&) {
          connection.Write(part);
          fixture.endpoints[0]->RunAfter(milliseconds(20), [&connection] { connection.Close(); });
        });
        auto client = fixture.SendRequest(Request(path, "0a0b"));
        fixture.Run(milliseconds(100));
        const Message answer = client->NextResponse();
        if (answer.Status() == 200) {
          BOOST_TEST(!answer.whole);
          BOOST_TEST(client->closed);
        } else {
          BOOST_TEST(answer.Status() == 502);
        }
      }
    }
  }
}
