// Converts HTTP requests to orders, and the results of orders to status codes and JSON. Pure: it
// knows no connection.
#ifndef SHELFLINK_TIER_OPERATOR_API_REQUESTS_H_
#define SHELFLINK_TIER_OPERATOR_API_REQUESTS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "tier/foundation/result.h"
#include "tier/operator_api/messages.h"

namespace shelflink::operator_api {

namespace status {
constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
}  // namespace status

struct HttpRequest {
  std::string_view method;
  std::string_view path;  // Excludes the query.
  std::optional<std::string_view> if_match;
  std::string_view body;
};

constexpr std::string_view kJsonContentType = "application/json";
constexpr std::string_view kStatusPath = "/status";

struct HttpAnswer {
  int status = status::kOk;
  std::string body;
  std::string allow;  // With 405: the methods that the path supports.
  std::optional<double> retry_after_s;
  std::string_view content_type = kJsonContentType;  // Must have static lifetime.
  std::string location;  // With 307: the path, at the same address, to send the request to.
};

// Returns the order of a request, or the answer that rejects a malformed one. The paths
// /config/confirmed/N and /retire/NODE/confirmed/N, which a 307 names, set `refusals_seen` to N.
std::variant<Order, HttpAnswer> OrderOf(const HttpRequest& request);

HttpAnswer HttpAnswerOf(const Order& order, const Result<Answer>& result);
HttpAnswer ErrorAnswer(int status, std::string_view text);
// Answers requests for kMetricsPath with the result of `text`, which is called for GET and HEAD
// only. Returns none for any other path.
std::optional<HttpAnswer> MetricsAnswerOf(const HttpRequest& request,
                                          const std::function<std::string()>& text);
// The same for kStatusPath; `text` returns JSON.
std::optional<HttpAnswer> StatusAnswerOf(const HttpRequest& request,
                                         const std::function<std::string()>& text);

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_REQUESTS_H_
