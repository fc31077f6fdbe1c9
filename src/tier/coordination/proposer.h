// Gets one record decided by the witnesses of its predecessor: the proposer of single-decree Paxos.
//
// Pure, and without time: its owner repeats the requests and gives up when it likes. What was asked
// to be accepted may come to be decided long after.
//
// A witness whose disk is lost can never answer. Where its machine answers this very ballot with
// another disk, which can only have come after it, the ballot does without it (see IsQuorum).
#ifndef SHELFLINK_TIER_COORDINATION_PROPOSER_H_
#define SHELFLINK_TIER_COORDINATION_PROPOSER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "tier/coordination/messages.h"
#include "tier/coordination/record.h"

namespace shelflink::coordination {

class Proposer {
 public:
  enum class Phase {
    kPreparing,
    kPrepared,  // A majority promised: a value may be proposed.
    kAccepting,
    kDecided,
    kRefused,  // A majority is out of reach for this ballot.
  };

  Proposer(Record base, Ballot ballot) : base_(std::move(base)), ballot_(std::move(ballot)) {}

  Phase phase() const { return phase_; }
  const Record& base() const { return base_; }
  const Ballot& ballot() const { return ballot_; }
  Prepare MakePrepare() const { return {base_, ballot_}; }
  Accept MakeAccept() const { return {base_, ballot_, value_}; }
  // The highest ballot and the longest rest of a lease that stood in the way.
  const Ballot& blocking() const { return blocking_; }
  std::uint64_t lease_remaining_ms() const { return lease_remaining_ms_; }

  void OnReply(const CoreMember& from, const PrepareReply& reply);
  void OnReply(const CoreMember& from, const AcceptReply& reply);
  // Whether an earlier proposal may have been decided already: it is taken over.
  const std::optional<Record>& earlier_value() const { return earlier_value_; }
  // In phase kPrepared: `own` is proposed unless another value was found.
  void Propose(const Record& own);
  const Record& value() const { return value_; }  // From phase kAccepting on.
  bool HasReplied(const CoreMember& witness) const { return replied_.count(Key(witness)) > 0; }

  void Fingerprint(cbor::Writer& out) const;

 private:
  // Witnesses of record 0 are known by address, later ones by disk.
  std::string Key(const CoreMember& member) const {
    return base_.number == 0 ? member.address.Text() : member.disk;
  }
  bool HasQuorum() const { return IsQuorum(base_, agreed_, replaced_disks_.size()); }
  // Returns whether the answer is the first of this witness in this phase.
  bool CountReply(const CoreMember& from, bool yes, const Ballot& blocking,
                  std::uint64_t lease_remaining_ms);

  Record base_;
  Ballot ballot_;
  Phase phase_ = Phase::kPreparing;
  std::set<std::string> replied_;  // In this phase.
  std::set<std::string>
      replaced_disks_;  // Disks of witnesses from whose machine another one answered.
  std::size_t agreed_ = 0;
  std::size_t refused_ = 0;
  Ballot blocking_;
  std::uint64_t lease_remaining_ms_ = 0;
  Ballot earlier_ballot_;
  std::optional<Record> earlier_value_;
  Record value_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_PROPOSER_H_
