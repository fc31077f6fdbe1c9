// The proxy process on any event loop: finds the core, serves clients, reports readiness and
// metrics, and shuts down in order. It stores nothing on disk.
#ifndef SHELFLINK_TIER_PROXY_PROGRAM_H_
#define SHELFLINK_TIER_PROXY_PROGRAM_H_

#include <functional>
#include <memory>

#include "net/loop.h"
#include "tier/cluster/view.h"
#include "tier/foundation/settings.h"
#include "tier/platform/platform.h"

namespace shelflink::proxy {

class Program {
 public:
  // Makes the client of the platform whose list of endpoints is read; called when the proxy first
  // has to read it. Empty: no platform is configured.
  using PlatformFactory = std::function<std::unique_ptr<platform::Platform>()>;

  // Throws net::Error if a listen address is missing or in use.
  Program(net::Loop& loop, const ProcessSettings& settings, PlatformFactory make_platform = {});
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  // Applies the seeds of `settings`; changes of any other setting take effect at the next start.
  void Reload(const ProcessSettings& settings);
  // Reports not ready from now on, finishes the requests in flight, then calls `done`.
  void Leave(std::function<void()> done);
  bool ready() const;
  // Lower bound of the time at which the reading of the platform's list began that the list of
  // endpoints in use stands for.
  net::Time endpoints_read_at() const;
  // The view in use. Its list of endpoints may be one that this process got without the core.
  cluster::View view() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_PROGRAM_H_
