// A stand-in for a disk in tests that is faithful in a crash: batches that no sync covers may be
// lost, and those that remain are the oldest of them, each whole. It can also be wiped, be full or
// stall.
#ifndef SHELFLINK_TIER_STORAGE_CRASH_STORAGE_H_
#define SHELFLINK_TIER_STORAGE_CRASH_STORAGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tier/storage/storage.h"

namespace shelflink::storage {

// The disk outlives the processes that use it; a CrashStorage is one process's hold on it.
class CrashDisk {
 public:
  using Contents = std::map<std::string, std::string, std::less<>>;

  // Power is lost: of the batches since the last sync only the first `kept` remain.
  void LosePower(std::size_t kept);
  void Wipe();
  void SetFull(bool full) { full_ = full; }
  void SetBytesUsed(std::uint64_t bytes) { bytes_used_ = bytes; }
  // While stalled no sync ends; the ones under way end when it is over.
  void SetStalled(bool stalled) { stalled_ = stalled; }
  std::size_t unsynced() const { return unsynced_.size(); }
  std::uint64_t syncs() const { return syncs_; }
  const Contents& contents() const { return contents_; }

 private:
  friend class CrashStorage;
  static void ApplyTo(Contents& contents, const Batch& batch);

  Contents durable_;
  Contents contents_;  // As reads see it.
  std::vector<Batch> unsynced_;
  std::uint64_t syncs_ = 0;
  bool full_ = false;
  std::uint64_t bytes_used_ = 0;  // As told; nothing is counted.
  bool stalled_ = false;
};

class CrashStorage : public Storage {
 public:
  // Runs the step when a sync takes its end, after what runs now.
  using Schedule = std::function<void(std::function<void()>)>;

  // What an earlier process left unsynced on the disk is covered by the first sync of this one.
  CrashStorage(CrashDisk& disk, Schedule schedule)
      : disk_(disk), schedule_(std::move(schedule)), applied_(disk.unsynced()) {}
  std::optional<std::string> Get(std::string_view key) const override;
  void Scan(std::string_view prefix, std::string_view from, const Visitor& visitor) const override;
  void Apply(const Batch& batch) override;
  void Sync(Synced done) override;
  Usage usage() const override { return {disk_.bytes_used_, 64U << 20}; }
  bool failed() const override { return failed_; }

 private:
  void EndSync(std::size_t covered, const Synced& done);

  CrashDisk& disk_;
  Schedule schedule_;
  std::uint64_t applied_;  // Batches since it was opened, and how many are durable.
  std::uint64_t durable_ = 0;
  bool failed_ = false;
};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_CRASH_STORAGE_H_
