// Operators' requests parsed into orders, answers turned into status codes, and both encoded as
// messages between core processes.
#define BOOST_TEST_MODULE operator_requests
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tier/operator_api/messages.h"
#include "tier/operator_api/requests.h"

namespace shelflink::operator_api {
namespace {

using configuration::ChangeMethod;
using configuration::ChangeOrder;
using std::chrono::milliseconds;

HttpRequest RequestOf(std::string_view method, std::string_view path,
                      std::optional<std::string_view> if_match = {}, std::string_view body = {}) {
  return {method, path, if_match, body};
}

template <typename Wanted>
Wanted OrderIn(const HttpRequest& request) {
  auto order = OrderOf(request);
  BOOST_REQUIRE(std::holds_alternative<Order>(order));
  BOOST_REQUIRE(std::holds_alternative<Wanted>(std::get<Order>(order)));
  return std::get<Wanted>(std::get<Order>(order));
}

int StatusIn(const HttpRequest& request) {
  auto order = OrderOf(request);
  BOOST_REQUIRE(std::holds_alternative<HttpAnswer>(order));
  const HttpAnswer& answer = std::get<HttpAnswer>(order);
  BOOST_TEST(answer.body.starts_with("{\"error\":"));
  return answer.status;
}

BOOST_AUTO_TEST_CASE(takes_each_order) {
  const auto put = OrderIn<ChangeOrder>(RequestOf("PUT", "/config", "5", "{}"));
  BOOST_TEST((put.method == ChangeMethod::kPut));
  BOOST_TEST(put.base_version == 5U);
  BOOST_TEST(put.body == "{}");
  const auto patch = OrderIn<ChangeOrder>(RequestOf("PATCH", "/config", "\"7\"", "x"));
  BOOST_TEST((patch.method == ChangeMethod::kPatch));
  BOOST_TEST(patch.base_version == 7U);
  OrderIn<ReadConfigurationOrder>(RequestOf("GET", "/config"));
  const auto retire =
      OrderIn<RetireOrder>(RequestOf("POST", "/retire/storage-a-1", {}, R"({"deadlineS":10.5})"));
  BOOST_TEST(retire.node == "storage-a-1");
  BOOST_TEST((retire.deadline == milliseconds(10500)));
  BOOST_TEST((OrderIn<RetireOrder>(RequestOf("POST", "/retire/a")).deadline == milliseconds(0)));
  BOOST_TEST(OrderIn<RetireStateOrder>(RequestOf("GET", "/retire/a_b.c")).node == "a_b.c");
}

// The path in a 307's Location is parsed as the same order with its confirmation.
BOOST_AUTO_TEST_CASE(an_order_is_confirmed_by_the_path_that_it_was_told) {
  const Order change = ChangeOrder{ChangeMethod::kPut, 5, "{}"};
  const HttpAnswer told = HttpAnswerOf(change, Answer(ConfirmationRequired{12}));
  BOOST_TEST(told.status == 307);
  BOOST_TEST(told.location == "/config/confirmed/12");
  BOOST_TEST(told.body.starts_with("{\"error\":"));
  const auto put = OrderIn<ChangeOrder>(RequestOf("PUT", told.location, "5", "{}"));
  BOOST_TEST(put.refusals_seen == 12U);
  BOOST_TEST(put.base_version == 5U);
  BOOST_TEST(OrderIn<ChangeOrder>(RequestOf("PATCH", told.location, "5", "x")).refusals_seen ==
             12U);
  BOOST_TEST(OrderIn<ChangeOrder>(RequestOf("PUT", "/config", "5", "{}")).refusals_seen == 0U);
  const HttpAnswer again = HttpAnswerOf(Order(put), Answer(ConfirmationRequired{13}));
  BOOST_TEST(again.location == "/config/confirmed/13");
  const Order retire = RetireOrder{"a-1", {}};
  const HttpAnswer of_retire = HttpAnswerOf(retire, Answer(ConfirmationRequired{7}));
  BOOST_TEST(of_retire.location == "/retire/a-1/confirmed/7");
  const auto retired = OrderIn<RetireOrder>(RequestOf("POST", of_retire.location));
  BOOST_TEST(retired.node == "a-1");
  BOOST_TEST(retired.refusals_seen == 7U);
  for (const char* path : {"/config/confirmed/", "/config/confirmed/0", "/config/confirmed/-1",
                           "/config/confirmed/1/confirmed/2", "/config/confirmed/1x",
                           "/confirmed/1", "/retire/confirmed/1", "/retire//confirmed/1"}) {
    BOOST_TEST_CONTEXT(path) { BOOST_TEST(StatusIn(RequestOf("PUT", path, "5", "{}")) == 404); }
  }
  BOOST_TEST(StatusIn(RequestOf("GET", "/config/confirmed/1")) == 405);
  BOOST_TEST(StatusIn(RequestOf("GET", "/retire/a/confirmed/1")) == 405);
}

BOOST_AUTO_TEST_CASE(refuses_an_if_match_that_is_no_version) {
  BOOST_TEST(StatusIn(RequestOf("PUT", "/config", {}, "{}")) == 400);
  for (const char* if_match : {"", "\"", "\"\"", "*", "-1", "5x", "5 ", " 5", "W/\"5\"", "0x5",
                               "5.0", "99999999999999999999999"}) {
    BOOST_TEST_CONTEXT(if_match) {
      BOOST_TEST(StatusIn(RequestOf("PUT", "/config", if_match, "{}")) == 400);
      BOOST_TEST(StatusIn(RequestOf("PATCH", "/config", if_match, "{}")) == 400);
    }
  }
}

BOOST_AUTO_TEST_CASE(refuses_other_methods_and_paths) {
  for (const char* method : {"POST", "DELETE", "HEAD", "OPTIONS", "put", "BREW"}) {
    auto order = OrderOf(RequestOf(method, "/config", "5"));
    BOOST_REQUIRE(std::holds_alternative<HttpAnswer>(order));
    BOOST_TEST(std::get<HttpAnswer>(order).status == 405);
    BOOST_TEST(std::get<HttpAnswer>(order).allow == "GET, PUT, PATCH");
  }
  BOOST_TEST(StatusIn(RequestOf("DELETE", "/retire/a")) == 405);
  for (const char* path : {"", "/", "/config/", "/configs", "/retire", "/retire/", "/retire/a/b",
                           "/retire/a%20b", "/retire/..%2f", "config", "/Config"}) {
    BOOST_TEST_CONTEXT(path) { BOOST_TEST(StatusIn(RequestOf("GET", path)) == 404); }
  }
  const std::string long_name = "/retire/" + std::string(256, 'a');
  BOOST_TEST(StatusIn(RequestOf("GET", long_name)) == 404);
}

BOOST_AUTO_TEST_CASE(refuses_a_retirement_with_a_body_that_cannot_be_used) {
  for (const char* body : {"{", "[]", "7", "{\"deadlineS\":-1}", "{\"deadlineS\":\"10\"}",
                           "{\"deadlineS\":1e300}", "{} x", "{\"deadlineS\":null}"}) {
    BOOST_TEST_CONTEXT(body) {
      BOOST_TEST(StatusIn(RequestOf("POST", "/retire/a", {}, body)) == 400);
    }
  }
  BOOST_TEST(
      (OrderIn<RetireOrder>(RequestOf("POST", "/retire/a", {}, "{}")).deadline == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(each_result_has_its_status) {
  const Order change = ChangeOrder{};
  const Order retire = RetireOrder{"a", {}};
  const auto status = [](const Order& order, ErrorCode code) {
    return HttpAnswerOf(order, MakeError(code, "why \"so\"")).status;
  };
  BOOST_TEST(HttpAnswerOf(change, Answer(Acknowledged{})).status == 200);
  BOOST_TEST(status(change, ErrorCode::kInvalid) == 400);
  BOOST_TEST(status(change, ErrorCode::kConflict) == 412);
  BOOST_TEST(status(retire, ErrorCode::kConflict) == 409);
  BOOST_TEST(status(retire, ErrorCode::kNotFound) == 404);
  BOOST_TEST(status(change, ErrorCode::kTooLarge) == 413);
  BOOST_TEST(status(change, ErrorCode::kUnavailable) == 503);
  BOOST_TEST(status(change, ErrorCode::kExhausted) == 503);
  BOOST_TEST(status(change, ErrorCode::kUnknown) == 504);
  BOOST_TEST(status(change, ErrorCode::kStorage) == 504);
  const HttpAnswer busy = HttpAnswerOf(change, MakeError(ErrorCode::kExhausted, "why \"so\""));
  BOOST_TEST(busy.retry_after_s.has_value());
  const HttpAnswer away = HttpAnswerOf(change, MakeError(ErrorCode::kUnavailable, "no primary"));
  BOOST_TEST(away.retry_after_s.has_value());
  const HttpAnswer unsure = HttpAnswerOf(change, MakeError(ErrorCode::kUnknown, "no answer"));
  BOOST_TEST(!unsure.retry_after_s.has_value());
  BOOST_TEST(busy.body == R"({"error":"why \"so\""})");
  BOOST_TEST(HttpAnswerOf(change, Answer(Document{"{\"a\":1.0}"})).body == "{\"a\":1.0}");
  BOOST_TEST(HttpAnswerOf(retire, Answer(RetireState::kRunning)).body == R"({"state":"running"})");
  BOOST_TEST(HttpAnswerOf(retire, Answer(RetireState::kCompleted)).body ==
             R"({"state":"completed"})");
}

std::vector<Order> EachOrder() {
  std::string bytes = "body \xff";
  bytes += '\0';
  return {ChangeOrder{ChangeMethod::kPut, 5, bytes},
          ChangeOrder{ChangeMethod::kPatch, 0, ""},
          ReadConfigurationOrder{},
          RetireOrder{"node", milliseconds(10500)},
          RetireStateOrder{"node"},
          ChangeOrder{ChangeMethod::kPatch, 5, bytes, 700},
          RetireOrder{"node", milliseconds(10500), 3}};
}

std::uint64_t RefusalsSeenOf(const Order& order) {
  if (const auto* change = std::get_if<ChangeOrder>(&order)) return change->refusals_seen;
  const auto* retire = std::get_if<RetireOrder>(&order);
  return retire == nullptr ? 0 : retire->refusals_seen;
}

BOOST_AUTO_TEST_CASE(orders_cross_as_messages) {
  for (const Order& order : EachOrder()) {
    const std::string message = EncodeOrder(order);
    const auto decoded = DecodeOrder(message);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->index() == order.index());
    BOOST_TEST(EncodeOrder(*decoded) == message);
    BOOST_TEST(RefusalsSeenOf(*decoded) == RefusalsSeenOf(order));
    for (std::size_t length = 0; length < message.size(); ++length) {
      BOOST_TEST(!DecodeOrder(std::string_view(message).substr(0, length)).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(answers_cross_as_messages) {
  const std::vector<Answer> answers = {Acknowledged{}, Document{"{\"a\":1}"}, RetireState::kRunning,
                                       RetireState::kCompleted, ConfirmationRequired{70000}};
  for (const Answer& answer : answers) {
    const std::string message = EncodeAnswer(answer);
    const auto decoded = DecodeAnswer(message);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(EncodeAnswer(*decoded) == message);
    for (std::size_t length = 0; length < message.size(); ++length) {
      BOOST_TEST(!DecodeAnswer(std::string_view(message).substr(0, length)).has_value());
    }
  }
}

// Each byte of a message with each other value: the message is decoded or refused, without a crash,
// and never as another kind of order than its first two bytes state.
BOOST_AUTO_TEST_CASE(a_message_with_one_other_byte_is_read_or_refused) {
  for (const Order& order : EachOrder()) {
    const std::string message = EncodeOrder(order);
    for (std::size_t at = 0; at < message.size(); ++at) {
      for (int value = 0; value < 256; ++value) {
        std::string mutated = message;
        mutated[at] = static_cast<char>(value);
        const auto decoded = DecodeOrder(mutated);
        if (decoded && at > 1) BOOST_TEST(decoded->index() == order.index());
      }
    }
  }
  BOOST_TEST(!DecodeOrder("").has_value());
  BOOST_TEST(!DecodeOrder("\x81\x05").has_value());
  BOOST_TEST(!DecodeAnswer("\x81\x05").has_value());
}

}  // namespace
}  // namespace shelflink::operator_api
