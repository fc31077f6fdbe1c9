#include "tier/policy/picker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "tier/policy/mutant.h"
#include "tier/policy/subset.h"

namespace shelflink::policy {
namespace {

// Members looked at for one call, from where the rotation stands: picking stays cheap in a large
// subset, and the best of so many is as good as the best of all.
constexpr std::size_t kWindow = 16;
constexpr double kObjectiveOfTimeout = 0.1;  // Where no objective is told.
constexpr Micros kPlainObjective = 300'000;  // Where no timeout is either.
// Shared parts read again cost more than their time: they push others' parts out of the memory.
constexpr double kReadAgain = 2.0;
// Part of the shared tokens that the owner is trusted to keep without our having sent them there:
// calls that nobody has a reason to place elsewhere meet at one endpoint.
constexpr double kOwnerTrust = 0.5;
// The owner is no owner beyond this many times the members' mean load, and so many calls.
constexpr double kOwnerBound = 1.25;
constexpr double kOwnerSlack = 2.0;
// Parts of the objective: for an endpoint with all slots taken (it falls with the square, as steps
// grow longer with what runs), and for each further slot's worth of calls that would wait.
constexpr double kFullCost = 0.5;
constexpr double kWaitCost = 1.0;
constexpr double kMemoryPart = 0.9;      // Memory taken beyond this part...
constexpr double kMemoryCost = 10.0;     // ...costs so many objectives for all of it: preemption.
constexpr double kConnectionCost = 1.0;  // Objectives, beyond the own share of its connections.
constexpr double kFarCost = 0.02;        // Objectives, for another zone.
constexpr double kShortCost =
    0.4;  // Objectives, for a short prompt at an endpoint for long ones...
constexpr double kMixedCost = 0.15;  // Objectives, for a long prompt among short ones or reverse.
constexpr double kColdCost = 3.0;    // Times as slow, just started.
constexpr double kWary = 12.0;  // Load that failures weigh as to calls that must not run twice...
constexpr double kBold = 2.0;   // ...and to those that may.

// Part of an endpoint's slots that a call may take unless it may take the last ones too.
constexpr double kLowerPart = 0.95;

// Calls that may be at the endpoint when this one is there too.
double MostRunning(const HeldCall& held, const Endpoint& endpoint) {
  if (held.last_slots || Mutated(Mutant::kFillLastSlots)) {
    return std::numeric_limits<double>::infinity();
  }
  return held.call.batch ? endpoint.BatchPart() : kLowerPart * endpoint.slots();
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
  if (call.timeout <= 0) return kPlainObjective;
  return std::max<Micros>(
      1, static_cast<Micros>(kObjectiveOfTimeout * static_cast<double>(call.timeout)));
}

std::uint64_t Picker::ReadTokens(const Call& call, const Endpoint& endpoint) {
  if (Mutated(Mutant::kIgnorePrefix)) return call.prompt_tokens;
  const std::uint64_t kept = endpoint.prefixes().Kept(call.prompt);
  return call.prompt_tokens - std::min<std::uint64_t>(kept, call.prompt_tokens);
}

double Picker::OwnReading(const Call& call, const ServiceFacts& facts) {
  return facts.first_event.PerToken() *
         static_cast<double>(call.prompt_tokens - SharedTokens(call));
}

Picker::Length Picker::LengthOf(const Call& call, const ServiceFacts& facts) {
  // What runs without an objective to its events harms nobody by its size, nor is harmed.
  if (call.batch || !facts.long_prompts.separates()) return Length::kAny;
  const auto objective = static_cast<double>(ObjectiveOf(call));
  return LongPrompts::IsLong(OwnReading(call, facts), objective) ? Length::kLong : Length::kShort;
}

bool Picker::IsMixed(Length length, const Endpoint& endpoint, const ServiceFacts& facts) {
  if (length == Length::kAny) return false;
  return (length == Length::kLong) != facts.long_prompts.Holds(endpoint.hash());
}

Choice Picker::Pick(Micros now, const HeldCall& held, const std::vector<Endpoint*>& members,
                    const ServiceFacts& facts) {
  if (members.empty()) return {};
  bool crowded = false;
  const Length length = LengthOf(held.call, facts);
  const Endpoint* owner = OwnerOf(now, held.call, members, facts, length);
  Endpoint* best = nullptr;
  std::pair<Standing, double> best_cost;
  const auto consider = [&](Endpoint* endpoint) {
    if (!endpoint->Usable(now) || held.TurnedAwayBy(*endpoint)) return;
    if (endpoint->Running(now) + 1.0 > MostRunning(held, *endpoint)) {
      crowded = true;
      return;
    }
    const std::pair cost{StandingOf(now, held, *endpoint),
                         Cost(now, held.call, *endpoint, endpoint == owner, facts, length)};
    if (best != nullptr && cost >= best_cost) return;
    best = endpoint;
    best_cost = cost;
  };
  // Beyond the window only while nothing sound has been found.
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (i >= kWindow && best != nullptr && best_cost.first == Standing::kSound) break;
    consider(members[(cursor_ + i) % members.size()]);
  }
  if (owner != nullptr && members.size() > kWindow) {
    consider(*std::find(members.begin(), members.end(), owner));
  }
  ++cursor_;
  if (Mutated(Mutant::kNoPanic) && best_cost.first >= Standing::kSilent) return {};
  return {best, best == nullptr && crowded};
}

bool Picker::HasOther(Micros now, const HeldCall& held, const std::vector<Endpoint*>& members,
                      const Endpoint& present) {
  return std::any_of(members.begin(), members.end(), [&](const Endpoint* endpoint) {
    return endpoint != &present && endpoint->Usable(now) && !held.TurnedAwayBy(*endpoint) &&
           StandingOf(now, held, *endpoint) < Standing::kSilent &&
           endpoint->Running(now) + 1.0 <= MostRunning(held, *endpoint);
  });
}

Picker::Standing Picker::StandingOf(Micros now, const HeldCall& held, const Endpoint& endpoint) {
  if (endpoint.health().ShouldAvoid(now)) return Standing::kEjected;
  if (endpoint.Silent(now)) return Standing::kSilent;
  if (held.Tried(endpoint)) return Standing::kTried;
  return endpoint.Resting(now) ? Standing::kResting : Standing::kSound;
}

const Endpoint* Picker::OwnerOf(Micros now, const Call& call, const std::vector<Endpoint*>& members,
                                const ServiceFacts& facts, Length length) const {
  const std::optional<std::uint64_t> prefix = PrefixOf(call);
  if (!prefix || Mutated(Mutant::kIgnorePrefix)) return nullptr;
  const Endpoint* owner = nullptr;
  std::uint64_t best = 0;
  for (const Endpoint* endpoint : members) {
    const std::uint64_t score = RendezvousScore(*prefix, endpoint->hash());
    if (owner != nullptr && score < best) continue;
    if (!endpoint->Usable(now) || endpoint->health().ejected() || endpoint->Silent(now)) continue;
    if (IsMixed(length, *endpoint, facts)) continue;
    owner = endpoint;
    best = score;
  }
  if (owner == nullptr) return nullptr;
  double load = 0.0;
  const std::size_t looked_at = std::min(kWindow, members.size());
  for (std::size_t i = 0; i < looked_at; ++i) {
    const Endpoint& endpoint = *members[(cursor_ + i) % members.size()];
    load += endpoint.Running(now) / endpoint.slots();
  }
  const double mean = load / static_cast<double>(looked_at) * owner->slots();
  return owner->Running(now) <= kOwnerBound * mean + kOwnerSlack ? owner : nullptr;
}

double Picker::Cost(Micros now, const Call& call, const Endpoint& endpoint, bool owner,
                    const ServiceFacts& facts, Length length) const {
  const auto objective = static_cast<double>(ObjectiveOf(call));
  const auto to_read = static_cast<double>(ReadTokens(call, endpoint));
  const auto own_part = static_cast<double>(call.prompt_tokens - SharedTokens(call));
  const double again = std::max(0.0, to_read - own_part) * (owner ? 1.0 - kOwnerTrust : 1.0);
  const double ahead = static_cast<double>(endpoint.unread_tokens()) +
                       endpoint.OthersWaiting(now) * facts.usual_prompt;
  const double first =
      facts.first_event.Expected(ahead + std::min(to_read, own_part) + kReadAgain * again);

  const double load =
      Mutated(Mutant::kIgnoreLoad) ? 0.0 : (endpoint.Running(now) + 1.0) / endpoint.slots();
  double burden = kFullCost * Square(std::min(1.0, load)) + kWaitCost * std::max(0.0, load - 1.0);
  if (facts.kv_tokens > 0) {
    const double taken = static_cast<double>(endpoint.memory_tokens()) + call.prompt_tokens +
                         call.output_tokens + endpoint.Others(now) * facts.usual_memory;
    const double part = taken / static_cast<double>(facts.kv_tokens);
    burden += kMemoryCost * std::max(0.0, part - kMemoryPart);
  }
  if (facts.connections_share > 0 &&
      static_cast<double>(endpoint.calls()) >= std::max(1.0, facts.connections_share)) {
    burden += kConnectionCost;
  }
  if (!zone_.empty() && endpoint.info().zone != zone_) burden += kFarCost;
  if (IsMixed(length, endpoint, facts)) {
    burden += facts.long_prompts.Holds(endpoint.hash()) ? kShortCost : kMixedCost;
  }
  const double failures = (call.repeatable ? kBold : kWary) * endpoint.health().failure_rate();
  const double pace = Mutated(Mutant::kIgnorePace) ? 1.0 : endpoint.Pace(now);
  return (first + objective * burden) * pace * (1.0 + failures) *
         (1.0 + (kColdCost - 1.0) * endpoint.Coldness(now));
}

}  // namespace shelflink::policy
