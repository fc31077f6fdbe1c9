// When the platform reading behind the local endpoint list took place. The core's primary reports
// the time of its reading with a version. The time applies here once that version or a newer one
// has arrived, by whatever way. Pure.
#ifndef SHELFLINK_TIER_CLUSTER_LIST_READING_TIME_H_
#define SHELFLINK_TIER_CLUSTER_LIST_READING_TIME_H_

#include <algorithm>

#include "net/loop.h"
#include "tier/cluster/view.h"

namespace shelflink::cluster {

class ListReadingTime {
 public:
  // The reading published as `version` began at `at` or later, on this process's clock; `held` is
  // the version of the local list.
  void OnTold(const Version& version, net::Time at, const Version& held) {
    told_version_ = version;
    told_at_ = at;
    OnHeld(held);
  }
  // The local list has that version from now on.
  void OnHeld(const Version& held) {
    if (held < told_version_) return;
    read_at_ = std::max(read_at_, told_at_);
  }
  bool known() const { return read_at_ != net::Time{}; }
  // The start of the clock if it is unknown.
  net::Time read_at() const { return read_at_; }

 private:
  Version told_version_;
  net::Time told_at_{};
  net::Time read_at_{};
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_LIST_READING_TIME_H_
