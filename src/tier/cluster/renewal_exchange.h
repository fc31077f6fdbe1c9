// A renewal that was sent and answered, directly by the core's primary or through another sidecar.
#ifndef SHELFLINK_TIER_CLUSTER_RENEWAL_EXCHANGE_H_
#define SHELFLINK_TIER_CLUSTER_RENEWAL_EXCHANGE_H_

#include <vector>

#include "net/address.h"
#include "net/loop.h"
#include "tier/cluster/messages.h"

namespace shelflink::cluster {

struct RenewalExchange {
  net::Address peer;           // The receiver.
  net::Time sent;              // Time of sending.
  std::vector<UseCount> uses;  // Usage counts in the renewal.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_RENEWAL_EXCHANGE_H_
