#include "tier/cluster/redundancy_watch.h"

#include <algorithm>

#include "tier/cluster/row_copies.h"

namespace shelflink::cluster {
namespace {

bool NamesJoiner(const PartitionRow& row, const std::string& disk) {
  const std::vector<Copy> copies = CopiesOf(row);
  return std::any_of(copies.begin(), copies.end(),
                     [&](const Copy& copy) { return copy.disk == disk && !copy.complete; });
}

}  // namespace

void RedundancyWatch::End() {
  book_.HandOn();
  heard_at_.clear();
  copied_.clear();
  whole_partitions_ = 0;
}

void RedundancyWatch::OnRows(std::vector<PartitionRow> rows) {
  rows_ = std::move(rows);
  std::erase_if(copied_, [&](const auto& entry) {
    const auto& [partition, disk] = entry.first;
    return partition >= rows_.size() || !NamesJoiner(rows_[partition], disk);
  });
}

void RedundancyWatch::OnStore(net::Time now, const StoreState& store) {
  heard_at_[store.disk] = now;
  if (heard_at_.size() > kMostDisksHeard) ForgetDisks();
  for (const CopyUnderWay& copy : store.copying) {
    Count(copy.partition, copy.disk, copy.bytes_copied);
    book_.OnLeft({CopyKind::kBatch, copy.partition}, copy.bytes_left);
  }
}

void RedundancyWatch::ForgetDisks() {
  std::set<std::string> named;
  for (const PartitionRow& row : rows_) {
    for (const Copy& copy : CopiesOf(row)) named.insert(copy.disk);
  }
  std::erase_if(heard_at_, [&](const auto& entry) { return !named.contains(entry.first); });
}

void RedundancyWatch::OnReport(const BackupReport& report) {
  if (report.condition == BackupCondition::kComplete) {
    Count(report.partition, report.disk, report.bytes_copied);
  }
}

// A counter that fell belongs to another session, which began with nothing.
void RedundancyWatch::Count(std::uint32_t partition, const std::string& disk,
                            std::uint64_t copied) {
  if (partition >= rows_.size() || !NamesJoiner(rows_[partition], disk)) return;
  std::uint64_t& counted = copied_[{partition, disk}];
  const std::uint64_t more = copied >= counted ? copied - counted : copied;
  counted = copied;
  book_.OnCopied({CopyKind::kBatch, partition}, more);
}

RedundancyBook::Copies RedundancyWatch::CopiesOfRow(std::uint32_t partition,
                                                    const std::set<std::string>& live) const {
  RedundancyBook::Copies copies;
  copies.subject = {CopyKind::kBatch, partition};
  copies.wanted = wanted_;
  std::optional<net::Time> missing_since;
  bool unknown = false;
  for (const Copy& copy : CopiesOf(rows_[partition])) {
    if (!copy.complete) continue;
    if (live.contains(copy.disk)) {
      ++copies.whole;
      continue;
    }
    const auto heard_at = heard_at_.find(copy.disk);
    const bool known = heard_at != heard_at_.end();
    unknown = unknown || !known;
    const net::Time since = known ? heard_at->second : began_;
    missing_since = std::min(missing_since.value_or(since), since);
  }
  // No row names the missing one any more: it was missing when this process began to lead.
  copies.at_least = unknown || !missing_since;
  copies.missing_since = missing_since.value_or(began_);
  return copies;
}

void RedundancyWatch::ObservePartitions(net::Time now, const std::set<std::string>& live) {
  whole_partitions_ = 0;
  for (std::uint32_t partition = 0; partition < rows_.size(); ++partition) {
    const RedundancyBook::Copies copies = CopiesOfRow(partition, live);
    if (copies.whole >= copies.wanted) ++whole_partitions_;
    book_.Observe(now, copies);
  }
}

void RedundancyWatch::CountControl(net::Time now, const coordination::ReplicationStatus& copies) {
  const std::uint64_t more = copies.bytes_copied - std::min(copies.bytes_copied, control_copied_);
  control_copied_ = copies.bytes_copied;
  const bool was_open = book_.IsOpen(kControlSubject);
  if (was_open) book_.OnCopied(kControlSubject, more);
  RedundancyBook::Copies seen;
  seen.subject = kControlSubject;
  seen.wanted = copies.wanted;
  std::optional<net::Time> missing_since;
  for (const coordination::MemberStatus& member : copies.members) {
    if (!member.is_replica) continue;
    if (member.disk_state == coordination::DiskState::kTakesWrites) {
      ++seen.whole;
      continue;
    }
    seen.at_least = seen.at_least || !member.heard_at;
    const net::Time since = member.heard_at.value_or(began_);
    missing_since = std::min(missing_since.value_or(since), since);
  }
  seen.at_least = seen.at_least || !missing_since;
  seen.missing_since = missing_since.value_or(began_);
  book_.Observe(now, seen);
  // The copy may have begun before the loss was seen: the lease may lapse with the disk that is
  // lost.
  if (!was_open) book_.OnCopied(kControlSubject, more);
}

PartitionFigures RedundancyWatch::partitions() const {
  return {rows_.size(), wanted_, whole_partitions_};
}

}  // namespace shelflink::cluster
