// The store process: partitions of batch jobs on this machine's disk.
#ifndef SHELFLINK_TIER_BATCH_STORE_PROGRAM_H_
#define SHELFLINK_TIER_BATCH_STORE_PROGRAM_H_

#include "net/glib_loop.h"
#include "tier/foundation/settings.h"

namespace shelflink::batch {

// Runs `loop` until SIGTERM. Returns the exit code.
int RunStore(const ProcessSettings& settings, net::GlibLoop& loop);

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_PROGRAM_H_
