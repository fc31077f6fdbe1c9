// True time as the core's primary tells it, carried on by this process's steady clock, so that a
// time of day that is stepped here moves nothing. Pure: times come in.
#ifndef SHELFLINK_TIER_CLUSTER_TRUE_TIME_H_
#define SHELFLINK_TIER_CLUSTER_TRUE_TIME_H_

#include <cstdint>
#include <optional>

#include "net/loop.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {

class TrueTime {
 public:
  // The primary told `micros` (since 1970) in an answer that came at `now` to what was sent at
  // `sent`. It counts as of the middle between the two.
  void Take(net::Time sent, net::Time now, std::int64_t micros) {
    const net::Time middle = sent + (now - sent) / 2;
    ahead_ = micros - SteadyMicros(middle);
  }
  // Microseconds since 1970; `own_wall`, this machine's own, before the core has told.
  std::int64_t Micros(net::Time now, std::int64_t own_wall) const {
    return ahead_ ? SteadyMicros(now) + *ahead_ : own_wall;
  }

 private:
  std::optional<std::int64_t> ahead_;  // True time less the steady clock.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_TRUE_TIME_H_
