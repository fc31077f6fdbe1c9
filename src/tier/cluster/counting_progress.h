// How far each sidecar has told its counts of use: which windows may be summed up. Pure.
//
// A sidecar that falls silent is waited for, as its counts may come after a cut or a freeze; one
// that said farewell is not, nor one that has been silent for longer than a window may be late.
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

  // All windows before `window_open` are counted to their end there.
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
