// Interface through which the proxy's frontend submits, reads and ends batch jobs for clients. The
// frontend has checked the API key and found the route. The implementation (batch/front) handles
// the job itself: its JSON, the quota, and the partition that stores it.
//
// Errors become HTTP statuses: kInvalid 400, kNotFound 404, kTooLarge 413, kExhausted 429 (nothing
// was stored), kUnavailable 503 (nothing was stored), others 503, for a submission 504.
#ifndef SHELFLINK_TIER_PROXY_BATCH_JOB_SERVICE_H_
#define SHELFLINK_TIER_PROXY_BATCH_JOB_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/configuration/model.h"
#include "tier/foundation/result.h"

namespace shelflink::proxy {

// The client's tenant and the route of its request.
struct BatchCaller {
  std::shared_ptr<const configuration::Configuration> configuration;  // Current on arrival.
  const configuration::Route* route = nullptr;  // Points into `configuration`.
  std::string tenant;     // Empty: the route is public, or there are no tenants.
  net::Time received_at;  // Arrival of the request's last byte.
};

struct BatchSubmission {
  std::string job;   // Id of the job: Shelflink-Request-Id.
  std::string json;  // The body as the client sent it, not parsed.
};

struct BatchRead {
  std::string job;
  std::uint64_t after = 0;            // `afterId`: position of the first result to return.
  std::chrono::milliseconds wait{0};  // How long to wait for a result (long poll).
};

struct BatchResult {
  std::string id;          // Id of the item.
  bool completed = false;  // False: dead_letter.
  std::string text;
};

struct BatchPage {
  std::uint64_t total = 0;
  // From position `after` on; nextToken is `after` plus their count.
  std::vector<BatchResult> results;
};

class BatchJobService {
 public:
  template <typename T>
  using Reply = std::function<void(Result<T>)>;

  virtual ~BatchJobService() = default;
  // Each reply is called exactly once: possibly before the function returns, possibly after the
  // client has disconnected.
  virtual void Submit(const BatchCaller& caller, BatchSubmission submission, Reply<void> reply) = 0;
  virtual void Read(const BatchCaller& caller, const BatchRead& read, Reply<BatchPage> reply) = 0;
  // Returns the decoded body of an item that is not listed as a result yet.
  virtual void Body(const BatchCaller& caller, const std::string& job, const std::string& item,
                    Reply<std::string> reply) = 0;
  virtual void End(const BatchCaller& caller, const std::string& job, Reply<void> reply) = 0;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_BATCH_JOB_SERVICE_H_
