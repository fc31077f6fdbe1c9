// Requests to the ready listener other than those for /ready: serves GET and HEAD of /metrics, and
// answers 404 to any other path.
#ifndef SHELFLINK_TIER_PROXY_METRICS_ANSWER_H_
#define SHELFLINK_TIER_PROXY_METRICS_ANSWER_H_

#include <functional>
#include <memory>
#include <string>

#include "sidecar/server.h"

namespace shelflink::proxy {

// `render_metrics` is called for GET and HEAD of /metrics only, before this function returns.
void AnswerMetrics(kelpspring::Client& client, const kelpspring::HttpRequest& request,
                   const std::function<std::string()>& render_metrics);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_METRICS_ANSWER_H_
