// The guard at whoever receives the effects of owned work.
#ifndef SHELFLINK_OWNERSHIP_FENCE_H_
#define SHELFLINK_OWNERSHIP_FENCE_H_

#include <cstdint>

namespace ownership {

// The revision at which work was won: it grows with every owner.
using Fence = std::int64_t;

class FenceGuard {
 public:
  // `seen`: the highest of an earlier life, where that was kept.
  explicit FenceGuard(Fence seen = 0) : seen_(seen) {}

  // False for one lower than what it has seen: its sender owns the work no more.
  bool Accept(Fence fence) {
    if (fence < seen_) return false;
    seen_ = fence;
    return true;
  }
  // What is to outlive a restart.
  Fence seen() const { return seen_; }

 private:
  Fence seen_;
};

}  // namespace ownership

#endif  // SHELFLINK_OWNERSHIP_FENCE_H_
