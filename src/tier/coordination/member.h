// A member of a group that replicates one map: witness and replica together, with elections, leases
// and changes of the members.
//
// Pure: events with their time in, what to send and to tell out. The owner carries messages, syncs
// the storage and calls OnTimer at deadline(). A member without a disk takes part in nothing; it
// learns who the primary is.
//
// member.cpp: start, events, messages. member_peers.cpp: who is there. member_election.cpp: getting
// a record decided. member_lease.cpp: the primary's lease. member_change.cpp: changes of membership
// and the transfer of the primary's place.
#ifndef SHELFLINK_TIER_COORDINATION_MEMBER_H_
#define SHELFLINK_TIER_COORDINATION_MEMBER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tier/coordination/member_selection.h"
#include "tier/coordination/messages.h"
#include "tier/coordination/proposer.h"
#include "tier/coordination/replica.h"
#include "tier/coordination/step.h"
#include "tier/coordination/witness.h"

namespace shelflink::coordination {

// Who sent a message.
struct Sender {
  CoreMember member;  // `disk` empty: it has none.
  std::uint64_t incarnation = 0;
};

// What a step of the member brings about, to be carried out in this order.
struct MemberOutput {
  struct Role {
    bool primary = false;
    std::uint64_t epoch = 0;
  };

  std::vector<std::pair<net::Address, Message>> messages;
  bool reset = false;  // As in ReplicaOutput.
  std::vector<Entry> committed;
  std::vector<Role> roles;          // Changes of this member's part.
  std::optional<bool> transferred;  // The transfer is over: whether another has the place.
};

class Member {
 public:
  struct Options {
    CoreMember self;
    std::uint64_t incarnation = 0;  // Drawn at the start of the member; unlike earlier ones.
    bool found = false;             // First start of the whole system, with an empty disk.
    std::vector<net::Address> seeds;
    std::size_t failures = 1;  // That must be survived at one time.
    net::Span lease = std::chrono::milliseconds(1000);
    std::uint64_t link_bytes_per_second = 0;  // See Replica::Options.
    // A member that lost the primary's place lets others campaign first for so long.
    net::Span reluctant = std::chrono::milliseconds(3000);
    std::string prefix = "core/";
    // In place of one whose disk had failed: it lets others campaign first too, since its disk may
    // fail again soon.
    bool after_failure = false;
    std::uint64_t told = 0;  // The owner knows the map up to here; it is told no older one.
  };

  Member(Options options, const storage::Storage& storage, net::Time now);

  void Start(Step& step, MemberOutput& out);
  void OnMessage(Step& step, MemberOutput& out, const Sender& from, const Message& message);
  void OnSynced(Step& step, MemberOutput& out, Ticket ticket);
  void OnTimer(Step& step, MemberOutput& out);
  net::Time deadline() const;  // When OnTimer is due.

  // As primary, while Idle(): as Replica::Propose.
  Result<Position> Propose(Step& step, MemberOutput& out, std::vector<Write> writes);
  // Prepares the end of this process: hands the primary's place to another and waits until the
  // record names enough others as replicas; `transferred` tells. It stays a member meanwhile. False
  // where nobody can take the place; may be tried again.
  void Transfer(Step& step, MemberOutput& out);

  void SetSeeds(std::vector<net::Address> seeds) { options_.seeds = std::move(seeds); }
  // No primary has been heard of for so long.
  bool IsStuck(net::Time now, net::Span longest) const {
    return !acting_ && now - heard_primary_at_ > longest;
  }

  // The primary, with a lease at this moment.
  bool HasLease(net::Time now) const;
  // Has told its owner that it is the primary, of this epoch.
  bool primary() const { return told_role_.primary; }
  // The map may be judged: no entry, also none that its client has been told unknown, is still to
  // be committed.
  bool Serving(net::Time now) const {
    return told_role_.primary && !transferring_ && HasLease(now) && replica_.tail_entries() == 0;
  }
  std::uint64_t epoch() const { return told_role_.epoch; }
  const Record& record() const { return witness_.record(); }
  const Replica& replica() const { return replica_; }
  std::optional<net::Address> primary_address() const;
  // As the primary: how the members of the record stand, and the copies under way.
  ReplicationStatus replication_status(net::Time now) const;
  std::size_t responsive_replicas(net::Time now) const;

  const Options& options() const { return options_; }

  void Fingerprint(cbor::Writer& out, net::Time now) const;

 private:
  struct Peer {
    CoreMember member;
    std::uint64_t incarnation = 0;
    std::optional<net::Time> heard_at;
    std::string former_disk;  // That was at this address before, and when it was last heard of.
    std::optional<net::Time> former_heard_at;
    std::optional<net::Time> lease_until;  // Its promise to this primary.
    bool refuses = false;                  // Its newest answer to a renewal.
    bool fresh = false;
    std::optional<net::Time> leaves_until;  // It has said so; forgotten if it stays after all.
  };
  struct Proposal {
    Proposer proposer;
    std::optional<Record> planned;  // None: an election, the value is chosen when prepared.
    net::Time ends_at{};
    net::Time resend_at{};
    std::optional<net::Time> choose_at = std::nullopt;
  };
  struct Held {
    Ticket ticket = 0;
    net::Address to;
    Message message;
  };

