// Faults that can be compiled in, one at a time, to see that the tests find them. The program has
// none: there every question is answered no at compile time, and nothing of it is left.
#ifndef SHELFLINK_TIER_POLICY_MUTANT_H_
#define SHELFLINK_TIER_POLICY_MUTANT_H_

namespace shelflink::policy {

enum class Mutant {
  kNone,
  kSharedPools,             // Every level may take all seats.
  kSingleFlow,              // All tenants are dealt the same hand.
  kUnboundedWait,           // A call waits as long as its caller does.
  kRetryNonRepeatable,      // What may have run is sent again.
  kRefuseFailures,          // What may have run is refused in place of failed.
  kExtraAttempts,           // The limit on attempts does not hold.
  kRetryRejectingEndpoint,  // An endpoint that turned the call away is asked again.
  kIgnoreDraining,          // Draining endpoints get calls.
  kIgnoreSilence,           // Overdue first events are not heeded.
  kNeverEject,              // Failures are not heeded.
  kIgnoreLatencyRatio,      // A slow endpoint costs no more than another,
  kIgnoreLoad,              // nor does a loaded one,
  kIgnorePrefix,            // nor one that has not read the prompt's parts.
  kNoRetryBudget,           // Retries are not counted.
  kNoPanic,                 // Where all endpoints are in trouble nothing is sent.
  kUnboundedBatch,          // The room told for batch heeds neither pool nor slots.
  kUseReservedSlots,        // Lower levels take every slot.
  kStarveLowerLevels,  // The last slots are the first level's alone, and batch waits for a calm.
  kFixedSubset,        // The subset never grows.
};

#ifdef SHELFLINK_POLICY_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool Mutated(Mutant mutant) { return active_mutant == mutant; }
#else
constexpr bool Mutated(Mutant) { return false; }
#endif

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_MUTANT_H_
