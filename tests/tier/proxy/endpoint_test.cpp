// The proxy's behaviour when endpoints refuse, fail, break off, become silent, respond incorrectly,
// drain or are replaced.
#define BOOST_TEST_MODULE proxy_endpoint
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

Endpoint::Behaviour Refuse(int status = 503) {
  return [status](Connection& connection, const Message& request) {
    connection.Write(Endpoint::NotRunResponse(request, status));
  };
}

// Shared by all endpoints of a test: the first request gets `bad`, all later ones get `good`.
struct BadFirst {
  explicit BadFirst(Endpoint::Behaviour behaviour) : bad(std::move(behaviour)) {}
  Endpoint::Behaviour bad;
  int requests = 0;
  Endpoint::Behaviour Then(Endpoint::Behaviour good) {
    return [this, good = std::move(good)](Connection& connection, const Message& request) {
      (requests++ == 0 ? bad : good)(connection, request);
    };
  }
};

}  // namespace

// ---- Not executed: another endpoint, or 503 ----

BOOST_AUTO_TEST_CASE(a_request_that_was_not_executed_is_sent_to_another_endpoint) {
  for (const int status : {503, 429, 421}) {
    BOOST_TEST_CONTEXT(status) {
      ProxyFixture fixture;
      BadFirst bad_first(Refuse(status));
      fixture.Add(bad_first.Then(RespondWith("x")));
      fixture.Add(bad_first.Then(RespondWith("x")));
      auto client = fixture.SendRequest(Request("/post/a"));
      fixture.Run(milliseconds(100));
      BOOST_TEST(client->NextResponse().Status() == 200);
      BOOST_TEST(fixture.RequestCount() == 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(refused_by_all_endpoints_is_503_with_retry_after) {
  ProxyFixture fixture;
  fixture.Add(Refuse());
  fixture.Add(Refuse());
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(600));
  const Message response = client->NextResponse();
  BOOST_TEST(response.Status() == 503);
  BOOST_TEST(std::stod(response.Value("Retry-After")) > 0);
  BOOST_TEST(response.Count("Shelflink-Response-Stamp") == 0U);
}

BOOST_AUTO_TEST_CASE(no_endpoint_is_503_without_a_wait) {
  ProxyFixture fixture;
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(600));
  BOOST_TEST(client->NextResponse().Status() == 503);
}

BOOST_AUTO_TEST_CASE(connection_refused_counts_as_not_executed) {
  ProxyFixture fixture;
  Endpoint& dead = fixture.Add(RespondWith("x"));
  Endpoint& running = fixture.Add(RespondWith("x"));
  dead.Crash();  // It is still listed.
  for (int number = 0; number < 4; ++number) {
    auto client = fixture.SendRequest(Request("/post/a", "0" + std::to_string(number)));
    fixture.Run(milliseconds(200));
    BOOST_TEST(client->NextResponse().Status() == 200);
  }
  BOOST_TEST(running.requests.size() == 4U);
}

BOOST_AUTO_TEST_CASE(unreachable_host_costs_one_connection_attempt_only) {
  ProxyFixture fixture;
  Endpoint& silent = fixture.Add(RespondWith("x"));
  fixture.Add(RespondWith("x"));
  fixture.network.SetCutOff(silent.process.host(), true);
  auto one = fixture.SendRequest(Request("/post/a", "01"));
  auto two = fixture.SendRequest(Request("/post/a", "02"));
  fixture.Run(milliseconds(600));
  BOOST_TEST(one->NextResponse().Status() == 200);
  BOOST_TEST(two->NextResponse().Status() == 200);
}

// ---- Possibly executed ----

BOOST_AUTO_TEST_CASE(failure_after_the_send_is_502_if_not_idempotent) {
  const std::vector<Endpoint::Behaviour> breaks = {
      [](Connection& connection, const Message&) { connection.Reset(); },
      [](Connection& connection, const Message&) { connection.Close(); },
      [](Connection& connection, const Message&) { connection.Write("this is no answer\r\n\r\n"); },
      [](Connection& connection, const Message& request) {
        connection.Write(Endpoint::Head(request, "Content-Length: 10\r\n") + "half");
        connection.Close();
      },
      [](Connection& connection, const Message& request) {
        connection.Write(Endpoint::Head(request, "Content-Length: 2\r\nContent-Length: 3\r\n") +
                         "abc");
      },
      // A success without a stamp.
      [](Connection& connection, const Message& request) {
        connection.Write("HTTP/1.1 200 OK\r\nShelflink-Request-Id: " +
                         request.Value("Shelflink-Request-Id") + "\r\nContent-Length: 1\r\n\r\nx");
      },
      // A response without a request id.
      [](Connection& connection, const Message&) {
        connection.Write(
            "HTTP/1.1 200 OK\r\nShelflink-Response-Stamp: s\r\nContent-Length: 1\r\n\r\nx");
      },
      // Statuses that promise non-execution, without Shelflink-Not-Run.
      [](Connection& connection, const Message& request) {
        connection.Write(Endpoint::Response(request, "", 503));
      },
      [](Connection& connection, const Message& request) {
        connection.Write(Endpoint::Response(request, "", 429));
      },
      [](Connection& connection, const Message& request) {
        connection.Write(Endpoint::Response(request, "", 408));
      },
  };
  for (std::size_t number = 0; number < breaks.size(); ++number) {
    for (const std::string path : {"/post/a", "/stream/a"}) {
      BOOST_TEST_CONTEXT(path << " " << number) {
        ProxyFixture fixture;
        fixture.Add(breaks[number]);
        fixture.Add(breaks[number]);
        auto client = fixture.SendRequest(Request(path));
        fixture.Run(milliseconds(500));
        const Message response = client->NextResponse();
        BOOST_TEST(response.Status() == 502);
        BOOST_TEST(response.Count("Shelflink-Response-Stamp") == 0U);
        BOOST_TEST(fixture.RequestCount() == 1U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(idempotent_requests_are_retried_up_to_the_limit) {
  ProxyFixture fixture;
  BadFirst bad_first([](Connection& connection, const Message&) { connection.Reset(); });
  fixture.Add(bad_first.Then(RespondWith("x")));
  fixture.Add(bad_first.Then(RespondWith("x")));
  auto client = fixture.SendRequest(Request("/get/a"));
  fixture.Run(milliseconds(200));
  BOOST_TEST(client->NextResponse().Status() == 200);
  BOOST_TEST(fixture.RequestCount() == 2U);

  ProxyFixture broken;
  for (int number = 0; number < 4; ++number) {
    broken.Add([](Connection& connection, const Message&) { connection.Reset(); });
  }
  auto other = broken.SendRequest(Request("/get/a"));
  broken.Run(milliseconds(500));
  BOOST_TEST(other->NextResponse().Status() == 502);
  BOOST_TEST(broken.RequestCount() == 2U);  // maxAttempts
}

BOOST_AUTO_TEST_CASE(an_endpoints_error_response_is_forwarded_unchanged) {
  for (const int status : {500, 504, 404, 400, 422, 302}) {
    BOOST_TEST_CONTEXT(status) {
      ProxyFixture fixture;
      fixture.Add([status](Connection& connection, const Message& request) {
        connection.Write(Endpoint::Response(request, "why", status));
      });
      auto client = fixture.SendRequest(Request("/post/a"));
      fixture.Run(milliseconds(200));
      const Message response = client->NextResponse();
      BOOST_TEST(response.Status() == status);
      BOOST_TEST(response.body == "why");
      BOOST_TEST(response.Value("Shelflink-Response-Stamp") == "stamp.1");
      BOOST_TEST(fixture.RequestCount() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_500_is_retried_elsewhere_if_idempotent) {
  ProxyFixture fixture;
  BadFirst bad_first([](Connection& connection, const Message& request) {
    connection.Write(Endpoint::Response(request, "why", 500));
  });
  fixture.Add(bad_first.Then(RespondWith("x")));
  fixture.Add(bad_first.Then(RespondWith("x")));
  auto client = fixture.SendRequest(Request("/get/a"));
  fixture.Run(milliseconds(200));
  BOOST_TEST(client->NextResponse().Status() == 200);

  ProxyFixture failing;
  for (int number = 0; number < 3; ++number) {
    failing.Add([](Connection& connection, const Message& request) {
      connection.Write(Endpoint::Response(request, "why", 500));
    });
  }
  auto other = failing.SendRequest(Request("/get/a"));
  failing.Run(milliseconds(200));
  const Message response = other->NextResponse();
  BOOST_TEST(response.Status() == 500);
  BOOST_TEST(response.body == "why");
  BOOST_TEST(failing.RequestCount() == 2U);
}

BOOST_AUTO_TEST_CASE(silent_endpoint_is_504_at_the_clients_deadline) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([](Connection&, const Message&) {});
  const auto start = fixture.network.Now();
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(2900));
  BOOST_TEST(client->received.empty());
  fixture.Run(milliseconds(300));
  BOOST_TEST(client->NextResponse().Status() == 504);
  BOOST_TEST((client->received_parts.front().first - start <= milliseconds(3150)));
  BOOST_TEST(endpoint.disconnects == 1U);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_moves_from_an_endpoint_that_is_silent_on_all_calls) {
  ProxyFixture fixture;
  BadFirst bad_first([](Connection&, const Message&) {});
  fixture.Add(bad_first.Then(RespondWith("x")));
  fixture.Add(bad_first.Then(RespondWith("x")));
  auto client = fixture.SendRequest(Request("/get/a"));
  fixture.Run(milliseconds(1500));
  BOOST_TEST(client->NextResponse().Status() == 200);
  BOOST_TEST(fixture.RequestCount() == 2U);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_stays_while_its_endpoint_responds_to_others) {
  ProxyFixture fixture;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    if (request.Value("Shelflink-Request-Id") != "slow")
      return RespondWith("x")(connection, request);
    const Message original = request;
    fixture.endpoints[0]->RunAfter(milliseconds(2200), [&connection, original] {
      connection.Write(Endpoint::Response(original, "slow"));
    });
  };
  fixture.Add(behaviour);
  auto slow = fixture.SendRequest(Request("/get/a", "slow"));
  for (int number = 0; number < 8; ++number) {
    auto other = fixture.SendRequest(Request("/get/a", std::to_string(number)));
    fixture.Run(milliseconds(300));
    BOOST_TEST(other->NextResponse().Status() == 200);
  }
  BOOST_TEST(slow->NextResponse().body == "slow");
  BOOST_TEST(fixture.RequestCount() == 9U);
}

BOOST_AUTO_TEST_CASE(a_resumed_proxy_reads_pending_data_before_it_checks_timeouts) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ProxyFixture fixture(seed);
    fixture.Add([&](Connection& connection, const Message& request) {
      fixture.endpoints[0]->Stream(connection, request, 5, milliseconds(20));
    });
    auto client = fixture.SendRequest(Request("/stream/a"));
    fixture.Run(milliseconds(30));
    fixture.process.SetPaused(true);
    fixture.Run(milliseconds(2500));
    fixture.process.SetPaused(false);
    fixture.Run(milliseconds(200));
    BOOST_TEST(client->NextResponse().whole);
  }
}

BOOST_AUTO_TEST_CASE(no_request_outlives_the_routes_timeout) {
  ProxyFixture fixture;
  fixture.Add([](Connection&, const Message&) {});
  auto client = fixture.SendRequest(
      "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 01\r\n"
      "Shelflink-Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n");
  fixture.Run(milliseconds(4200));
  BOOST_TEST(client->NextResponse().Status() == 504);
}

BOOST_AUTO_TEST_CASE(disconnect_of_the_client_cancels_at_the_endpoint) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([](Connection&, const Message&) {});
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(50));
  BOOST_TEST(endpoint.requests.size() == 1U);
  client->Disconnect();
  fixture.Run(milliseconds(50));
  BOOST_TEST(endpoint.disconnects == 1U);
  BOOST_TEST(fixture.calls.active_calls() == 0U);
}

// ---- Interim, surplus and misplaced responses ----

BOOST_AUTO_TEST_CASE(interim_responses_are_dropped) {
  ProxyFixture fixture;
  fixture.Add([](Connection& connection, const Message& request) {
    connection.Write("HTTP/1.1 103 Early\r\nX-Hint: a\r\n\r\n" + Endpoint::Response(request, "x"));
  });
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(client->received.substr(0, 12) == "HTTP/1.1 200");
  BOOST_TEST(client->NextResponse().body == "x");
}

BOOST_AUTO_TEST_CASE(late_surplus_response_is_not_used_for_the_next_request) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("one"));
  auto one = fixture.SendRequest(Request("/post/a", "01"));
  fixture.Run(milliseconds(50));
  BOOST_TEST(one->NextResponse().body == "one");
  Message before = endpoint.requests.front();
  endpoint.behaviour = [before](Connection& connection, const Message& request) {
    connection.Write(Endpoint::Response(before, "surplus"));
    connection.Write(Endpoint::Response(request, "two"));
  };
  auto two = fixture.SendRequest(Request("/post/a", "02"));
  fixture.Run(milliseconds(50));
  BOOST_TEST(two->NextResponse().body == "two");
  BOOST_TEST(endpoint.connections == 1U);
}

BOOST_AUTO_TEST_CASE(surplus_response_alone_is_skipped_and_then_502) {
  ProxyFixture fixture;
  fixture.Add([](Connection& connection, const Message&) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nShelflink-Request-Id: ff\r\nShelflink-Response-Stamp: s\r\n"
        "Content-Length: 1\r\n\r\nx");
    connection.Close();
  });
  auto client = fixture.SendRequest(Request("/post/a", "02"));
  fixture.Run(milliseconds(50));
  BOOST_TEST(client->NextResponse().Status() == 502);
}

