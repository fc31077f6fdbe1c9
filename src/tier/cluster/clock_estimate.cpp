#include "tier/cluster/clock_estimate.h"

#include <algorithm>
#include <vector>

#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {
namespace {

constexpr std::size_t kFewMembers = 64;
constexpr std::chrono::milliseconds kKeptFor{200};

}  // namespace

void ClockEstimate::Hear(net::Time now, const net::Address& member, std::int64_t wall_micros) {
  ahead_[member] = wall_micros - SteadyMicros(now);
}

std::int64_t ClockEstimate::Median(std::int64_t own_ahead) const {
  std::vector<std::int64_t> voices{own_ahead};
  voices.reserve(ahead_.size() + 1);
  for (const auto& [member, ahead] : ahead_) voices.push_back(ahead);
  const auto middle = voices.begin() + static_cast<std::ptrdiff_t>(voices.size() / 2);
  std::nth_element(voices.begin(), middle, voices.end());
  return *middle;
}

std::int64_t ClockEstimate::TrueMicros(net::Time now, std::int64_t own_wall) {
  if (ahead_.size() <= kFewMembers || now >= median_until_) {
    median_ = Median(own_wall - SteadyMicros(now));
    median_until_ = now + kKeptFor;
  }
  return SteadyMicros(now) + median_;
}

}  // namespace shelflink::cluster
