// A witness: remembers epoch records and nothing else, and helps to decide the next one.
//
// Pure. It changes its storage through the step and tells what to answer; the answer may leave only
// after the sync that the step asks for. It must never vote on a record whose predecessor does not
// name its disk, never take back a vote, and never help a rival of the primary whose lease it
// granted while that lease runs.
#ifndef SHELFLINK_TIER_COORDINATION_WITNESS_H_
#define SHELFLINK_TIER_COORDINATION_WITNESS_H_

#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/coordination/messages.h"
#include "tier/coordination/record.h"
#include "tier/coordination/step.h"

namespace shelflink::coordination {

class Witness {
 public:
  struct Options {
    CoreMember self;
    net::Span lease{};
  };

  // Reads what the disk remembers. A started witness cannot know which leases it granted before: it
  // acts as if it had granted one at `now` to the primary of the newest record it knows.
  Witness(Options options, const storage::Storage& storage, net::Time now);

  // Whether a witness has stored anything there: it never removes its state.
  static bool HasStored(const storage::Storage& storage);

  // First start of the whole system: record 0 with the seeds as witnesses.
  void Bootstrap(Step& step, std::vector<CoreMember> seeds);

  const Record& record() const { return state_.record; }  // The newest decided one known.
  bool is_founder() const { return state_.founder; }
  // Takes a decided record; false if it is not newer.
  bool Learn(Step& step, const Record& decided);

  // Answers are for the proposer. `base` of the request is decided; the owner has learnt it.
  PrepareReply OnPrepare(Step& step, const Prepare& request);
  AcceptReply OnAccept(Step& step, const Accept& request);

  // A lease for the primary of the newest record, from now on.
  bool GrantLease(net::Time now, const std::string& primary, std::uint64_t number);
  net::Time lease_until() const { return lease_until_; }

  void Fingerprint(cbor::Writer& out, net::Time now) const;

 private:
  struct State {
    Record record;
    Ballot promised;  // For record.number + 1, as is what follows.
    Ballot accepted;
    std::optional<Record> value;
    bool founder = false;
  };

  void Store(Step& step);
  void Load(const storage::Storage& storage);
  bool MayVote() const;
  // Whether this witness may promise or accept: it knows that record, no lease forbids it and no
  // higher ballot has its promise. Where not, the reply tells which of the last two it was.
  template <typename Request, typename Reply>
  bool MayAgree(net::Time now, const Request& request, Reply& reply) const;
  // Left of a lease that forbids to help this proposer.
  net::Span BlockingLease(net::Time now, const Ballot& ballot) const;

  Options options_;
  State state_;
  net::Time lease_until_{};
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_WITNESS_H_
