#include "tier/cluster/core_lease.h"

#include <utility>

namespace shelflink::cluster {

CoreLease::CoreLease(net::Loop& loop, std::function<void(bool in_touch)> contact)
    : loop_(loop), contact_(std::move(contact)), timer_(loop.NewTimer([this] { Check(); })) {}

void CoreLease::Extend(net::Time until) {
  if (until <= until_ || until <= loop_.Now()) return;
  until_ = until;
  if (told_in_touch_) return;
  told_in_touch_ = true;
  timer_->ArmAt(until_);
  contact_(true);
}

void CoreLease::Check() {
  if (IsValid()) {
    timer_->ArmAt(until_);
    return;
  }
  told_in_touch_ = false;
  contact_(false);
}

}  // namespace shelflink::cluster
