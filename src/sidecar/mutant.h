// Faults that can be compiled in, one at a time, to see that the seeded runs find them. The program
// has none: there every question is answered no at compile time, and nothing of it is left.
#ifndef KELPSPRING_MUTANT_H_
#define KELPSPRING_MUTANT_H_

namespace kelpspring {

enum class Mutant {
  kNone,
  kDropAnswer,      // The connection is closed in place of an answer.
  kNoFailure,       // A failure is not told to the client.
  kAnswerTwice,     //
  kForgeBody,       // An answer is changed on its way.
  kCallItUnsent,    // A break after the request was out passes for one before.
  kRefuseFailures,  // What may have run is refused in place of failed.
  kManyAttempts,    // The limit on attempts does not hold.
  kDeafToDrains,    // The list's word on drains is not heard.
  kCrowdNewborn,    // What is meant for any node goes to the one that was born last.
  kWrongId,         // Requests go on under another id.
  kNoBudget,        // Descriptors are not counted.
  kLeakRequest,     // A request that is over is not forgotten.
  kLeakSocket,      // A closed connection goes on counting.
  kAcceptNoMore,    // The first accept that fails is the last.
  kBusyLoop,        // A timer that is set to now, again and again.
  kCloseFresh,      // As before seed 447: a fresh connection makes room at once,
  kHoldAll,         // all places may be held,
  kAttemptsFirst,   // and attempts take freed places ahead of clients.
  kServeLeft,       // A client that has left is served on.
  kAskInStep,       // A fresh process asks discovery at once, as all that start with it do.
  kTrustOldList,    // Once it has a list it takes no other.
  kIgnoreAge,       // What is remembered is used however old it is,
  kOverwrite,       // and replaced at the start by what is known then.
  kHearAnyAge,      // A peer's list is taken however old it is,
  kCallItFresh,     // and called as new as can be when it is passed on.
  kActLate,         // An owner acts on though its lease may be over.
  kObeyLate,        // A call is obeyed whoever owns the work by then,
  kNoSlots,         // and however many are out.
};

#ifdef KELPSPRING_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool Mutated(Mutant mutant) { return active_mutant == mutant; }
#else
constexpr bool Mutated(Mutant) { return false; }
#endif

}  // namespace kelpspring

#endif  // KELPSPRING_MUTANT_H_
