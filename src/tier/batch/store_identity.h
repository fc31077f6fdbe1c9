// Who a store process is to others.
#ifndef SHELFLINK_TIER_BATCH_STORE_IDENTITY_H_
#define SHELFLINK_TIER_BATCH_STORE_IDENTITY_H_

#include <cstdint>

#include "tier/foundation/settings.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

// `incarnation`: of what speaks for it now; no earlier one had it.
inline transport::PeerIdentity StoreIdentityOf(const ProcessSettings& settings,
                                               std::uint64_t incarnation) {
  transport::PeerIdentity self;
  self.node = settings.node;
  self.role = "store";
  self.zone = settings.zone;
  self.address = InternalAddress(settings, ProcessKind::kStore);
  self.incarnation = incarnation;
  return self;
}

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_IDENTITY_H_
