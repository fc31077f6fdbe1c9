// Ties a sidecar to its fleet, where a coordination store is configured.
#ifndef KELPSPRING_APP_FLEET_PART_H_
#define KELPSPRING_APP_FLEET_PART_H_

#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "control/door.h"
#include "fleet/fleet.h"
#include "sidecar/config.h"
#include "sidecar/sidecar.h"

#ifdef KELPSPRING_STATE
#include "state/shared_store.h"
#endif

namespace kelpspring {

// The program's, as records of members name it.
constexpr const char* kBuild = "1";

inline fleet::Setup FleetSetup(const net::Loop& loop, const Config& config) {
  fleet::Setup setup;
  setup.fleet = config.coordination->fleet;
  setup.ttl = config.coordination->ttl.count();
  setup.self.name = config.name;
  setup.self.address = config.listen.Text();
  setup.self.door = config.coordination->door.Text();
  setup.self.group = "tier " + std::to_string(config.setup.settings.tier);
  setup.self.build = kBuild;
  // Wall clock and process number: a step of the clock alone does not make two starts one.
  setup.self.start = std::to_string(loop.WallMicros()) + '.' + std::to_string(getpid());
  setup.seed = config.seed;
  setup.fence = config.fence;
  return setup;
}

// Throws BadInput or state::BadFolder.
inline std::unique_ptr<coordination::Store> OpenStore(net::Loop& loop, Log& log,
                                                      const CoordinationSettings& settings) {
  const auto say = [&log](const std::string& line) { log.Line(line); };
  const auto within = fleet::Fleet::CallSpan(settings.ttl.count());
  if (!settings.servers.empty()) {
    coordination::HttpStore::Setup setup;
    setup.servers = settings.servers;
    setup.within = within;
    setup.log = say;
    return std::make_unique<coordination::HttpStore>(loop, std::move(setup));
  }
#ifdef KELPSPRING_STATE
  return std::make_unique<state::SharedStore>(
      loop, state::SharedStore::Setup{settings.folder, within, say});
#else
  throw gaugecart::BadInput("coordination: store: this build has no store in a folder");
#endif
}

inline fleet::Hands HandsOf(Sidecar& sidecar, std::function<void()> leave,
                            std::function<void(ownership::Fence)> on_fence) {
  return {.drain = [&] { return sidecar.StartDrain(); },
          .undrain = [&] { sidecar.EndDrain(); },
          .held = [&] { return sidecar.holds().requests; },
          .leave = std::move(leave),
          .on_fence = std::move(on_fence)};
}

// The door's calls that concern the fleet.
inline auto FleetOrders(fleet::Fleet& fleet) {
  return [&fleet](std::string_view path, const std::string& body,
                  const control::Orders::Answered& answered) {
    const auto on = [&answered](const fleet::Answer& a) { answered(a.status, a.text); };
    const fleet::Answered later = [answered](const fleet::Answer& a) {
      answered(a.status, a.text);
    };
    using maintenance::State;
    if (path == "/fleet") return on({200, fleet.Status()});
    if (path == "/turn") return on(fleet.OnCall(body));
    if (path == "/orders") return fleet.Begin(body, later);
    if (path == "/orders/pause") return fleet.Change(State::kPaused, later);
    if (path == "/orders/resume") return fleet.Change(State::kRunning, later);
    fleet.Change(State::kOff, later);
  };
}

}  // namespace kelpspring

#endif  // KELPSPRING_APP_FLEET_PART_H_
