#include "tier/batch/store_waiting.h"

#include <utility>

#include "tier/batch/store_identity.h"

namespace shelflink::batch {

StoreWaiting::StoreWaiting(net::Loop& loop, const ProcessSettings& settings,
                           std::uint64_t incarnation,
                           std::function<cluster::StoreFigures()> figures)
    : hub_(loop, StoreIdentityOf(settings, incarnation), {}), agent_(loop, hub_, settings, {}) {
  agent_.SetStoreFigures(std::move(figures));
}

}  // namespace shelflink::batch
