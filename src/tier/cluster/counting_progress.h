// How far each sidecar has reported its usage counts, and so which windows are complete. Pure.
//
// A silent sidecar is waited for, since its counts may arrive after a partition or a pause. One
// that has left is not, nor one that has been silent for longer than a window may be late.
#ifndef SHELFLINK_TIER_CLUSTER_COUNTING_PROGRESS_H_
#define SHELFLINK_TIER_CLUSTER_COUNTING_PROGRESS_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "net/address.h"
#include "net/loop.h"

namespace shelflink::cluster {

class CountingProgress {
 public:
  explicit CountingProgress(net::Span memory) : memory_(memory) {}

  // The sidecar has finished counting all windows before `window_open`.
  void Hear(net::Time now, const net::Address& sidecar, std::uint64_t window_open) {
    sidecars_[sidecar] = {window_open, now};
  }
  void Forget(const net::Address& sidecar) { sidecars_.erase(sidecar); }
  void Clear() { sidecars_.clear(); }

  bool AllBeyond(net::Time now, std::uint64_t window) {
    std::erase_if(sidecars_,
                  [&](const auto& entry) { return entry.second.heard + memory_ <= now; });
    return std::all_of(sidecars_.begin(), sidecars_.end(),
                       [&](const auto& entry) { return entry.second.window_open > window; });
  }

 private:
  struct Sidecar {
    std::uint64_t window_open = 0;
    net::Time heard;
  };
  net::Span memory_;
  std::map<net::Address, Sidecar> sidecars_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_COUNTING_PROGRESS_H_
