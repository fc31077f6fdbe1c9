// True time as reported by the core's primary, continued with this process's steady clock, so that
// a step of the local time of day has no effect. Pure: the time is an argument.
#ifndef SHELFLINK_TIER_CLUSTER_TRUE_TIME_H_
#define SHELFLINK_TIER_CLUSTER_TRUE_TIME_H_

#include <cstdint>
#include <optional>

#include "net/loop.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {

class TrueTime {
 public:
  // The primary reported `micros` (since 1970) in an answer received at `now` to a message sent at
  // `sent`. It is taken as the time in the middle between the two.
  void Take(net::Time sent, net::Time now, std::int64_t micros) {
    const net::Time middle = sent + (now - sent) / 2;
    ahead_ = micros - SteadyMicros(middle);
  }
  // Microseconds since 1970; `own_wall`, the local time of day, until the core has reported one.
  std::int64_t Micros(net::Time now, std::int64_t own_wall) const {
    return ahead_ ? SteadyMicros(now) + *ahead_ : own_wall;
  }

 private:
  std::optional<std::int64_t> ahead_;  // True time minus the steady clock.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_TRUE_TIME_H_
