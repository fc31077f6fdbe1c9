#include "tier/storage/crash_storage.h"

#include <algorithm>

#include "tier/storage/reserve.h"

namespace shelflink::storage {

void CrashDisk::ApplyTo(Contents& contents, const Batch& batch) {
  for (const Batch::Change& change : batch.changes()) {
    if (change.value) {
      contents[change.key] = *change.value;
    } else {
      contents.erase(change.key);
    }
  }
}

void CrashDisk::LosePower(std::size_t kept) {
  for (std::size_t i = 0; i < std::min(kept, unsynced_.size()); ++i) {
    ApplyTo(durable_, unsynced_[i]);
  }
  unsynced_.clear();
  contents_ = durable_;
}

Usage CrashDisk::usage() const {
  constexpr std::uint64_t kUsualLimit = 64U << 20;
  if (!bytes_limit_) return {bytes_used_, kUsualLimit};
  std::uint64_t bytes = 0;
  for (const auto& [key, value] : contents_) bytes += key.size() + value.size();
  return {bytes, *bytes_limit_};
}

void CrashDisk::Wipe() {
  durable_.clear();
  contents_.clear();
  unsynced_.clear();
}

void CrashDisk::Faults::Set(std::uint64_t nth, std::uint64_t times, Failure failure) {
  from = count + nth;
  left = times;
  as = failure;
}

Failure CrashDisk::Faults::Next() {
  ++count;
  if (left == 0 || count < from) return Failure::kNone;
  --left;
  return as;
}

void CrashDisk::FailFrom(std::uint64_t nth, std::uint64_t times, Failure failure) {
  any_.Set(nth, times, failure);
}

void CrashDisk::FailFrom(DiskOperation kind, std::uint64_t nth, std::uint64_t times,
                         Failure failure) {
  kinds_[static_cast<std::size_t>(kind)].Set(nth, times, failure);
}

Failure CrashDisk::Operate(DiskOperation kind) {
  const Failure of_any = any_.Next();
  const Failure of_kind = kinds_[static_cast<std::size_t>(kind)].Next();
  if (of_any != Failure::kNone) return of_any;
  if (of_kind != Failure::kNone) return of_kind;
  return full_ && kind != DiskOperation::kOpen ? Failure::kFull : Failure::kNone;
}

CrashStorage::CrashStorage(CrashDisk& disk, Schedule schedule)
    : disk_(disk),
      schedule_(std::move(schedule)),
      applied_(disk.unsynced()),
      failure_(disk.Operate(DiskOperation::kOpen)) {}

std::optional<std::string> CrashStorage::Get(std::string_view key) const {
  const auto found = disk_.contents_.find(key);
  if (found == disk_.contents_.end()) return std::nullopt;
  return found->second;
}

void CrashStorage::Scan(std::string_view prefix, std::string_view from,
                        const Visitor& visitor) const {
  auto at = disk_.contents_.lower_bound(from < prefix ? prefix : from);
  for (; at != disk_.contents_.end(); ++at) {
    if (at->first.compare(0, prefix.size(), prefix) != 0) return;
    if (!visitor(at->first, at->second)) return;
  }
}

void CrashStorage::Apply(const Batch& batch) {
  if (failed()) return;
  failure_ = disk_.Operate(DiskOperation::kWrite);
  if (!failed() && disk_.bytes_limit_ && !HasRoomFor(batch, disk_.usage())) {
    failure_ = Failure::kFull;
  }
  if (failed()) return;
  CrashDisk::ApplyTo(disk_.contents_, batch);
  disk_.unsynced_.push_back(batch);
  ++applied_;
}

void CrashStorage::Sync(Synced done) {
  schedule_([this, covered = Covered{applied_, recoveries_}, done = std::move(done)] {
    EndSync(covered, done);
  });
}

void CrashStorage::EndSync(Covered covered, const Synced& done) {
  if (failed() || covered.recoveries != recoveries_) {
    done(ErrorNow());
    return;
  }
  if (disk_.stalled_) {
    schedule_([this, covered, done] { EndSync(covered, done); });
    return;
  }
  if (covered.batches > durable_) failure_ = disk_.Operate(DiskOperation::kSync);
  if (failed()) {
    done(ErrorNow());
    return;
  }
  MakeDurable(covered.batches);
  done(BOOST_OUTCOME_V2_NAMESPACE::success());
}

void CrashStorage::MakeDurable(std::uint64_t covered) {
  if (covered <= durable_) return;
  const auto count = static_cast<std::ptrdiff_t>(
      std::min<std::uint64_t>(covered - durable_, disk_.unsynced_.size()));
  for (auto at = disk_.unsynced_.begin(); at != disk_.unsynced_.begin() + count; ++at) {
    CrashDisk::ApplyTo(disk_.durable_, *at);
  }
  disk_.unsynced_.erase(disk_.unsynced_.begin(), disk_.unsynced_.begin() + count);
  durable_ = covered;
  ++disk_.syncs_;
}

std::string CrashStorage::failure_text() const {
  return failed() ? std::string("the disk refuses: ") + NameOf(failure_) : "";
}

Result<void> CrashStorage::ErrorNow() const {
  if (failed()) return MakeError(ErrorCode::kStorage, failure_text());
  return MakeError(ErrorCode::kStorage, "the disk had failed meanwhile");
}

Failure CrashStorage::TryRecover() {
  if (failure_ == Failure::kDamaged) {
    const Failure refused = disk_.Operate(DiskOperation::kRename);
    if (refused != Failure::kNone) return Failure::kDamaged;  // It still stands where it was.
    disk_.Wipe();
  }
  for (const DiskOperation step :
       {DiskOperation::kOpen, DiskOperation::kWrite, DiskOperation::kSync}) {
    const Failure refused = disk_.Operate(step);
    if (refused != Failure::kNone) return refused;
  }
  return Failure::kNone;
}

Result<void> CrashStorage::Recover() {
  if (!failed()) return BOOST_OUTCOME_V2_NAMESPACE::success();
  failure_ = TryRecover();
  if (failed()) return ErrorNow();
  disk_.LosePower(disk_.kept_on_failure_);
  applied_ = 0;
  durable_ = 0;
  ++recoveries_;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace shelflink::storage
