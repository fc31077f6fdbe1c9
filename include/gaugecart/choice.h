// The public interface of gaugecart's decision module: settings, events, actions.
//
// One Balancer decides for one caller. It reads no clock, does no I/O, starts no thread and shares
// no state; every event method takes the present time, and every decision leaves through Actions.
// The implementation is in src/policy.
#ifndef GAUGECART_CHOICE_H_
#define GAUGECART_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gaugecart {

using Micros = std::int64_t;  // A time on the caller's clock or a duration, in microseconds.
using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;  // Dense index chosen by the embedder; no effect on decisions.

// Effect of sending a request again.
enum class Repeat { kIdempotent, kDeduplicated, kAtMostOnce };

// Which endpoints recognise the duplicates of a deduplicated request.
enum class DedupGroup { kAll, kZone, kCell };

// Settings of one priority level.
struct ClassSettings {
  Micros aim = 0;      // Answers within this time have the full worth.
  Micros give_up = 0;  // Longest time a caller waits, over all its attempts.
  double worth = 1.0;
  double late_share = 0.0;
  Repeat repeat = Repeat::kAtMostOnce;
  DedupGroup group = DedupGroup::kAll;
  Micros dedup_window = 0;  // How long duplicates are recognised.
  bool stream = false;      // Answers are streams.
};

// Settings of one tenant.
struct TenantSettings {
  double quota_per_s = 0.0;  // Calls per second over all balancers of the group.
  double share = 0.0;        // Its share of the service.
};

// Settings of a balancer; src/validate.h checks them.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;  // May be empty.

  std::uint32_t me = 0;  // This balancer's index in its group, from 0.
  std::uint32_t group_size = 1;
  std::int32_t zone = -1;  // Index of this balancer's zone; -1 if unknown.
  std::uint32_t tier = 0;  // Number of tiers between the clients and this balancer.

  bool discovery_by_ask = false;
  bool weights_are_sizes = false;  // Endpoint::size is a relative capacity and does not change.
  bool deadlines_passed = false;   // Request::due is the time that the caller really waits.

  bool tail_counts = false;  // The goal includes the fraction of late answers.

  bool may_cancel = false;
  bool may_duplicate = false;  // Two attempts of one request may be in flight at once.
  bool may_advise = false;     // A refusal may advise when to retry.
  std::uint32_t max_attempts = 1;
  // Pending requests from which on a level with more than its even share of them refuses new ones.
  std::size_t max_pending = std::numeric_limits<std::size_t>::max();
  Micros max_advice = 0;

  Micros keepalive = 0;  // Idle connections are closed after this long; 0: unknown.

  Micros round = 1000;  // Shortest time between events.
  Micros drain_grace = 0;
  Micros ask_within = 10'000'000;  // Discovery must be asked within this time.
  double cold_from = 1.0;  // Smallest fraction of its capacity that an endpoint starts with.
  Micros warm_up = 0;      // Longest time until it has all of its capacity.
  // A warming endpoint fails if `fall` brings it more than this multiple of what it can do.
  double fall_multiple = 1.0;
  Micros fall = 1'000'000;
};

// Whether an endpoint takes new requests; kGone: it is not listed any more.
enum class Availability { kReady, kDraining, kGone };

// An entry of the endpoint list.
struct Endpoint {
  EndpointId id = 0;
  std::uint64_t hash = 0;  // Stable hash of its name: equal at every balancer and every start.
  double size = 1.0;
  std::int32_t zone = -1;
  std::int64_t cell = -1;
  Availability availability = Availability::kReady;
  Micros launched = 0;  // Start of its process; 0: long ago.
};

// What OnEndpoints is given.
enum class ListKind {
  kChanges,  // Only the changed endpoints.
  kFull,     // The complete list.
  kStale,    // The complete list as last stored; possibly outdated.
};

// A request of the caller.
struct Request {
  RequestId id = 0;
  std::uint32_t priority_level = 0;     // Index into Settings::classes.
  std::optional<std::uint32_t> tenant;  // Index into Settings::tenants.
  Micros due = 0;                       // Deadline: when the caller stops waiting for this try.
  std::optional<Micros> work;           // Estimated work, if known.
  std::optional<std::uint64_t> key;
};

