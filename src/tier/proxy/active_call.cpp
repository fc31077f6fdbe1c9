#include "tier/proxy/active_call.h"

#include <algorithm>
#include <utility>

#include "tier/proxy/header_names.h"
#include "tier/proxy/outgoing_request.h"

namespace shelflink::proxy {

using configuration::Route;
using configuration::RouteKind;

namespace {

// A response that has started may continue for this long after the route's timeout.
constexpr auto kGiveUpSlack = std::chrono::milliseconds(100);
// Timeout of a batch item's call if its sender sets no earlier deadline.
constexpr auto kItemTimeout = std::chrono::seconds(60);
constexpr auto kItemMaxSilence = std::chrono::seconds(10);
// Batch items wait behind more urgent requests, and a redundant run costs more than a late one.
constexpr auto kItemFailoverSilence = std::chrono::seconds(3);

}  // namespace

ActiveCall::ActiveCall(policy::CallId call, CallRequest call_request, CallUser& call_user,
                       net::Time now)
    : id(call),
      request(std::move(call_request)),
      user(&call_user),
      service(ChooseService(*request.route, request.request_id)),
      tokens(ParseTokenCount(ValueOf(request.headers, kTokenCountHeader))),
      message(OutgoingMessage(request)),
      repeatable(request.batch || request.resumable ||
                 request.route->kind == RouteKind::kIdempotent),
      events(request.last_event_id) {
  const net::Span timeout =
      request.batch ? net::Span(kItemTimeout) : net::Span(request.route->timeout);
  const net::Time call_deadline = request.deadline.value_or(net::Time::max());
  const net::Time timeout_end = request.timeout_start.value_or(now) + timeout;
  deadline = std::min(call_deadline, timeout_end);
  give_up_at = std::min<net::Time>(call_deadline, timeout_end + kGiveUpSlack);
}

bool ActiveCall::is_stream_route() const {
  return request.batch || request.route->kind == RouteKind::kStreaming;
}

void ActiveCall::BeginAttempt(std::uint32_t number, const std::string& endpoint_id) {
  attempt = number;
  endpoint = endpoint_id;
  attempt_active = true;
  first_event_received = false;
  streaming = false;
  forwarding = false;
  ends_at_close = false;
  head.reset();
}

bool ActiveCall::MayFailOver() const {
  const bool may_run_again = request.resumable || request.route->kind == RouteKind::kIdempotent;
  return may_run_again && possible_runs + 1 < max_attempts();
}

void ActiveCall::SetSilenceLimits(net::Time now) {
  const Route& route = *request.route;
  if (request.batch) {
    failover_silence = kItemFailoverSilence;
    max_silence = kItemMaxSilence;
    initial_silence = MayFailOver() ? failover_silence : max_silence;
    ongoing_silence = MayFailOver() ? failover_silence : net::Span(ClientSilence(route));
    return;
  }
  failover_silence = FailoverSilence(route);
  max_silence = std::max(net::Span::zero(), give_up_at - now);
  initial_silence = MayFailOver() ? failover_silence : max_silence;
  ongoing_silence = initial_silence;
}

bool ActiveCall::MayRetry(net::Time now) const {
  return repeatable && possible_runs < max_attempts() && MaySendMore(now) && CanResumeElsewhere();
}

bool ActiveCall::CanResumeElsewhere() const {
  return !head_reported || (request.resumable && events.event_count() > 0 && events.CanResume());
}

}  // namespace shelflink::proxy
