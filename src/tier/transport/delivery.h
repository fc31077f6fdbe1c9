// How a message to a peer is queued where the way to it is taken.
#ifndef SHELFLINK_TIER_TRANSPORT_DELIVERY_H_
#define SHELFLINK_TIER_TRANSPORT_DELIVERY_H_

#include <cstdint>

namespace shelflink::transport {

struct Delivery {
  // Goes before all that is not urgent and of which nothing has left yet. For what is small.
  bool urgent = false;
  // Takes the place of an earlier message of the same slot to that peer which still waits, and of
  // which nothing has left. 0: no slot. Whoever sends sees to it that kinds do not share one, and
  // that all messages of a slot are urgent or none.
  std::uint32_t slot = 0;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_DELIVERY_H_
