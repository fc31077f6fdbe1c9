#include "tier/proxy/active_call.h"

#include <algorithm>
#include <utility>

#include "tier/proxy/header_names.h"
#include "tier/proxy/outgoing_request.h"

namespace shelflink::proxy {

using configuration::Route;
using configuration::RouteKind;

namespace {

// Beyond the route's time-out an answer under way may go on for so long.
constexpr auto kEndSlack = std::chrono::milliseconds(100);
// What a batch item may take at one endpoint where its sender tells no time.
constexpr auto kItemSpan = std::chrono::seconds(60);
constexpr auto kItemFirstSilence = std::chrono::seconds(10);
// Items wait behind what is more urgent, and a run too many is dearer than a late one.
constexpr auto kItemFailoverSilence = std::chrono::seconds(3);

}  // namespace

ActiveCall::ActiveCall(policy::CallId call, CallRequest asked, CallUser& told, net::Time now)
    : id(call),
      request(std::move(asked)),
      user(&told),
      service(ServiceOf(*request.route, request.request_id)),
      tokens(ParseTokenCount(ValueOf(request.headers, kTokenCountHeader))),
      message(OutgoingMessage(request)),
      repeatable(request.batch || request.resumable ||
                 request.route->kind == RouteKind::kIdempotent),
      events(request.last_event_id) {
  const net::Span span = request.batch ? net::Span(kItemSpan) : net::Span(request.route->timeout);
  const net::Time due = request.due.value_or(net::Time::max());
  const net::Time over = request.began.value_or(now) + span;
  deadline = std::min(due, over);
  end = std::min<net::Time>(due, over + kEndSlack);
}

bool ActiveCall::is_stream_route() const {
  return request.batch || request.route->kind == RouteKind::kStreaming;
}

void ActiveCall::Begin(std::uint32_t number, const std::string& at) {
  attempt = number;
  endpoint = at;
  out = true;
  begun = false;
  streaming = false;
  passing = false;
  ends_with_connection = false;
  head.reset();
}

bool ActiveCall::MayMove() const {
  const bool may_run_again = request.resumable || request.route->kind == RouteKind::kIdempotent;
  return may_run_again && ran + 1 < max_attempts();
}

void ActiveCall::SetSilences(net::Time now) {
  const Route& route = *request.route;
  if (request.batch) {
    failover_silence = kItemFailoverSilence;
    most_silence = kItemFirstSilence;
    first_silence = MayMove() ? failover_silence : most_silence;
    later_silence = MayMove() ? failover_silence : net::Span(ClientSilence(route));
    return;
  }
  failover_silence = FailoverSilence(route);
  most_silence = std::max(net::Span::zero(), end - now);
  first_silence = MayMove() ? failover_silence : most_silence;
  later_silence = first_silence;
}

bool ActiveCall::MayGoOn(net::Time now) const {
  return repeatable && ran < max_attempts() && MaySendMore(now) && CanContinue();
}

bool ActiveCall::CanContinue() const {
  return !head_told || (request.resumable && events.events() > 0 && events.CanRejoin());
}

}  // namespace shelflink::proxy
