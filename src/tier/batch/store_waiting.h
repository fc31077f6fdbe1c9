// A store whose disk refuses writes, while it looks for room: it holds a lease that places nothing
// on it, and tells the core's metrics why. Calls for batch jobs are answered that nothing handles
// them here.
#ifndef SHELFLINK_TIER_BATCH_STORE_WAITING_H_
#define SHELFLINK_TIER_BATCH_STORE_WAITING_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/agent.h"
#include "tier/foundation/settings.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

class StoreWaiting {
 public:
  // `figures` is asked with each renewal of the lease. Throws net::Error where the store's address
  // cannot be used.
  StoreWaiting(net::Loop& loop, const ProcessSettings& settings, std::uint64_t incarnation,
               std::function<cluster::StoreFigures()> figures);
  StoreWaiting(const StoreWaiting&) = delete;
  StoreWaiting& operator=(const StoreWaiting&) = delete;

  void SetSeeds(const std::vector<net::Address>& seeds) { agent_.SetSeeds(seeds); }

 private:
  transport::Hub hub_;
  cluster::Agent agent_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_WAITING_H_
