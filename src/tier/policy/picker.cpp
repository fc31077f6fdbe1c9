#include "tier/policy/picker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "tier/policy/mutant.h"
#include "tier/policy/subset.h"

namespace shelflink::policy {
namespace {

// Members examined for one call, starting at a rotating position: this bounds the time of a choice
// in a large subset, and the best of 16 is about as good as the best of all.
constexpr std::size_t kMaxExamined = 16;
constexpr double kObjectivePerTimeout = 0.1;   // For calls without an objective.
constexpr Micros kDefaultObjective = 300'000;  // Microseconds, without a timeout as well.
// Weight of shared tokens that must be prefilled again: besides the time, they evict other prompts'
// parts from the cache.
constexpr double kRepeatedPrefillWeight = 2.0;
// Fraction of the uncached shared tokens that the prefix owner is assumed to have cached from other
// sidecars, so that calls with the same prefix converge on one endpoint.
constexpr double kOwnerCacheTrust = 0.5;
// The prefix owner loses its preference above this factor times the members' mean load plus this
// number of calls.
constexpr double kOwnerLoadFactor = 1.25;
constexpr double kOwnerLoadSlack = 2.0;
// In objectives: the cost of an endpoint with all slots taken (proportional to the square of the
// load, because decode steps take longer with more calls), and of each further multiple of the
// slots in waiting calls.
constexpr double kFullCost = 0.5;
constexpr double kWaitCost = 1.0;
// KV cache use above this fraction risks preemption of calls. The cost in objectives is the excess
// fraction times kMemoryCost.
constexpr double kMemoryThreshold = 0.9;
constexpr double kMemoryCost = 10.0;
constexpr double kConnectionCost = 1.0;  // Objectives, above the own share of its connections.
constexpr double kOtherZoneCost = 0.02;  // Objectives, for an endpoint of another zone.
// Objectives, for a short prompt in the long-prompt pool and for a long prompt outside it.
constexpr double kShortPromptMismatchCost = 0.4;
constexpr double kLongPromptMismatchCost = 0.15;
constexpr double kColdSlowdown = 3.0;  // Cost factor of an endpoint that has just started.
// Weight of an endpoint's failure rate in the cost, for calls that must not and that may run twice.
constexpr double kNonRepeatableFailureWeight = 12.0;
constexpr double kRepeatableFailureWeight = 2.0;

// Fraction of an endpoint's slots that a call without access to reserved slots may use.
constexpr double kUnreservedSlots = 0.95;

// Highest number of calls at the endpoint, this one included, at which the call may be sent there.
double MaxCallsAt(const PendingCall& pending, const Endpoint& endpoint) {
  if (pending.may_use_reserved_slots || Mutated(Mutant::kUseReservedSlots)) {
    return std::numeric_limits<double>::infinity();
  }
  return pending.call.batch ? endpoint.BatchAdmissionThreshold()
                            : kUnreservedSlots * endpoint.slots();
}

double Square(double x) { return x * x; }

std::uint64_t SharedTokens(const Call& call) {
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < call.prompt.size(); ++i) tokens += call.prompt[i].tokens;
  return std::min<std::uint64_t>(tokens, call.prompt_tokens);
}

}  // namespace

std::optional<std::uint64_t> PrefixOf(const Call& call) {
  if (call.prompt.empty()) return std::nullopt;
  return call.prompt[call.prompt.size() > 1 ? call.prompt.size() - 2 : 0].id;
}

Micros ObjectiveOf(const Call& call) {
  if (call.objective > 0) return call.objective;
  if (call.timeout <= 0) return kDefaultObjective;
  return std::max<Micros>(
      1, static_cast<Micros>(kObjectivePerTimeout * static_cast<double>(call.timeout)));
}

