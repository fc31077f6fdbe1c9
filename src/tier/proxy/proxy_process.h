// The proxy process on sockets and signals: proxy::Program from its start until SIGTERM.
#ifndef SHELFLINK_TIER_PROXY_PROXY_PROCESS_H_
#define SHELFLINK_TIER_PROXY_PROXY_PROCESS_H_

#include "net/glib_loop.h"
#include "tier/foundation/settings.h"

namespace shelflink::proxy {

// Runs `loop` until SIGTERM; SIGHUP reads the settings file again. Returns the exit code.
int RunProxy(const ProcessSettings& settings, net::GlibLoop& loop);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_PROXY_PROCESS_H_
