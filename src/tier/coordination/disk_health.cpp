#include "tier/coordination/disk_health.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {
constexpr net::Span kShortestPause = std::chrono::milliseconds(100);
constexpr net::Span kLongestPause = std::chrono::milliseconds(1000);
// A disk that took writes for so long is not held to what it was before.
constexpr net::Span kForgotten = std::chrono::seconds(10);
}  // namespace

void DiskHealth::Refuses(net::Time now) {
  const bool again = status_.recoveries > 0 && now - status_.since < kForgotten;
  pause_ = again ? std::min(2 * pause_, kLongestPause) : kShortestPause;
  next_attempt_ = now + pause_;
  status_.refuses = true;
  status_.since = now;
  ++status_.failures;
}

void DiskHealth::AttemptFailed(net::Time now) {
  pause_ = std::min(2 * pause_, kLongestPause);
  next_attempt_ = now + pause_;
}

void DiskHealth::TakesWrites(net::Time now) {
  next_attempt_.reset();
  status_.refuses = false;
  status_.since = now;
  ++status_.recoveries;
}

}  // namespace shelflink::coordination
