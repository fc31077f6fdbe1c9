// Tracks whether the disk of a process accepts writes and schedules recovery attempts. Pure.
#ifndef SHELFLINK_TIER_COORDINATION_DISK_HEALTH_H_
#define SHELFLINK_TIER_COORDINATION_DISK_HEALTH_H_

#include <cstdint>
#include <optional>

#include "net/loop.h"
#include "tier/foundation/back_off.h"
#include "tier/storage/recovery_pauses.h"

namespace shelflink::coordination {

// Values for metrics.
struct DiskStatus {
  bool refuses_writes = false;
  net::Time changed_at{};        // Time of the last change of refuses_writes.
  std::uint64_t failures = 0;    // Changes to refusing writes.
  std::uint64_t recoveries = 0;  // Changes back to accepting writes.
};

// The back-off between recovery attempts grows up to one second. A failure soon after a recovery
// counts as another failed attempt.
class DiskHealth {
 public:
  void OnFailure(net::Time now);
  void OnAttemptStarted() { next_attempt_.reset(); }
  void OnAttemptFailed(net::Time now);
  void OnRecovered(net::Time now);

  const DiskStatus& status() const { return status_; }
  // None while the disk accepts writes or an attempt is in progress.
  std::optional<net::Time> next_attempt() const { return next_attempt_; }

 private:
  DiskStatus status_;
  BackOff back_off_{storage::kRecoveryPauses};
  std::optional<net::Time> next_attempt_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_DISK_HEALTH_H_
