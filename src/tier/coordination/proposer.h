// The proposer of single-decree Paxos: gets one record decided by the witnesses of its predecessor.
//
// Pure and without timeouts: the owner resends the requests and decides when to give up. A proposed
// value may still be decided long after that.
//
// A witness whose disk is lost can never reply. If its machine replies to this ballot with another
// disk, which can only be a later one, the ballot does without the lost witness (see IsQuorum).
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
    kPrepared,  // A quorum has promised: a value may be proposed.
    kAccepting,
    kDecided,
    kRefused,  // So many witnesses refused that no majority can agree to this ballot.
  };

  Proposer(Record base, Ballot ballot) : base_(std::move(base)), ballot_(std::move(ballot)) {}

  Phase phase() const { return phase_; }
  const Record& base() const { return base_; }
  const Ballot& ballot() const { return ballot_; }
  Prepare MakePrepare() const { return {base_, ballot_}; }
  Accept MakeAccept() const { return {base_, ballot_, value_}; }
  // The highest ballot and the longest remaining lease that caused a refusal.
  const Ballot& blocking() const { return blocking_; }
  std::uint64_t lease_remaining_ms() const { return lease_remaining_ms_; }

  void OnReply(const CoreMember& from, const PrepareReply& reply);
  void OnReply(const CoreMember& from, const AcceptReply& reply);
  // The value of an earlier proposal that may have been decided already. It is proposed again.
  const std::optional<Record>& earlier_value() const { return earlier_value_; }
  // In phase kPrepared: proposes `own` unless there is an earlier value.
  void Propose(const Record& own);
  const Record& value() const { return value_; }  // Valid from phase kAccepting on.
  bool HasReplied(const CoreMember& witness) const { return replied_.count(Key(witness)) > 0; }

  // Writes the state for tests, which use it to recognize equal states.
  void Fingerprint(cbor::Writer& out) const;

 private:
  // Witnesses of record 0 are identified by address, those of later records by disk.
  std::string Key(const CoreMember& member) const {
    return base_.epoch == 0 ? member.address.Text() : member.disk;
  }
  bool HasQuorum() const { return IsQuorum(base_, agreed_, replaced_disks_.size()); }
  // Counts a reply. Returns false if `from` is no witness or has already replied in this phase.
  bool CountReply(const CoreMember& from, bool agreed, const Ballot& blocking,
                  std::uint64_t lease_remaining_ms);

  Record base_;
  Ballot ballot_;
  Phase phase_ = Phase::kPreparing;
  std::set<std::string> replied_;         // Keys of the witnesses that replied in this phase.
  std::set<std::string> replaced_disks_;  // Witness disks whose machine replied with another disk.
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
