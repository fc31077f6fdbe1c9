// Rules for clients' requests and streams: forwarded headers, deadlines, and what may and may not
// end a request.
#define BOOST_TEST_MODULE proxy_live_rules
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
using Connection = Endpoint::Connection;

namespace {

std::string Events(int from, int to) {
  std::string text;
  for (int number = from; number <= to; ++number) text += Endpoint::EventText(number);
  return text;
}

std::string WithoutDeadline(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 01\r\nContent-Length: 0\r\n\r\n";
}

std::int64_t DeadlineOf(const Message& request) {
  return std::stoll(request.Value("Shelflink-Deadline-Ms"));
}

}  // namespace

// ---- Forwarded headers ----

BOOST_AUTO_TEST_CASE(protocol_headers_are_forwarded_even_if_connection_lists_them) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  auto client = fixture.SendRequest(
      Request("/post/a", "01",
              "Connection: keep-alive, Shelflink-Model, shelflink-token-count, X-Hop\r\n"
              "Shelflink-Model: m\r\nShelflink-Token-Count: 12,34\r\n"
              "Shelflink-Prompt-Prefix: 5c1e:8, 91bd:4\r\nX-Hop: a\r\n"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(client->NextResponse().Status() == 200);
  const Message& request = endpoint.requests.front();
  BOOST_TEST(request.Value("Shelflink-Model") == "m");
  BOOST_TEST(request.Value("Shelflink-Token-Count") == "12,34");
  BOOST_TEST(request.Value("Shelflink-Prompt-Prefix") == "5c1e:8, 91bd:4");
  BOOST_TEST(request.Count("X-Hop") == 0U);
}

// Otherwise any client could make every endpoint respond 421, which removes endpoints from use.
BOOST_AUTO_TEST_CASE(expect_version_of_a_client_is_not_forwarded) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  auto client = fixture.SendRequest(Request("/post/a", "01", "Expect-Version: 99\r\n"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(client->NextResponse().Status() == 200);
  BOOST_TEST(endpoint.requests.front().Count("Expect-Version") == 0U);
}

BOOST_AUTO_TEST_CASE(versions_are_forwarded_in_heads_and_events_across_a_resumption) {
  ProxyFixture fixture;
  int runs = 0;
  const std::string changed = "versions: 8\nid: 3\ndata: token 3\n\n";
  const auto behaviour = [&](Connection& connection, const Message& request) {
    const bool resumed = runs++ > 0;
    connection.Write(Endpoint::Head(request, std::string("Versions: ") + (resumed ? "8" : "7") +
                                                 "\r\nContent-Type: text/event-stream\r\n"
                                                 "Transfer-Encoding: chunked\r\n"));
    if (!resumed) {
      connection.Write(Endpoint::Chunk(Events(1, 2)) + Endpoint::Chunk("versions: 8\nid: 3\nda"));
      return fixture.endpoints[0]->RunAfter(milliseconds(20),
                                            [&connection] { connection.Reset(); });
    }
    connection.Write(Endpoint::Chunk(changed + Events(4, 5)) + "0\r\n\r\n");
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/resume/a"));
  fixture.Run(milliseconds(500));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.Value("Versions") == "7");  // From the head of the first endpoint.
  BOOST_TEST(response.Count("Versions") == 1U);
  BOOST_TEST(response.body == Events(1, 2) + changed + Events(4, 5));
}

// ---- Deadlines sent to endpoints ----

BOOST_AUTO_TEST_CASE(the_deadline_counts_from_the_requests_first_byte) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  const std::string request = Request("/post/a");
  auto client = fixture.SendRequest(request.substr(0, request.size() - 3));
  fixture.Run(milliseconds(700));
  client->Send(request.substr(request.size() - 3));
  fixture.Run(milliseconds(100));
  BOOST_TEST(client->NextResponse().Status() == 200);
  BOOST_TEST(DeadlineOf(endpoint.requests.front()) <= 2300);
  BOOST_TEST(DeadlineOf(endpoint.requests.front()) > 2200);
}

BOOST_AUTO_TEST_CASE(the_deadline_of_a_pipelined_request_includes_its_wait) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    const Message original = request;
    fixture.endpoints[0]->RunAfter(milliseconds(600), [&connection, original] {
      connection.Write(Endpoint::Response(original, "x"));
    });
  });
  auto client = fixture.SendRequest(Request("/post/a", "01") + Request("/post/a", "02"));
  fixture.Run(milliseconds(1500));
  BOOST_REQUIRE(endpoint.requests.size() == 2U);
  BOOST_TEST(DeadlineOf(endpoint.requests.back()) <= 2400);
}

