// A stand-in for a disk in tests that is faithful in a crash: batches that no sync covers may be
// lost, and those that remain are the oldest of them, each whole. It can also be wiped, be full or
// stall, and fail at any operation.
#ifndef SHELFLINK_TIER_STORAGE_CRASH_STORAGE_H_
#define SHELFLINK_TIER_STORAGE_CRASH_STORAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tier/storage/storage.h"

namespace shelflink::storage {

// What a disk is asked to do.
enum class DiskOperation : std::uint8_t {
  kWrite,   // An Apply, or the probe of a recovery.
  kSync,    // The end of a sync that covers something, or of the probe's.
  kOpen,    // When a process takes hold of the disk, and first thing in a recovery.
  kRename,  // In a recovery from damage: the damaged file is set aside.
};
constexpr std::size_t kDiskOperations = 4;

// The disk outlives the processes that use it; a CrashStorage is one process's hold on it.
class CrashDisk {
 public:
  using Contents = std::map<std::string, std::string, std::less<>>;

  // Power is lost: of the batches since the last sync only the first `kept` remain.
  void LosePower(std::size_t kept);
  void Wipe();
  // While full every write, sync and recovery fails; what is stored is opened and read all the
  // same.
  void SetFull(bool full) { full_ = full; }
  // The `nth` operation from now on, counted from 1, and the next ones, `times` altogether, fail
  // so. Damage is of what is stored: a recovery behind it finds the disk empty.
  void FailFrom(std::uint64_t nth, std::uint64_t times, Failure failure);
  // The same of one kind of operation, besides what is set for the others and for all.
  void FailFrom(DiskOperation kind, std::uint64_t nth, std::uint64_t times, Failure failure);
  std::uint64_t operations() const { return any_.count; }
  std::uint64_t operations(DiskOperation kind) const { return Of(kind).count; }
  // Of batches that no sync had covered before a failure, so many of the oldest remain.
  void SetKeptOnFailure(std::size_t kept) { kept_on_failure_ = kept; }
  void SetBytesUsed(std::uint64_t bytes) { bytes_used_ = bytes; }
  // It holds no more than that, with a reserve (reserve.h); what it holds is counted then.
  void SetLimit(std::uint64_t bytes) { bytes_limit_ = bytes; }
  Usage usage() const;
  // While stalled no sync ends; the ones under way end when it is over.
  void SetStalled(bool stalled) { stalled_ = stalled; }
  std::size_t unsynced() const { return unsynced_.size(); }
  std::uint64_t syncs() const { return syncs_; }
  const Contents& contents() const { return contents_; }

 private:
  friend class CrashStorage;
  static void ApplyTo(Contents& contents, const Batch& batch);
  // Operations of one kind, or all: how many there were, and which of them fail.
  struct Faults {
    std::uint64_t count = 0;
    std::uint64_t from = 0;
    std::uint64_t left = 0;
    Failure as = Failure::kNone;

    void Set(std::uint64_t nth, std::uint64_t times, Failure failure);
    Failure Next();
  };
  const Faults& Of(DiskOperation kind) const { return kinds_[static_cast<std::size_t>(kind)]; }
  // Counts an operation; how it fails.
  Failure Operate(DiskOperation kind);

  Contents durable_;
  Contents contents_;  // As reads see it.
  std::vector<Batch> unsynced_;
  std::uint64_t syncs_ = 0;
  bool full_ = false;
  Faults any_;
  std::array<Faults, kDiskOperations> kinds_;
  std::size_t kept_on_failure_ = 0;
  std::uint64_t bytes_used_ = 0;  // As told; counted where there is a limit.
  std::optional<std::uint64_t> bytes_limit_;
  bool stalled_ = false;
};

class CrashStorage : public Storage {
 public:
  // Runs the step when a sync takes its end, after what runs now.
  using Schedule = std::function<void(std::function<void()>)>;

  // What an earlier process left unsynced on the disk is covered by the first sync of this one.
  // Where opening fails it is a storage that has failed.
  CrashStorage(CrashDisk& disk, Schedule schedule);
  std::optional<std::string> Get(std::string_view key) const override;
  void Scan(std::string_view prefix, std::string_view from, const Visitor& visitor) const override;
  void Apply(const Batch& batch) override;
  void Sync(Synced done) override;
  Usage usage() const override { return disk_.usage(); }
  Failure failure() const override { return failure_; }
  std::string failure_text() const override;
  Result<void> Recover() override;

 private:
  // A sync: it belongs to the batches since the opening or the last recovery.
  struct Covered {
    std::uint64_t batches = 0;
    std::uint64_t recoveries = 0;
  };
  void EndSync(Covered covered, const Synced& done);
  // Each step of a recovery on the disk; why it refuses afterwards.
  Failure TryRecover();
  void MakeDurable(std::uint64_t covered);
  Result<void> ErrorNow() const;

  CrashDisk& disk_;
  Schedule schedule_;
  std::uint64_t applied_;  // Batches since it was opened or recovered, and how many are durable.
  std::uint64_t durable_ = 0;
  std::uint64_t recoveries_ = 0;
  Failure failure_ = Failure::kNone;
};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_CRASH_STORAGE_H_
