// Whether a proxy calls itself ready, see RULES (in touch) and PROTOCOL (Ingress). Pure.
#ifndef SHELFLINK_TIER_PROXY_READINESS_H_
#define SHELFLINK_TIER_PROXY_READINESS_H_

#include "net/loop.h"

namespace shelflink::proxy {

struct Readiness {
  bool leaving = false;
  bool has_configuration = false;
  bool has_endpoints = false;  // A list of them that requests may go by, however short.
  bool had_lease = false;      // In this process's life.
  net::Time lease_until{};
  net::Span slack{};  // How long beyond its lease it may be behind and still be in touch.

  bool Ready(net::Time now) const {
    return !leaving && has_configuration && has_endpoints && had_lease && now < lease_until + slack;
  }
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READINESS_H_
