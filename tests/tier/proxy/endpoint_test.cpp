// What is owed when endpoints refuse, fail, break off, fall silent, answer wrongly or change.
#define BOOST_TEST_MODULE proxy_endpoint
#include <boost/test/unit_test.hpp>

#include "proxy/stand_in.h"

using stand_in::Answers;
using stand_in::Client;
using stand_in::Endpoint;
using stand_in::Message;
using stand_in::milliseconds;
using stand_in::Request;
using stand_in::Sample;
using stand_in::World;
using Line = Endpoint::Line;

namespace {

Endpoint::Behaviour Refuses(int status = 503) {
  return [status](Line& line, const Message& request) {
    line.Write(Endpoint::NotRun(request, status));
  };
}

// So that every endpoint misbehaves until one has, and the others answer.
struct FirstOnly {
  explicit FirstOnly(Endpoint::Behaviour behaviour) : bad(std::move(behaviour)) {}
  Endpoint::Behaviour bad;
  int seen = 0;
  Endpoint::Behaviour Then(Endpoint::Behaviour good) {
    return [this, good = std::move(good)](Line& line, const Message& request) {
      (seen++ == 0 ? bad : good)(line, request);
    };
  }
};

}  // namespace

// ---- Never run: another endpoint, or 503 ----

BOOST_AUTO_TEST_CASE(what_an_endpoint_did_not_run_goes_on_at_another) {
  for (const int status : {503, 429, 421}) {
    BOOST_TEST_CONTEXT(status) {
      World world;
      FirstOnly first(Refuses(status));
      world.Add(first.Then(Answers("x")));
      world.Add(first.Then(Answers("x")));
      auto client = world.Ask(Request("/post/a"));
      world.Run(milliseconds(100));
      BOOST_TEST(client->Answer().Status() == 200);
      BOOST_TEST(world.Served() == 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(refused_everywhere_is_503_at_once_with_a_time_to_come_back) {
  World world;
  world.Add(Refuses());
  world.Add(Refuses());
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(600));
  const Message answer = client->Answer();
  BOOST_TEST(answer.Status() == 503);
  BOOST_TEST(std::stod(answer.Value("Retry-After")) > 0);
  BOOST_TEST(answer.Count("Shelflink-Response-Stamp") == 0U);
}

BOOST_AUTO_TEST_CASE(no_endpoint_is_503_without_a_hold) {
  World world;
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(600));
  BOOST_TEST(client->Answer().Status() == 503);
}

BOOST_AUTO_TEST_CASE(dead_port_counts_as_not_run) {
  World world;
  Endpoint& dead = world.Add(Answers("x"));
  Endpoint& alive = world.Add(Answers("x"));
  dead.Crash();  // The list does not know it yet.
  for (int number = 0; number < 4; ++number) {
    auto client = world.Ask(Request("/post/a", "0" + std::to_string(number)));
    world.Run(milliseconds(200));
    BOOST_TEST(client->Answer().Status() == 200);
  }
  BOOST_TEST(alive.requests.size() == 4U);
}

BOOST_AUTO_TEST_CASE(silent_machine_costs_one_dial_only) {
  World world;
  Endpoint& silent = world.Add(Answers("x"));
  world.Add(Answers("x"));
  world.network.SetCutOff(silent.process.host(), true);
  auto one = world.Ask(Request("/post/a", "01"));
  auto two = world.Ask(Request("/post/a", "02"));
  world.Run(milliseconds(600));
  BOOST_TEST(one->Answer().Status() == 200);
  BOOST_TEST(two->Answer().Status() == 200);
}

// ---- May have run ----

BOOST_AUTO_TEST_CASE(break_after_the_send_is_502_where_it_must_not_run_twice) {
  const std::vector<Endpoint::Behaviour> breaks = {
      [](Line& line, const Message&) { line.Reset(); },
      [](Line& line, const Message&) { line.Close(); },
      [](Line& line, const Message&) { line.Write("this is no answer\r\n\r\n"); },
      [](Line& line, const Message& request) {
        line.Write(Endpoint::Head(request, "Content-Length: 10\r\n") + "half");
        line.Close();
      },
      [](Line& line, const Message& request) {
        line.Write(Endpoint::Head(request, "Content-Length: 2\r\nContent-Length: 3\r\n") + "abc");
      },
      // No stamp, no success.
      [](Line& line, const Message& request) {
        line.Write("HTTP/1.1 200 OK\r\nShelflink-Request-Id: " +
                   request.Value("Shelflink-Request-Id") + "\r\nContent-Length: 1\r\n\r\nx");
      },
      // Nobody's answer.
      [](Line& line, const Message&) {
        line.Write("HTTP/1.1 200 OK\r\nShelflink-Response-Stamp: s\r\nContent-Length: 1\r\n\r\nx");
      },
      // Promises that the endpoint does not make.
      [](Line& line, const Message& request) { line.Write(Endpoint::Whole(request, "", 503)); },
      [](Line& line, const Message& request) { line.Write(Endpoint::Whole(request, "", 429)); },
      [](Line& line, const Message& request) { line.Write(Endpoint::Whole(request, "", 408)); },
  };
  for (std::size_t number = 0; number < breaks.size(); ++number) {
    for (const std::string path : {"/post/a", "/stream/a"}) {
      BOOST_TEST_CONTEXT(path << " " << number) {
        World world;
        world.Add(breaks[number]);
        world.Add(breaks[number]);
        auto client = world.Ask(Request(path));
        world.Run(milliseconds(500));
        const Message answer = client->Answer();
        BOOST_TEST(answer.Status() == 502);
        BOOST_TEST(answer.Count("Shelflink-Response-Stamp") == 0U);
        BOOST_TEST(world.Served() == 1U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(idempotent_requests_run_again_up_to_the_limit) {
  World world;
  FirstOnly first([](Line& line, const Message&) { line.Reset(); });
  world.Add(first.Then(Answers("x")));
  world.Add(first.Then(Answers("x")));
  auto client = world.Ask(Request("/get/a"));
  world.Run(milliseconds(200));
  BOOST_TEST(client->Answer().Status() == 200);
  BOOST_TEST(world.Served() == 2U);

  World broken;
  for (int number = 0; number < 4; ++number) {
    broken.Add([](Line& line, const Message&) { line.Reset(); });
  }
  auto other = broken.Ask(Request("/get/a"));
  broken.Run(milliseconds(500));
  BOOST_TEST(other->Answer().Status() == 502);
  BOOST_TEST(broken.Served() == 2U);  // maxAttempts
}

BOOST_AUTO_TEST_CASE(an_endpoints_failure_goes_back_as_it_is) {
  for (const int status : {500, 504, 404, 400, 422, 302}) {
    BOOST_TEST_CONTEXT(status) {
      World world;
      world.Add([status](Line& line, const Message& request) {
        line.Write(Endpoint::Whole(request, "why", status));
      });
      auto client = world.Ask(Request("/post/a"));
      world.Run(milliseconds(200));
      const Message answer = client->Answer();
      BOOST_TEST(answer.Status() == status);
      BOOST_TEST(answer.body == "why");
      BOOST_TEST(answer.Value("Shelflink-Response-Stamp") == "stamp.1");
      BOOST_TEST(world.Served() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failure_is_tried_elsewhere_where_that_may_be) {
  World world;
  FirstOnly first(
      [](Line& line, const Message& request) { line.Write(Endpoint::Whole(request, "why", 500)); });
  world.Add(first.Then(Answers("x")));
  world.Add(first.Then(Answers("x")));
  auto client = world.Ask(Request("/get/a"));
  world.Run(milliseconds(200));
  BOOST_TEST(client->Answer().Status() == 200);

  World failing;
  for (int number = 0; number < 3; ++number) {
    failing.Add([](Line& line, const Message& request) {
      line.Write(Endpoint::Whole(request, "why", 500));
    });
  }
  auto other = failing.Ask(Request("/get/a"));
  failing.Run(milliseconds(200));
  const Message answer = other->Answer();
  BOOST_TEST(answer.Status() == 500);
  BOOST_TEST(answer.body == "why");
  BOOST_TEST(failing.Served() == 2U);
}

BOOST_AUTO_TEST_CASE(silence_ends_with_504_at_the_clients_deadline) {
  World world;
  Endpoint& endpoint = world.Add([](Line&, const Message&) {});
  const auto start = world.network.Now();
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(2900));
  BOOST_TEST(client->came.empty());
  world.Run(milliseconds(300));
  BOOST_TEST(client->Answer().Status() == 504);
  BOOST_TEST((client->pieces.front().first - start <= milliseconds(3150)));
  BOOST_TEST(endpoint.left == 1U);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_leaves_an_endpoint_that_is_silent_for_all) {
  World world;
  FirstOnly first([](Line&, const Message&) {});
  world.Add(first.Then(Answers("x")));
  world.Add(first.Then(Answers("x")));
  auto client = world.Ask(Request("/get/a"));
  world.Run(milliseconds(1500));
  BOOST_TEST(client->Answer().Status() == 200);
  BOOST_TEST(world.Served() == 2U);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_waits_where_others_are_answered) {
  World world;
  const auto behaviour = [&](Line& line, const Message& request) {
    if (request.Value("Shelflink-Request-Id") != "slow") return Answers("x")(line, request);
    const Message kept = request;
    world.endpoints[0]->Later(milliseconds(2200),
                              [&line, kept] { line.Write(Endpoint::Whole(kept, "slow")); });
  };
  world.Add(behaviour);
  auto slow = world.Ask(Request("/get/a", "slow"));
  for (int number = 0; number < 8; ++number) {
    auto other = world.Ask(Request("/get/a", std::to_string(number)));
    world.Run(milliseconds(300));
    BOOST_TEST(other->Answer().Status() == 200);
  }
  BOOST_TEST(slow->Answer().body == "slow");
  BOOST_TEST(world.Served() == 9U);
}

BOOST_AUTO_TEST_CASE(a_proxy_that_stood_still_reads_what_has_come_first) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(seed);
    world.Add([&](Line& line, const Message& request) {
      world.endpoints[0]->Stream(line, request, 5, milliseconds(20));
    });
    auto client = world.Ask(Request("/stream/a"));
    world.Run(milliseconds(30));
    world.process.SetPaused(true);
    world.Run(milliseconds(2500));
    world.process.SetPaused(false);
    world.Run(milliseconds(200));
    BOOST_TEST(client->Answer().whole);
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_held_beyond_the_routes_time_out) {
  World world;
  world.Add([](Line&, const Message&) {});
  auto client = world.Ask(
      "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 01\r\n"
      "Shelflink-Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n");
  world.Run(milliseconds(4200));
  BOOST_TEST(client->Answer().Status() == 504);
}

BOOST_AUTO_TEST_CASE(client_that_leaves_is_cancelled_at_the_endpoint) {
  World world;
  Endpoint& endpoint = world.Add([](Line&, const Message&) {});
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(50));
  BOOST_TEST(endpoint.requests.size() == 1U);
  client->Leave();
  world.Run(milliseconds(50));
  BOOST_TEST(endpoint.left == 1U);
  BOOST_TEST(world.calls.held() == 0U);
}

// ---- What stands before, behind and in place of an answer ----

BOOST_AUTO_TEST_CASE(interim_answers_are_left_out) {
  World world;
  world.Add([](Line& line, const Message& request) {
    line.Write("HTTP/1.1 103 Early\r\nX-Hint: a\r\n\r\n" + Endpoint::Whole(request, "x"));
  });
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(100));
  BOOST_TEST(client->came.substr(0, 12) == "HTTP/1.1 200");
  BOOST_TEST(client->Answer().body == "x");
}

BOOST_AUTO_TEST_CASE(late_surplus_answer_is_not_the_next_ones) {
  World world;
  Endpoint& endpoint = world.Add(Answers("one"));
  auto one = world.Ask(Request("/post/a", "01"));
  world.Run(milliseconds(50));
  BOOST_TEST(one->Answer().body == "one");
  Message before = endpoint.requests.front();
  endpoint.behaviour = [before](Line& line, const Message& request) {
    line.Write(Endpoint::Whole(before, "surplus"));
    line.Write(Endpoint::Whole(request, "two"));
  };
  auto two = world.Ask(Request("/post/a", "02"));
  world.Run(milliseconds(50));
  BOOST_TEST(two->Answer().body == "two");
  BOOST_TEST(endpoint.connections == 1U);
}

BOOST_AUTO_TEST_CASE(surplus_answer_alone_is_waited_behind_and_then_502) {
  World world;
  world.Add([](Line& line, const Message&) {
    line.Write(
        "HTTP/1.1 200 OK\r\nShelflink-Request-Id: ff\r\nShelflink-Response-Stamp: s\r\n"
        "Content-Length: 1\r\n\r\nx");
    line.Close();
  });
  auto client = world.Ask(Request("/post/a", "02"));
  world.Run(milliseconds(50));
  BOOST_TEST(client->Answer().Status() == 502);
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_end_its_connection) {
  World world;
  Endpoint& endpoint = world.Add([](Line& line, const Message& request) {
    line.Write(Endpoint::Whole(request, "x") + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
  });
  for (int number = 0; number < 3; ++number) {
    auto client = world.Ask(Request("/post/a", "0" + std::to_string(number)));
    world.Run(milliseconds(50));
    BOOST_TEST(client->Answer().body == "x");
  }
  BOOST_TEST(endpoint.connections == 3U);
}

BOOST_AUTO_TEST_CASE(encodings_pass_as_they_are) {
  World world;
  world.Add(Answers("zipped", "Content-Encoding: gzip\r\n"));
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(50));
  const Message answer = client->Answer();
  BOOST_TEST(answer.Value("Content-Encoding") == "gzip");
  BOOST_TEST(answer.body == "zipped");
}

BOOST_AUTO_TEST_CASE(long_answers_pass_in_parts_and_a_break_shows) {
  const std::string body(300'000, 'b');
  World world;
  world.Add(Answers(body));
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(500));
  const Message answer = client->Answer();
  BOOST_TEST(answer.whole);
  BOOST_TEST((answer.body == body));

  World breaking;
  breaking.Add([&](Line& line, const Message& request) {
    line.Write(Endpoint::Head(request, "Content-Length: 300000\r\n") + body.substr(0, 200'000));
    breaking.endpoints[0]->Later(milliseconds(100), [&line] { line.Close(); });
  });
  auto other = breaking.Ask(Request("/post/a"));
  breaking.Run(milliseconds(1000));
  BOOST_TEST(other->over);
  BOOST_TEST(!other->Answer().whole);
}

// ---- Connections ----

BOOST_AUTO_TEST_CASE(connections_are_kept_and_used_again) {
  World world;
  Endpoint& endpoint = world.Add(Answers("x", "Keep-Alive: timeout=5\r\n"));
  for (int number = 0; number < 5; ++number) {
    auto client = world.Ask(Request("/post/a", "0" + std::to_string(number)));
    world.Run(milliseconds(300));
    BOOST_TEST(client->Answer().Status() == 200);
  }
  BOOST_TEST(endpoint.connections == 1U);
}

BOOST_AUTO_TEST_CASE(keep_alive_bounds_how_long_one_is_kept) {
  World world;
  Endpoint& endpoint = world.Add(Answers("x", "Keep-Alive: timeout=1\r\n"));
  auto one = world.Ask(Request("/post/a", "01"));
  world.Run(milliseconds(950));
  BOOST_TEST(endpoint.left == 1U);
  auto two = world.Ask(Request("/post/a", "02"));
  world.Run(milliseconds(100));
  BOOST_TEST(two->Answer().Status() == 200);
  BOOST_TEST(endpoint.connections == 2U);
}

BOOST_AUTO_TEST_CASE(connection_close_is_heeded) {
  World world;
  Endpoint& endpoint = world.Add(Answers("x", "Connection: close\r\n"));
  for (int number = 0; number < 2; ++number) {
    auto client = world.Ask(Request("/post/a", "0" + std::to_string(number)));
    world.Run(milliseconds(50));
    const Message answer = client->Answer();
    BOOST_TEST(answer.Status() == 200);
    BOOST_TEST(answer.Value("Connection") != "close");  // That was between it and us.
  }
  BOOST_TEST(endpoint.connections == 2U);
}

// ---- Endpoints that drain, go and change ----

BOOST_AUTO_TEST_CASE(draining_and_gone_endpoints_get_nothing_new) {
  World world;
  Endpoint& leaving = world.Add(Answers("x"));
  world.Add(Answers("x"));
  leaving.draining = true;
  world.Tell();
  for (int number = 0; number < 6; ++number) {
    auto client = world.Ask(Request("/post/a", "0" + std::to_string(number)));
    world.Run(milliseconds(50));
    BOOST_TEST(client->Answer().Status() == 200);
  }
  BOOST_TEST(leaving.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_connection_that_is_dialled_while_the_drain_comes_carries_nothing) {
  World world;
  Endpoint& leaving = world.Add(Answers("x"));
  net::Weather slow;
  slow.latency_low = milliseconds(50);
  slow.latency_high = milliseconds(50);
  world.network.SetWeather(leaving.process.host(), world.process.host(), slow);
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(60));  // The dial is under way.
  leaving.draining = true;
  world.Tell();
  world.Run(milliseconds(400));
  BOOST_TEST(leaving.requests.empty());
  BOOST_TEST(client->Answer().Status() == 503);
}

BOOST_AUTO_TEST_CASE(what_runs_at_a_draining_endpoint_goes_on) {
  World world;
  Endpoint& leaving = world.Add([&](Line& line, const Message& request) {
    world.endpoints[0]->Stream(line, request, 10, milliseconds(50));
  });
  auto client = world.Ask(Request("/stream/a"));
  world.Run(milliseconds(100));
  leaving.draining = true;
  world.Tell();
  world.Run(milliseconds(1000));
  BOOST_TEST(client->Answer().whole);
}

BOOST_AUTO_TEST_CASE(another_instance_at_the_address_never_runs_it) {
  World world;
  Endpoint& endpoint = world.Add(Answers("x"));
  endpoint.id = "i-other";  // Its process started anew; the list still has i-0.
  auto list = std::make_shared<shelflink::cluster::EndpointList>(*world.view.endpoints);
  auto client = world.Ask(Request("/post/a"));
  world.Run(milliseconds(300));
  BOOST_TEST(client->Answer().Status() == 503);
  BOOST_TEST(endpoint.requests.size() == 1U);
  // It is not asked again under that name.
  auto again = world.Ask(Request("/post/a", "02"));
  world.Run(milliseconds(300));
  BOOST_TEST(again->Answer().Status() == 503);
  BOOST_TEST(endpoint.requests.size() == 1U);
  world.Tell();
  auto after = world.Ask(Request("/post/a", "03"));
  world.Run(milliseconds(300));
  BOOST_TEST(after->Answer().Status() == 200);
}

BOOST_AUTO_TEST_CASE(weights_split_requests_between_services) {
  auto configuration = Sample();
  configuration.routes[1].split = {{"svc", 90}, {"other", 10}};
  configuration.services.push_back({"other", "/health", 100, std::nullopt, std::nullopt});
  configuration.Index();
  World world(1, configuration);
  Endpoint& svc = world.Add(Answers("x"));
  Endpoint& other = world.Add(Answers("x"), "other");
  constexpr int kRequests = 400;
  for (int number = 0; number < kRequests; ++number) {
    auto client = world.Ask(Request("/post/a", "id" + std::to_string(number)));
    world.Run(milliseconds(10));
    BOOST_TEST(client->Answer().Status() == 200);
  }
  BOOST_TEST(svc.requests.size() + other.requests.size() == std::size_t{kRequests});
  BOOST_TEST(other.requests.size() > 20U);
  BOOST_TEST(other.requests.size() < 60U);
}

// A second answer to an attempt bears the id that the next attempt of the same request waits for:
// that one goes out on another connection.
BOOST_AUTO_TEST_CASE(a_retry_is_not_answered_by_a_second_answer_to_the_attempt_before) {
  World world(11);
  Endpoint* only = nullptr;
  only = &world.Add([&](Endpoint::Line& line, const Message& request) {
    if (only->requests.size() > 1) return line.Write(Endpoint::Whole(request, "right"));
    line.Write(Endpoint::Whole(request, "failed", 500));
    line.Write(Endpoint::Whole(request, "failed", 500));
  });
  auto client = world.Ask(Request("/get/x"));
  world.Run(milliseconds(500));
  const Message answer = client->Answer();
  BOOST_TEST(answer.Status() == 200);
  BOOST_TEST(answer.body == "right");
  BOOST_TEST(only->requests.size() == 2U);
  BOOST_TEST(only->connections == 2U);
}

// So does one to an earlier request of the same id, as items of batch jobs are sent again.
BOOST_AUTO_TEST_CASE(a_request_is_not_answered_by_a_second_answer_to_its_like_before) {
  World world(11);
  Endpoint* only = nullptr;
  only = &world.Add([&](Endpoint::Line& line, const Message& request) {
    if (only->requests.size() > 1) {
      return only->Later(milliseconds(60),
                         [&line, request] { line.Write(Endpoint::Whole(request, "right")); });
    }
    line.Write(Endpoint::Whole(request, "failed", 500));
    only->Later(milliseconds(40),
                [&line, request] { line.Write(Endpoint::Whole(request, "failed", 500)); });
  });
  auto first = world.Ask(Request("/post/x", "item"));
  world.Run(milliseconds(20));
  BOOST_TEST(first->Answer().Status() == 500);
  auto second = world.Ask(Request("/post/x", "item"));
  world.Run(milliseconds(500));
  const Message answer = second->Answer();
  BOOST_TEST(answer.Status() == 200);
  BOOST_TEST(answer.body == "right");
  BOOST_TEST(only->connections == 2U);
}

// The parser's own assertion ends the process where it is compiled in.
BOOST_AUTO_TEST_CASE(an_empty_body_in_chunks_may_come_cut_anywhere) {
  const std::string last = "0\r\n\r\n";
  for (std::size_t first = 1; first < last.size(); ++first) {
    for (std::size_t second = first + 1; second <= last.size(); ++second) {
      World world(12);
      Endpoint* only = nullptr;
      only = &world.Add([&](Endpoint::Line& line, const Message& request) {
        line.Write(Endpoint::Head(request, "Transfer-Encoding: chunked\r\n") +
                   last.substr(0, first));
        only->Later(milliseconds(5), [&] { line.Write(last.substr(first, second - first)); });
        only->Later(milliseconds(10), [&] { line.Write(last.substr(second)); });
      });
      auto client = world.Dial();
      client->Send(
          "POST /get/x HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: cut\r\n"
          "Shelflink-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n" +
          last.substr(0, first));
      world.Run(milliseconds(10));
      client->Send(last.substr(first, second - first));
      world.Run(milliseconds(10));
      client->Send(last.substr(second));
      world.Run(milliseconds(300));
      const Message answer = client->Answer();
      BOOST_TEST(answer.Status() == 200);
      BOOST_TEST(answer.whole);
      BOOST_TEST(answer.body.empty());
    }
  }
}
