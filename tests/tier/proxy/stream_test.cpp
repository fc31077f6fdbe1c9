// Event streams: each event is forwarded on arrival, complete, in order and once, and a broken
// stream is resumed within the same response.
#define BOOST_TEST_MODULE proxy_stream
#include <boost/test/unit_test.hpp>

#include "proxy/proxy_fixture.h"
#include "tier/proxy/event_stream.h"

using proxy_test::Client;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using proxy_test::Request;
using shelflink::proxy::EventStream;
using Connection = Endpoint::Connection;

namespace {

std::string Events(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) text += Endpoint::EventText(number);
  return text;
}

}  // namespace

// ---- EventStream ----

BOOST_AUTO_TEST_CASE(only_complete_events_are_forwarded_for_any_split) {
  const std::string text = "versions: 3\n" + Events(1, 5) + ": still here\n\n" + Events(6, 6);
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventStream stream;
    std::string forwarded;
    for (std::size_t at = 0; at < text.size(); at += size) {
      const auto output = stream.Feed(std::string_view(text).substr(at, size));
      BOOST_TEST(!output.broken);
      forwarded += output.bytes;
      BOOST_TEST((forwarded.empty() || forwarded.substr(forwarded.size() - 2) == "\n\n"));
    }
    BOOST_TEST(forwarded == text);
    BOOST_TEST(stream.event_count() == 6U);
    BOOST_TEST(stream.last_id().value() == 6U);
    BOOST_TEST(stream.incomplete_event().empty());
  }
}

BOOST_AUTO_TEST_CASE(events_are_reported_with_id_and_data) {
  EventStream stream;
  std::vector<shelflink::proxy::Event> events;
  stream.Feed("id: 4\r\ndata: a\r\ndata:b\r\n\r\ndata\n\n",
              [&](const shelflink::proxy::Event& event) { events.push_back(event); });
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST(events[0].id.value() == 4U);
  BOOST_TEST(events[0].data == "a\nb");
  BOOST_TEST(!events[1].id.has_value());
  BOOST_TEST(events[1].data.empty());
}

BOOST_AUTO_TEST_CASE(a_resumed_run_joins_without_gap_or_repeat) {
  EventStream stream;
  stream.Feed(Events(1, 3) + "id: 4\nda");
  stream.BeginResumedRun();
  const auto repeated = stream.Feed(Events(2, 5));
  BOOST_TEST(!repeated.broken);
  BOOST_TEST(repeated.bytes == Events(4, 5));
  stream.BeginResumedRun();
  BOOST_TEST(stream.Feed(Events(7, 7)).broken);
}

BOOST_AUTO_TEST_CASE(runs_with_non_consecutive_ids_are_joined) {
  EventStream stream;
  stream.Feed("id: 3\ndata: a\n\nid: 8\ndata: b\n\n");
  stream.BeginResumedRun();
  const auto output = stream.Feed("id: 8\ndata: b\n\nid: 12\ndata: c\n\n");
  BOOST_TEST(!output.broken);
  BOOST_TEST(output.bytes == "id: 12\ndata: c\n\n");
}

BOOST_AUTO_TEST_CASE(streams_without_ids_cannot_be_resumed) {
  EventStream stream;
  stream.Feed("data: a\n\n");
  BOOST_TEST(!stream.CanResume());
}

BOOST_AUTO_TEST_CASE(an_oversized_event_breaks_the_stream) {
  EventStream stream;
  bool broken = false;
  const std::string piece(65536, 'x');
  for (int n = 0; n < 20 && !broken; ++n) broken = stream.Feed(piece).broken;
  BOOST_TEST(broken);
}

// ---- Through the proxy ----

BOOST_AUTO_TEST_CASE(events_are_forwarded_on_arrival) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 5, milliseconds(100));
  });
  auto client = fixture.SendRequest(Request("/stream/a"));
  fixture.Run(milliseconds(250));
  BOOST_TEST(client->received_parts.size() == 3U);
  fixture.Run(milliseconds(500));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.body == Events(1, 5));
  BOOST_TEST(response.Value("Content-Type") == "text/event-stream");
  BOOST_TEST(response.Value("Shelflink-Response-Stamp") == "stamp.1");
  BOOST_TEST(endpoint.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(usage_is_counted_with_the_first_event) {
  auto configuration = proxy_test::SampleConfiguration();
  configuration.routes[2].is_public = false;
  configuration.Index();
  ProxyFixture fixture(1, configuration);
  fixture.Add([&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::StreamHead(request));
    fixture.endpoints[0]->RunAfter(milliseconds(300), [&connection] {
      connection.Write(Endpoint::Chunk(Events(1, 1)) + "0\r\n\r\n");
    });
  });
  auto client = fixture.SendRequest(Request("/stream/a", "01", "Shelflink-Credential: key-1\r\n"));
  fixture.Run(milliseconds(200));
  BOOST_TEST(fixture.usage.count("ten") == 0U);
  fixture.Run(milliseconds(200));
  BOOST_TEST(fixture.usage["ten"] == 1);
}

