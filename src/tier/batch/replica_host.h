// The copies of partitions on this store's disk, each a replica of coordination/replica.h, with the
// rows of the core's placement as their assignments.
//
// Epochs. A replica wants one process to be primary of an epoch, once. A row's epoch changes with
// the row, not with the primary's process, so a replica's epoch is (epoch of the row, life of the
// primary's disk): the life is counted up and synced at each start of a process on a disk, before
// the process acts. The others of the row learn the life from the primary's messages.
//
// Members. The row's primary and its complete backups are the replicas: they must all have synced a
// write before it is told committed. An incomplete backup is a learner: it catches up by range
// digests; once it has everything the primary commits nothing without it any more, and tells the
// core, which names it complete in the next row.
//
// A row that names this disk as complete where nothing of the partition is stored is the founding
// one: an identity is drawn on an empty disk and goes with it, so a disk that was complete before
// still has the partition.
#ifndef SHELFLINK_TIER_BATCH_REPLICA_HOST_H_
#define SHELFLINK_TIER_BATCH_REPLICA_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/batch/hosted_partition.h"
#include "tier/batch/messages.h"
#include "tier/batch/partition_replicas.h"
#include "tier/cluster/messages.h"
#include "tier/foundation/drop_counter.h"
#include "tier/storage/storage.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

class ReplicaHost : public PartitionReplicas {
 public:
  struct Options {
    std::string disk;                // Identity of this store's disk.
    std::size_t least_replicas = 2;  // Fault tolerance + 1.
    // A backup has stalled that owes an acknowledgement and is silent for so long, or owes one for
    // `longest_owed` though it speaks: large writes may take a while.
    milliseconds patience{400};
    milliseconds longest_owed{2000};
    std::size_t most_catching_up = 16;  // Partitions at a time, the most exposed ones first.
  };
  struct Outside {
    // Of this process at the core, under the newest placement that the core told.
    std::function<net::Time()> lease_until;
    std::function<void(const cluster::BackupReport&)> report;
    // What the results of accepted items may still need of this disk; empty: nothing.
    std::function<std::uint64_t()> reserved_bytes = nullptr;
  };

  // Counts a new life of the disk; nothing is acted upon before that is synced.
  ReplicaHost(net::Loop& loop, transport::Hub& hub, storage::Storage& storage, Options options,
              Outside outside);
  ~ReplicaHost() override;
  ReplicaHost(const ReplicaHost&) = delete;
  ReplicaHost& operator=(const ReplicaHost&) = delete;

  void SetEvents(Events events) override { events_ = std::move(events); }
  void OnPlacement(const cluster::Placement& placement) override;
  void LeadAnew(std::uint32_t partition) override;
  // Of partitions whose primary is here, the copies to their joiners.
  std::vector<cluster::CopyUnderWay> copying() const;
  // Copies on this disk, by the part that they have; see cluster::StoreFigures.
  struct Copies {
    std::uint64_t primaries = 0;
    std::uint64_t backups = 0;
    std::uint64_t incomplete = 0;
    std::uint64_t left = 0;
  };
  Copies copies() const;
  // Frames of other stores, by cause: "malformed", "older_epoch", "unnamed_disk", "not_hosted",
  // "no_room" (parts of copies).
  const DropCounter::Counts& dropped() const { return dropped_; }

 private:
  void CountLife();
  void TakePlacement();
  void TakeRow(std::uint32_t partition, const cluster::PartitionRow& row);
  bool IsStored(std::uint32_t partition) const;
  void OnFrame(const transport::PeerIdentity& from, std::string_view body);
  void CountUse(FrameUse use, const ReplicaFrame& frame, const transport::PeerIdentity& from);

  void LookLater();
  void Look();
  void Lost(std::uint32_t partition);

  void ArmTimer();
  void OnTimer();
  void ReportJoined(std::uint32_t partition, HostedPartition& hosted);
  void ReportStalled();
  bool Silent(const std::string& disk) const;
  void Report(const cluster::BackupReport& report);
  void LearnLater();
  void ChooseLearners();
  void DropUnnamed();
  // Whether this disk takes new jobs; the rest is kept for results of what has been accepted.
  bool HasRoom() const;
  // Whether more than that share of the disk is free.
  bool IsBelow(double share) const;

  net::Loop& loop_;
  transport::Hub& hub_;
  storage::Storage& storage_;
  Options options_;
  Outside outside_;
  Events events_;
  DropCounter::Counts dropped_;
  DropCounter drops_;
  std::unique_ptr<PartitionSurroundings> around_;
  std::uint64_t life_ = 0;
  bool life_is_synced_ = false;
  std::optional<cluster::Placement> placement_;
  std::map<std::uint32_t, std::unique_ptr<HostedPartition>> hosted_;
  std::map<std::uint32_t, std::uint64_t> led_;  // As told to the service, with the terms.
  bool look_posted_ = false;
  bool learn_posted_ = false;
  coordination::Ticket ticket_ = 0;
  net::TimerPtr timer_;
  net::Time timer_due_{};
  bool timer_armed_ = false;
  net::Time judges_from_{};                    // Who stalls.
  std::map<std::string, net::Time> heard_at_;  // Of each other disk the last frame.
  std::set<std::pair<std::uint32_t, std::string>> stalled_before_;
  std::map<std::pair<std::uint32_t, std::string>, net::Time> reported_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_REPLICA_HOST_H_
