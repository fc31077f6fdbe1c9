// What the proxy asks of the batch part (batch/runner) when clients submit, read and end batch
// jobs. The front has checked the key and found the route; everything of a batch job itself (its
// JSON, the quota, the partition that keeps it) is the other side's.
//
// Errors become statuses: kInvalid 400, kNotFound 404, kTooLarge 413, kExhausted 429 (nothing was
// taken), kUnavailable 503 (nothing was taken), anything else 503, for a submission 504.
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

// Who asks, and under which route.
struct BatchCaller {
  std::shared_ptr<const configuration::Configuration> configuration;  // In force when it came.
  const configuration::Route* route = nullptr;                        // Of that configuration.
  std::string tenant;  // Empty: the route is public, or there are no tenants.
  net::Time came;      // The last byte of the request.
};

struct BatchSubmission {
  std::string job;   // Shelflink-Request-Id, the job's id.
  std::string json;  // The body as the client sent it, not looked at.
};

struct BatchRead {
  std::string job;
  std::uint64_t after = 0;            // `afterId`: the first position wanted.
  std::chrono::milliseconds wait{0};  // How long it may be held until there is a result.
};

struct BatchResult {
  std::string id;          // Of the item.
  bool completed = false;  // Else dead_letter.
  std::string text;
};

struct BatchPage {
  std::uint64_t total = 0;
  std::vector<BatchResult>
      results;  // From position `after` on; nextToken follows from their count.
};

class BatchJobService {
 public:
  template <typename T>
  using Reply = std::function<void(Result<T>)>;

  virtual ~BatchJobService() = default;
  // Each reply is called once, perhaps at once, perhaps after the client has left.
  virtual void Submit(const BatchCaller& caller, BatchSubmission submission, Reply<void> reply) = 0;
  virtual void Read(const BatchCaller& caller, const BatchRead& read, Reply<BatchPage> reply) = 0;
  // The decoded body of an item that is not yet listed.
  virtual void Body(const BatchCaller& caller, const std::string& job, const std::string& item,
                    Reply<std::string> reply) = 0;
  virtual void End(const BatchCaller& caller, const std::string& job, Reply<void> reply) = 0;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_BATCH_JOB_SERVICE_H_