// How an attempt ended, and whether its request may have run.
enum class OutcomeCode {
  kOk,
  kError,          // May have run.
  kFull,           // Never ran.
  kTimeout,        // May have run, or may still run.
  kConnectFailed,  // Never ran.
  kReset,          // May have run.
  kCancelled,      // May have run.
  kNeverSent,      // Never ran.
};

// Load that an endpoint reported with an answer.
struct LoadReport {
  std::optional<double> in_flight;    // Requests in progress.
  std::optional<double> queued;       // Requests waiting in queues.
  std::optional<double> utilisation;  // Fraction of the cores in use.
};

// The end of an attempt.
struct Outcome {
  RequestId request = 0;
  std::uint32_t attempt = 0;  // 0 for the first attempt of the request.
  EndpointId endpoint = 0;
  OutcomeCode code = OutcomeCode::kError;
  bool closed = false;  // The request is finished; the caller expects no further answer.
  Micros rtt = 0;       // From the send to the end of the attempt.
  std::optional<LoadReport> report;
};

// State of a balancer that a later one of the same caller may start from.
struct LearnedState {
  struct Ejection {
    EndpointId endpoint = 0;
    Micros launched = 0;       // As in Endpoint; ignored for another process of the endpoint.
    Micros remaining = 0;      // Remaining time of the ejection.
    std::int32_t strikes = 0;  // Number of ejections; each lengthens the next.
  };
  double limit = 0;  // Concurrency limit of all priority levels together; 0: unknown.
  std::vector<Ejection> ejections;
};

// Receives the decisions. An implementation must not call the balancer from within.
class Actions {
 public:
  virtual ~Actions() = default;
  // Starts the next attempt of the request, to be given up after `timeout`. If `write_by` is set,
  // its last byte must be written by then: later its receiver may no longer recognise it as a
  // duplicate.
  virtual void Send(RequestId request, EndpointId endpoint, Micros timeout,
                    std::optional<Micros> write_by) = 0;
  // Final answer: nothing ran, and a retry is harmless. `advice`: retry after this long; 0: none.
  virtual void Refuse(RequestId request, Micros advice) = 0;
  // Final answer: a failure; the request may have run.
  virtual void Fail(RequestId request) = 0;
  // Cancels an attempt; only with Settings::may_cancel.
  virtual void Cancel(RequestId request, std::uint32_t attempt) = 0;
  // Calls OnTimer at that time or soon after.
  virtual void SetTimer(Micros at, std::uint64_t mark) = 0;
  virtual void Follow() = 0;   // Subscribes to changes of the endpoint list.
  virtual void Refresh() = 0;  // Requests the whole endpoint list once.
  virtual void Log(const std::string& text) = 0;
};

// Decides where and when the requests of one caller are sent. Not thread-safe.
class Balancer {
 public:
  // Throws std::invalid_argument that names the first invalid field of the settings. `actions` must
  // outlive the balancer. All randomness comes from `seed`.
  Balancer(Settings settings, std::uint64_t seed, Actions* actions, Micros now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // The endpoint list, or changes to it.
  void OnEndpoints(Micros now, ListKind kind, const std::vector<Endpoint>& endpoints);
  // A subscription failed; the balancer asks for another after a backoff.
  void OnDiscoveryFailed(Micros now);
  // Ignored for an unknown priority level or an id in use.
  void OnRequest(Micros now, const Request& request);
  // The answer has begun: the request is not sent again.
  void OnFirstByte(Micros now, RequestId request, std::uint32_t attempt);
  void OnOutcome(Micros now, const Outcome& outcome);
  // The caller has given up; no further answer is sent.
  void OnAbandoned(Micros now, RequestId request);
  void OnTimer(Micros now, std::uint64_t mark);

  // Resumes the state of an earlier balancer of this caller; call it after the first list. The
  // caller is responsible for its age. The limit is capped at the initial limit, and ejections at
  // the fraction of the list that may be ejected.
  void Restore(Micros now, const LearnedState& state);
  // The present limit and ejections, for Restore of a later balancer.
  LearnedState Export(Micros now) const;

  // Number of listed endpoints that are draining or ejected.
  std::size_t CountAvoided(Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gaugecart

#endif  // GAUGECART_CHOICE_H_
