// Classifies an endpoint's response by its head. Pure.
#ifndef SHELFLINK_TIER_PROXY_RESPONSE_CLASSIFIER_H_
#define SHELFLINK_TIER_PROXY_RESPONSE_CLASSIFIER_H_

#include <string_view>

#include "sidecar/http.h"
#include "sidecar/upstream.h"

namespace shelflink::proxy {

// The request that the response has to match.
struct ExpectedResponse {
  std::string_view request_id;
  bool may_stream = false;  // The route's responses are event streams.
};

// kOk: forward the response. kFull: the endpoint did not execute the request. kError: the request
// may have been executed, and the response must not be forwarded. A response with another request
// id belongs to another request and is skipped.
kelpspring::Reading ClassifyResponseHead(const ExpectedResponse& expected,
                                         const kelpspring::HttpResponse& head);

// Whether the content type is text/event-stream.
bool IsEventStream(const kelpspring::HttpResponse& head);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_RESPONSE_CLASSIFIER_H_
