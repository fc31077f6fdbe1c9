#include "tier/cluster/clock_estimate.h"

#include <algorithm>
#include <vector>

namespace shelflink::cluster {
namespace {

std::int64_t SteadyMicros(net::Time now) {
  return std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
}

}  // namespace

void ClockEstimate::Hear(net::Time now, const net::Address& member, std::int64_t wall_micros) {
  ahead_[member] = wall_micros - SteadyMicros(now);
}

std::int64_t ClockEstimate::TrueMicros(net::Time now, std::int64_t own_wall) const {
  std::vector<std::int64_t> voices{own_wall - SteadyMicros(now)};
  for (const auto& [member, ahead] : ahead_) voices.push_back(ahead);
  const auto middle = voices.begin() + static_cast<std::ptrdiff_t>(voices.size() / 2);
  std::nth_element(voices.begin(), middle, voices.end());
  return SteadyMicros(now) + *middle;
}

}  // namespace shelflink::cluster
