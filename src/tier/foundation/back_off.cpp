#include "tier/foundation/back_off.h"

#include <algorithm>

namespace shelflink {

net::Span BackOff::NextPause() {
  const net::Span pause = next_;
  next_ = std::min(2 * pause, bounds_.longest);
  return pause;
}

}  // namespace shelflink
