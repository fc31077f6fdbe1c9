// Whether the disk of a process takes writes, and when to try one that does not. Pure.
#ifndef SHELFLINK_TIER_COORDINATION_DISK_HEALTH_H_
#define SHELFLINK_TIER_COORDINATION_DISK_HEALTH_H_

#include <cstdint>
#include <optional>

#include "net/loop.h"
#include "tier/foundation/back_off.h"
#include "tier/storage/recovery_pauses.h"

namespace shelflink::coordination {

// As metrics tell it.
struct DiskStatus {
  bool refuses = false;
  net::Time since{};             // Of the last change.
  std::uint64_t failures = 0;    // Times that it began to refuse.
  std::uint64_t recoveries = 0;  // Times that it took writes again.
};

// Attempts to recover lie further and further apart, up to a second. A failure soon
// after a recovery counts as one more attempt that failed.
class DiskHealth {
 public:
  void Refuses(net::Time now);
  void AttemptBegins() { next_attempt_.reset(); }
  void AttemptFailed(net::Time now);
  void TakesWrites(net::Time now);

  const DiskStatus& status() const { return status_; }
  // None while it takes writes or an attempt is under way.
  std::optional<net::Time> next_attempt() const { return next_attempt_; }

 private:
  DiskStatus status_;
  BackOff pauses_{storage::kRecoveryPauses};
  std::optional<net::Time> next_attempt_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_DISK_HEALTH_H_
