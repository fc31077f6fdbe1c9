#include "tier/operator_api/requests.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "tier/configuration/json.h"
#include "tier/foundation/metrics_text.h"

namespace shelflink::operator_api {
namespace {

using configuration::ChangeMethod;
using configuration::ChangeOrder;

constexpr std::string_view kConfigPath = "/config";
constexpr std::string_view kRetirePrefix = "/retire/";
constexpr std::string_view kConfirmed = "/confirmed/";
constexpr std::size_t kLongestNodeName = 255;
constexpr double kLongestDeadlineS = 1e9;
constexpr double kMillisecondsPerSecond = 1000.0;
constexpr double kRetryAfterS = 0.2;

HttpAnswer NotAllowed(std::string_view allowed) {
  HttpAnswer answer = ErrorAnswer(status::kMethodNotAllowed, "this path has other methods");
  answer.allow = allowed;
  return answer;
}

std::optional<std::uint64_t> WholeNumberIn(std::string_view digits) {
  std::uint64_t number = 0;
  const char* end = digits.data() + digits.size();
  const auto [behind, error] = std::from_chars(digits.data(), end, number);
  if (digits.empty() || error != std::errc() || behind != end) return std::nullopt;
  return number;
}

// Parses an If-Match header: a version with or without quotes.
std::optional<std::uint64_t> VersionOf(std::string_view if_match) {
  if (if_match.size() >= 2 && if_match.front() == '"' && if_match.back() == '"') {
    if_match = if_match.substr(1, if_match.size() - 2);
  }
  return WholeNumberIn(if_match);
}

// A path without its confirmation, and the number in the confirmation; 0 if there is none.
struct ConfirmedPath {
  std::string_view path;
  std::uint64_t refusals_seen = 0;
};

// Returns none if the confirmation is not a number above 0.
std::optional<ConfirmedPath> ConfirmedPathOf(std::string_view path) {
  const std::size_t at = path.find(kConfirmed);
  if (at == std::string_view::npos) return ConfirmedPath{path, 0};
  const auto number = WholeNumberIn(path.substr(at + kConfirmed.size()));
  if (number.value_or(0) == 0) return std::nullopt;
  return ConfirmedPath{path.substr(0, at), *number};
}

std::variant<Order, HttpAnswer> ChangeOf(const HttpRequest& request, ChangeMethod method,
                                         std::uint64_t refusals_seen) {
  const auto base = request.if_match ? VersionOf(*request.if_match) : std::nullopt;
  if (!base) return ErrorAnswer(status::kBadRequest, "If-Match: expected a version");
  return Order(ChangeOrder{method, *base, std::string(request.body), refusals_seen});
}

std::variant<Order, HttpAnswer> ConfigOrder(const HttpRequest& request,
                                            std::uint64_t refusals_seen) {
  if (request.method == "PUT") return ChangeOf(request, ChangeMethod::kPut, refusals_seen);
  if (request.method == "PATCH") return ChangeOf(request, ChangeMethod::kPatch, refusals_seen);
  if (refusals_seen > 0) return NotAllowed("PUT, PATCH");
  if (request.method == "GET") return Order(ReadConfigurationOrder{});
  return NotAllowed("GET, PUT, PATCH");
}

bool IsNodeName(std::string_view name) {
  const auto fits = [](char letter) {
    const bool alphanumeric = (letter >= 'a' && letter <= 'z') ||
                              (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
    return alphanumeric || letter == '-' || letter == '.' || letter == '_';
  };
  return !name.empty() && name.size() <= kLongestNodeName &&
         std::all_of(name.begin(), name.end(), fits);
}

// Reads `deadlineS` from the body; 0 if the body is empty or has no such member.
std::variant<std::chrono::milliseconds, HttpAnswer> DeadlineOf(std::string_view body) {
  if (body.empty()) return std::chrono::milliseconds(0);
  Findings findings;
  const json::Tree tree = json::ReadWhole(body, findings);
  if (tree == nullptr) return ErrorAnswer(status::kBadRequest, TextOf(findings));
  if (!cJSON_IsObject(tree.get())) {
    return ErrorAnswer(status::kBadRequest, "document: expected an object");
  }
  const cJSON* member = cJSON_GetObjectItemCaseSensitive(tree.get(), "deadlineS");
  if (member == nullptr) return std::chrono::milliseconds(0);
  const double seconds = cJSON_IsNumber(member) ? member->valuedouble : -1.0;
  if (!(seconds >= 0.0 && seconds <= kLongestDeadlineS)) {
    return ErrorAnswer(status::kBadRequest, "deadlineS: expected a number of 0 at least");
  }
  const double milliseconds = std::ceil(seconds * kMillisecondsPerSecond);
  return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

std::variant<Order, HttpAnswer> RetirementOrder(const HttpRequest& request,
                                                const ConfirmedPath& target) {
  const std::string node(target.path.substr(kRetirePrefix.size()));
  const bool is_confirmed = target.refusals_seen > 0;
  if (!IsNodeName(node)) return ErrorAnswer(status::kNotFound, "no such machine");
  if (request.method == "GET" && !is_confirmed) return Order(RetireStateOrder{node});
  if (request.method != "POST") return NotAllowed(is_confirmed ? "POST" : "GET, POST");
  auto deadline = DeadlineOf(request.body);
  if (auto* refusal = std::get_if<HttpAnswer>(&deadline)) return std::move(*refusal);
  return Order(
      RetireOrder{node, std::get<std::chrono::milliseconds>(deadline), target.refusals_seen});
}

int StatusOf(const Order& order, ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return status::kBadRequest;
    case ErrorCode::kNotFound:
      return status::kNotFound;
    case ErrorCode::kConflict:
      return std::holds_alternative<ChangeOrder>(order) ? status::kPreconditionFailed
                                                        : status::kConflict;
    case ErrorCode::kTooLarge:
      return status::kPayloadTooLarge;
    case ErrorCode::kUnavailable:
    case ErrorCode::kExhausted:
      return status::kServiceUnavailable;
    case ErrorCode::kUnknown:
    case ErrorCode::kStorage:
      return status::kGatewayTimeout;
  }
  return status::kGatewayTimeout;
}

std::optional<HttpAnswer> FiguresAnswer(const HttpRequest& request, std::string_view path,
                                        std::string_view content_type,
                                        const std::function<std::string()>& text) {
  if (request.path != path) return std::nullopt;
  if (request.method != "GET" && request.method != "HEAD") return NotAllowed("GET, HEAD");
  HttpAnswer answer;
  answer.body = text();
  answer.content_type = content_type;
  return answer;
}

struct BodyOf {
  std::string operator()(const Acknowledged&) const { return R"({"result":"acknowledged"})"; }
  std::string operator()(const Document& document) const { return document.json; }
  std::string operator()(RetireState state) const {
    return state == RetireState::kCompleted ? R"({"state":"completed"})" : R"({"state":"running"})";
  }
  std::string operator()(const ConfirmationRequired&) const {
    return R"({"error":"refused before: send it again to the Location if it is still wanted"})";
  }
};

std::string ConfirmationPath(const Order& order, const ConfirmationRequired& required) {
  std::string path(kConfigPath);
  if (const auto* retire = std::get_if<RetireOrder>(&order)) {
    path = std::string(kRetirePrefix) + retire->node;
  }
  return path + std::string(kConfirmed) + std::to_string(required.refusals_seen);
}

}  // namespace

HttpAnswer ErrorAnswer(int status, std::string_view text) {
  HttpAnswer answer;
  answer.status = status;
  answer.body = R"({"error":)" + json::Quoted(text) + "}";
  return answer;
}

std::variant<Order, HttpAnswer> OrderOf(const HttpRequest& request) {
  const std::optional<ConfirmedPath> target = ConfirmedPathOf(request.path);
  if (!target) return ErrorAnswer(status::kNotFound, "no such path");
  if (target->path == kConfigPath) return ConfigOrder(request, target->refusals_seen);
  if (target->path.starts_with(kRetirePrefix)) return RetirementOrder(request, *target);
  return ErrorAnswer(status::kNotFound, "no such path");
}

std::optional<HttpAnswer> MetricsAnswerOf(const HttpRequest& request,
                                          const std::function<std::string()>& text) {
  return FiguresAnswer(request, kMetricsPath, kMetricsContentType, text);
}

std::optional<HttpAnswer> StatusAnswerOf(const HttpRequest& request,
                                         const std::function<std::string()>& text) {
  return FiguresAnswer(request, kStatusPath, kJsonContentType, text);
}

HttpAnswer HttpAnswerOf(const Order& order, const Result<Answer>& result) {
  if (result) {
    HttpAnswer answer;
    answer.body = std::visit(BodyOf{}, result.value());
    if (const auto* required = std::get_if<ConfirmationRequired>(&result.value())) {
      answer.status = status::kTemporaryRedirect;
      answer.location = ConfirmationPath(order, *required);
    }
    return answer;
  }
  HttpAnswer answer = ErrorAnswer(StatusOf(order, result.error().code), result.error().text);
  // The order was not executed, and a later attempt may succeed.
  if (answer.status == status::kServiceUnavailable) answer.retry_after_s = kRetryAfterS;
  return answer;
}

}  // namespace shelflink::operator_api
