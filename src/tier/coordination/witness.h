// A witness: the Paxos acceptor for epoch records. It stores only the records and its votes.
//
// Pure. It changes its storage through the step and returns the reply to send, which may leave only
// after the sync that the step requests. It must never vote on a record whose predecessor does not
// name its disk, never take back a vote, and never support the ballot of another proposer while a
// lease that it granted to the primary is valid.
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

  // Reads the stored state. After a restart the witness cannot know which leases it granted before,
  // so it acts as if it had granted one at `now` to the primary of the newest record it knows.
  Witness(Options options, const storage::Storage& storage, net::Time now);

  // Whether a witness has ever stored its state in `storage`. The state is never removed.
  static bool HasStored(const storage::Storage& storage);

  // First start of the whole system: stores record 0 with the seeds as witnesses.
  void Bootstrap(Step& step, std::vector<CoreMember> seeds);

  const Record& record() const { return state_.record; }  // The newest decided record known.
  bool is_founder() const { return state_.founder; }
  // Stores a decided record. Returns false if it is not newer than the known one.
  bool Learn(Step& step, const Record& decided);

  // Return the reply to the proposer. The owner has already called Learn with the request's `base`.
  PrepareReply OnPrepare(Step& step, const Prepare& request);
  AcceptReply OnAccept(Step& step, const Accept& request);

  // Grants the primary of the newest record a lease that starts at `now`. Returns false if `epoch`
  // is not that of the newest record, if `primary` is not its primary, or if this witness has
  // already voted for another primary.
  bool GrantLease(net::Time now, const std::string& primary, std::uint64_t epoch);
  net::Time lease_until() const { return lease_until_; }

  // Writes the state for tests, which use it to recognize equal states.
  void Fingerprint(cbor::Writer& out, net::Time now) const;

 private:
  struct State {
    Record record;
    Ballot promised;  // This and the fields below are for record.epoch + 1.
    Ballot accepted;
    std::optional<Record> value;
    bool founder = false;
  };

  void SaveState(Step& step);
  void LoadState(const storage::Storage& storage);
  bool MayVote() const;
  // Whether this witness may promise or accept: `base` is its newest record, no lease prevents it
  // and it has promised no higher ballot. If a lease or a ballot prevents it, the reply says which.
  template <typename Request, typename Reply>
  bool MayAgree(net::Time now, const Request& request, Reply& reply) const;
  // Remaining time of a granted lease that prevents voting for this proposer.
  net::Span BlockingLease(net::Time now, const Ballot& ballot) const;

  Options options_;
  State state_;
  net::Time lease_until_{};
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_WITNESS_H_
