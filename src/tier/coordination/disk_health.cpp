#include "tier/coordination/disk_health.h"

namespace shelflink::coordination {

namespace {
// A disk that has accepted writes for this long starts again with the shortest back-off.
constexpr net::Span kStablePeriod = std::chrono::seconds(10);
}  // namespace

void DiskHealth::OnFailure(net::Time now) {
  const bool soon_after_recovery =
      status_.recoveries > 0 && now - status_.changed_at < kStablePeriod;
  if (!soon_after_recovery) back_off_.Reset();
  next_attempt_ = now + back_off_.NextPause();
  status_.refuses_writes = true;
  status_.changed_at = now;
  ++status_.failures;
}

void DiskHealth::OnAttemptFailed(net::Time now) { next_attempt_ = now + back_off_.NextPause(); }

void DiskHealth::OnRecovered(net::Time now) {
  next_attempt_.reset();
  status_.refuses_writes = false;
  status_.changed_at = now;
  ++status_.recoveries;
}

}  // namespace shelflink::coordination
