// Runs proxy::Program with real sockets and signals, from the start of the process until SIGTERM.
#ifndef SHELFLINK_TIER_PROXY_PROXY_PROCESS_H_
#define SHELFLINK_TIER_PROXY_PROXY_PROCESS_H_

#include "net/glib_loop.h"
#include "tier/foundation/settings.h"

namespace shelflink::proxy {

// Runs `loop` until SIGTERM has been handled; SIGHUP reloads the settings file. Returns the exit
// code.
int RunProxy(const ProcessSettings& settings, net::GlibLoop& loop);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_PROXY_PROCESS_H_
