// State that this sidecar keeps about one endpoint: its own attempts in flight there, the load that
// the endpoint reported, the prompt parts in its cache, its latency and its health.
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

  // Applies the entry of the endpoint list; `kv_tokens` is the capacity of the KV cache.
  void Update(Micros now, const EndpointInfo& info, std::uint64_t kv_tokens);
  void SetListed(bool listed) { listed_ = listed; }
  // Records that another instance now has its address: the endpoint is not usable for 10 seconds.
  void NoteMisdirected(Micros now);
  // Whether calls may be sent to it: listed, not draining and not recently misdirected.
  bool Usable(Micros now) const;

  // Attempts. The totals of this object include the attempt from AddAttempt to RemoveAttempt.
  void AddAttempt(Attempt& attempt, const Call& call);
  void NoteFirstEvent(Micros now, Attempt& attempt, const Call& call);
  void NoteProgress(Micros now, Attempt& attempt, std::uint32_t tokens);
  void RemoveAttempt(Attempt& attempt, const Call& call);
  // Records that something was received from the endpoint.
  void NoteActivity(Micros now);
  // Starts a back-off after a rejected call or a failed connection. The delay starts at
  // `base_delay` and doubles each time, up to three times, until a first event arrives.
  void BackOff(Micros now, Micros base_delay);
  bool BackingOff(Micros now) const { return now < back_off_until_; }
  // Whether a first event is overdue and nothing was received for the length of its timeout.
  bool Unresponsive(Micros now) const;
  Micros last_activity() const { return last_activity_; }

  // Load. NoteLoad records a report of the endpoint about all its calls.
  void NoteLoad(Micros now, std::uint32_t running, std::uint32_t waiting, std::uint32_t slots);
  // Calls of other sidecars, as last reported, decaying exponentially.
  double OtherCalls(Micros now) const;
  // The part of OtherCalls that waits for a slot.
  double OtherCallsWaiting(Micros now) const;
  // Calls of all sidecars. An own call counts from 1 down to 0.5 as its output is produced.
  double WeightedCalls(Micros now) const;
  int slots() const { return slots_; }
  std::size_t calls() const { return calls_; }
  std::uint64_t queued_prefill_tokens() const { return queued_prefill_tokens_; }
  std::uint64_t kv_tokens_in_use() const { return kv_tokens_in_use_; }

  // Batch calls.
  BatchLimit& batch_limit() { return batch_limit_; }
  const BatchLimit& batch_limit() const { return batch_limit_; }
  std::size_t batch_calls() const { return batch_calls_; }
  // Number of calls of any kind above which no batch call is added.
  double BatchAdmissionThreshold() const;
  // Further batch calls that may be sent now; may be fractional.
  double BatchRoom(Micros now) const;

  // Ratio of the measured to the predicted time to the first event, smoothed; it decays towards 1.
  void NoteLatencyRatio(Micros now, double ratio);
  double LatencyRatio(Micros now) const;
  // Remaining part of the warm-up: 1 when just started, 0 when warm.
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
  std::uint64_t remaining_output_tokens_ = 0;  // Of own calls, not produced yet.
  std::uint64_t total_output_tokens_ = 0;      // Of own calls, when they were sent.
  std::uint64_t kv_tokens_in_use_ = 0;
  // Of attempts before their first event: when it becomes overdue, and the timeout.
  std::multiset<std::pair<Micros, Micros>> timeouts_;
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