BOOST_AUTO_TEST_CASE(bytes_after_a_response_close_its_connection) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([](Connection& connection, const Message& request) {
    connection.Write(Endpoint::Response(request, "x") +
                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
  });
  for (int number = 0; number < 3; ++number) {
    auto client = fixture.SendRequest(Request("/post/a", "0" + std::to_string(number)));
    fixture.Run(milliseconds(50));
    BOOST_TEST(client->NextResponse().body == "x");
  }
  BOOST_TEST(endpoint.connections == 3U);
}

BOOST_AUTO_TEST_CASE(content_encodings_are_forwarded_unchanged) {
  ProxyFixture fixture;
  fixture.Add(RespondWith("zipped", "Content-Encoding: gzip\r\n"));
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(50));
  const Message response = client->NextResponse();
  BOOST_TEST(response.Value("Content-Encoding") == "gzip");
  BOOST_TEST(response.body == "zipped");
}

BOOST_AUTO_TEST_CASE(long_responses_are_forwarded_in_parts_and_truncation_is_visible) {
  const std::string body(300'000, 'b');
  ProxyFixture fixture;
  fixture.Add(RespondWith(body));
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(500));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST((response.body == body));

  ProxyFixture breaking;
  breaking.Add([&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::Head(request, "Content-Length: 300000\r\n") +
                     body.substr(0, 200'000));
    breaking.endpoints[0]->RunAfter(milliseconds(100), [&connection] { connection.Close(); });
  });
  auto other = breaking.SendRequest(Request("/post/a"));
  breaking.Run(milliseconds(1000));
  BOOST_TEST(other->closed);
  BOOST_TEST(!other->NextResponse().whole);
}

// ---- Connections ----

BOOST_AUTO_TEST_CASE(connections_are_reused) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x", "Keep-Alive: timeout=5\r\n"));
  for (int number = 0; number < 5; ++number) {
    auto client = fixture.SendRequest(Request("/post/a", "0" + std::to_string(number)));
    fixture.Run(milliseconds(300));
    BOOST_TEST(client->NextResponse().Status() == 200);
  }
  BOOST_TEST(endpoint.connections == 1U);
}

