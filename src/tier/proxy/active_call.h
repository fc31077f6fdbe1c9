// State of one call in progress: the request, its current attempt, and which retries are still
// allowed. Holds no connection and does not choose endpoints.
#ifndef SHELFLINK_TIER_PROXY_ACTIVE_CALL_H_
#define SHELFLINK_TIER_PROXY_ACTIVE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "net/loop.h"
#include "sidecar/http.h"
#include "tier/policy/module.h"
#include "tier/proxy/calls.h"
#include "tier/proxy/event_stream.h"
#include "tier/proxy/headers.h"

namespace shelflink::proxy {

struct ActiveCall {
  static constexpr int kMaxSends = 16;  // Per call, including sends that were not executed.

  ActiveCall(policy::CallId call, CallRequest call_request, CallUser& call_user, net::Time now);

  int max_attempts() const { return request.max_attempts.value_or(request.route->max_attempts); }
  bool is_stream_route() const;
  // Resets the state of the attempt for attempt `number` at endpoint `endpoint_id`.
  void BeginAttempt(std::uint32_t number, const std::string& endpoint_id);
  // Sets how long the attempt's endpoint may be silent. Silence alone never ends a response to a
  // client: the proxy waits until the end of the call, unless the call could be continued at
  // another endpoint. Batch items wait in their store instead, so their silence is limited.
  void SetSilenceLimits(net::Time now);
  // Whether another attempt is allowed after one that the endpoint may have executed.
  bool MayRetry(net::Time now) const;
  // Whether another endpoint could continue the response. One that has started can only be
  // continued if it is a stream whose events are identified by ids.
  bool CanResumeElsewhere() const;
  // Whether the call is allowed to leave an endpoint that has become silent.
  bool MayFailOver() const;
  bool MaySendMore(net::Time now) const { return sends < kMaxSends && now < deadline; }

  policy::CallId id;
  CallRequest request;
  CallUser* user;
  std::string service;
  TokenCount tokens;
  kelpspring::HttpRequest message;
  net::Time deadline;    // Deadline that is sent to endpoints.
  net::Time give_up_at;  // The call ends at this time at the latest.
  bool repeatable;
  bool starting = true;  // Calls::Start has not returned: the user must not be called yet.
  int sends = 0;
  int possible_runs = 0;  // Earlier attempts that an endpoint may have executed.

  // Current attempt.
  bool attempt_active = false;
  std::uint32_t attempt = 0;
  std::string endpoint;
  bool send_forbidden = false;   // By the user or by the state of the endpoint list.
  net::Time last_activity{};     // When it was sent, or its last part was received.
  net::Span max_silence{};       // Silence after which the attempt is given up in any case.
  net::Span initial_silence{};   // Silence before the response until OnLate is called.
  net::Span ongoing_silence{};   // The same during the response.
  net::Span failover_silence{};  // Silence of an endpoint on all calls that means failure.
  bool first_event_received = false;
  bool streaming = false;      // The response is an event stream.
  bool forwarding = false;     // The response is forwarded in parts.
  bool ends_at_close = false;  // The response has neither Content-Length nor chunks.

  // Response, across all attempts.
  bool head_reported = false;
  int status = 0;
  std::optional<kelpspring::HttpResponse> head;  // Head of a stream, until its first event.
  EventStream events;
  // An endpoint's error response, delivered if no later attempt has a better result.
  std::optional<kelpspring::HttpResponse> failed_response;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_ACTIVE_CALL_H_
