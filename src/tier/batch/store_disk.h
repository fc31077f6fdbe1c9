// Keeps a store's work on its disk for as long as the disk takes writes: opens the disk, looks for
// room with retries, starts the work, ends it when the disk fails, and begins again. A disk that
// refuses never ends the process; one log line tells each change between taking and refusing.
//
// Looking for room costs one small write and moves nothing; only a return of the store moves
// partitions. A disk that failed soon after a return has to take writes without a break for a
// while before the next one: that bounds the moves, not the pause between two looks.
#ifndef SHELFLINK_TIER_BATCH_STORE_DISK_H_
#define SHELFLINK_TIER_BATCH_STORE_DISK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/foundation/back_off.h"
#include "tier/foundation/result.h"
#include "tier/storage/recovery_pauses.h"
#include "tier/storage/storage.h"

namespace shelflink::batch {

class StoreDisk {
 public:
  using milliseconds = std::chrono::milliseconds;
  // Opens the disk, once; what it gives may have failed already (no room, no right). A failed one
  // is recovered: where it is damaged it is set aside and empty then.
  using Open = std::function<std::unique_ptr<storage::Storage>()>;
  // What the store does on a disk that takes writes.
  struct Work {
    // Where it throws a net::Error after the first time, it is tried again a second later.
    std::function<void(storage::Storage& disk)> start;
    // Gives the leases back; `done` is called once, also when nobody answers.
    std::function<void(std::function<void()> done)> leave;
    // Nothing uses the disk when this has returned.
    std::function<void()> stop;
    // Both may be empty. The disk was looked at and refuses: no work until end_wait. Where it
    // throws a net::Error it is tried again with the next look.
    std::function<void(const storage::Storage& disk)> wait = nullptr;
    std::function<void()> end_wait = nullptr;
  };

  // Between two looks for room; doubles.
  static constexpr net::Span kFirstPause = storage::kRecoveryPauses.shortest;
  static constexpr net::Span kLongestPause = storage::kRecoveryPauses.longest;
  static constexpr milliseconds kDiskCheck{100};  // While the work goes on.
  // A disk that failed within this time after a return has come back too early.
  static constexpr milliseconds kSteady{10000};
  static constexpr milliseconds kFirstProbation{250};  // Doubles at each such failure.
  static constexpr milliseconds kLongestProbation{2000};

  StoreDisk(net::Loop& loop, Open open, Work work);
  ~StoreDisk();
  StoreDisk(const StoreDisk&) = delete;
  StoreDisk& operator=(const StoreDisk&) = delete;

  // Ends the work in order, for good.
  void Leave(std::function<void()> done);

  bool is_working() const { return state_ == State::kWorking; }
  std::uint64_t starts() const { return starts_; }  // Of the work.
  std::uint64_t looks() const { return looks_; }    // For room.

 private:
  enum class State {
    kLooking,  // For room; the work has not begun.
    kWorking,
    kLeaving,  // The work still holds leases.
    kEnded,
  };

  void End();
  void OnTimer();
  void Look();
  void OnProbed(const Result<void>& synced);
  void OnRefused(const std::string& why);
  void Wait();
  void EndWait();
  void StartWork();
  bool TryStart();
  void CheckDisk();
  void BeginLeave();
  void OnLeft();
  void LengthenProbation();
  void TellChange(bool takes_writes, const std::string& text);
  void TellAtTimes(const std::string& key, const std::string& text) const;
  void ArmIn(net::Span span);

  net::Loop& loop_;
  Open open_;
  Work work_;
  std::unique_ptr<storage::Storage> storage_;
  State state_ = State::kLooking;
  bool waits_ = false;  // Between wait and end_wait.
  bool ends_ = false;
  std::function<void()> ended_;
  BackOff pauses_{storage::kRecoveryPauses};
  milliseconds probation_{0};
  std::optional<net::Time> taking_since_;  // Every look since then has found room.
  net::Time started_at_{};
  std::optional<bool> told_taking_;
  std::uint64_t starts_ = 0;
  std::uint64_t looks_ = 0;
  net::TimerPtr timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_DISK_H_
