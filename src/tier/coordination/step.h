// The context of one step of a pure state machine: its inputs besides the event, and its requests
// to the owner.
#ifndef SHELFLINK_TIER_COORDINATION_STEP_H_
#define SHELFLINK_TIER_COORDINATION_STEP_H_

#include <cstdint>

#include "net/loop.h"
#include "tier/storage/storage.h"

namespace shelflink::coordination {

// Identifies a sync. Once the sync of a ticket has completed, everything that steps with this or a
// lower ticket applied is durable.
using Ticket = std::uint64_t;

struct Step {
  net::Time now;
  storage::Storage& storage;
  Ticket ticket = 0;        // Increases with every step.
  bool wants_sync = false;  // Output: the owner syncs after the step and then reports its ticket.
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_STEP_H_
