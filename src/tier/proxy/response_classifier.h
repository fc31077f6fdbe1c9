// What an endpoint's answer means, by its head. Pure.
#ifndef SHELFLINK_TIER_PROXY_RESPONSE_CLASSIFIER_H_
#define SHELFLINK_TIER_PROXY_RESPONSE_CLASSIFIER_H_

#include <string_view>

#include "sidecar/http.h"
#include "sidecar/upstream.h"

namespace shelflink::proxy {

// What the answer was asked for.
struct ExpectedResponse {
  std::string_view request_id;
  bool may_stream = false;  // Whether its route's answers are streams of events.
};

// kOk: to be passed on. kFull: the endpoint did not run the request. kError: it may have run, and
// there is nothing to pass on. An answer with another id belongs to another request.
kelpspring::Reading ClassifyResponseHead(const ExpectedResponse& expected,
                                         const kelpspring::HttpResponse& head);

bool IsEventStream(const kelpspring::HttpResponse& head);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_RESPONSE_CLASSIFIER_H_
