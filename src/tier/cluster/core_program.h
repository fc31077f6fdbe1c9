// The core process: a replica of the control state, and the cluster's services where it is primary.
#ifndef SHELFLINK_TIER_CLUSTER_CORE_PROGRAM_H_
#define SHELFLINK_TIER_CLUSTER_CORE_PROGRAM_H_

#include "net/glib_loop.h"
#include "tier/foundation/settings.h"

namespace shelflink::cluster {

// Runs `loop` until SIGTERM. Returns the exit code.
int RunCore(const ProcessSettings& settings, net::GlibLoop& loop);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_PROGRAM_H_