std::uint64_t Picker::UncachedTokens(const Call& call, const Endpoint& endpoint) {
  if (Mutated(Mutant::kIgnorePrefix)) return call.prompt_tokens;
  const std::uint64_t cached = endpoint.prefixes().CachedTokens(call.prompt);
  return call.prompt_tokens - std::min<std::uint64_t>(cached, call.prompt_tokens);
}

double Picker::UnsharedPrefillTime(const Call& call, const ServiceStats& stats) {
  return stats.first_event.PerToken() *
         static_cast<double>(call.prompt_tokens - SharedTokens(call));
}

Picker::PromptLength Picker::PromptLengthOf(const Call& call, const ServiceStats& stats) {
  // Batch calls have no objective for their events, so prompt length does not matter for them.
  if (call.batch || !stats.long_prompt_pool.active()) return PromptLength::kAny;
  const auto objective = static_cast<double>(ObjectiveOf(call));
  return LongPromptPool::IsLong(UnsharedPrefillTime(call, stats), objective) ? PromptLength::kLong
                                                                             : PromptLength::kShort;
}

bool Picker::IsMismatch(PromptLength length, const Endpoint& endpoint, const ServiceStats& stats) {
  if (length == PromptLength::kAny) return false;
  return (length == PromptLength::kLong) != stats.long_prompt_pool.Contains(endpoint.hash());
}

Choice Picker::Pick(Micros now, const PendingCall& pending, const std::vector<Endpoint*>& members,
                    const ServiceStats& stats) {
  if (members.empty()) return {};
  bool only_reserved_slots = false;
  const PromptLength length = PromptLengthOf(pending.call, stats);
  const Endpoint* owner = PrefixOwner(now, pending.call, members, stats, length);
  Endpoint* best = nullptr;
  std::pair<Availability, double> best_cost;
  const auto consider = [&](Endpoint* endpoint) {
    if (!endpoint->Usable(now) || pending.RejectedBy(*endpoint)) return;
    if (endpoint->WeightedCalls(now) + 1.0 > MaxCallsAt(pending, *endpoint)) {
      only_reserved_slots = true;
      return;
    }
    const std::pair cost{AvailabilityOf(now, pending, *endpoint),
                         Cost(now, pending.call, *endpoint, endpoint == owner, stats, length)};
    if (best != nullptr && cost >= best_cost) return;
    best = endpoint;
    best_cost = cost;
  };
  // Examine more members only while none of them was healthy.
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (i >= kMaxExamined && best != nullptr && best_cost.first == Availability::kHealthy) break;
    consider(members[(cursor_ + i) % members.size()]);
  }
  if (owner != nullptr && members.size() > kMaxExamined) {
    consider(*std::find(members.begin(), members.end(), owner));
  }
  ++cursor_;
  if (Mutated(Mutant::kNoPanic) && best_cost.first >= Availability::kUnresponsive) return {};
  return {best, best == nullptr && only_reserved_slots};
}

bool Picker::HasAlternative(Micros now, const PendingCall& pending,
                            const std::vector<Endpoint*>& members, const Endpoint& current) {
  return std::any_of(members.begin(), members.end(), [&](const Endpoint* endpoint) {
    return endpoint != &current && endpoint->Usable(now) && !pending.RejectedBy(*endpoint) &&
           AvailabilityOf(now, pending, *endpoint) < Availability::kUnresponsive &&
           endpoint->WeightedCalls(now) + 1.0 <= MaxCallsAt(pending, *endpoint);
  });
}

Picker::Availability Picker::AvailabilityOf(Micros now, const PendingCall& pending,
                                            const Endpoint& endpoint) {
  if (endpoint.health().ShouldAvoid(now)) return Availability::kEjected;
  if (endpoint.Unresponsive(now)) return Availability::kUnresponsive;
  if (pending.Tried(endpoint)) return Availability::kTried;
  return endpoint.BackingOff(now) ? Availability::kBackingOff : Availability::kHealthy;
}

