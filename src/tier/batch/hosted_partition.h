// One partition's replica on this store, and its log where this store is the primary.
#ifndef SHELFLINK_TIER_BATCH_HOSTED_PARTITION_H_
#define SHELFLINK_TIER_BATCH_HOSTED_PARTITION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/batch/partition_log.h"
#include "tier/batch/replica_frame.h"
#include "tier/cluster/view.h"
#include "tier/coordination/replica.h"
#include "tier/storage/storage.h"

namespace shelflink::batch {

// What the host provides to each of its partitions.
struct PartitionSurroundings {
  net::Loop& loop;
  storage::Storage& storage;
  std::string disk;
  std::size_t least_replicas = 2;
  std::function<net::Time()> lease_until;
  std::function<bool()> has_room;       // On this disk, for new jobs.
  std::function<bool()> takes_results;  // The same, for results of what was accepted.
  std::function<coordination::Ticket()> next_ticket;
  std::function<void(const net::Address& to, ReplicaFrame frame)> send;
  std::function<void()> role_changed;  // `acting` or `leading` is another; look again, later.
};

// Whether the row gives that disk a part, as primary or as backup.
bool Names(const cluster::PartitionRow& row, const std::string& disk);

// What came of a frame: taken, or why it was dropped.
enum class FrameUse : std::uint8_t {
  kTaken,
  kOlderEpoch,  // Of a row or a primary that is over.
  kUnnamed,     // The row does not name its disk, or not this one.
};

class HostedPartition : public PartitionLog {
 public:
  HostedPartition(PartitionSurroundings& around, std::uint32_t partition);
  ~HostedPartition() override;
  HostedPartition(const HostedPartition&) = delete;
  HostedPartition& operator=(const HostedPartition&) = delete;

  // Of all keys of a partition in the storage.
  static std::string PrefixOf(std::uint32_t partition);

  // A row that names this disk. `life`: of this disk's process.
  void TakeRow(const cluster::PartitionRow& row, std::uint64_t life);
  // A newer row does not name this disk: nothing more is vouched for.
  void LeaveRow(std::uint64_t epoch);
  // `bytes`: its size on the wire.
  FrameUse OnFrame(const ReplicaFrame& frame, std::size_t bytes);
  // About every resend pause. Of the row's other disks: who stalls, who became complete.
  void OnTimer();
  std::vector<std::string> Stalled(net::Span patience) const;
  // Copies to joiners, where this store is the primary.
  std::vector<coordination::LearnerProgress> Learners() const;
  // Joiners that have everything. From now on nothing is committed without them.
  std::vector<std::string> RequireJoined();
  void CatchUp();
  // As a joiner: everything has come, as far as is known here.
  bool caught_up() const { return asked_to_catch_up_ && replica_.caught_up(); }

  // This process is the primary and everything earlier is in force.
  bool leading() const { return replica_.Serving() && named_; }
  // Something is under way that OnTimer must drive.
  bool busy() const;
  // An incomplete backup, whatever it had in earlier rows.
  bool learning() const { return named_ && !complete_in_row_; }
  bool named() const { return named_; }
  bool acting() const { return replica_.acting(); }
  // Counts how often this process began to act as the primary: what was known in an earlier term
  // may be void, for another may have acted in between.
  std::uint64_t term() const { return term_; }
  std::size_t complete_copies() const;
  std::uint64_t row_epoch() const { return row_.epoch; }
  // When a row left this disk out; only if not named.
  net::Time left_at() const { return left_at_; }
  // Removes a part of what is stored of the partition, of which no row names this disk; whether
  // that was all: destroy it then.
  bool EraseMore();

  // PartitionLog
  bool serving() const override;
  bool has_room() const override;
  bool takes_results() const override;
  std::uint64_t epoch() const override { return row_.epoch; }
  void Commit(std::vector<coordination::Write> writes, Done done) override;
  std::optional<std::string> Get(std::string_view key) const override;
  void Scan(std::string_view prefix, const Visitor& visitor) const override;

 private:
  using Event = std::function<void(coordination::Step&, coordination::ReplicaOutput&)>;

  void Run(const Event& event);
  void Carry(coordination::ReplicaOutput& out);
  void SendTo(const std::string& disk, std::optional<coordination::ReplicaMessage> message);
  void TakeMembers(const cluster::PartitionRow& row);
  // Tells the others, and who was primary before, which epoch this primary acts in.
  void Announce(const std::string& primary_before);
  bool IsStartedEmpty() const;
  void Act();
  void AssignEpoch(std::uint64_t epoch, bool acting);
  void TakeEarlyFrames();
  // Of what is stored of the partition; about so many bytes. Whether that was all.
  bool EraseUpTo(std::size_t bytes);
  void NoteRoom(const ReplicaFrame& frame);
  void AskFullDisks();
  void FailCommits();
  void NoteEpoch(std::uint64_t row_epoch);

  PartitionSurroundings& around_;
  std::uint32_t partition_;
  coordination::Replica replica_;
  cluster::PartitionRow row_;
  bool named_ = false;
  bool complete_in_row_ = false;
  std::uint64_t newest_epoch_ = 0;                 // Of any row of the partition that was heard of.
  std::map<std::string, net::Address> addresses_;  // By disk.
  // Of rows that this store has yet to be told, with their sizes; a few, see kMostEarlyBytes.
  std::vector<std::pair<ReplicaFrame, std::size_t>> early_;
  std::size_t early_bytes_ = 0;
  std::tuple<bool, bool, std::uint64_t> told_role_;  // Acting, leading, the term.
  // The other replicas whose disks take no new jobs, and whether they take results; as told last.
  std::map<std::string, bool> full_disks_;
  net::Time asked_full_disks_{};
  std::deque<std::pair<coordination::Position, Done>> commits_;
  net::Time active_at_{};
  net::Time left_at_{};
  bool asked_to_catch_up_ = false;     // In this epoch.
  std::optional<net::Time> act_from_;  // A row with a joiner: acts from then on, see TakeRow.
  std::uint64_t life_ = 0;
  std::uint64_t term_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_HOSTED_PARTITION_H_
