// Conditions under which a proxy reports itself ready, see RULES (in touch) and PROTOCOL (Ingress).
// No I/O.
#ifndef SHELFLINK_TIER_PROXY_READINESS_H_
#define SHELFLINK_TIER_PROXY_READINESS_H_

#include "net/loop.h"

namespace shelflink::proxy {

struct Readiness {
  bool shutting_down = false;
  bool has_configuration = false;
  bool has_endpoints = false;  // A list of endpoints that allows requests, even an empty one.
  bool had_lease = false;      // Since the start of this process.
  net::Time lease_until{};
  net::Span contact_slack{};  // How long after the end of its lease it still counts as in touch.

  bool IsReady(net::Time now) const {
    return !shutting_down && has_configuration && has_endpoints && had_lease &&
           now < lease_until + contact_slack;
  }
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READINESS_H_
