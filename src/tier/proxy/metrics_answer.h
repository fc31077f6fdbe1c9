// Answers what comes to the ready listener beside /ready: GET and HEAD of /metrics, and 404.
#ifndef SHELFLINK_TIER_PROXY_METRICS_ANSWER_H_
#define SHELFLINK_TIER_PROXY_METRICS_ANSWER_H_

#include <functional>
#include <memory>
#include <string>

#include "sidecar/server.h"

namespace shelflink::proxy {

// `text` is called for requests of the metrics only, from inside.
void AnswerMetrics(kelpspring::Client& client, const kelpspring::HttpRequest& request,
                   const std::function<std::string()>& text);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_METRICS_ANSWER_H_
