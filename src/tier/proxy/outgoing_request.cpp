#include "tier/proxy/outgoing_request.h"

#include <algorithm>

#include "mix.h"
#include "tier/proxy/header_names.h"
#include "tier/proxy/headers.h"

namespace shelflink::proxy {

using configuration::Route;
using std::chrono::milliseconds;

namespace {

// Endpoints accept priorities from 0 (most urgent) to 9.
constexpr std::uint32_t kLowestEndpointPriority = 9;
// Clients abandon a stream after the longest of these: kMinClientSilence, this many times the
// route's latency objective, this many times its target gap between events.
constexpr auto kMinClientSilence = milliseconds(2000);
constexpr int kClientSilenceObjectives = 4;
constexpr int kClientSilenceGaps = 8;
// FailoverSilence is the longer of kMinFailoverSilence and this many target gaps, but at most
// ClientSilence.
constexpr auto kMinFailoverSilence = milliseconds(1000);
constexpr int kFailoverSilenceGaps = 5;

}  // namespace

milliseconds ClientSilence(const Route& route) {
  return std::max({kMinClientSilence, kClientSilenceObjectives * route.slo,
                   kClientSilenceGaps * route.gap_aim});
}

milliseconds FailoverSilence(const Route& route) {
  return std::min(ClientSilence(route),
                  std::max(kMinFailoverSilence, kFailoverSilenceGaps * route.gap_aim));
}

std::uint64_t HashOf(std::string_view text) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffset;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return gaugecart::Mix(hash);
}

const std::string& ChooseService(const Route& route, std::string_view request_id) {
  double sum = 0;
  for (const auto& part : route.split) sum += part.weight;
  double remaining = gaugecart::Unit(HashOf(request_id)) * sum;
  const std::string* service = &route.split.front().service;
  for (const auto& part : route.split) {
    if (part.weight <= 0) continue;
    service = &part.service;
    remaining -= part.weight;
    if (remaining < 0) break;
  }
  return *service;
}

bool IsValidTarget(std::string_view target) {
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
    if (!request.batch || IsAllowedItemHeader(name, value)) message.insert(name, value);
  }
  if (message.find(boost::beast::http::field::host) == message.end()) {
    message.set(boost::beast::http::field::host, request.route->hostname);
  }
  message.set(kRequestIdHeader, request.request_id);
  if (!request.tenant.empty()) message.set(kTenantHeader, request.tenant);
  const auto priority = request.batch ? kLowestEndpointPriority
                                      : std::min(request.level, kLowestEndpointPriority - 1);
  message.set(kPriorityHeader, std::to_string(priority));
  if (request.last_event_id) {
    message.set(kLastEventIdHeader, std::to_string(*request.last_event_id));
  }
  message.body() = std::move(request.body);
  const bool takes_body = request.method != "GET" && request.method != "HEAD";
  if (takes_body || !message.body().empty()) message.content_length(message.body().size());
  return message;
}

}  // namespace shelflink::proxy
