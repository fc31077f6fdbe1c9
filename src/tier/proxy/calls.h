// Calls to endpoints: a call is admitted, sent to one endpoint after another until one completes
// it, and its response is streamed to the caller. Clients' requests (proxy/http_frontend) and batch
// items (batch/runner) share this interface, so that limits, retries, instance checks and drains
// apply to both.
#ifndef SHELFLINK_TIER_PROXY_CALLS_H_
#define SHELFLINK_TIER_PROXY_CALLS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/configuration/model.h"
#include "tier/policy/module.h"

namespace shelflink::proxy {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct CallRequest {
  std::string request_id;  // Shelflink-Request-Id of the client's request or of the batch item.
  std::string method = "POST";
  std::string target;  // Path and query, unchanged.
  HeaderList headers;  // Without hop-by-hop headers, credentials and the tenant.
  std::string body;
  std::shared_ptr<const configuration::Configuration> configuration;  // Current on arrival.
  const configuration::Route* route = nullptr;  // Points into `configuration`.
  std::string tenant;                           // Empty on public routes.
  std::uint32_t level = 0;
  bool batch = false;
  bool resumable = false;
  std::optional<net::Time> timeout_start;      // Start of the route's timeout; none: Calls::Start.
  std::optional<net::Time> deadline;           // Set by the caller; none: only the route's timeout.
  std::optional<std::uint64_t> last_event_id;  // Resume after this event.
  std::optional<int> max_attempts;             // Overrides the route's.
};

// A server-sent event.
struct Event {
  std::optional<std::uint64_t> id;
  std::string data;  // Values of its data lines, joined by line feeds.
};

enum class CallEnd {
  kComplete,  // The response was delivered completely.
  kRefused,   // Not executed and never will be; respond 503 or 429 with `retry_after_s`.
  kFailed,    // No valid response; the call may have been executed.
  kBroken,    // The response had started and will not be completed.
};

struct CallSummary {
  CallEnd end = CallEnd::kFailed;
  int status = 0;  // Status of the endpoint's last response; 0: none.
  std::optional<double> retry_after_s;
  bool may_have_run = false;
};

// Receives the response and the end of one call. May cancel the call in any of these functions.
class CallUser {
 public:
  // Called right before each send to an endpoint, including resumptions, so that a permission that
  // expires (the lease of a batch item) is checked at the time of the send. If it returns false,
  // nothing is sent and the call ends: kRefused if it was never sent before, else kBroken or
  // kFailed.
  virtual bool MaySend() { return true; }
  // Head of the response; called once. `length` is set if the endpoint announced one.
  virtual void OnHead(int status, const HeaderList& headers,
                      std::optional<std::uint64_t> length) = 0;
  // Bytes of the body in order of arrival (streams: only complete events). Returning false pauses
  // the body until Calls::Resume.
  virtual bool OnBody(std::string_view bytes) = 0;
  // Streams: OnEvent is called for each complete event before its bytes are passed to OnBody. Only
  // if WantsEvents returns true: extracting the data is wasted on other users.
  virtual bool WantsEvents() const { return true; }
  virtual void OnEvent(const Event&) {}
  virtual void OnEnd(const CallSummary& summary) = 0;

 protected:
  ~CallUser() = default;
};

// Runs calls to endpoints.
class Calls {
 public:
  virtual ~Calls() = default;
  // `user` is not called before Start has returned, and must outlive the call: until OnEnd or
  // Cancel.
  virtual policy::CallId Start(CallRequest request, CallUser& user) = 0;
  virtual void Resume(policy::CallId call) = 0;
  virtual void Cancel(policy::CallId call) = 0;
  // Number of batch items that could be started now.
  virtual std::uint32_t BatchCapacity() const = 0;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_CALLS_H_
