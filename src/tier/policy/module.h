// The decision module of the data plane: admission control by priority level with an adaptive
// concurrency limit, shuffle-sharded bounded queues with fair dequeuing, and the choice of an
// endpoint for model serving.
//
// It has no clock, no I/O and no thread. Every event carries the current time, and every decision
// is reported through Actions. It shares components with the gaugecart proxy, see src/policy.
#ifndef SHELFLINK_TIER_POLICY_MODULE_H_
#define SHELFLINK_TIER_POLICY_MODULE_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace shelflink::policy {

using Micros = std::int64_t;  // Time of the caller's steady clock, or a duration.
using CallId = std::uint64_t;
constexpr Micros kNever = std::numeric_limits<Micros>::max();

struct EndpointInfo {
  std::string id;  // Of this instance.
  std::string zone;
  int slots = 1;
  bool draining = false;
  Micros cold_until = 0;        // End of its warm-up.
  bool owned_for_batch = true;  // This sidecar sends batch calls to it (batch_owners.h).
};

struct ServiceInfo {
  std::string name;
  int max_conns = 0;            // Of each endpoint, from all sidecars; 0: not known.
  std::uint64_t kv_tokens = 0;  // KV cache of each endpoint; 0: not a model engine.
  std::vector<EndpointInfo> endpoints;
};

// Settings of the module, updated with the configuration and the number of sidecars.
struct ModuleConfig {
  std::string node;
  std::string zone;
  std::uint32_t sidecars = 1;    // Ready sidecars, including this one.
  std::uint32_t levels = 1;      // 0 is the most urgent, the last of two or more is batch.
  std::size_t max_calls = 4096;  // Pending calls; further ones are refused.
};

// A segment of a prompt, identified by its content for prefix caching.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

struct Call {
  CallId id = 0;
  std::uint32_t level = 0;
  std::uint64_t flow = 0;  // Hash of the tenant, or of the route without a tenant.
  std::string service;
  Micros deadline = kNever;  // When the caller stops waiting.
  Micros timeout = 0;        // Of the route; bounds the wait in a queue.
  Micros objective = 0;      // For the time to the first event or the answer.
  int max_attempts = 1;
  bool repeatable = false;  // Idempotent, or a resumable stream.
  bool batch = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::vector<PromptPart> prompt;  // From the start of the prompt.
};

enum class Outcome {
  kSuccess,      // Complete answer.
  kNotRun,       // Rejected by the endpoint (503 or 429 with Shelflink-Not-Run).
  kMisdirected,  // 421: another instance has the address.
  kNeverSent,    // Connecting failed, or the request was not sent completely.
  kError,        // Error response; the call has run.
  kReset,        // Connection lost before the first event; it may have run.
  kTimeout,      // No response in time; it may have run.
  kTruncated,    // Stream ended early, after its first event.
  kCancelled,    // Cancelled by this sidecar.
};

// Batch calls of this sidecar.
struct BatchState {
  std::uint32_t endpoints = 0;  // Owned by this sidecar for batch.
  double limit = 0.0;           // Sum of the endpoints' adaptive batch limits.
  std::uint32_t calls = 0;      // In flight.
};

// Decisions of the module, carried out by its user.
class Actions {
 public:
  virtual ~Actions() = default;
  // Starts attempt number `attempt` (from 0) of the call at the endpoint.
  virtual void Send(CallId call, std::uint32_t attempt, const std::string& endpoint) = 0;
  // Final: the call has not run and never will. With `retry_after` 0 there is no advice.
  virtual void Refuse(CallId call, Micros retry_after) = 0;
  // Final: the call may or may not have run.
  virtual void Fail(CallId call) = 0;
  virtual void SetTimer(Micros at) = 0;  // There is one timer, set to the earliest requested time.
};

class Module {
 public:
  Module(std::uint64_t seed, Actions& actions);
  ~Module();
  Module(const Module&) = delete;
  Module& operator=(const Module&) = delete;

  void OnConfig(Micros now, const ModuleConfig& config);
  // Sets the complete state of one service; an endpoint that is not listed is removed.
  void OnService(Micros now, const ServiceInfo& service);
  void OnServiceRemoved(Micros now, const std::string& service);

  void OnCall(Micros now, const Call& call);
  // The first event or the response head was received from the endpoint.
  void OnFirstEvent(Micros now, CallId call, std::uint32_t attempt);
  // Output tokens received since the last report.
  void OnProgress(Micros now, CallId call, std::uint32_t attempt, std::uint32_t tokens);
  // With `may_continue` the module sends the call to another endpoint if the rules allow it (also a
  // truncated stream that can be resumed). Without it the call is finished.
  void OnOutcome(Micros now, CallId call, std::uint32_t attempt, Outcome outcome,
                 bool may_continue);
  // The caller has left. The user of the module cancels the attempts in flight.
  void OnAbandoned(Micros now, CallId call);
  // Load reported by an endpoint (Shelflink-Server-Load).
  void OnLoad(Micros now, const std::string& endpoint, std::uint32_t running, std::uint32_t waiting,
              std::uint32_t slots);
  void OnTimer(Micros now);

  // Whether the call, if cancelled at the endpoint of this attempt, could be sent to another
  // endpoint immediately.
  bool CanRetryElsewhere(Micros now, CallId call, std::uint32_t attempt) const;
  // Number of further calls of the level that would start immediately; used to fetch batch items.
  std::uint32_t Room(Micros now, std::uint32_t level) const;
  BatchState batch() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_MODULE_H_
