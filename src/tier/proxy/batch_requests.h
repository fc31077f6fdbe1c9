// Clients' requests about batch jobs as typed questions, and the answers as HTTP.
#ifndef SHELFLINK_TIER_PROXY_BATCH_REQUESTS_H_
#define SHELFLINK_TIER_PROXY_BATCH_REQUESTS_H_

#include <memory>
#include <string_view>

#include "sidecar/server.h"
#include "tier/proxy/batch_job_service.h"

namespace shelflink::proxy {

// Whether the path is one by which jobs are read and ended (/lots/ID, /items/ID).
bool IsBatchJobPath(std::string_view path);

// Asks `batch` and answers the client, at once where the request cannot be used.
void AnswerBatchRequest(const std::shared_ptr<kelpspring::Client>& client,
                        kelpspring::HttpRequest request, const BatchCaller& caller,
                        BatchJobService& batch);

// As it goes out: {"total":..,"nextToken":..,"results":[..]}.
std::string PageJson(const BatchPage& page, std::uint64_t after);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_BATCH_REQUESTS_H_
