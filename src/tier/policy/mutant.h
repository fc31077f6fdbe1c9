// Faults that can be compiled in, one at a time, to see that the tests find them. The program has
// none: there every question is answered no at compile time, and nothing of it is left.
#ifndef SHELFLINK_TIER_POLICY_MUTANT_H_
#define SHELFLINK_TIER_POLICY_MUTANT_H_

namespace shelflink::policy {

enum class Mutant {
  kNone,
  kLendPools,       // Every level may take all seats.
  kOneFlow,         // All tenants are dealt the same hand.
  kWaitLong,        // A call waits as long as its caller does.
  kRepeatAnything,  // What may have run is sent again.
  kRefuseFailures,  // What may have run is refused in place of failed.
  kManyAttempts,    // The limit on attempts does not hold.
  kAskAgain,        // An endpoint that turned the call away is asked again.
  kDeafToDrains,    // Draining endpoints get calls.
  kTrustSilence,    // Overdue first events are not heeded.
  kNeverEject,      // Failures are not heeded.
  kIgnorePace,      // A slow endpoint costs no more than another,
  kIgnoreLoad,      // nor does a loaded one,
  kIgnorePrefix,    // nor one that has not read the prompt's parts.
  kNoRetryBudget,   // Retries are not counted.
  kNoPanic,         // Where all endpoints are in trouble nothing is sent.
  kBatchUnbounded,  // The room told for batch heeds neither pool nor slots.
  kFillLastSlots,   // Lower levels take every slot.
  kStarveOthers,    // The last slots are the first level's alone, and batch waits for a calm.
  kSubsetStays,     // The subset never grows.
};

#ifdef SHELFLINK_POLICY_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool Mutated(Mutant mutant) { return active_mutant == mutant; }
#else
constexpr bool Mutated(Mutant) { return false; }
#endif

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_MUTANT_H_
