// Which member of a service's subset a call goes to: the one at which it costs least, where cost is
// the expected time to the first event, weighed up by what else the call would do there.
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

// The last shared part of a prompt: what its requests are kept together by. None without parts.
std::optional<std::uint64_t> PrefixOf(const Call& call);
// The span that costs are measured by where a route tells no objective.
Micros ObjectiveOf(const Call& call);

// What all endpoints of a service have in common.
struct ServiceStats {
  std::uint64_t kv_tokens = 0;      // Memory of each endpoint; 0: no model engine.
  double connection_share = 0.0;    // Of each endpoint's connections for this sidecar; 0: not told.
  double mean_prompt_tokens = 0.0;  // Tokens of a call's prompt, and of all of it.
  double mean_kv_tokens = 0.0;
  Micros shortest_objective = kNever;  // Of the live calls that have come.
  BatchStartDelay batch_start_delay;
  FirstEventModel first_event;
  LongPromptPool long_prompt_pool;
};

struct Choice {
  Endpoint* endpoint = nullptr;  // Null: none may be sent to now.
  // Only for the slots that are left to more urgent levels: it may be otherwise in a moment.
  bool only_reserved_slots = false;
};

class Picker {
 public:
  explicit Picker(std::string zone = {}) : zone_(std::move(zone)) {}

  Choice Pick(Micros now, const PendingCall& pending, const std::vector<Endpoint*>& members,
              const ServiceStats& stats);

  // Whether another endpoint than this one would take the call now.
  static bool HasAlternative(Micros now, const PendingCall& pending,
                             const std::vector<Endpoint*>& members, const Endpoint& current);

  // Prompt tokens that the endpoint would have to read.
  static std::uint64_t UncachedTokens(const Call& call, const Endpoint& endpoint);
  // Time that an endpoint takes to read what of the prompt no other call shares.
  static double UnsharedPrefillTime(const Call& call, const ServiceStats& stats);

 private:
  // The lower, the better, before any cost counts.
  enum class Availability { kHealthy, kBackingOff, kTried, kUnresponsive, kEjected };
  static Availability AvailabilityOf(Micros now, const PendingCall& pending,
                                     const Endpoint& endpoint);
  // Of a call's prompt, where that matters for the endpoint.
  enum class PromptLength { kAny, kShort, kLong };
  static PromptLength PromptLengthOf(const Call& call, const ServiceStats& stats);
  const Endpoint* PrefixOwner(Micros now, const Call& call, const std::vector<Endpoint*>& members,
                              const ServiceStats& stats, PromptLength length) const;
  // Whether it is one of the endpoints that are for long prompts where the call's is short, or the
  // other way round.
  static bool IsMismatch(PromptLength length, const Endpoint& endpoint, const ServiceStats& stats);
  double Cost(Micros now, const Call& call, const Endpoint& endpoint, bool owner,
              const ServiceStats& stats, PromptLength length) const;

  std::string zone_;
  std::size_t cursor_ = 0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PICKER_H_