BOOST_AUTO_TEST_CASE(without_a_client_deadline_the_routes_timeout_is_sent) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  auto client = fixture.SendRequest(WithoutDeadline("/post/a"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(DeadlineOf(endpoint.requests.front()) <= 4000);
  BOOST_TEST(DeadlineOf(endpoint.requests.front()) > 3900);
}

BOOST_AUTO_TEST_CASE(a_deadline_with_a_fraction_is_accepted) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  auto client = fixture.SendRequest(
      "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 01\r\n"
      "Shelflink-Deadline-Ms: 1500.75\r\nContent-Length: 0\r\n\r\n");
  fixture.Run(milliseconds(100));
  BOOST_TEST(DeadlineOf(endpoint.requests.front()) <= 1500);
}

BOOST_AUTO_TEST_CASE(a_retry_is_sent_the_remaining_time) {
  ProxyFixture fixture;
  int runs = 0;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    if (runs++ > 0) return connection.Write(Endpoint::Response(request, "x"));
    fixture.endpoints[0]->RunAfter(milliseconds(900), [&connection] { connection.Reset(); });
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/get/a"));
  fixture.Run(milliseconds(1200));
  BOOST_TEST(client->NextResponse().Status() == 200);
  std::vector<std::int64_t> deadlines;
  for (const auto& endpoint : fixture.endpoints) {
    for (const Message& request : endpoint->requests) deadlines.push_back(DeadlineOf(request));
  }
  std::sort(deadlines.begin(), deadlines.end());
  BOOST_REQUIRE(deadlines.size() == 2U);
  BOOST_TEST(deadlines.front() <= 2100);
  BOOST_TEST(deadlines.back() <= 3000);
}

// ---- Timeouts and silence ----

