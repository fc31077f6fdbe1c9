// A renewal that was sent and answered, by the core's primary itself or over another sidecar.
#ifndef SHELFLINK_TIER_CLUSTER_RENEWAL_EXCHANGE_H_
#define SHELFLINK_TIER_CLUSTER_RENEWAL_EXCHANGE_H_

#include <vector>

#include "net/address.h"
#include "net/loop.h"
#include "tier/cluster/messages.h"

namespace shelflink::cluster {

struct RenewalExchange {
  net::Address peer;           // Whom it was sent to.
  net::Time sent;              // Before its answer was made.
  std::vector<UseCount> uses;  // That it carried.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_RENEWAL_EXCHANGE_H_