BOOST_AUTO_TEST_CASE(keep_alive_limits_the_idle_time_of_a_connection) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x", "Keep-Alive: timeout=1\r\n"));
  auto one = fixture.SendRequest(Request("/post/a", "01"));
  fixture.Run(milliseconds(950));
  BOOST_TEST(endpoint.disconnects == 1U);
  auto two = fixture.SendRequest(Request("/post/a", "02"));
  fixture.Run(milliseconds(100));
  BOOST_TEST(two->NextResponse().Status() == 200);
  BOOST_TEST(endpoint.connections == 2U);
}

BOOST_AUTO_TEST_CASE(connection_close_is_honoured) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x", "Connection: close\r\n"));
  for (int number = 0; number < 2; ++number) {
    auto client = fixture.SendRequest(Request("/post/a", "0" + std::to_string(number)));
    fixture.Run(milliseconds(50));
    const Message response = client->NextResponse();
    BOOST_TEST(response.Status() == 200);
    BOOST_TEST(response.Value("Connection") !=
               "close");  // A hop-by-hop header of the endpoint's connection.
  }
  BOOST_TEST(endpoint.connections == 2U);
}

// ---- Endpoints that drain, leave the list or are replaced ----

BOOST_AUTO_TEST_CASE(draining_endpoints_get_no_new_requests) {
  ProxyFixture fixture;
  Endpoint& draining = fixture.Add(RespondWith("x"));
  fixture.Add(RespondWith("x"));
  draining.draining = true;
  fixture.PublishEndpoints();
  for (int number = 0; number < 6; ++number) {
    auto client = fixture.SendRequest(Request("/post/a", "0" + std::to_string(number)));
    fixture.Run(milliseconds(50));
    BOOST_TEST(client->NextResponse().Status() == 200);
  }
  BOOST_TEST(draining.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_connection_opened_during_the_start_of_a_drain_carries_no_request) {
  ProxyFixture fixture;
  Endpoint& draining = fixture.Add(RespondWith("x"));
  net::Weather slow;
  slow.latency_low = milliseconds(50);
  slow.latency_high = milliseconds(50);
  fixture.network.SetWeather(draining.process.host(), fixture.process.host(), slow);
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(60));  // The connection is being opened.
  draining.draining = true;
  fixture.PublishEndpoints();
  fixture.Run(milliseconds(400));
  BOOST_TEST(draining.requests.empty());
  BOOST_TEST(client->NextResponse().Status() == 503);
}

