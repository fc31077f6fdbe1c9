// Chooses the member of a service's subset for a call: the one with the lowest cost. The cost is
// the predicted time to the first event, plus penalties for load, memory, connections, zone and
// prompt length, scaled by the endpoint's latency ratio, failure rate and warm-up.
#ifndef SHELFLINK_TIER_POLICY_PICKER_H_
#define SHELFLINK_TIER_POLICY_PICKER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "tier/policy/batch_start_delay.h"
#include "tier/policy/endpoint.h"
#include "tier/policy/first_event_model.h"
#include "tier/policy/long_prompt_pool.h"
#include "tier/policy/module.h"
#include "tier/policy/pending_call.h"

namespace shelflink::policy {

// The id of the last shared part of a prompt, the key for prefix affinity. None without parts.
std::optional<std::uint64_t> PrefixOf(const Call& call);
// The call's time objective, or a default derived from its timeout. Costs are measured in it.
Micros ObjectiveOf(const Call& call);

// Properties and statistics that all endpoints of a service share.
struct ServiceStats {
  std::uint64_t kv_tokens = 0;         // KV cache of each endpoint; 0: not a model engine.
  double connection_share = 0.0;       // This sidecar's, of each endpoint; 0: not known.
  double mean_prompt_tokens = 0.0;     // Of a call's prompt; moving average.
  double mean_kv_tokens = 0.0;         // Of a call's prompt and output; moving average.
  Micros shortest_objective = kNever;  // Of the live calls so far.
  BatchStartDelay batch_start_delay;
  FirstEventModel first_event;
  LongPromptPool long_prompt_pool;
};

struct Choice {
  Endpoint* endpoint = nullptr;  // Null: no endpoint may be used now.
  // No endpoint was chosen only because the free slots are reserved for more urgent levels; this
  // may change soon.
  bool only_reserved_slots = false;
};

class Picker {
 public:
  explicit Picker(std::string zone = {}) : zone_(std::move(zone)) {}

  // `members` are the endpoints to choose from.
  Choice Pick(Micros now, const PendingCall& pending, const std::vector<Endpoint*>& members,
              const ServiceStats& stats);

  // Whether an endpoint other than `current` could take the call now.
  static bool HasAlternative(Micros now, const PendingCall& pending,
                             const std::vector<Endpoint*>& members, const Endpoint& current);

  // Prompt tokens that the endpoint would have to prefill.
  static std::uint64_t UncachedTokens(const Call& call, const Endpoint& endpoint);
  // Predicted microseconds to prefill the part of the prompt that no other call shares.
  static double UnsharedPrefillTime(const Call& call, const ServiceStats& stats);

 private:
  // Best first; compared before the cost.
  enum class Availability { kHealthy, kBackingOff, kTried, kUnresponsive, kEjected };
  static Availability AvailabilityOf(Micros now, const PendingCall& pending,
                                     const Endpoint& endpoint);
  // Prompt length for the choice of the endpoint; kAny where it does not matter.
  enum class PromptLength { kAny, kShort, kLong };
  static PromptLength PromptLengthOf(const Call& call, const ServiceStats& stats);
  const Endpoint* PrefixOwner(Micros now, const Call& call, const std::vector<Endpoint*>& members,
                              const ServiceStats& stats, PromptLength length) const;
  // Whether a short prompt would go to an endpoint of the long-prompt pool, or a long prompt to
  // another one.
  static bool IsMismatch(PromptLength length, const Endpoint& endpoint, const ServiceStats& stats);
  double Cost(Micros now, const Call& call, const Endpoint& endpoint, bool owner,
              const ServiceStats& stats, PromptLength length) const;

  std::string zone_;
  std::size_t cursor_ = 0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PICKER_H_
