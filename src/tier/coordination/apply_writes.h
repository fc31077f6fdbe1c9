// Applies committed writes to a copy of the replicated map.
#ifndef SHELFLINK_TIER_COORDINATION_APPLY_WRITES_H_
#define SHELFLINK_TIER_COORDINATION_APPLY_WRITES_H_

#include <vector>

#include "tier/coordination/replicator.h"

namespace shelflink::coordination {

inline void Apply(Contents& contents, const std::vector<Write>& writes) {
  for (const Write& write : writes) {
    if (write.value) {
      contents[write.key] = *write.value;
    } else {
      contents.erase(write.key);
    }
  }
}

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_APPLY_WRITES_H_
