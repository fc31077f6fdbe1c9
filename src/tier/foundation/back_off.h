// Pauses between attempts at something that keeps failing: each is twice as long as the last one,
// up to a bound. Pure: it reads no clock and waits for nothing. Without jitter: for work within one
// process, as the recovery of its disk, where no others try at the same time.
#ifndef SHELFLINK_TIER_FOUNDATION_BACK_OFF_H_
#define SHELFLINK_TIER_FOUNDATION_BACK_OFF_H_

#include "net/loop.h"

namespace shelflink {

class BackOff {
 public:
  // Both above zero, `shortest` no longer than `longest`.
  struct Bounds {
    net::Span shortest;
    net::Span longest;
  };

  explicit BackOff(const Bounds& bounds) : bounds_(bounds), next_(bounds.shortest) {}

  // How long to wait after one more failure. The first after the beginning or a Reset() is the
  // shortest.
  net::Span NextPause();
  // What failed has gone well.
  void Reset() { next_ = bounds_.shortest; }

 private:
  Bounds bounds_;
  net::Span next_;
};

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_BACK_OFF_H_