  // Others that are no members are no longer written to after so long a silence.
  static constexpr int kForgetAfterLeases = 5;

  bool has_disk() const { return !options_.self.disk.empty(); }
  bool IsSelf(const std::string& disk) const { return has_disk() && disk == options_.self.disk; }
  net::Span renew_every() const { return options_.lease / 3; }
  net::Span silent_after() const { return options_.lease * 11 / 20; }
  std::size_t least_replicas() const { return options_.failures + 1; }
  std::size_t most_replicas() const { return 2 * options_.failures + 1; }
  net::Span Jitter(net::Span most);

  // Messages to itself are handled in place.
  void Send(MemberOutput& out, const net::Address& to, Message message);
  void Finish(Step& step, MemberOutput& out);
  void Dispatch(Step& step, MemberOutput& out, const Sender& from, const Message& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const Prepare& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const PrepareReply& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const Accept& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const AcceptReply& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const Decided& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const Renew& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const RenewReply& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const Hello& message);
  void On(Step& step, MemberOutput& out, const Sender& from, const Leave& message);
  // Sends once all that is stored is synced.
  void SendDurable(Step& step, MemberOutput& out, const net::Address& to, Message message);
  void Take(MemberOutput& out, ReplicaOutput replica_out);

  Peer& PeerOf(const CoreMember& member);
  const Peer* FindPeer(const std::string& disk) const;
  bool Heard(const Peer& peer, net::Time now, net::Span within) const;
  bool IsThere(const std::string& disk, net::Time now) const;
  // Another disk has been heard of at its address.
  bool IsReplaced(const CoreMember& member) const;
  bool Leaves(const std::string& disk, net::Time now) const;
  MemberStatus StandingOf(const CoreMember& member, net::Time now) const;
  // Disks heard of lately that do not leave, this member first.
  std::vector<CoreMember> There(net::Time now, net::Span within) const;

  // Elections.
  bool MayCampaign() const;
  void AwaitPrimary(net::Time now);
  std::size_t Rank() const;
  std::optional<Record> ElectionRecord(net::Time now) const;
  std::optional<Record> FoundingRecord(net::Time now) const;
  void StartProposal(Step& step, MemberOutput& out, std::optional<Record> planned);
  void SendProposal(Step& step, MemberOutput& out);
  void AdvanceProposal(Step& step, MemberOutput& out);
  void ProposeValue(Step& step, MemberOutput& out);
  void GiveUp(const Step& step);
  bool Adopt(Step& step, MemberOutput& out, const Record& record);
  void Announce(MemberOutput& out, const Record& before, const Record& record);

  // As primary.
  net::Time LeaseUntil() const;
  net::Time LeaseUntil(const std::vector<CoreMember>& witnesses) const;
  void SendRenewals(Step& step, MemberOutput& out);
  void Review(Step& step, MemberOutput& out);
  std::optional<Record> Improved(net::Time now) const;
  bool IsInvited(const CoreMember& member, net::Time now) const;
  bool DiskStalls(net::Time now) const;
  bool HearsQuorum(net::Time now) const;
  void UpdateRole(net::Time now, MemberOutput& out);
  void SayHello(MemberOutput& out, bool answer);
  void TryTransfer(Step& step, MemberOutput& out);
  void AskForRelease(const Step& step, MemberOutput& out);
  std::optional<Record> TransferRecord(net::Time now) const;
  bool Owes(const std::string& disk, net::Time now) const;
  std::vector<CoreMember> Joining(net::Time now) const;
  void PutLikeliestFirst(std::vector<CoreMember>& replicas, net::Time now) const;
  std::size_t CountOthersWhole(net::Time now) const;
  std::optional<net::Address> AddressOf(const std::string& disk) const;
  // When the next replica will have been silent, or owing an acknowledgement, for too long.
  std::optional<net::Time> NextSilence() const;
  std::set<net::Address> OthersKnown() const;

  Options options_;
  Witness witness_;
  Replica replica_;
  std::map<std::string, Peer> peers_;  // By address.
  std::deque<Held> held_;
  std::deque<Message> to_self_;
  Ticket last_wanted_ = 0;
  Ticket last_synced_ = 0;
  net::Time unsynced_since_{};
  std::uint64_t random_ = 0;
  std::uint64_t round_ = 0;

  net::Time heard_primary_at_{};
  net::Time election_at_{};
  net::Time hello_at_{};
  std::optional<net::Time> place_lost_at_;
  std::optional<Proposal> proposal_;

  bool acting_ = false;  // Primary of the newest record known, by this incarnation.
  bool relinquished_ = false;
  std::vector<Record> offered_;  // Values proposed for the next record; any may be decided.
  net::Time renew_at_{};
  std::optional<net::Time> review_at_;
  net::Time reviewed_at_{};
  bool renewals_paused_ = false;  // Nobody answers: others must be free to elect.
  net::Time judge_from_{};        // Silence before this is not held against others.
  bool transferring_ = false;
  net::Time transfer_until_{};
  bool leaving_ = false;  // Not the primary, and ends once no record names it as a replica.
  net::Time ask_for_release_at_{};
  MemberOutput::Role told_role_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_MEMBER_H_
