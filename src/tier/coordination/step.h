// One step of a pure state machine: what it is given besides its event, and what it asks for.
#ifndef SHELFLINK_TIER_COORDINATION_STEP_H_
#define SHELFLINK_TIER_COORDINATION_STEP_H_

#include <cstdint>

#include "net/loop.h"
#include "tier/storage/storage.h"

namespace shelflink::coordination {

// Names a sync: whatever was applied in steps of this ticket or lower ones is durable once told.
using Ticket = std::uint64_t;

struct Step {
  net::Time now;
  storage::Storage& storage;
  Ticket ticket = 0;        // Rises with every step.
  bool wants_sync = false;  // Out: the owner syncs after the step and tells its ticket then.
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_STEP_H_
