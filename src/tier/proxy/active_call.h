// One call under way: what was asked, its present attempt, and what may still be done with it.
// Holds no connection and decides nothing of where it goes.
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
  static constexpr int kMostSends = 16;  // Of one call, however many did not run it.

  ActiveCall(policy::CallId call, CallRequest asked, CallUser& told, net::Time now);

  int max_attempts() const { return request.max_attempts.value_or(request.route->max_attempts); }
  bool is_stream_route() const;
  // An attempt begins at that endpoint.
  void Begin(std::uint32_t number, const std::string& at);
  // How long this attempt's endpoint may be silent. An endpoint's silence alone never ends an
  // answer to a client: it is waited for to the call's end, but for a call that could go on at
  // another endpoint. Items wait in the store, not here.
  void SetSilences(net::Time now);
  // Whether another attempt may follow one that may have run.
  bool MayGoOn(net::Time now) const;
  // Whether the answer could go on at another endpoint: one that has begun can only be continued as
  // a stream whose events can be told apart.
  bool CanContinue() const;
  // Whether it may leave an endpoint that has fallen silent.
  bool MayMove() const;
  bool MaySendMore(net::Time now) const { return sends < kMostSends && now < deadline; }

  policy::CallId id;
  CallRequest request;
  CallUser* user;
  std::string service;
  TokenCount tokens;
  kelpspring::HttpRequest message;
  net::Time deadline;  // What endpoints are told,
  net::Time end;       // and when it is over for good.
  bool repeatable;
  bool starting = true;  // Start has not returned: nothing may be told yet.
  int sends = 0;
  int ran = 0;  // Endpoints that may have run it, the present one not among them.

  // The present attempt.
  bool out = false;  // It is under way.
  std::uint32_t attempt = 0;
  std::string endpoint;
  bool forbidden = false;             // The call's user does not let it be sent.
  net::Time moved{};                  // When it was sent, or its last part came,
  net::Span most_silence{};           // how long nothing may follow at most,
  net::Span first_silence{};          // how long at first until its endpoint is looked at,
  net::Span later_silence{};          // how long inside its answer,
  net::Span failover_silence{};       // or, at an endpoint that has fallen silent for all.
  bool begun = false;                 // An event has come.
  bool streaming = false;             // Its answer is a stream of events.
  bool passing = false;               // It goes on in parts.
  bool ends_with_connection = false;  // It has neither a length nor chunks.

  // The answer, over all attempts.
  bool head_told = false;
  int status = 0;
  std::optional<kelpspring::HttpResponse> head;  // Of a stream, until its first event.
  EventStream events;
  // An endpoint's own, handed over if nothing better comes.
  std::optional<kelpspring::HttpResponse> failure;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_ACTIVE_CALL_H_
