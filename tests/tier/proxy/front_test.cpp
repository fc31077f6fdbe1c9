// The proxy's behaviour towards clients: forwarding, rejected requests, limits and shutdown.
#define BOOST_TEST_MODULE proxy_front
#include <boost/test/unit_test.hpp>

#include "proxy/proxy_fixture.h"

using proxy_test::Client;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using proxy_test::Request;
using proxy_test::RespondWith;
using proxy_test::SampleConfiguration;

BOOST_AUTO_TEST_CASE(forwards_request_and_response) {
  ProxyFixture fixture;
  Endpoint& endpoint =
      fixture.Add(RespondWith("the bytes", "X-More: yes\r\nKeep-Alive: timeout=5\r\n"));
  auto client =
      fixture.SendRequest(Request("/post/one?q=1%202", "9c41d07be2a35f68",
                                  "X-Other: kept\r\nConnection: X-Hop, keep-alive\r\nX-Hop: no\r\n"
                                  "Shelflink-Tenant: forged\r\nShelflink-Credential: key-1\r\n"));
  fixture.Run(milliseconds(100));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.Status() == 200);
  BOOST_TEST(response.body == "the bytes");
  BOOST_TEST(response.Value("Shelflink-Response-Stamp") == "stamp.1");
  BOOST_TEST(response.Value("X-More") == "yes");
  BOOST_TEST(response.Count("Keep-Alive") == 0U);
  BOOST_REQUIRE(endpoint.requests.size() == 1U);
  const Message& received = endpoint.requests.front();
  BOOST_TEST(received.start_line == "POST /post/one?q=1%202 HTTP/1.1");
  BOOST_TEST(received.body == "prompt");
  BOOST_TEST(received.Value("Host") == "a.example");
  BOOST_TEST(received.Value("X-Other") == "kept");
  BOOST_TEST(received.Value("Shelflink-Request-Id") == "9c41d07be2a35f68");
  BOOST_TEST(received.Value("Shelflink-Expect-Instance") == "i-0");
  BOOST_TEST(received.Count("X-Hop") == 0U);
  BOOST_TEST(received.Count("Connection") == 0U);
  BOOST_TEST(received.Count("Shelflink-Tenant") == 0U);
  BOOST_TEST(received.Count("Shelflink-Credential") == 0U);
  const int remaining_ms = std::stoi(received.Value("Shelflink-Deadline-Ms"));
  BOOST_TEST(remaining_ms <= 3000);
  BOOST_TEST(remaining_ms >= 2950);
}

BOOST_AUTO_TEST_CASE(tenant_comes_from_the_key) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  const std::string forged = "Shelflink-Tenant: forged\r\n";
  auto known =
      fixture.SendRequest(Request("/keyed/a", "01", "Shelflink-Credential: key-2\r\n" + forged));
  auto unknown =
      fixture.SendRequest(Request("/keyed/a", "02", "Shelflink-Credential: key-3\r\n" + forged));
  auto keyless = fixture.SendRequest(Request("/keyed/a", "03", forged));
  fixture.Run(milliseconds(100));
  BOOST_TEST(known->NextResponse().Status() == 200);
  BOOST_TEST(unknown->NextResponse().Status() == 401);
  BOOST_TEST(keyless->NextResponse().Status() == 401);
  BOOST_REQUIRE(endpoint.requests.size() == 1U);
  BOOST_TEST(endpoint.requests.front().Value("Shelflink-Tenant") == "ten");
  BOOST_TEST(endpoint.requests.front().Count("Shelflink-Tenant") == 1U);
  BOOST_TEST(endpoint.requests.front().Count("Shelflink-Credential") == 0U);
  BOOST_TEST(fixture.usage["ten"] == 1);
}

