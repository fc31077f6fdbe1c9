// One sidecar with its door on the virtual network, between a client, a node and discovery: what
// the scenes (scene.h) and the fuzzed stage share. The peers are the derived ones' own.
#ifndef SHELFLINK_TESTS_RIG_H_
#define SHELFLINK_TESTS_RIG_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "control/orders.h"
#include "lab/catalog_wire.h"
#include "lab/sidecar_config.h"
#include "net/virtual.h"
#include "seeds/peer.h"

namespace rig {

constexpr std::uint32_t kHost = 0x0a090001;
const net::Address kClientsAt = net::Address::V4(kHost, 7000);
const net::Address kDoorAt = net::Address::V4(kHost, 7001);
const net::Address kNodeAt = net::Address::V4(0x0a010001, 3000);
const net::Address kDiscoveryAt = net::Address::V4(0x0a000101, 5000);

// The first class can be repeated, those after it must not run twice.
inline shelflab::FleetSpec Fleet(const std::vector<std::string>& classes, shelflab::Micros aim,
                                 shelflab::Micros give_up) {
  shelflab::FleetSpec fleet;
  fleet.zone = "z";
  for (const std::string& name : classes) {
    shelflab::ClassSpec c;
    c.name = name;
    c.aim = aim;
    c.give_up = give_up;
    c.repeat =
        fleet.classes.empty() ? shelflab::Repeat::kIdempotent : shelflab::Repeat::kAtMostOnce;
    fleet.classes.push_back(c);
  }
  shelflab::TierSpec tier;
  tier.name = "only";
  tier.nodes = 1;
  fleet.tiers = {tier};
  fleet.max_attempts = 3;
  return fleet;
}

inline std::string ListText() {
  const auto row = JsonOf(shelflab::MemberRow{"n0", kNodeAt.Text(), "z", "k"});
  return nlohmann::json{{"seq", 1}, {"whole", true}, {"hosts", {row}}}.dump();
}

class Rig {
 public:
  // `groups` name the classes in the figures.
  Rig(std::uint64_t seed, std::size_t sockets, std::vector<std::string> groups)
      : net_(seed),
        node(net_, 0x0a010001, "node", 10'000),
        discovery(net_, 0x0a000101, "discovery", 1000),
        client(net_, 0x0a000001, "client", 10'000),
        machine(net_, kHost, "sidecar", sockets),
        registry(groups) {}
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  void Run(net::Span span) { net_.RunUntil(net_.Now() + span); }

 protected:
  using MakePeer = std::function<std::shared_ptr<seeds::Peer>()>;

  ~Rig() { End(); }
  // To be called before anything goes that the peers use.
  void End() {
    machine.Kill();
    door.reset();
    sidecar.reset();
    for (net::VirtualProcess* p : {&node, &discovery, &client}) p->Kill();
    net_.Clear();
  }

  // Nodes' and discovery's ends of connections are what these make; the sidecar starts.
  void Start(const shelflab::FleetSpec& fleet, shelflab::SidecarPlace place,
             kelpspring::LogSink sink, const MakePeer& at_node, const MakePeer& at_discovery) {
    node_door_ = node.Listen(kNodeAt);
    discovery_door_ = discovery.Listen(kDiscoveryAt);
    Accept(*node_door_, at_node);
    Accept(*discovery_door_, at_discovery);
    place.name = "s0";
    place.listen = kClientsAt.Text();
    place.discovery = kDiscoveryAt.Text();
    sidecar = std::make_unique<kelpspring::Sidecar>(
        machine,
        kelpspring::ParseConfig(
            shelflab::SidecarConfig(fleet, place, nlohmann::json::parse(ListText()))),
        kelpspring::Sidecar::Wiring{.sink = std::move(sink),
                                    .observer = &registry,
                                    .set_aside = control::Door::kDescriptors});
    door = std::make_unique<control::Door>(machine, sidecar->log(), kDoorAt,
                                           control::OrdersFor(*sidecar, registry));
  }

  net::VirtualNet net_;

 private:
  void Accept(net::Listener& at, const MakePeer& make) {
    at.Accept([this, &at, make](net::Fault fault, net::StreamPtr stream) {
      if (fault != net::Fault::kNone) return;
      make()->Adopt(std::move(stream));
      Accept(at, make);
    });
  }

  net::ListenerPtr node_door_, discovery_door_;

 public:
  net::VirtualProcess node, discovery, client, machine;
  metrics::Registry registry;
  std::unique_ptr<kelpspring::Sidecar> sidecar;
  std::unique_ptr<control::Door> door;
};

}  // namespace rig

#endif  // SHELFLINK_TESTS_RIG_H_
