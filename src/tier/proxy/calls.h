// Calls to endpoints: one call is admitted, sent to one endpoint or more in turn, and its answer
// handed over as it comes. Clients' requests (proxy/front) and batch items (batch/runner) both go
// through here, so that limits, retries, instance checks and drains hold for both alike.
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
  std::string request_id;  // Shelflink-Request-Id, as the client or the item has it.
  std::string method = "POST";
  std::string target;  // Path and query, unchanged.
  HeaderList headers;  // As they go on, without what concerns one connection, keys and tenant.
  std::string body;
  std::shared_ptr<const configuration::Configuration> configuration;  // In force when it came.
  const configuration::Route* route = nullptr;                        // Of that configuration.
  std::string tenant;                                                 // Empty: public.
  std::uint32_t level = 0;
  bool batch = false;
  bool resumable = false;
  std::optional<net::Time> began;  // The route's timeout counts from then; none: from the start.
  std::optional<net::Time> due;    // Of the caller; none: the route's timeout alone.
  std::optional<std::uint64_t> last_event_id;  // Continue behind this event.
  std::optional<int> max_attempts;             // In place of the route's.
};

struct Event {
  std::optional<std::uint64_t> id;
  std::string data;  // Of its data lines, joined by line feeds.
};

enum class CallEnd {
  kComplete,  // The answer was whole.
  kRefused,   // Never ran and never will; answer 503 or 429 with `retry_after`.
  kFailed,    // No usable answer; it may have run.
  kBroken,    // The answer had begun and will not be completed.
};

struct CallSummary {
  CallEnd end = CallEnd::kFailed;
  int status = 0;  // Of the endpoint's last answer; 0: none.
  std::optional<double> retry_after_s;
  bool may_have_run = false;
};

// Told of one call; may cancel it from inside any of these.
class CallUser {
 public:
  // Asked right before each send to an endpoint, resumptions included: whoever holds a right that
  // runs out (the lease of a batch item) checks it here, at the moment of acting. False: nothing is
  // sent and the call ends, kRefused if it was never sent before, else kBroken or kFailed.
  virtual bool MaySend() { return true; }
  // Head of the answer that will be passed on; once. `length` where the endpoint told it.
  virtual void OnHead(int status, const HeaderList& headers,
                      std::optional<std::uint64_t> length) = 0;
  // Bytes of the body as they came (streams: whole events only). Returns false if no more is wanted
  // until Resume.
  virtual bool OnBody(std::string_view bytes) = 0;
  // Streams: each whole event, before its bytes are handed to OnBody; only where they are wanted,
  // as events are taken apart for that alone.
  virtual bool WantsEvents() const { return true; }
  virtual void OnEvent(const Event&) {}
  virtual void OnEnd(const CallSummary& summary) = 0;

 protected:
  ~CallUser() = default;
};

class Calls {
 public:
  virtual ~Calls() = default;
  // Nothing is told before Start has returned. The user stays until OnEnd or Cancel.
  virtual policy::CallId Start(CallRequest request, CallUser& user) = 0;
  virtual void Resume(policy::CallId call) = 0;
  virtual void Cancel(policy::CallId call) = 0;
  // How many batch items could be started now.
  virtual std::uint32_t BatchCapacity() const = 0;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_CALLS_H_
