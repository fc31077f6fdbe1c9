// Translates clients' HTTP requests about batch jobs into calls of BatchJobService, and the replies
// into HTTP responses.
#ifndef SHELFLINK_TIER_PROXY_BATCH_REQUESTS_H_
#define SHELFLINK_TIER_PROXY_BATCH_REQUESTS_H_

#include <memory>
#include <string_view>

#include "sidecar/server.h"
#include "tier/proxy/batch_job_service.h"

namespace shelflink::proxy {

// Whether jobs are read or ended under this path (/lots/ID, /items/ID).
bool IsBatchJobPath(std::string_view path);

// Passes the request to `batch` and responds to the client with its reply; responds immediately if
// the request is invalid.
void HandleBatchRequest(const std::shared_ptr<kelpspring::Client>& client,
                        kelpspring::HttpRequest request, const BatchCaller& caller,
                        BatchJobService& batch);

// Serializes a page: {"total":..,"nextToken":..,"results":[..]}.
std::string PageJson(const BatchPage& page, std::uint64_t after);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_BATCH_REQUESTS_H_
