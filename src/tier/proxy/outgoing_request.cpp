#include "tier/proxy/outgoing_request.h"

#include <algorithm>

#include "mix.h"
#include "tier/proxy/header_names.h"
#include "tier/proxy/headers.h"

namespace shelflink::proxy {

using configuration::Route;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kLeastUrgent = 9;  // Of an endpoint's priorities.
// Clients give a stream up after a silence of these, whichever is longest.
constexpr auto kLeastSilence = milliseconds(2000);
constexpr int kSilentObjectives = 4;
constexpr int kSilentGaps = 8;
constexpr auto kShortestFailoverSilence = milliseconds(1000);
constexpr int kFailoverGaps = 5;

}  // namespace

milliseconds ClientSilence(const Route& route) {
  return std::max({kLeastSilence, kSilentObjectives * route.slo, kSilentGaps * route.gap_aim});
}

milliseconds FailoverSilence(const Route& route) {
  return std::min(ClientSilence(route),
                  std::max(kShortestFailoverSilence, kFailoverGaps * route.gap_aim));
}

std::uint64_t HashOf(std::string_view text) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return gaugecart::Mix(hash);
}

const std::string& ServiceOf(const Route& route, std::string_view request_id) {
  double sum = 0;
  for (const auto& part : route.split) sum += part.weight;
  double left = gaugecart::Unit(HashOf(request_id)) * sum;
  const std::string* service = &route.split.front().service;
  for (const auto& part : route.split) {
    if (part.weight <= 0) continue;
    service = &part.service;
    left -= part.weight;
    if (left < 0) break;
  }
  return *service;
}

bool IsTarget(std::string_view target) {
  return !target.empty() && target.front() == '/' &&
         std::none_of(target.begin(), target.end(),
                      [](char c) { return static_cast<unsigned char>(c) <= 0x20 || c == 0x7f; });
}

kelpspring::HttpRequest OutgoingMessage(CallRequest& request) {
  kelpspring::HttpRequest message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const auto& [name, value] : request.headers) {
    if (!request.batch || MayBeSent(name, value)) message.insert(name, value);
  }
  if (message.find(boost::beast::http::field::host) == message.end()) {
    message.set(boost::beast::http::field::host, request.route->hostname);
  }
  message.set(kRequestIdHeader, request.request_id);
  if (!request.tenant.empty()) message.set(kTenantHeader, request.tenant);
  const auto rank = request.batch ? kLeastUrgent : std::min(request.level, kLeastUrgent - 1);
  message.set(kPriorityHeader, std::to_string(rank));
  if (request.last_event_id) {
    message.set(kLastEventIdHeader, std::to_string(*request.last_event_id));
  }
  message.body() = std::move(request.body);
  const bool takes_body = request.method != "GET" && request.method != "HEAD";
  if (takes_body || !message.body().empty()) message.content_length(message.body().size());
  return message;
}

}  // namespace shelflink::proxy