BOOST_AUTO_TEST_CASE(requests_at_a_draining_endpoint_continue) {
  ProxyFixture fixture;
  Endpoint& draining = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 10, milliseconds(50));
  });
  auto client = fixture.SendRequest(Request("/stream/a"));
  fixture.Run(milliseconds(100));
  draining.draining = true;
  fixture.PublishEndpoints();
  fixture.Run(milliseconds(1000));
  BOOST_TEST(client->NextResponse().whole);
}

BOOST_AUTO_TEST_CASE(another_instance_at_the_address_does_not_execute_it) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(RespondWith("x"));
  endpoint.id = "i-other";  // Its process was restarted; the list still has i-0.
  auto list = std::make_shared<shelflink::cluster::EndpointList>(*fixture.view.endpoints);
  auto client = fixture.SendRequest(Request("/post/a"));
  fixture.Run(milliseconds(300));
  BOOST_TEST(client->NextResponse().Status() == 503);
  BOOST_TEST(endpoint.requests.size() == 1U);
  // No further request is sent to i-0.
  auto again = fixture.SendRequest(Request("/post/a", "02"));
  fixture.Run(milliseconds(300));
  BOOST_TEST(again->NextResponse().Status() == 503);
  BOOST_TEST(endpoint.requests.size() == 1U);
  fixture.PublishEndpoints();
  auto after = fixture.SendRequest(Request("/post/a", "03"));
  fixture.Run(milliseconds(300));
  BOOST_TEST(after->NextResponse().Status() == 200);
}

