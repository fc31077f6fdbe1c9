#include "tier/storage/crash_storage.h"

#include <algorithm>

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

void CrashDisk::Wipe() {
  durable_.clear();
  contents_.clear();
  unsynced_.clear();
}

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
  if (failed_ || disk_.full_) {
    failed_ = true;
    return;
  }
  CrashDisk::ApplyTo(disk_.contents_, batch);
  disk_.unsynced_.push_back(batch);
  ++applied_;
}

void CrashStorage::Sync(Synced done) {
  schedule_([this, covered = applied_, done = std::move(done)] { EndSync(covered, done); });
}

void CrashStorage::EndSync(std::size_t covered, const Synced& done) {
  if (failed_) {
    done(MakeError(ErrorCode::kStorage, "the disk is full"));
    return;
  }
  if (disk_.stalled_) {
    schedule_([this, covered, done] { EndSync(covered, done); });
    return;
  }
  if (covered > durable_) {
    const auto count = static_cast<std::ptrdiff_t>(
        std::min<std::uint64_t>(covered - durable_, disk_.unsynced_.size()));
    for (auto at = disk_.unsynced_.begin(); at != disk_.unsynced_.begin() + count; ++at) {
      CrashDisk::ApplyTo(disk_.durable_, *at);
    }
    disk_.unsynced_.erase(disk_.unsynced_.begin(), disk_.unsynced_.begin() + count);
    durable_ = covered;
    ++disk_.syncs_;
  }
  done(BOOST_OUTCOME_V2_NAMESPACE::success());
}

}  // namespace shelflink::storage