BOOST_AUTO_TEST_CASE(a_body_that_is_incomplete_at_the_routes_timeout_is_408) {
  auto configuration = SampleConfiguration();
  configuration.limits.header_timeout = milliseconds(60'000);
  ProxyFixture fixture(1, configuration);
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  const std::string request = Request("/post/a", "01", "", std::string(100, 'p'));
  auto client = fixture.SendRequest(request.substr(0, request.size() - 100));
  for (int number = 0; number < 9; ++number) {
    fixture.Run(milliseconds(490));
    client->Send("p");
  }
  BOOST_TEST(client->NextResponse().Status() ==
             408);  // Promises that the request was not executed.
  BOOST_TEST(endpoint.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_client_that_does_not_read_is_cut_off_at_the_routes_timeout) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::StreamHead(request));
    for (int number = 1; number <= 60; ++number) {
      connection.Write(Endpoint::Chunk("id: " + std::to_string(number) +
                                       "\ndata: " + std::string(10'000, 'd') + "\n\n"));
    }
  });
  auto client = fixture.Dial();
  client->PauseReading();
  client->Send(WithoutDeadline("/stream/a"));
  fixture.Run(milliseconds(3900));
  BOOST_TEST(endpoint.disconnects == 0U);
  fixture.Run(milliseconds(600));
  BOOST_TEST(endpoint.disconnects == 1U);
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

BOOST_AUTO_TEST_CASE(silence_alone_does_not_end_a_stream) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 3, milliseconds(20), [](Connection&) {});
  });
  for (const std::string path : {"/stream/a", "/resume/a"}) {
    BOOST_TEST_CONTEXT(path) {
      const std::size_t disconnects = endpoint.disconnects;
      auto client = fixture.SendRequest(Request(path));
      fixture.Run(milliseconds(2950));
      BOOST_TEST(!client->closed);
      BOOST_TEST(endpoint.disconnects == disconnects);
      fixture.Run(milliseconds(200));  // The client's deadline.
      BOOST_TEST(client->closed);
      BOOST_TEST(!client->NextResponse().whole);
      BOOST_TEST(endpoint.disconnects == disconnects + 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(silence_alone_does_not_end_a_response_that_cannot_be_resumed) {
  ProxyFixture fixture;
  const std::string body(200'000, 'b');
  const auto behaviour = [&](Connection& connection, const Message& request) {
    const std::string whole = Endpoint::Response(request, body);
    connection.Write(whole.substr(0, 150'000));
    fixture.endpoints[0]->RunAfter(milliseconds(2200), [&connection, rest = whole.substr(150'000)] {
      connection.Write(rest);
    });
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/get/a"));
  fixture.Run(milliseconds(2500));
  BOOST_TEST((client->NextResponse().body == body));
  BOOST_TEST(fixture.RequestCount() == 1U);
}

// ---- Disconnected clients ----

BOOST_AUTO_TEST_CASE(nothing_is_sent_for_a_client_that_disconnected_while_the_proxy_was_suspended) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      ProxyFixture fixture(seed);
      Endpoint& endpoint = fixture.Add(RespondWith("x"));
      auto warm = fixture.SendRequest(Request("/get/a", "warm"));
      fixture.Run(milliseconds(50));
      auto client = fixture.Dial();
      fixture.Run(milliseconds(50));
      fixture.process.SetPaused(true);
      client->Send(Request("/get/a", "01"));
      fixture.Run(milliseconds(300));
      client->Disconnect();
      fixture.Run(milliseconds(700));
      fixture.process.SetPaused(false);
      fixture.Run(milliseconds(500));
      BOOST_TEST(endpoint.requests.size() == 1U);
      BOOST_TEST(fixture.calls.active_calls() == 0U);
    }
  }
}

// ---- Configuration changes during a request ----

BOOST_AUTO_TEST_CASE(a_running_request_survives_removal_of_its_route_service_key_and_endpoint) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 20, milliseconds(50));
  });
  auto client = fixture.SendRequest(Request("/stream/a", "01", "Shelflink-Credential: key-1\r\n"));
  fixture.Run(milliseconds(200));
  auto configuration = SampleConfiguration();
  configuration.version = 2;
  configuration.routes.clear();
  configuration.services.clear();
  configuration.tenants.clear();
  configuration.Index();
  fixture.SetConfiguration(configuration);
  endpoint.service = "other";
  fixture.PublishEndpoints();
  fixture.view.endpoints = std::make_shared<shelflink::cluster::EndpointList>();
  fixture.calls.OnView(fixture.view);
  fixture.Run(milliseconds(1500));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.body == Events(1, 20));
}