BOOST_AUTO_TEST_CASE(requests_are_split_by_service_weight) {
  auto configuration = SampleConfiguration();
  configuration.routes[1].split = {{"svc", 90}, {"other", 10}};
  configuration.services.push_back({"other", "/health", 100, std::nullopt, std::nullopt});
  configuration.Index();
  ProxyFixture fixture(1, configuration);
  Endpoint& svc = fixture.Add(RespondWith("x"));
  Endpoint& other = fixture.Add(RespondWith("x"), "other");
  constexpr int kRequests = 400;
  for (int number = 0; number < kRequests; ++number) {
    auto client = fixture.SendRequest(Request("/post/a", "id" + std::to_string(number)));
    fixture.Run(milliseconds(10));
    BOOST_TEST(client->NextResponse().Status() == 200);
  }
  BOOST_TEST(svc.requests.size() + other.requests.size() == std::size_t{kRequests});
  BOOST_TEST(other.requests.size() > 20U);
  BOOST_TEST(other.requests.size() < 60U);
}

// Guards against taking a second response to the previous attempt for the response to the next
// attempt: both have the same request id, so the next attempt uses another connection.
BOOST_AUTO_TEST_CASE(a_second_response_to_the_previous_attempt_is_not_used_for_a_retry) {
  ProxyFixture fixture(11);
  Endpoint* only = nullptr;
  only = &fixture.Add([&](Endpoint::Connection& connection, const Message& request) {
    if (only->requests.size() > 1) return connection.Write(Endpoint::Response(request, "right"));
    connection.Write(Endpoint::Response(request, "failed", 500));
    connection.Write(Endpoint::Response(request, "failed", 500));
  });
  auto client = fixture.SendRequest(Request("/get/x"));
  fixture.Run(milliseconds(500));
  const Message response = client->NextResponse();
  BOOST_TEST(response.Status() == 200);
  BOOST_TEST(response.body == "right");
  BOOST_TEST(only->requests.size() == 2U);
  BOOST_TEST(only->connections == 2U);
}

