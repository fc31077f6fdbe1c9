// The lease that a proxy or store has from the core's primary: while it is valid the process is in
// touch. Tells when contact is made and when it is lost.
#ifndef SHELFLINK_TIER_CLUSTER_CORE_LEASE_H_
#define SHELFLINK_TIER_CLUSTER_CORE_LEASE_H_

#include <functional>

#include "net/loop.h"

namespace shelflink::cluster {

class CoreLease {
 public:
  // `contact` is told of each change, from inside Extend() or the loop.
  CoreLease(net::Loop& loop, std::function<void(bool in_touch)> contact);
  CoreLease(const CoreLease&) = delete;
  CoreLease& operator=(const CoreLease&) = delete;

  bool IsValid() const { return loop_.Now() < until_; }
  // In the past where there is none.
  net::Time until() const { return until_; }
  // The end of those leases alone under which the newest placement was held here.
  net::Time placement_until() const { return placement_until_; }

  // Of no effect where it would end no later than now or than the present one.
  void Extend(net::Time until);
  // The placement here is the newest that the primary had told with this lease. A process that was
  // frozen or cut off gets its lease back before it hears that its partitions have moved.
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
