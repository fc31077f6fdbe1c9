// Runs a group member over a hub, an event loop and a storage; implements Replicator for the core.
//
// It delivers messages, performs syncs, drives one timer, keeps the committed map in memory and
// runs submitted plans one at a time. All protocol decisions are made by Member.
//
// If the storage fails, the process continues from that step on as a member without a disk, and the
// messages of that step are not sent. Such a member directs its owner to the primary and confirms
// nothing to other members. The group meanwhile tries to recover the storage. When that succeeds it
// starts a new member with a new incarnation from the content of the disk, like a newly started
// process (docs/design/full-disks.md).
//
// Limits: at most kMaxQueuedPlans plans wait; further plans are rejected with kExhausted. Plans
// whose writes would fill the storage beyond kMaxDiskUsePercent are rejected before anything is
// written.
#ifndef SHELFLINK_TIER_COORDINATION_GROUP_H_
#define SHELFLINK_TIER_COORDINATION_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/coordination/disk_health.h"
#include "tier/coordination/member.h"
#include "tier/coordination/replicator.h"
#include "tier/foundation/settings.h"
#include "tier/storage/no_storage.h"
#include "tier/storage/storage.h"
#include "tier/transport/hub.h"

namespace shelflink::coordination {

constexpr std::size_t kMaxQueuedPlans = 256;
constexpr std::uint64_t kMaxDiskUsePercent = 80;

class Group : public Replicator {
 public:
  struct Options {
    Member::Options member;  // The group fills in `self` and `incarnation`.
    // A write that is not acknowledged within this time fails with kUnknown.
    Milliseconds ack_timeout{3000};
  };
  // The options for these settings. `found` is true only if `bootstrap` is set.
  static Options OptionsOf(const ProcessSettings& settings);
  // Opens the storage of a core process; null if it has no disk. If there is no disk space to open
  // the storage, it is returned in the failed state and is recovered once there is space. Other
  // errors are returned.
  static Result<std::unique_ptr<storage::Storage>> OpenStorage(net::Loop& loop,
                                                               const ProcessSettings& settings);

  // Without a storage the process is no member and only directs its owner to the primary. `random`
  // generates the identity of an empty disk and all incarnations but the first, which is the hub's.
  Group(net::Loop& loop, transport::Hub& hub, std::unique_ptr<storage::Storage> storage,
        Options options, std::function<std::uint64_t()> random);
  Group(net::Loop& loop, transport::Hub& hub, const ProcessSettings& settings,
        std::unique_ptr<storage::Storage> storage);
  ~Group() override;
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  void SetWatcher(Watcher watcher) override;
  void Submit(Plan plan, Done done) override;
  const Contents& contents() const override { return contents_; }
  bool is_primary() const override;
  std::uint64_t epoch() const override;
  std::optional<net::Address> primary() const override;
  std::vector<CoreMember> members() const override;
  std::optional<ReplicationStatus> replication_status() const override;
  void Transfer(std::function<void(bool)> done) override;

  void SetSeeds(const std::vector<net::Address>& control_seeds, const ProcessSettings& settings);
  // Whether the disk refuses writes. Until it accepts writes again, this process confirms nothing
  // to other members.
  bool failed() const { return disk_health_.status().refuses_writes; }
  const DiskStatus& disk_status() const { return disk_health_.status(); }
  const Member& member() const { return *member_; }
  // Usage of the disk; zeros without a disk.
  storage::Usage disk_usage() const { return storage_ ? storage_->usage() : storage::Usage{}; }

 private:
  struct QueuedPlan {
    Plan plan;
    Done done;
    net::Time deadline{};
  };
  struct InFlight {
    Position position;
    Ticket ticket = 0;  // Ticket of the step that stored the entry.
    Done done;
    net::Time deadline{};
  };
  using Event = std::function<void(Step&, MemberOutput&)>;

  // The storage of the current member: the disk, or a null storage if the disk has failed.
  storage::Storage& disk();
  void LoadIdentity();
  Member::Options MemberOptions();
  void StartMember();
  void RunStep(const Event& event);
  void ApplyOutput(const MemberOutput& out);
  void Send(const net::Address& to, const Message& message);
  void RequestSync(Ticket ticket);
  void OnFrame(const transport::PeerIdentity& from, std::string_view body);
  void OnTimer();
  void ArmTimer();
  // Reads the committed map from the disk and reports all of it. Returns false if the disk failed.
  bool ReloadContents();
  void ApplyEntry(const Entry& entry);
  void OnRoleChange(const MemberOutput::Role& role);
  void StartQueuedPlans();
  void RunPlan(QueuedPlan request);
  bool HasRoomFor(const std::vector<Write>& writes);
  void ExpirePlans(net::Time now);
  void PostResult(Done done, Result<void> result);
  void OnDiskFailure();
  void TryRecovery();
  void OnRecovered();
  void OnRecoveryFailed();
  // Whether the newest known record may name the disk of this process as a replica, even if the
  // disk refuses writes.
  bool MayHoldReplica() const;
  void BeginTransfer();
  void EndTransfer(bool moved);
  void LogIfStuck(net::Time now);
  void LogIfRecordChanged();
  void NotifyIfReplicasChanged();

  net::Loop& loop_;
  transport::Hub& hub_;
  std::unique_ptr<storage::Storage> storage_;  // Null: a process without a disk.
  storage::NoStorage no_storage_;
  Options options_;
  std::function<std::uint64_t()> random_;
  DiskHealth disk_health_;
  std::string identity_;          // Identity of the disk.
  bool may_bootstrap_ = false;    // No state of a member of this process is durable yet.
  std::uint64_t generation_ = 0;  // Of the current member; events of earlier members are ignored.
  std::uint64_t delivered_sequence_ = 0;  // The owner has received the map up to here.
  std::unique_ptr<Member> member_;
  net::TimerPtr timer_;
  // Set to false by the destructor; posted callbacks check it first.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Watcher watcher_;
  Contents contents_;
  std::deque<QueuedPlan> queue_;
  std::optional<InFlight> in_flight_;
  Ticket ticket_ = 0;
  Ticket synced_ticket_ = 0;
  bool in_step_ = false;  // A step or the processing of its output is in progress.
  bool reported_primary_ = false;
  std::size_t reported_replicas_ = 0;  // Responsive replicas last reported, if this is the primary.
  std::uint64_t logged_epoch_ = 0;     // Epoch of the record that was logged last.
  std::function<void(bool)> transfer_done_;
  bool transfer_started_ = false;
  net::Time transfer_since_{};
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_GROUP_H_
