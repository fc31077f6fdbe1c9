// The lease of a proxy or store from the core's primary: the process is in contact while it is
// valid. Notifies when contact is made and when it is lost.
#ifndef SHELFLINK_TIER_CLUSTER_CORE_LEASE_H_
#define SHELFLINK_TIER_CLUSTER_CORE_LEASE_H_

#include <functional>

#include "net/loop.h"

namespace shelflink::cluster {

class CoreLease {
 public:
  // `contact` is called on each change, from Extend() or from the loop.
  CoreLease(net::Loop& loop, std::function<void(bool in_touch)> contact);
  CoreLease(const CoreLease&) = delete;
  CoreLease& operator=(const CoreLease&) = delete;

  bool IsValid() const { return loop_.Now() < until_; }
  // In the past if there is no lease.
  net::Time until() const { return until_; }
  // The end of the last lease under which the newest placement was held here.
  net::Time placement_until() const { return placement_until_; }

  // No effect unless it ends later than now and later than the current lease.
  void Extend(net::Time until);
  // The placement held here is the newest that the primary announced with this lease. A process
  // that was paused or partitioned gets a new lease before it learns that its partitions have
  // moved.
  void ExtendPlacement() { placement_until_ = until_; }

 private:
  void Check();

  net::Loop& loop_;
  std::function<void(bool in_touch)> contact_;
  net::TimerPtr timer_;
  bool told_in_touch_ = false;
  net::Time until_{};
  net::Time placement_until_{};
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_LEASE_H_
