// The operator's HTTP interface over loopback: each order, what is refused, limits and ends.
#define BOOST_TEST_MODULE operator_server
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "operator_api/server_scene.h"

namespace shelflink::operator_api {
namespace {

using configuration::ChangeMethod;

BOOST_FIXTURE_TEST_SUITE(server, Scene)

BOOST_AUTO_TEST_CASE(serves_each_order) {
  service.document_result = std::string(R"({"configVersion":7,"rate":2200000.0})");
  const auto put = Connect(Request("PUT /config", "If-Match: 5\r\n", "{\"configVersion\":7}"));
  RunUntil([&] { return put->answers() == 1; });
  BOOST_TEST(put->status() == 200);
  BOOST_REQUIRE(service.changes.size() == 1U);
  BOOST_TEST((service.changes[0].method == ChangeMethod::kPut));
  BOOST_TEST(service.changes[0].base_version == 5U);
  BOOST_TEST(service.changes[0].body == "{\"configVersion\":7}");
  const auto get = Connect(Request("GET /config?x=1"));
  RunUntil([&] { return get->answers() == 1; });
  BOOST_TEST(get->status() == 200);
  BOOST_TEST(get->has("Content-Type: application/json"));
  BOOST_TEST(get->has(R"({"configVersion":7,"rate":2200000.0})"));
  BOOST_TEST(StatusOf(Request("PATCH /config", "If-Match: 7\r\n", "{}")) == 200);
  BOOST_TEST((service.changes[1].method == ChangeMethod::kPatch));
  BOOST_TEST(StatusOf(Request("POST /retire/store-1", "", R"({"deadlineS":10})")) == 200);
  BOOST_TEST(service.retirements[0].node == "store-1");
  const auto state = Connect(Request("GET /retire/store-1"));
  RunUntil([&] { return state->answers() == 1; });
  BOOST_TEST(state->has(R"({"state":"running"})"));
}

BOOST_AUTO_TEST_CASE(a_body_may_come_in_chunks_and_a_connection_serve_many) {
  const auto client =
      Connect(Request("PUT /config", "If-Match: 5\r\nTransfer-Encoding: chunked\r\n") +
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  RunUntil([&] { return client->answers() == 1; });
  BOOST_TEST(service.changes[0].body == "abcde");
  client->Send(Request("GET /config"));
  RunUntil([&] { return client->answers() == 2; });
  BOOST_TEST(client->status(1) == 200);
  BOOST_TEST(!client->ended);
}

BOOST_AUTO_TEST_CASE(errors_have_their_status_and_reason) {
  service.change_result = MakeError(ErrorCode::kInvalid, "routes[0].timeoutMs: expected more");
  const auto client = Connect(Request("PUT /config", "If-Match: 5\r\n", "{}"));
  RunUntil([&] { return client->answers() == 1; });
  BOOST_TEST(client->status() == 400);
  BOOST_TEST(client->has(R"({"error":"routes[0].timeoutMs: expected more"})"));
  service.change_result = MakeError(ErrorCode::kConflict, "version 7 is in force");
  BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", "{}")) == 412);
  service.retire_result = MakeError(ErrorCode::kConflict, "too few would be left");
  BOOST_TEST(StatusOf(Request("POST /retire/a")) == 409);
  service.state_result = MakeError(ErrorCode::kNotFound, "nobody asked");
  BOOST_TEST(StatusOf(Request("GET /retire/a")) == 404);
}

// PROTOCOL.md's redirect: Location holds the whole address, and the same request is accepted there.
BOOST_AUTO_TEST_CASE(an_order_to_be_confirmed_is_redirected) {
  service.change_result = OrderOutcome(ConfirmationRequired{12});
  const auto client = Connect(Request("PATCH /config", "If-Match: 7\r\n", "{}"));
  RunUntil([&] { return client->answers() == 1; });
  BOOST_TEST(client->status() == 307);
  BOOST_TEST(
      client->has("Location: http://" + server->address().Text() + "/config/confirmed/12\r\n"));
  service.change_result = OrderOutcome(Acknowledged{});
  client->Send(Request("PATCH /config/confirmed/12", "If-Match: 7\r\n", "{}"));
  RunUntil([&] { return client->answers() == 2; });
  BOOST_TEST(client->status(1) == 200);
  BOOST_REQUIRE(service.changes.size() == 2U);
  BOOST_TEST(service.changes[0].refusals_seen == 0U);
  BOOST_TEST(service.changes[1].refusals_seen == 12U);
  BOOST_TEST(service.changes[1].base_version == 7U);
}

BOOST_AUTO_TEST_CASE(other_methods_and_paths_are_refused) {
  BOOST_TEST(StatusOf(Request("POST /config", "", "{}")) == 405);
  BOOST_TEST(StatusOf(Request("DELETE /config")) == 405);
  BOOST_TEST(StatusOf(Request("GET /")) == 404);
  BOOST_TEST(StatusOf(Request("GET /retire/")) == 404);
  BOOST_TEST(StatusOf(Request("PUT /configuration", "If-Match: 5\r\n", "{}")) == 404);
  BOOST_TEST(StatusOf(Request("PUT /config", "", "{}")) == 400);
  BOOST_TEST(service.changes.empty());
}

BOOST_AUTO_TEST_CASE(metrics_are_served_where_there_are_any) {
  BOOST_TEST(StatusOf(Request("GET /metrics")) == 404);
  int asked = 0;
  server->SetMetrics([&] {
    ++asked;
    return std::string("shelflink_x 1\n");
  });
  const auto get = Connect(Request("GET /metrics?x=1"));
  RunUntil([&] { return get->answers() == 1; });
  BOOST_TEST(get->status() == 200);
  BOOST_TEST(get->has("Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"));
  BOOST_TEST(get->has("\r\n\r\nshelflink_x 1\n"));
  const auto head = Connect(Request("HEAD /metrics", "Connection: close\r\n"));
  RunUntil([&] { return head->ended; });
  BOOST_TEST(head->status() == 200);
  BOOST_TEST(head->has("Content-Length: 14\r\n"));
  BOOST_TEST(!head->has("shelflink_x"));
  BOOST_TEST(asked == 2);
  const auto post = Connect(Request("POST /metrics", "", "{}"));
  RunUntil([&] { return post->answers() == 1; });
  BOOST_TEST(post->status() == 405);
  BOOST_TEST(post->has("Allow: GET, HEAD\r\n"));
  BOOST_TEST(asked == 2);
}

BOOST_AUTO_TEST_CASE(the_status_is_served_where_there_is_one) {
  BOOST_TEST(StatusOf(Request("GET /status")) == 404);
  int asked = 0;
  server->SetStatus([&] {
    ++asked;
    return std::string(R"({"leads":true})");
  });
  const auto get = Connect(Request("GET /status?x=1"));
  RunUntil([&] { return get->answers() == 1; });
  BOOST_TEST(get->status() == 200);
  BOOST_TEST(get->has("Content-Type: application/json"));
  BOOST_TEST(get->has(R"({"leads":true})"));
  const auto post = Connect(Request("POST /status", "", "{}"));
  RunUntil([&] { return post->answers() == 1; });
  BOOST_TEST(post->status() == 405);
  BOOST_TEST(post->has("Allow: GET, HEAD"));
  BOOST_TEST(StatusOf(Request("GET /status/")) == 404);
  BOOST_TEST(StatusOf(Request("GET /metrics")) == 404);
  BOOST_TEST(asked == 1);
  // A status request is no order: the service isn't called, and only the 404s are counted.
  BOOST_TEST(service.changes.empty());
  const auto& answers = server->counters().answers;
  BOOST_TEST((answers == std::map<int, std::uint64_t>{{404, 3}}));
}

// Metrics explain why orders are not served, so they must not wait for what orders wait for.
BOOST_AUTO_TEST_CASE(metrics_are_served_beside_orders_and_change_nothing) {
  server->SetMetrics([] { return std::string("shelflink_x 1\n"); });
  service.hold = true;
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < kMostOrders; ++i) {
    clients.push_back(Connect(Request("PUT /config", "If-Match: 5\r\n", "{}")));
  }
  RunUntil([&] { return service.held() == kMostOrders; });
  BOOST_TEST(StatusOf(Request("GET /metrics")) == 200);
  BOOST_TEST(service.held() == kMostOrders);
  service.hold = false;
  service.Release();
  for (const auto& client : clients) {
    RunUntil([&] { return client->answers() == 1; });
    BOOST_TEST(client->status() == 200);
  }
  service.is_primary_here = false;
  BOOST_TEST(StatusOf(Request("GET /metrics")) == 200);
  service.is_primary_here = true;
  BOOST_TEST(StatusOf(Request("GET /config")) == 200);
  BOOST_TEST(server->counters().answers.at(200) == kMostOrders + 1);
}

BOOST_AUTO_TEST_CASE(without_a_primary_it_is_503_in_time) {
  AnswerWithin(milliseconds(60));
  service.is_primary_here = false;
  const net::Time start = loop.Now();
  BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", "{}")) == 503);
  BOOST_TEST((loop.Now() - start >= milliseconds(60)));
  BOOST_TEST(StatusOf(Request("GET /config")) == 503);
}

BOOST_AUTO_TEST_CASE(an_order_without_an_outcome_is_504_in_time) {
  AnswerWithin(milliseconds(60));
  service.hold = true;
  const net::Time start = loop.Now();
  BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", "{}")) == 504);
  BOOST_TEST((loop.Now() - start >= milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(orders_under_way_are_bounded) {
  service.hold = true;
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < kMostOrders; ++i) {
    clients.push_back(Connect(Request("PUT /config", "If-Match: 5\r\n", "{}")));
  }
  RunUntil([&] { return service.held() == kMostOrders; });
  const auto beyond = Connect(Request("PUT /config", "If-Match: 5\r\n", "{}"));
  RunUntil([&] { return beyond->answers() == 1; });
  BOOST_TEST(beyond->status() == 503);
  BOOST_TEST(beyond->has("Retry-After: 0.2"));
  service.Release();
  for (const auto& client : clients) {
    RunUntil([&] { return client->answers() == 1; });
    BOOST_TEST(client->status() == 200);
  }
  service.hold = false;
  BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", "{}")) == 200);
}

BOOST_AUTO_TEST_CASE(a_body_beyond_the_limit_is_413) {
  const std::string large(kBodyLimit + 1, 'x');
  const auto told = Connect(Request("PUT /config", "If-Match: 5\r\n", large));
  RunUntil([&] { return told->answers() == 1; });
  BOOST_TEST(told->status() == 413);
  RunUntil([&] { return told->ended; });
  std::string chunked = Request("PUT /config", "If-Match: 5\r\nTransfer-Encoding: chunked\r\n");
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", large.size());
  chunked += size + large + "\r\n0\r\n\r\n";
  BOOST_TEST(StatusOf(chunked) == 413);
  BOOST_TEST(service.changes.empty());
  const std::string fits(kBodyLimit, 'x');
  BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", fits)) == 200);
  BOOST_TEST(service.changes[0].body.size() == kBodyLimit);
}

BOOST_AUTO_TEST_CASE(bytes_of_all_bodies_are_bounded) {
  service.hold = true;
  const std::string fits(kBodyLimit, 'x');
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t held = fits.size(); held <= kMostBytesHeld; held += fits.size()) {
    clients.push_back(Connect(Request("PUT /config", "If-Match: 5\r\n", fits)));
  }
  RunUntil([&] { return service.held() == clients.size(); });
  const auto beyond = Connect(Request("PUT /config", "If-Match: 5\r\n", fits));
  RunUntil([&] { return beyond->answers() == 1; });
  BOOST_TEST(beyond->status() == 503);
  service.hold = false;
  service.Release();
  for (const auto& client : clients) {
    RunUntil([&] { return client->answers() == 1; });
    BOOST_TEST(client->status() == 200);
  }
  BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", fits)) == 200);
}

// A process may hold an old configuration or none, so 413, a refusal, must not depend on it.
BOOST_AUTO_TEST_CASE(the_limit_is_the_same_under_every_configuration) {
  const std::string fits(kBodyLimit, 'x');
  const std::string large(kBodyLimit + 1, 'x');
  for (const std::size_t configured : {std::size_t{1}, kBodyLimit - 1, kBodyLimit + 1}) {
    configuration::ClientLimits limits;
    limits.max_body_bytes = configured;
    server->SetLimits(limits);
    BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", fits)) == 200);
    BOOST_TEST(StatusOf(Request("PUT /config", "If-Match: 5\r\n", large)) == 413);
  }
}

// No malformed request becomes an order, and the server goes on serving.
BOOST_AUTO_TEST_CASE(malformed_requests_never_become_orders) {
  const std::string put = "PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 5\r\n";
  const std::vector<std::string> malformed = {
      put + "Content-Length: 2\r\nContent-Length: 4\r\n\r\n{}{}",
      put + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
      put + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
      put + "Content-Length: -1\r\n\r\n{}",
      put + "Content-Length: 2x\r\n\r\n{}",
      put + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
      "PUT /config HTTP/9.9\r\nHost: a\r\nIf-Match: 5\r\nContent-Length: 2\r\n\r\n{}",
      "\x16\x03\x01\x02 nonsense\r\n\r\n",
      "PUT\r\n\r\n",
      "GET /config HTTP/1.1\r\nHost: a\r\n: nothing\r\n" + std::string(200000, 'h') + "\r\n\r\n",
  };
  for (const std::string& bytes : malformed) {
    BOOST_TEST_CONTEXT(bytes.substr(0, 120)) {
      const auto client = Connect(bytes);
      RunUntil([&] { return client->ended || !client->got.empty(); });
      if (!client->got.empty()) {
        RunUntil([&] { return client->ended || client->answers() >= 1; });
        if (client->answers() >= 1) BOOST_TEST(client->status() >= 400);
      }
      BOOST_TEST(service.changes.empty());
    }
  }
  BOOST_TEST(StatusOf(Request("GET /config")) == 200);
}

BOOST_AUTO_TEST_CASE(half_a_request_is_closed_after_a_time) {
  configuration::ClientLimits limits;
  limits.header_timeout = milliseconds(50);
  server->SetLimits(limits);
  const auto silent = Connect();
  const auto half_head = Connect("PUT /config HTTP/1.1\r\nHost: co");
  RunUntil([&] { return silent->ended && half_head->ended; });
  BOOST_TEST(server->counters().slow_connections >= 2U);
  BOOST_TEST(service.changes.empty());
  BOOST_TEST(StatusOf(Request("GET /config")) == 200);
}

BOOST_AUTO_TEST_CASE(half_a_body_never_becomes_an_order) {
  const auto client =
      Connect("PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 5\r\nContent-Length: 9\r\n\r\n{}");
  BOOST_TEST(StatusOf(Request("GET /config")) == 200);
  client->Close();
  BOOST_TEST(StatusOf(Request("GET /config")) == 200);
  BOOST_TEST(service.changes.empty());
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_while_its_order_is_under_way_harms_nobody) {
  service.hold = true;
  const auto leaving = Connect(Request("PUT /config", "If-Match: 5\r\n", "{}"));
  RunUntil([&] { return service.held() == 1; });
  leaving->Close();
  service.Release();
  service.hold = false;
  for (int i = 0; i < 5; ++i) BOOST_TEST(StatusOf(Request("GET /config")) == 200);
}

BOOST_AUTO_TEST_CASE(room_is_made_among_idle_connections) {
  std::vector<std::unique_ptr<Client>> idle;
  for (std::size_t i = 0; i < kMostConnections; ++i) {
    idle.push_back(Connect(Request("GET /config")));
    RunUntil([&] { return idle.back()->answers() == 1 || idle.back()->ended; });
  }
  BOOST_TEST(StatusOf(Request("GET /config")) == 200);
  RunUntil([&] { return server->counters().refused_connections >= 1U; });
  const auto has_ended = [](const std::unique_ptr<Client>& client) { return client->ended; };
  RunUntil([&] { return std::any_of(idle.begin(), idle.end(), has_ended); });
}

BOOST_AUTO_TEST_CASE(an_address_that_is_taken_is_told) {
  BOOST_CHECK_THROW(Server(loop, *forwarder, server->address()), net::Error);
}

BOOST_AUTO_TEST_CASE(what_is_under_way_is_answered_after_listening_ends) {
  service.hold = true;
  const auto client = Connect(Request("PUT /config", "If-Match: 5\r\n", "{}"));
  RunUntil([&] { return service.held() == 1; });
  server->StopListening();
  service.Release();
  RunUntil([&] { return client->answers() == 1; });
  BOOST_TEST(client->status() == 200);
  BOOST_TEST(client->has("Connection: close"));
  const auto late = Connect(Request("GET /config"));
  RunUntil([&] { return late->ended; });
  BOOST_TEST(late->got.empty());
}

BOOST_AUTO_TEST_CASE(a_server_may_end_with_orders_under_way) {
  service.hold = true;
  const auto client = Connect(Request("PUT /config", "If-Match: 5\r\n", "{}"));
  const auto idle = Connect();
  RunUntil([&] { return service.held() == 1; });
  server.reset();
  service.Release();
  for (int i = 0; i < 50; ++i) g_main_context_iteration(nullptr, FALSE);
  BOOST_TEST(client->answers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace shelflink::operator_api
