#include "tier/coordination/disk_health.h"

namespace shelflink::coordination {

namespace {
// A disk that took writes for so long is not held to what it was before.
constexpr net::Span kForgotten = std::chrono::seconds(10);
}  // namespace

void DiskHealth::Refuses(net::Time now) {
  const bool again = status_.recoveries > 0 && now - status_.since < kForgotten;
  if (!again) pauses_.Reset();
  next_attempt_ = now + pauses_.NextPause();
  status_.refuses = true;
  status_.since = now;
  ++status_.failures;
}

void DiskHealth::AttemptFailed(net::Time now) { next_attempt_ = now + pauses_.NextPause(); }

void DiskHealth::TakesWrites(net::Time now) {
  next_attempt_.reset();
  status_.refuses = false;
  status_.since = now;
  ++status_.recoveries;
}

}  // namespace shelflink::coordination
