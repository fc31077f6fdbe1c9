// The proxy process, on any loop: takes the settings, finds the core, serves clients, says whether
// it is ready, and leaves in order. What it knows lasts no longer than it runs.
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
  // Makes the client of the platform that keeps the list, on first need; empty: there is none.
  using PlatformFactory = std::function<std::unique_ptr<platform::Platform>()>;

  // Throws net::Error where an address is taken.
  Program(net::Loop& loop, const ProcessSettings& settings, PlatformFactory make_platform = {});
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  // What may change while it runs: the seeds. The rest holds from one start to the next.
  void Reload(const ProcessSettings& settings);
  // Not ready from now on; finishes what is held; `done` is called after that.
  void Leave(std::function<void()> done);
  bool ready() const;
  // The reading of the platform's list that is acted by began then or later.
  net::Time endpoints_read_at() const;
  // What is acted by; its list of endpoints may be one that was read here.
  cluster::View view() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_PROGRAM_H_
