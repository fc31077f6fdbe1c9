// Faults that the mutation test compiles into the decision module and activates one at a time, to
// check that the scenarios detect them. In the program Mutated() is false at compile time, so no
// fault code remains.
#ifndef SHELFLINK_TIER_POLICY_MUTANT_H_
#define SHELFLINK_TIER_POLICY_MUTANT_H_

namespace shelflink::policy {

enum class Mutant {
  kNone,
  kSharedPools,             // Every level may use the whole concurrency limit.
  kSingleFlow,              // All tenants share the same queues.
  kUnboundedWait,           // A call stays queued until its deadline.
  kRetryNonRepeatable,      // A non-repeatable call that may have run is sent again.
  kRefuseFailures,          // A call that may have run is refused instead of failed.
  kExtraAttempts,           // Up to nine attempts, whatever max_attempts is.
  kRetryRejectingEndpoint,  // A call is retried at an endpoint that rejected it.
  kIgnoreDraining,          // Draining endpoints receive calls.
  kIgnoreSilence,           // Overdue first events do not mark an endpoint unresponsive.
  kNeverEject,              // Failures do not eject an endpoint.
  kIgnoreLatencyRatio,      // A slow endpoint costs no more than a fast one.
  kIgnoreLoad,              // A loaded endpoint costs no more than an idle one.
  kIgnorePrefix,            // Cached prompt parts are ignored.
  kNoRetryBudget,           // The retry budget is not enforced.
  kNoPanic,                 // With only unresponsive or ejected endpoints left, nothing is sent.
  kUnboundedBatch,          // The room reported for batch ignores limits and slots.
  kUseReservedSlots,        // Lower levels may use every slot.
  kStarveLowerLevels,       // Only level 0 may use reserved slots; batch stops under load.
  kFixedSubset,             // The subset never grows.
};

#ifdef SHELFLINK_POLICY_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool Mutated(Mutant mutant) { return active_mutant == mutant; }
#else
constexpr bool Mutated(Mutant) { return false; }
#endif

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_MUTANT_H_
