// Feeds the redundancy book on the core's primary from committed rows, from renewals, departures
// and expired leases of stores, and from the state of the members of its own group.
//
// Pure: the time is an argument of each event. Active while this process is primary; rows are
// tracked everywhere. The statistics of an earlier primary stay with that process; only what rows
// and leases imply carries over.
//
// Limits: kPartitions rows, one time for each of at most kMostDisksHeard disks, one counter for
// each joiner in a row.
#ifndef SHELFLINK_TIER_CLUSTER_REDUNDANCY_WATCH_H_
#define SHELFLINK_TIER_CLUSTER_REDUNDANCY_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/redundancy.h"
#include "tier/cluster/view.h"
#include "tier/coordination/replicator.h"

namespace shelflink::cluster {

constexpr std::size_t kMostDisksHeard = 8192;

// Partition counts, according to rows and leases.
struct PartitionFigures {
  std::size_t partitions = 0;
  std::size_t wanted = 0;  // Copies of each partition.
  std::size_t whole = 0;   // Partitions with that many whole copies.
};

class RedundancyWatch {
 public:
  // `wanted`: fault tolerance + 1.
  explicit RedundancyWatch(std::size_t wanted) : wanted_(wanted) {}

  // This process becomes primary, or stops being primary.
  void Begin(net::Time now) { began_ = now; }
  void End();

  // The committed rows.
  void OnRows(std::vector<PartitionRow> rows);
  // A renewal of a store.
  void OnStore(net::Time now, const StoreState& store);
  // The primary of a partition reports that a joiner has caught up.
  void OnReport(const BackupReport& report);
  // `live`: disks of stores with valid leases. Call only once all stores have had time to renew.
  void ObservePartitions(net::Time now, const std::set<std::string>& live);
  // `map_bytes` returns the size of the control state; called only while a copy of it is missing.
  template <typename MapBytes>
  void ObserveControl(net::Time now, const coordination::ReplicationStatus& copies,
                      MapBytes map_bytes) {
    CountControl(now, copies);
    if (!book_.IsOpen(kControlSubject)) return;
    book_.OnLeft(kControlSubject, copies.bytes_left ? *copies.bytes_left : map_bytes());
  }

  const RedundancyBook& book() const { return book_; }
  PartitionFigures partitions() const;

 private:
  static constexpr CopySubject kControlSubject{CopyKind::kControl, 0};

  void CountControl(net::Time now, const coordination::ReplicationStatus& copies);
  void Count(std::uint32_t partition, const std::string& disk, std::uint64_t copied);
  RedundancyBook::Copies CopiesOfRow(std::uint32_t partition,
                                     const std::set<std::string>& live) const;
  void ForgetDisks();

  std::size_t wanted_;
  net::Time began_{};
  std::vector<PartitionRow> rows_;
  std::map<std::string, net::Time> heard_at_;  // By disk, while this process leads.
  // Bytes copied to a joiner, as last reported by its primary.
  std::map<std::pair<std::uint32_t, std::string>, std::uint64_t> copied_;
  std::uint64_t control_copied_ = 0;
  std::size_t whole_partitions_ = 0;
  RedundancyBook book_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_REDUNDANCY_WATCH_H_
