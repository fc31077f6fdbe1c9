// The decision module of the data plane: admission by priority level, dealt hands of bounded
// queues, fair release, a learned limit, and the choice of an endpoint for model serving.
//
// Pure: no clock, no I/O, no thread. Every event carries the present time; every decision leaves
// through Actions. It shares its parts with gaugecart (the program in service): see src/policy.
#ifndef SHELFLINK_TIER_POLICY_MODULE_H_
#define SHELFLINK_TIER_POLICY_MODULE_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace shelflink::policy {

using Micros = std::int64_t;  // A point of the caller's steady clock, or a span.
using CallId = std::uint64_t;
constexpr Micros kNever = std::numeric_limits<Micros>::max();

struct EndpointInfo {
  std::string id;  // Of this incarnation.
  std::string zone;
  int slots = 1;
  bool draining = false;
  Micros cold_until = 0;
  bool owned_for_batch = true;  // This sidecar sends batch calls there (batch_owners.h).
};

struct ServiceInfo {
  std::string name;
  int max_conns = 0;            // Of each endpoint, from all sidecars; 0: not told.
  std::uint64_t kv_tokens = 0;  // Memory of each endpoint; 0: no model engine.
  std::vector<EndpointInfo> endpoints;
};

// Changes with the configuration and with the number of sidecars.
struct ModuleConfig {
  std::string node;
  std::string zone;
  std::uint32_t sidecars = 1;    // Ready ones, this one among them.
  std::uint32_t levels = 1;      // Priority levels, 0 the most urgent; the last one is batch's.
  std::size_t max_calls = 4096;  // Calls held in all; what comes beyond is refused.
};

struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

struct Call {
  CallId id = 0;
  std::uint32_t level = 0;
  std::uint64_t flow = 0;  // Hash of the tenant; of the route where there is none.
  std::string service;
  Micros deadline = kNever;  // The caller stops waiting.
  Micros timeout = 0;        // The route's; a fixed fraction of it is the longest wait.
  Micros objective = 0;      // To the first event or the answer.
  int max_attempts = 1;
  bool repeatable = false;  // Idempotent, or a stream that may be resumed.
  bool batch = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::vector<PromptPart> prompt;  // In order.
};

enum class Outcome {
  kSuccess,      // Whole.
  kNotRun,       // The endpoint said so (503 or 429 with Shelflink-Not-Run).
  kMisdirected,  // 421: another instance has the address.
  kNeverSent,    // Connecting failed, or its last byte never left.
  kError,        // An answer of failure; it has run.
  kReset,        // Broken after it was sent, before any event; it may have run.
  kTimeout,      // Silence; it may have run.
  kTruncated,    // Broken in the middle of its events.
  kCancelled,    // Given up on this side.
};

// Of batch calls on this sidecar.
struct BatchState {
  std::uint32_t endpoints = 0;  // That it sends batch calls to.
  double limit = 0.0;           // Batch calls that it keeps there at most, as learned.
  std::uint32_t calls = 0;      // At endpoints now.
};

class Actions {
 public:
  virtual ~Actions() = default;
  // Starts attempt number `attempt` (from 0) of the call at that endpoint.
  virtual void Send(CallId call, std::uint32_t attempt, const std::string& endpoint) = 0;
  // Final: it has not run and never will. `retry_after` 0: no advice.
  virtual void Refuse(CallId call, Micros retry_after) = 0;
  // Final: promises nothing.
  virtual void Fail(CallId call) = 0;
  virtual void SetTimer(Micros at) = 0;  // One timer; the earliest wish holds.
};

class Module {
 public:
  Module(std::uint64_t seed, Actions& actions);
  ~Module();
  Module(const Module&) = delete;
  Module& operator=(const Module&) = delete;

  void OnConfig(Micros now, const ModuleConfig& config);
  // All of one service; what is not among them is gone.
  void OnService(Micros now, const ServiceInfo& service);
  void OnServiceRemoved(Micros now, const std::string& service);

  void OnCall(Micros now, const Call& call);
  // The first event or the head of the answer has come from the endpoint.
  void OnFirstEvent(Micros now, CallId call, std::uint32_t attempt);
  // Tokens passed on since the last time.
  void OnProgress(Micros now, CallId call, std::uint32_t attempt, std::uint32_t tokens);
  // `again`: the call is to go on at another endpoint if it may (a cut stream that can be resumed).
  // Without it the call is over.
  void OnOutcome(Micros now, CallId call, std::uint32_t attempt, Outcome outcome,
                 bool may_continue);
  // The caller has left; its attempts are cancelled by whoever tells.
  void OnAbandoned(Micros now, CallId call);
  // What an endpoint told of itself (Shelflink-Server-Load): running, waiting, slots.
  void OnLoad(Micros now, const std::string& endpoint, std::uint32_t running, std::uint32_t waiting,
              std::uint32_t slots);
  void OnTimer(Micros now);

  // Whether the call, given up at the endpoint of this attempt, would go on at another at once.
  bool CanRetryElsewhere(Micros now, CallId call, std::uint32_t attempt) const;
  // How many more calls of the level would run at once; for whoever takes batch items up.
  std::uint32_t Room(Micros now, std::uint32_t level) const;
  BatchState batch() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_MODULE_H_
