// Builds the request that is sent to endpoints, chooses the service, and computes how long an
// endpoint may be silent. Pure.
#ifndef SHELFLINK_TIER_PROXY_OUTGOING_REQUEST_H_
#define SHELFLINK_TIER_PROXY_OUTGOING_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "sidecar/http.h"
#include "tier/configuration/model.h"
#include "tier/proxy/calls.h"

namespace shelflink::proxy {

// Builds the message except for the headers that each send sets. Moves the body out of `request`.
kelpspring::HttpRequest OutgoingMessage(CallRequest& request);
// Whether `target` is valid in a request line: it starts with '/' and has no space or control
// character.
bool IsValidTarget(std::string_view target);
// Chooses one of the route's services by weight; deterministic for a request id.
const std::string& ChooseService(const configuration::Route& route, std::string_view request_id);
// Hash that is stable across processes.
std::uint64_t HashOf(std::string_view text);

// Silence after which clients abandon a stream of the route.
std::chrono::milliseconds ClientSilence(const configuration::Route& route);
// Silence after which a resumable stream is continued at another endpoint, if its endpoint is
// silent on all calls.
std::chrono::milliseconds FailoverSilence(const configuration::Route& route);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_OUTGOING_REQUEST_H_