BOOST_AUTO_TEST_CASE(a_cut_stream_that_cannot_be_resumed_looks_truncated) {
  for (const bool reset : {true, false}) {
    ProxyFixture fixture;
    const auto break_off = [&, reset](Connection& connection, const Message& request) {
      fixture.endpoints[0]->Stream(connection, request, 3, milliseconds(20),
                                   [reset](Connection& cut) {
                                     cut.Write(Endpoint::Chunk("id: 4\ndata: par"));
                                     reset ? cut.Reset() : cut.Close();
                                   });
    };
    fixture.Add(break_off);
    auto client = fixture.SendRequest(Request("/stream/a"));
    fixture.Run(milliseconds(500));
    BOOST_TEST(client->closed);
    const Message response = client->NextResponse();
    BOOST_TEST(!response.whole);
    BOOST_TEST(response.body == Events(1, 3));  // The incomplete event is dropped.
    BOOST_TEST(fixture.RequestCount() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_cut_stream_is_resumed_elsewhere_in_the_same_response) {
  ProxyFixture fixture;
  int runs = 0;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    Endpoint& self =
        *fixture.endpoints[request.Value("Shelflink-Expect-Instance") == "i-0" ? 0 : 1];
    if (runs++ > 0) return self.Stream(connection, request, 6);
    self.Stream(connection, request, 3, milliseconds(20), [](Connection& cut) {
      cut.Write(Endpoint::Chunk("id: 4\ndata: par"));
      cut.Reset();
    });
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/resume/a"));
  fixture.Run(milliseconds(1000));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.body == Events(1, 6));
  BOOST_TEST(response.Count("Shelflink-Response-Stamp") == 1U);
  BOOST_TEST(fixture.RequestCount() == 2U);
  std::string continued;
  for (const auto& endpoint : fixture.endpoints) {
    for (const Message& request : endpoint->requests) {
      continued += request.Value("Last-Event-Id");
      BOOST_TEST(request.body == "prompt");
    }
  }
  BOOST_TEST(continued == "3");
}

BOOST_AUTO_TEST_CASE(a_gap_at_the_resumption_breaks_the_response) {
  ProxyFixture fixture;
  int runs = 0;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::StreamHead(request));
    if (runs++ == 0) {
      connection.Write(Endpoint::Chunk(Events(1, 3)));
      fixture.endpoints[0]->RunAfter(milliseconds(20), [&connection] { connection.Reset(); });
    } else {
      connection.Write(Endpoint::Chunk(Events(5, 6)) + "0\r\n\r\n");
    }
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/resume/a"));
  fixture.Run(milliseconds(500));
  BOOST_TEST(client->closed);
  const Message response = client->NextResponse();
  BOOST_TEST(!response.whole);
  BOOST_TEST(response.body == Events(1, 3));
}

BOOST_AUTO_TEST_CASE(the_clients_last_event_id_is_forwarded) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 6);
  });
  auto client = fixture.SendRequest(Request("/resume/a", "01", "Last-Event-Id: 4\r\n"));
  fixture.Run(milliseconds(300));
  BOOST_TEST(client->NextResponse().body == Events(5, 6));
  BOOST_TEST(endpoint.requests.front().Value("Last-Event-Id") == "4");
}

BOOST_AUTO_TEST_CASE(a_stream_that_lost_only_its_end_is_completed) {
  ProxyFixture fixture;
  int runs = 0;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::StreamHead(request));
    if (runs++ == 0) {
      connection.Write(Endpoint::Chunk(Events(1, 3)));
      fixture.endpoints[0]->RunAfter(milliseconds(20), [&connection] { connection.Reset(); });
    } else {
      connection.Write("0\r\n\r\n");
    }
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/resume/a"));
  fixture.Run(milliseconds(500));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.body == Events(1, 3));
}