// Guards against taking a second response to an earlier request with the same id for the response
// to the current one: batch items are sent repeatedly with one id.
BOOST_AUTO_TEST_CASE(a_second_response_to_an_earlier_request_with_the_same_id_is_not_used) {
  ProxyFixture fixture(11);
  Endpoint* only = nullptr;
  only = &fixture.Add([&](Endpoint::Connection& connection, const Message& request) {
    if (only->requests.size() > 1) {
      return only->RunAfter(milliseconds(60), [&connection, request] {
        connection.Write(Endpoint::Response(request, "right"));
      });
    }
    connection.Write(Endpoint::Response(request, "failed", 500));
    only->RunAfter(milliseconds(40), [&connection, request] {
      connection.Write(Endpoint::Response(request, "failed", 500));
    });
  });
  auto first = fixture.SendRequest(Request("/post/x", "item"));
  fixture.Run(milliseconds(20));
  BOOST_TEST(first->NextResponse().Status() == 500);
  auto second = fixture.SendRequest(Request("/post/x", "item"));
  fixture.Run(milliseconds(500));
  const Message response = second->NextResponse();
  BOOST_TEST(response.Status() == 200);
  BOOST_TEST(response.body == "right");
  BOOST_TEST(only->connections == 2U);
}

// Guards against an assertion in the parser, which would abort the process in builds with
// assertions.
BOOST_AUTO_TEST_CASE(an_empty_chunked_body_may_be_split_anywhere) {
  const std::string last = "0\r\n\r\n";
  for (std::size_t first = 1; first < last.size(); ++first) {
    for (std::size_t second = first + 1; second <= last.size(); ++second) {
      ProxyFixture fixture(12);
      Endpoint* only = nullptr;
      only = &fixture.Add([&](Endpoint::Connection& connection, const Message& request) {
        connection.Write(Endpoint::Head(request, "Transfer-Encoding: chunked\r\n") +
                         last.substr(0, first));
        only->RunAfter(milliseconds(5),
                       [&] { connection.Write(last.substr(first, second - first)); });
        only->RunAfter(milliseconds(10), [&] { connection.Write(last.substr(second)); });
      });
      auto client = fixture.Dial();
      client->Send(
          "POST /get/x HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: cut\r\n"
          "Shelflink-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n" +
          last.substr(0, first));
      fixture.Run(milliseconds(10));
      client->Send(last.substr(first, second - first));
      fixture.Run(milliseconds(10));
      client->Send(last.substr(second));
      fixture.Run(milliseconds(300));
      const Message response = client->NextResponse();
      BOOST_TEST(response.Status() == 200);
      BOOST_TEST(response.whole);
      BOOST_TEST(response.body.empty());
    }
  }
}