const Endpoint* Picker::PrefixOwner(Micros now, const Call& call,
                                    const std::vector<Endpoint*>& members,
                                    const ServiceStats& stats, PromptLength length) const {
  const std::optional<std::uint64_t> prefix = PrefixOf(call);
  if (!prefix || Mutated(Mutant::kIgnorePrefix)) return nullptr;
  const Endpoint* owner = nullptr;
  std::uint64_t best = 0;
  for (const Endpoint* endpoint : members) {
    const std::uint64_t score = RendezvousScore(*prefix, endpoint->hash());
    if (owner != nullptr && score < best) continue;
    if (!endpoint->Usable(now) || endpoint->health().ejected() || endpoint->Unresponsive(now))
      continue;
    if (IsMismatch(length, *endpoint, stats)) continue;
    owner = endpoint;
    best = score;
  }
  if (owner == nullptr) return nullptr;
  double load = 0.0;
  const std::size_t examined = std::min(kMaxExamined, members.size());
  for (std::size_t i = 0; i < examined; ++i) {
    const Endpoint& endpoint = *members[(cursor_ + i) % members.size()];
    load += endpoint.WeightedCalls(now) / endpoint.slots();
  }
  const double mean = load / static_cast<double>(examined) * owner->slots();
  return owner->WeightedCalls(now) <= kOwnerLoadFactor * mean + kOwnerLoadSlack ? owner : nullptr;
}

double Picker::Cost(Micros now, const Call& call, const Endpoint& endpoint, bool owner,
                    const ServiceStats& stats, PromptLength length) const {
  const auto objective = static_cast<double>(ObjectiveOf(call));
  const auto uncached = static_cast<double>(UncachedTokens(call, endpoint));
  const auto unshared = static_cast<double>(call.prompt_tokens - SharedTokens(call));
  const double repeated =
      std::max(0.0, uncached - unshared) * (owner ? 1.0 - kOwnerCacheTrust : 1.0);
  const double queued_tokens = static_cast<double>(endpoint.queued_prefill_tokens()) +
                               endpoint.OtherCallsWaiting(now) * stats.mean_prompt_tokens;
  const double first_event = stats.first_event.Expected(
      queued_tokens + std::min(uncached, unshared) + kRepeatedPrefillWeight * repeated);

  const double load =
      Mutated(Mutant::kIgnoreLoad) ? 0.0 : (endpoint.WeightedCalls(now) + 1.0) / endpoint.slots();
  double penalty = kFullCost * Square(std::min(1.0, load)) + kWaitCost * std::max(0.0, load - 1.0);
  if (stats.kv_tokens > 0) {
    const double in_use = static_cast<double>(endpoint.kv_tokens_in_use()) + call.prompt_tokens +
                          call.output_tokens + endpoint.OtherCalls(now) * stats.mean_kv_tokens;
    const double fraction = in_use / static_cast<double>(stats.kv_tokens);
    penalty += kMemoryCost * std::max(0.0, fraction - kMemoryThreshold);
  }
  if (stats.connection_share > 0 &&
      static_cast<double>(endpoint.calls()) >= std::max(1.0, stats.connection_share)) {
    penalty += kConnectionCost;
  }
  if (!zone_.empty() && endpoint.info().zone != zone_) penalty += kOtherZoneCost;
  if (IsMismatch(length, endpoint, stats)) {
    penalty += stats.long_prompt_pool.Contains(endpoint.hash()) ? kShortPromptMismatchCost
                                                                : kLongPromptMismatchCost;
  }
  const double failures =
      (call.repeatable ? kRepeatableFailureWeight : kNonRepeatableFailureWeight) *
      endpoint.health().failure_rate();
  const double latency_ratio =
      Mutated(Mutant::kIgnoreLatencyRatio) ? 1.0 : endpoint.LatencyRatio(now);
  return (first_event + objective * penalty) * latency_ratio * (1.0 + failures) *
         (1.0 + (kColdSlowdown - 1.0) * endpoint.Coldness(now));
}

}  // namespace shelflink::policy
