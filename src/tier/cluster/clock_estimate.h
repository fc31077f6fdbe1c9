// True time as the median of the members' clocks: each member reports its time of day, and the
// median of the differences to the primary's steady clock is used, so that a step of one clock has
// no effect. Pure.
#ifndef SHELFLINK_TIER_CLUSTER_CLOCK_ESTIMATE_H_
#define SHELFLINK_TIER_CLUSTER_CLOCK_ESTIMATE_H_

#include <cstdint>
#include <map>

#include "net/address.h"
#include "net/loop.h"

namespace shelflink::cluster {

class ClockEstimate {
 public:
  void Hear(net::Time now, const net::Address& member, std::int64_t wall_micros);
  void Forget(const net::Address& member) { ahead_.erase(member); }
  void Clear() {
    ahead_.clear();
    median_until_ = {};
  }
  // Microseconds since 1970; `own_wall` is one more sample. With many members it is computed a few
  // times a second at most.
  std::int64_t TrueMicros(net::Time now, std::int64_t own_wall);

 private:
  std::int64_t Median(std::int64_t own_ahead) const;

  std::map<net::Address, std::int64_t> ahead_;  // Time of day minus steady clock, in microseconds.
  std::int64_t median_ = 0;
  net::Time median_until_{};
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CLOCK_ESTIMATE_H_
