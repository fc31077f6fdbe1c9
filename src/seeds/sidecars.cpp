// The world's sidecars: the program's own code, a process on the virtual network each.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "lab/sidecar_config.h"
#include "seeds/world.h"

namespace seeds {

using shelflab::kSecond;

constexpr std::uint16_t kSidecarPort = 7000;
constexpr std::size_t kMachineDescriptors = 4096;  // What the machine would give.
constexpr Micros kInFrontAfter = 20'000;
constexpr Micros kFrontNotices =
    300'000;  // At a planned restart new connections go on for so long.
// The longest deadline, counted as 3 s where it is shorter, and 0.7 s: then SIGKILL comes.
constexpr Micros kKillAfter = 3 * kSecond + 700'000;

net::Address World::SidecarAddress(const Side& side) const {
  return net::Address::V4(side.host, kSidecarPort);
}

std::string World::ConfigOf(const Side& side) const {
  const Scene& scene = script_.scene;
  const bool first = side.tier == 0;
  shelflab::SidecarPlace place;
  place.name = fmt::format("s{}", side.place);
  place.listen = SidecarAddress(side).Text();
  place.discovery = DoorOf(side, side.other_door).Text();
  place.seed = scene.seed * 0x9e3779b97f4a7c15ULL + std::uint64_t{977} * side.place + side.life;
  place.tier = side.tier;
  place.me = first ? side.place : side.place - scene.sidecars;
  place.group = first ? scene.sidecars : scene.nodes[0];
  place.push = scene.push;
  place.longest_advice = 2 * kSecond;
  place.sockets = scene.descriptors;
  const auto [seq, rows] = Known(side);
  return shelflab::SidecarConfig(spec_, place, nlohmann::json::parse(ListText(seq, true, rows)));
}

// The list that it is started with.
std::pair<std::int64_t, std::vector<shelflab::Listed>> World::Known(const Side& side) const {
  if (script_.scene.forget && side.life > 1) return {0, {}};
  return catalog_.Whole(side.tier);
}

void World::StartSidecar(std::uint32_t place) {
  Side& side = *sides_[place];
  side.sidecar.reset();
  ++side.life;
  side.draining = false;
  side.retrying.clear();
  side.asking.clear();
  side.births.clear();
  side.figures = {};
  side.seen = {};
  const auto [seq, rows] = Known(side);
  side.told = 0;
  side.back = {Now(), std::nullopt, 0};
  Bury(std::move(side.process));
  side.process = std::make_unique<net::VirtualProcess>(net_, side.host, fmt::format("s{}", place),
                                                       kMachineDescriptors);
  side.sidecar = std::make_unique<kelpspring::Sidecar>(
      *side.process, kelpspring::ParseConfig(ConfigOf(side)),
      kelpspring::Sidecar::Wiring{.sink =
                                      [this, place](std::string_view line) {
                                        Say([&] {
                                          return fmt::format("sidecar {}: {}", place, line);
                                        });
                                      },
                                  .observer = &side.figures});
  Say([&] { return fmt::format("sidecar {} starts", place); });
  // It starts from the present list, and knows nothing of what its last life was told.
  if (!rows.empty()) Tell(place, side.life, seq, true, rows);
  AwaitReady(place, side.life);
}

// The front takes it in once it says that it is ready.
void World::AwaitReady(std::uint32_t place, std::uint64_t life) {
  After(kInFrontAfter, [this, place, life] {
    Side& side = *sides_[place];
    if (side.life != life || !side.sidecar) return;
    if (!side.sidecar->ready()) return AwaitReady(place, life);
    if (!side.back.ready) side.back.ready = Now();
    side.in_front = !side.draining;
  });
}

// A planned restart: SIGTERM, and SIGKILL if it has not ended by then.
void World::Terminate(std::uint32_t place, Micros down) {
  Side& side = *sides_[place];
  if (!side.sidecar || side.draining) return;
  side.draining = true;
  const std::uint64_t life = side.life;
  Say([&] { return fmt::format("sidecar {} gets SIGTERM", place); });
  After(kFrontNotices, [this, place, life] {
    if (sides_[place]->life == life) sides_[place]->in_front = false;
  });
  side.sidecar->Leave(false, [this, place, life, down] {
    // From outside of its own call.
    After(0, [this, place, life, down] {
      if (sides_[place]->life == life) EndSidecar(place, false, down);
    });
  });
  After(kKillAfter, [this, place, life, down] {
    if (sides_[place]->life != life || !sides_[place]->sidecar) return;
    Find("drain without an end", fmt::format("sidecar {} had to be killed", place));
    EndSidecar(place, true, down);
  });
}

// Starts it again after `down`, unless that is never.
void World::EndSidecar(std::uint32_t place, bool crash, Micros down) {
  Side& side = *sides_[place];
  if (!side.sidecar) return;
  Say([&] { return fmt::format("sidecar {} {}", place, crash ? "is killed" : "ends"); });
  CheckDescriptors(side);
  crash ? side.process->Kill() : side.process->Exit();
  ++side.life;
  side.draining = false;
  side.in_front = false;
  // A process that is gone runs nothing more; its objects go when nothing of it is on the stack.
  Bury(std::move(side.process));
  After(0, [sidecar = std::shared_ptr<kelpspring::Sidecar>(std::move(side.sidecar))] {});
  if (down == shelflab::kNever) return;
  After(down, [this, place, life = side.life] {
    if (sides_[place]->life == life) StartSidecar(place);
  });
}

}  // namespace seeds
