// Runs a member of a group over a hub, a loop and a storage: the core's Replicator.
//
// It carries messages, syncs and one timer, folds the committed map into memory and plays the plans
// of Submit one at a time. All decisions are the Member's.
//
// Where the storage fails it is a member without a disk from that step on, whose messages are not
// sent: it forwards its owner to the primary and vouches for nothing. It tries to recover the
// storage meanwhile, and starts a member of another incarnation from what the disk holds then, as a
// started process does (docs/design/full-disks.md).
//
// Limits: kMaxQueuedPlans plans wait; one more is refused (kExhausted). Writes that would fill the
// storage beyond kMaxDiskUsePercent are refused before anything happens.
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
    Member::Options member;       // `self` and `incarnation` are filled in by the group.
    Milliseconds patience{3000};  // So long a write waits for its acknowledgement: then kUnknown.
  };
  // What the settings say; `found` is true only where `bootstrap` is.
  static Options OptionsOf(const ProcessSettings& settings);
  // The storage of a core process; null without a disk. One that has no room to be opened has
  // failed and is recovered once there is room; other errors are returned.
  static Result<std::unique_ptr<storage::Storage>> OpenStorage(net::Loop& loop,
                                                               const ProcessSettings& settings);

  // Without a storage it is no member and forwards its owner to the primary. `random` draws the
  // identity of an empty disk and the incarnations after the first, which is the hub's.
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
  // The disk refuses: this process vouches for nothing until it takes writes again.
  bool failed() const { return disk_health_.status().refuses; }
  const DiskStatus& disk_status() const { return disk_health_.status(); }
  const Member& member() const { return *member_; }
  // Of the disk; zeros without one.
  storage::Usage disk_usage() const { return storage_ ? storage_->usage() : storage::Usage{}; }

 private:
  struct Request {
    Plan plan;
    Done done;
    net::Time until{};
  };
  struct InFlight {
    Position position;
    Ticket ticket = 0;  // Of the step that stored it.
    Done done;
    net::Time until{};
  };
  using Event = std::function<void(Step&, MemberOutput&)>;

  // What the present member stores on.
  storage::Storage& disk();
  void TakeIdentity();
  Member::Options MemberOptions();
  void StartMember();
  void Run(const Event& event);
  void Carry(const MemberOutput& out);
  void Send(const net::Address& to, const Message& message);
  void SyncFor(Ticket ticket);
  void OnBody(const transport::PeerIdentity& from, std::string_view body);
  void OnTimer();
  void Arm();
  // False: the disk has failed.
  bool Reload();
  void Take(const Entry& entry);
  void ToldRole(const MemberOutput::Role& role);
  void Pump();
  void Start(Request request);
  bool HasRoomFor(const std::vector<Write>& writes);
  void Expire(net::Time now);
  void AnswerLater(Done done, Result<void> result);
  void OnDiskFailure();
  void TryRecovery();
  void OnRecovered();
  void OnRecoveryFailed();
  // Whether the newest record that is known may name the disk of this process, also while it
  // refuses.
  bool MayHoldReplica() const;
  void BeginTransfer();
  void EndTransfer(bool moved);
  void SayIfStuck(net::Time now);
  void SayIfRecordChanged();
  void TellIfCopiesChanged();

  net::Loop& loop_;
  transport::Hub& hub_;
  std::unique_ptr<storage::Storage> storage_;  // None: a process without a disk.
  storage::NoStorage no_storage_;
  Options options_;
  std::function<std::uint64_t()> random_;
  DiskHealth disk_health_;
  std::string identity_;    // Of the disk.
  bool may_found_ = false;  // Nothing that a member of this process stored is durable yet.
  std::uint64_t life_ = 0;  // Of the present member; what belonged to earlier ones is void.
  std::uint64_t told_sequence_ = 0;  // The owner knows the map up to here.
  std::unique_ptr<Member> member_;
  net::TimerPtr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Watcher watcher_;
  Contents contents_;
  std::deque<Request> waiting_;
  std::optional<InFlight> in_flight_;
  Ticket ticket_ = 0;
  Ticket synced_ticket_ = 0;
  bool running_ = false;  // Inside a step and what it brings about.
  bool told_primary_ = false;
  std::size_t told_there_ = 0;     // Replicas; as primary.
  std::uint64_t record_told_ = 0;  // Number of the record that the log has told last.
  std::function<void(bool)> transferred_;
  bool transfer_begun_ = false;
  net::Time transfer_from_{};
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_GROUP_H_
