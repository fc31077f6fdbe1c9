// True time as most processes have it: each member tells its time of day, and the median of what
// they are ahead of the primary's steady clock counts, so that a clock that is stepped moves
// nothing. Pure.
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
  // Microseconds since 1970; `own_wall` counts as one more voice. Of many members it is computed a
  // few times a second at most.
  std::int64_t TrueMicros(net::Time now, std::int64_t own_wall);

 private:
  std::int64_t Median(std::int64_t own_ahead) const;

  std::map<net::Address, std::int64_t> ahead_;  // Time of day less steady clock, in microseconds.
  std::int64_t median_ = 0;
  net::Time median_until_{};
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CLOCK_ESTIMATE_H_