BOOST_AUTO_TEST_CASE(resumptions_count_as_attempts) {
  ProxyFixture fixture;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 100, milliseconds(5), nullptr);
    fixture.endpoints[0]->RunAfter(milliseconds(20), [&connection] { connection.Reset(); });
  };
  for (int number = 0; number < 4; ++number) fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/resume/a"));
  fixture.Run(milliseconds(1000));
  BOOST_TEST(client->closed);
  BOOST_TEST(!client->NextResponse().whole);
  BOOST_TEST(fixture.RequestCount() == 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_stream_is_resumed_before_its_client_gives_up) {
  ProxyFixture fixture;
  int runs = 0;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    Endpoint& self =
        *fixture.endpoints[request.Value("Shelflink-Expect-Instance") == "i-0" ? 0 : 1];
    if (runs++ > 0) return self.Stream(connection, request, 6);
    self.Stream(connection, request, 3, milliseconds(20), [](Connection&) {});
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/resume/a"));
  fixture.Run(milliseconds(1900));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.body == Events(1, 6));
}

BOOST_AUTO_TEST_CASE(a_slow_stream_stays_while_its_endpoint_responds_to_others) {
  ProxyFixture fixture;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    Endpoint& self = *fixture.endpoints[0];
    if (request.Value("Shelflink-Request-Id") != "slow") return self.Stream(connection, request, 3);
    connection.Write(Endpoint::StreamHead(request));
    self.RunAfter(milliseconds(1800),
                  [&connection] { connection.Write(Endpoint::Chunk(Events(1, 1)) + "0\r\n\r\n"); });
  };
  fixture.Add(behaviour);
  auto slow = fixture.SendRequest(Request("/resume/a", "slow"));
  for (int number = 0; number < 6; ++number) {
    auto other = fixture.SendRequest(Request("/resume/a", std::to_string(number)));
    fixture.Run(milliseconds(300));
    BOOST_TEST(other->NextResponse().whole);
  }
  fixture.Run(milliseconds(300));
  BOOST_TEST(slow->NextResponse().body == Events(1, 1));
  BOOST_TEST(fixture.RequestCount() == 7U);
}

// Clients abandon a stream after such a silence. The proxy must not cut the stream before that, nor
// if the client stays (LOST).
BOOST_AUTO_TEST_CASE(a_silent_stream_ends_only_when_its_client_disconnects) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 3, milliseconds(20), [](Connection&) {});
  });
  auto client = fixture.SendRequest(Request("/stream/a"));
  fixture.Run(milliseconds(2400));
  BOOST_TEST(!client->closed);
  BOOST_TEST(endpoint.disconnects == 0U);
  client->Disconnect();
  fixture.Run(milliseconds(50));
  BOOST_TEST(endpoint.disconnects == 1U);
  BOOST_TEST(!client->NextResponse().whole);
}

BOOST_AUTO_TEST_CASE(a_stream_ends_at_the_routes_timeout) {
  ProxyFixture fixture;
  fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 1000, milliseconds(50));
  });
  auto client = fixture.SendRequest(Request("/stream/a"));
  fixture.Run(milliseconds(2950));
  BOOST_TEST(!client->closed);
  fixture.Run(milliseconds(300));
  BOOST_TEST(client->closed);
  BOOST_TEST(!client->NextResponse().whole);
}

BOOST_AUTO_TEST_CASE(a_stream_refused_before_its_first_event_is_sent_elsewhere) {
  ProxyFixture fixture;
  int runs = 0;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    if (runs++ == 0) return connection.Write(Endpoint::NotRunResponse(request));
    fixture.endpoints[0]->Stream(connection, request, 3);
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  auto client = fixture.SendRequest(Request("/stream/a"));
  fixture.Run(milliseconds(300));
  BOOST_TEST(client->NextResponse().body == Events(1, 3));
}

BOOST_AUTO_TEST_CASE(backpressure_by_a_client_loses_no_data) {
  ProxyFixture fixture;
  const std::string large(60'000, 'd');
  fixture.Add([&](Connection& connection, const Message& request) {
    connection.Write(Endpoint::StreamHead(request));
    std::string text;
    for (int number = 1; number <= 8; ++number) {
      text += Endpoint::Chunk("id: " + std::to_string(number) + "\ndata: " + large + "\n\n");
    }
    connection.Write(text + "0\r\n\r\n");
  });
  auto client = fixture.SendRequest(Request("/stream/a"));
  fixture.Run(milliseconds(1000));
  const Message response = client->NextResponse();
  BOOST_TEST(response.whole);
  BOOST_TEST(response.body.size() > 8 * large.size());
}