BOOST_AUTO_TEST_CASE(without_a_configuration_everything_is_503) {
  net::VirtualNet network(1);
  {
    net::VirtualProcess process(network, 0x0a010001, "proxy", 1000);
    net::VirtualProcess client_process(network, 0x0a090001, "clients", 1000);
    kelpspring::Log log(process, [](std::string_view) {});
    kelpspring::SocketBudget budget{500, 0, nullptr, nullptr};
    kelpspring::Drain drain;
    shelflink::proxy::EndpointCalls calls(process, log, budget, {"proxy", "zone", 1, 100});
    shelflink::proxy::HttpFrontend front(
        process, log, process.Listen(net::Address::V4(0x0a010001, 8689)), budget, drain,
        {calls, nullptr, nullptr}, milliseconds(8000), 256 << 20);
    const std::string large_head = "X-Large: " + std::string(40'000, 'h') + "\r\n";
    const std::vector<std::string> requests = {
        Request("/post/a"), Request("/nowhere/a"),
        Request("/keyed/a", "01", "Shelflink-Credential: no\r\n"),
        Request("/post/a", "01", large_head),
        Request("/post/a", "01", "", std::string(5 << 20, 'p'))};
    for (std::size_t number = 0; number < requests.size(); ++number) {
      BOOST_TEST_CONTEXT(number) {
        Client client(client_process, front.address());
        client.Send(requests[number]);
        network.RunUntil(network.Now() + milliseconds(1000));
        BOOST_TEST(client.NextResponse().Status() == 503);
      }
    }
    network.Clear();
  }
}

// ---- Streams that end with their connection ----

BOOST_AUTO_TEST_CASE(an_unchunked_stream_that_ends_inside_an_event_is_truncated) {
  for (const bool resumable : {false, true}) {
    BOOST_TEST_CONTEXT(resumable) {
      ProxyFixture fixture;
      int runs = 0;
      const auto behaviour = [&](Connection& connection, const Message& request) {
        const bool resumed = runs++ > 0;
        connection.Write(Endpoint::Head(request, "Content-Type: text/event-stream\r\n") +
                         (resumed ? Events(3, 4) : Events(1, 2) + "id: 3\ndata: tok"));
        connection.Close();
      };
      fixture.Add(behaviour);
      fixture.Add(behaviour);
      auto client = fixture.SendRequest(Request(resumable ? "/resume/a" : "/stream/a"));
      fixture.Run(milliseconds(500));
      const Message response = client->NextResponse();
      BOOST_TEST(response.whole == resumable);
      BOOST_TEST(response.body == Events(1, resumable ? 4 : 2));
    }
  }
}

BOOST_AUTO_TEST_CASE(an_unchunked_stream_is_complete_on_close) {
  ProxyFixture fixture;
  fixture.Add([&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::Head(request, "Content-Type: text/event-stream\r\n") + Events(1, 4));
    connection.Close();
  });
  auto client = fixture.SendRequest(Request("/stream/a"));
  fixture.Run(milliseconds(500));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.body == Events(1, 4));
}

// ---- Responses that start before the endpoint has read the request's body ----

BOOST_AUTO_TEST_CASE(an_early_stream_or_long_response_is_forwarded_while_the_body_is_sent) {
  const std::string body(400'000, 'p');
  const std::string long_response(200'000, 'b');
  for (const bool stream : {false, true}) {
    for (const bool resumes_reading : {false, true}) {
      BOOST_TEST_CONTEXT("stream " << stream << ", resumes reading " << resumes_reading) {
        ProxyFixture fixture;
        Connection* first = nullptr;
        Endpoint& endpoint = fixture.Add([](Connection&, const Message&) {});
        endpoint.on_head = [&](Connection& connection, const Message& request) {
          if (first != nullptr) return;
          first = &connection;
          connection.PauseReading();
          if (resumes_reading)
            endpoint.RunAfter(milliseconds(100), [&connection] { connection.ResumeReading(); });
          if (stream) return endpoint.Stream(connection, request, 20, milliseconds(20));
          connection.Write(Endpoint::Response(request, long_response));
        };
        auto client =
            fixture.SendRequest(Request(stream ? "/stream/a" : "/post/a", "01", "", body));
        fixture.Run(milliseconds(1000));
        const Message response = client->NextResponse();
        BOOST_TEST(response.whole);
        BOOST_TEST((response.body == (stream ? Events(1, 20) : long_response)));
        BOOST_REQUIRE(first != nullptr);
        if (!resumes_reading) first->ResumeReading();  // Lets the endpoint see the close.
        fixture.Run(milliseconds(100));
        BOOST_TEST(!first->open());
        BOOST_TEST(endpoint.connections == 1U);
        const std::string& text = first->received();
        const std::size_t begin = text.find("\r\n\r\n") + 4;
        BOOST_TEST(text.find_first_not_of('p', begin) == std::string::npos);
      }
    }
  }
}