BOOST_AUTO_TEST_CASE(revoked_key_is_rejected_on_the_next_request) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("x"));
  auto client = fixture.SendRequest(Request("/keyed/a", "01", "Shelflink-Credential: key-2\r\n"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(client->NextResponse().Status() == 200);
  auto changed = SampleConfiguration();
  changed.tenants[0].api_keys = {"key-1"};
  changed.Index();
  fixture.SetConfiguration(changed);
  client->Send(Request("/keyed/a", "02", "Shelflink-Credential: key-2\r\n"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(client->NextResponse().Status() == 401);
}

BOOST_AUTO_TEST_CASE(forwards_a_chunked_body_with_its_length) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  auto client = fixture.SendRequest(
      "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 01\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  fixture.Run(milliseconds(50));
  BOOST_TEST(endpoint.requests.empty());
  client->Send("2\r\nde\r\n0\r\n\r\n");
  fixture.Run(milliseconds(50));
  BOOST_TEST(client->NextResponse().Status() == 200);
  BOOST_REQUIRE(endpoint.requests.size() == 1U);
  BOOST_TEST(endpoint.requests.front().body == "abcde");
  BOOST_TEST(endpoint.requests.front().Value("Content-Length") == "5");
  BOOST_TEST(endpoint.requests.front().Count("Transfer-Encoding") == 0U);
}

BOOST_AUTO_TEST_CASE(responds_to_pipelined_requests_in_order) {
  ProxyFixture fixture;
  fixture.Add([](Endpoint::Connection& connection, const Message& request) {
    connection.Write(Endpoint::Response(request, request.Value("Shelflink-Request-Id")));
  });
  auto client = fixture.SendRequest(Request("/post/a", "01") + Request("/post/a", "02") +
                                    Request("/nowhere/a", "03") + Request("/post/a", "04"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(client->NextResponse().body == "01");
  BOOST_TEST(client->NextResponse().body == "02");
  BOOST_TEST(client->NextResponse().Status() == 404);
  BOOST_TEST(client->NextResponse().body == "04");
}

// ---- Invalid requests are rejected and never forwarded ----

namespace {

struct InvalidRequest {
  const char* name;
  std::string text;
  int status;  // 0: the connection is closed.
};

std::string PostRequest(const std::string& header_lines) {
  return "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 01\r\n" + header_lines;
}

}  // namespace

BOOST_AUTO_TEST_CASE(invalid_requests_are_never_forwarded) {
  const std::string huge(20'000, 'x');
  const std::vector<InvalidRequest> invalid_requests = {
      {"two lengths", PostRequest("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), 400},
      {"the same length twice", PostRequest("Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
       400},
      {"a list of lengths", PostRequest("Content-Length: 3, 3\r\n\r\nabc"), 400},
      {"a signed length", PostRequest("Content-Length: +3\r\n\r\nabc"), 400},
      {"length and chunks",
       PostRequest("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400},
      {"chunks and length",
       PostRequest("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"), 400},
      {"an unknown coding", PostRequest("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), 400},
      {"a coding in disguise", PostRequest("Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"), 400},
      {"a bare line feed", "POST /post/a HTTP/1.1\nHost: a.example\n\n", 400},
      {"a bare line feed in the headers", PostRequest("X-A: b\nContent-Length: 0\r\n\r\n"), 400},
      {"a folded header", PostRequest("X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n"), 400},
      {"a header without a name", PostRequest(": b\r\nContent-Length: 0\r\n\r\n"), 400},
      {"a space before the colon", PostRequest("X-A : b\r\nContent-Length: 0\r\n\r\n"), 400},
      {"no host", "POST /post/a HTTP/1.1\r\nShelflink-Request-Id: 01\r\nContent-Length: 0\r\n\r\n",
       400},
      {"two hosts", PostRequest("Host: b.example\r\nContent-Length: 0\r\n\r\n"), 400},
      {"two ids", PostRequest("Shelflink-Request-Id: 02\r\nContent-Length: 0\r\n\r\n"), 400},
      {"no id", "POST /post/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n", 400},
      {"no path", "POST * HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n", 400},
      {"too large a head", PostRequest("X-A: " + huge + "\r\nContent-Length: 0\r\n\r\n"), 431},
      {"too large a body", PostRequest("Content-Length: 5000000\r\n\r\n"), 413},
      {"a chunk size that is none", PostRequest("Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"),
       400},
      {"no HTTP", "hello there\r\n\r\n", 400},
      {"another protocol's start", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
  };
  for (const InvalidRequest& invalid : invalid_requests) {
    BOOST_TEST_CONTEXT(invalid.name) {
      ProxyFixture fixture;
      Endpoint& endpoint = fixture.Add(RespondWith("x"));
      auto client = fixture.SendRequest(invalid.text);
      fixture.Run(milliseconds(1000));
      const Message response = client->NextResponse();
      BOOST_TEST(response.Status() == invalid.status);
      BOOST_TEST(endpoint.requests.empty());
      BOOST_TEST(response.Count("Shelflink-Response-Stamp") == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(no_route_is_404) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  auto path = fixture.SendRequest(Request("/nowhere/a"));
  auto host = fixture.SendRequest(
      "GET /get/a HTTP/1.1\r\nHost: b.example\r\nShelflink-Request-Id: 01\r\n\r\n");
  fixture.Run(milliseconds(100));
  BOOST_TEST(path->NextResponse().Status() == 404);
  BOOST_TEST(host->NextResponse().Status() == 404);
  BOOST_TEST(endpoint.requests.empty());
}

BOOST_AUTO_TEST_CASE(chunked_body_over_the_limit_is_413) {
  auto configuration = SampleConfiguration();
  configuration.limits.max_body_bytes = 100;
  ProxyFixture fixture(1, configuration);
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  const std::string head =
      "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 01\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  auto above_limit = fixture.SendRequest(head + Endpoint::Chunk(std::string(60, 'a')) +
                                         Endpoint::Chunk(std::string(60, 'b')) + "0\r\n\r\n");
  auto at_limit = fixture.SendRequest(head + Endpoint::Chunk(std::string(60, 'a')) +
                                      Endpoint::Chunk(std::string(40, 'b')) + "0\r\n\r\n");
  fixture.Run(milliseconds(100));
  BOOST_TEST(above_limit->NextResponse().Status() == 413);
  BOOST_TEST(at_limit->NextResponse().Status() == 200);
  BOOST_TEST(endpoint.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(bodies_that_do_not_fit_into_memory_are_refused) {
  ProxyFixture fixture(1, SampleConfiguration(), 4 << 20);
  Endpoint& endpoint = fixture.Add([](Endpoint::Connection&, const Message&) {});
  const std::string body(600'000, 'b');
  std::vector<std::unique_ptr<Client>> clients;
  for (int number = 0; number < 4; ++number) {
    clients.push_back(
        fixture.SendRequest(Request("/post/a", "0" + std::to_string(number), "", body)));
    fixture.Run(milliseconds(300));
  }
  auto small = fixture.SendRequest(Request("/post/a", "0a"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(clients[0]->received.empty());
  BOOST_TEST(clients[1]->NextResponse().Status() == 503);
  BOOST_TEST(clients[2]->NextResponse().Status() == 503);
  BOOST_TEST(clients[3]->NextResponse().Status() == 503);
  BOOST_TEST(small->received.empty());
  BOOST_TEST(endpoint.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_incomplete_request_times_out) {
  const std::vector<std::string> incomplete_requests = {"POST /post/a HT", PostRequest(""),
                                                        PostRequest("Content-Length: 5\r\n\r\nab")};
  for (const std::string& incomplete : incomplete_requests) {
    BOOST_TEST_CONTEXT(incomplete) {
      ProxyFixture fixture;
      Endpoint& endpoint = fixture.Add(RespondWith("x"));
      auto client = fixture.SendRequest(incomplete);
      fixture.Run(milliseconds(3000));
      BOOST_TEST(!client->closed);  // The client may use the whole limit.
      fixture.Run(milliseconds(2000));
      BOOST_TEST(client->NextResponse().Status() == 408);
      BOOST_TEST(client->closed);
      BOOST_TEST(endpoint.requests.empty());
      BOOST_TEST(fixture.front.rejected().at(408) == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(connections_may_be_idle_up_to_the_configured_limit) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("x"));
  auto fresh = fixture.Dial();
  auto used = fixture.SendRequest(Request("/post/a", "01"));
  fixture.Run(milliseconds(12'000));  // Four fifths of the limit of 15 s.
  BOOST_TEST(used->NextResponse().Status() == 200);
  used->Send(Request("/post/a", "02"));
  fresh->Send(Request("/post/a", "03"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(used->NextResponse().Status() == 200);
  BOOST_TEST(fresh->NextResponse().Status() == 200);
  fixture.Run(milliseconds(16'000));
  BOOST_TEST(used->closed);
}

BOOST_AUTO_TEST_CASE(shutdown_serves_connections_until_the_platform_notices) {
  ProxyFixture fixture;
  fixture.Add([&](Endpoint::Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 40, milliseconds(50));
  });
  auto idle = fixture.SendRequest(Request("/stream/a", "00"));
  fixture.Run(milliseconds(20));
  auto incomplete = fixture.SendRequest(PostRequest("Content-Length: 5\r\n\r\nab"));
  fixture.Run(milliseconds(20));
  bool done = false;
  fixture.drain.Leave(false);
  fixture.front.Shutdown([&] { done = true; });
  fixture.Run(milliseconds(2000));
  auto late = fixture.SendRequest(
      Request("/stream/a", "01"));  // The platform has not noticed the drain yet.
  incomplete->Send("cde");
  fixture.Run(milliseconds(1000));
  BOOST_TEST(idle->NextResponse().whole);  // It had started before the drain.
  BOOST_TEST(idle->closed);
  BOOST_TEST(!done);
  fixture.Run(milliseconds(3000));
  const Message response = late->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.Value("Connection") == "close");
  BOOST_TEST(incomplete->NextResponse().Status() == 200);
  fixture.Run(milliseconds(1000));
  BOOST_TEST(done);
}
