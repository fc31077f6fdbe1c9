// What this sidecar knows of one endpoint: what it has out there, what the endpoint told of its
// load, which prompt parts it keeps, how it does.
#ifndef SHELFLINK_TIER_POLICY_ENDPOINT_H_
#define SHELFLINK_TIER_POLICY_ENDPOINT_H_

#include <cstdint>
#include <set>
#include <utility>

#include "policy/health.h"
#include "tier/policy/batch_limit.h"
#include "tier/policy/module.h"
#include "tier/policy/pending_call.h"
#include "tier/policy/prefix_cache.h"

namespace shelflink::policy {

class Endpoint {
 public:
  explicit Endpoint(std::uint64_t hash) : hash_(hash) {}

  // From the list.
  void Update(Micros now, const EndpointInfo& info, std::uint64_t kv_tokens);
  void SetListed(bool listed) { listed_ = listed; }
  // Another instance has its address: nothing goes there for a while.
  void NoteMisdirected(Micros now);
  // Whether anything may be sent to it at all.
  bool Usable(Micros now) const;

  // Attempts.
  // Its sums hold what the attempt carries until RemoveAttempt.
  void AddAttempt(Attempt& attempt, const Call& call);
  void NoteFirstEvent(Micros now, Attempt& attempt, const Call& call);
  void NoteProgress(Micros now, Attempt& attempt, std::uint32_t tokens);
  void RemoveAttempt(Attempt& attempt, const Call& call);
  // It has shown a sign of life.
  void NoteActivity(Micros now);
  // Turned the call away, or could not be connected to: passed over for `rest`, doubling.
  void BackOff(Micros now, Micros base_delay);
  bool BackingOff(Micros now) const { return now < back_off_until_; }
  // A first event is overdue, and nothing has come from it for as long.
  bool Unresponsive(Micros now) const;
  Micros last_activity() const { return last_activity_; }

  // Load.
  void NoteLoad(Micros now, std::uint32_t running, std::uint32_t waiting, std::uint32_t slots);
  // Calls of others there, as last told, fading.
  double OtherCalls(Micros now) const;
  // Those of them that wait for a slot.
  double OtherCallsWaiting(Micros now) const;
  // All calls there; an own stream near its end weighs less.
  double WeightedCalls(Micros now) const;
  int slots() const { return slots_; }
  std::size_t calls() const { return calls_; }
  std::uint64_t queued_prefill_tokens() const { return queued_prefill_tokens_; }
  std::uint64_t kv_tokens_in_use() const { return kv_tokens_in_use_; }

  // Batch calls.
  BatchLimit& batch_limit() { return batch_limit_; }
  const BatchLimit& batch_limit() const { return batch_limit_; }
  std::size_t batch_calls() const { return batch_calls_; }
  // Calls of any kind there, beyond which no batch call is added.
  double BatchAdmissionThreshold() const;
  // More batch calls that may be sent there now; fractions included.
  double BatchRoom(Micros now) const;

  // Time to the first event against what was expected.
  void NoteLatencyRatio(Micros now, double ratio);
  double LatencyRatio(Micros now) const;
  // From 1 (just started) to 0.
  double Coldness(Micros now) const;

  const EndpointInfo& info() const { return info_; }
  std::uint64_t hash() const { return hash_; }
  bool listed() const { return listed_; }
  gaugecart::Health& health() { return health_; }
  const gaugecart::Health& health() const { return health_; }
  PrefixCache& prefixes() { return prefixes_; }
  const PrefixCache& prefixes() const { return prefixes_; }

 private:
  EndpointInfo info_;
  std::uint64_t hash_;
  bool listed_ = false;
  int slots_ = 1;
  Micros cold_since_ = 0;
  Micros unusable_until_ = 0;

  std::size_t calls_ = 0;
  std::size_t batch_calls_ = 0;
  std::size_t batch_prefills_ = 0;  // Batch calls before their first event.
  BatchLimit batch_limit_;
  std::uint64_t queued_prefill_tokens_ = 0;
  std::uint64_t remaining_output_tokens_ = 0;  // Still to come on own calls.
  std::uint64_t total_output_tokens_ = 0;      // The same when they were sent.
  std::uint64_t kv_tokens_in_use_ = 0;
  std::multiset<std::pair<Micros, Micros>> timeouts_;  // When, and after what time-out.
  Micros last_activity_ = 0;
  Micros back_off_until_ = 0;
  int consecutive_back_offs_ = 0;

  double reported_other_calls_ = 0.0;
  double reported_waiting_ = 0.0;
  Micros reported_at_ = 0;

  double latency_ratio_ = 1.0;
  Micros latency_ratio_at_ = 0;
  gaugecart::Health health_;
  PrefixCache prefixes_;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_ENDPOINT_H_
