// One process's part in owning one piece of work: pure, events with their time in, requests to the
// coordination store out. Times are of a clock that no step moves and that counts sleep.
//
// It looks whose the key is. When it is free it takes a lease and claims the key under it, and it
// owns the work while the key is its own and the lease holds by its own clock. One that has nothing
// to claim lets its lease run out: a fleet's idle candidates cost the store next to nothing. A
// request without an answer is unknown: a claim is read back, and what stands there under its name
// and its lease is its own. A late answer to a request that was given up is no answer.
#ifndef SHELFLINK_OWNERSHIP_CANDIDATE_H_
#define SHELFLINK_OWNERSHIP_CANDIDATE_H_

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "draws.h"
#include "ownership/fence.h"

namespace ownership {

using Micros = std::int64_t;
using LeaseId = std::int64_t;

struct Terms {
  std::string name;         // Unlike that of any other candidate, and of any earlier start.
  Micros ttl = 5'000'000;   // Of the lease.
  Micros margin = 500'000;  // Given up so long before the lease runs out by the own clock.
  Micros answer_within = 1'000'000;  // After that a request's fate is unknown.
  Micros spread = 500'000;           // Claims for a key that is free are drawn over this.
  Micros look_every = 0;   // At another's key, in case its end is not told; 0: half of `ttl`.
  std::uint64_t seed = 0;  // Of all that is drawn.
};

enum class Ask {
  kGrant,      // A lease.
  kKeepAlive,  // It, for its whole time again.
  kClaim,      // The key, if it is not there, under the lease.
  kRead,       // Who has the key.
  kRelease     // The key, if it still bears this fence; and the lease with it.
};

struct Request {
  std::uint64_t id = 0;
  Ask ask = Ask::kRead;
  LeaseId lease = 0;
  Fence fence = 0;
};

// Who has the key.
struct Holding {
  std::string name;
  LeaseId lease = 0;
  Fence fence = 0;
};

struct Reply {
  std::uint64_t id = 0;
  LeaseId lease = 0;                 // Of a grant; of a keepalive 0 where the lease is gone.
  std::optional<Holding> holding{};  // Of a claim, whoever won, and of a read.
};

class Candidate {
 public:
  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  explicit Candidate(Terms terms);

  void Start(Micros now);
  void OnReply(Micros now, const Reply& reply);
  void OnTimer(Micros now);
  // A watch tells that the key has changed.
  void OnChanged(Micros now);
  // Gives the work to others at once and takes none any more.
  void Leave(Micros now);

  // Whether it may act for `span` from now on; an act that takes longer is to be cut.
  bool Owns(Micros now, Micros span = 0) const;
  // Goes with every effect; of the work that it owns or owned last.
  Fence fence() const { return fence_; }

  std::vector<Request> TakeRequests() { return std::exchange(requests_, {}); }
  Micros next() const;
  // All that decides its future, as words.
  std::string Words() const;

 private:
  struct Out {
    Request request;
    Micros at = 0;
  };

  void Send(Micros now, Ask ask);
  // Whether an answer to one of these is still to come.
  bool Waits(std::initializer_list<Ask> asks) const;
  void Drop(Micros now);
  void OnHolding(Micros now, const std::optional<Holding>& holding);
  // Whether its lease is of use: it owns, or is about to claim.
  bool NeedsLease() const;
  void GiveUpLate(Micros now);
  void Proceed(Micros now);

  Terms terms_;
  gaugecart::Draws draws_;
  std::optional<LeaseId> lease_;
  Micros lease_until_ = 0;  // By the own clock, the margin taken off.
  Micros renew_at_ = kNever;
  bool mine_ = false;  // The key, under the lease.
  Fence fence_ = 0;
  Micros won_at_ = 0;
  Micros look_at_ = 0;        // Read the key next, unless it is the own.
  Micros claim_at_ = kNever;  // It was free when it was read last.
  Micros yield_until_ = 0;    // No claim before.
  int lost_ = 0;              // In a row, without meaning to.
  bool leaving_ = false;
  std::uint64_t last_id_ = 0;
  std::vector<Out> out_;
  std::vector<Request> requests_;
};

}  // namespace ownership

#endif  // SHELFLINK_OWNERSHIP_CANDIDATE_H_
