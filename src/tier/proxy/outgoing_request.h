// A call as it goes out: its message, the service that takes it, and how long it may be waited for.
// Pure.
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

// The message, but for what each send sets anew; the request's body moves into it.
kelpspring::HttpRequest OutgoingMessage(CallRequest& request);
// Whether it can stand in a request line: a path from the root, without blanks.
bool IsTarget(std::string_view target);
// Which of the route's services takes the call: by weight, always the same for one request.
const std::string& ServiceOf(const configuration::Route& route, std::string_view request_id);
// Equal for equal texts at every start.
std::uint64_t HashOf(std::string_view text);

// After such a silence clients give a stream of the route up.
std::chrono::milliseconds ClientSilence(const configuration::Route& route);
// After such a silence a stream that may be continued elsewhere is, if its endpoint has fallen
// silent for all.
std::chrono::milliseconds FailoverSilence(const configuration::Route& route);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_OUTGOING_REQUEST_H_
