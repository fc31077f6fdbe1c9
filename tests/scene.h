// One sidecar with its door on the virtual network, and peers that say and hear plain text.
#ifndef SHELFLINK_TESTS_SCENE_H_
#define SHELFLINK_TESTS_SCENE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "control/door.h"
#include "lab/catalog_wire.h"
#include "lab/sidecar_config.h"
#include "metrics/registry.h"
#include "net/virtual.h"
#include "seeds/peer.h"
#include "sidecar/sidecar.h"

namespace scene {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kHost = 0x0a090001;
const net::Address kClientsAt = net::Address::V4(kHost, 7000);
const net::Address kDoorAt = net::Address::V4(kHost, 7001);
const net::Address kNodeAt = net::Address::V4(0x0a010001, 3000);
const net::Address kDiscoveryAt = net::Address::V4(0x0a000101, 5000);

// Keeps what it is told, and whether the other side has ended.
struct Talk : seeds::Peer {
  std::string got;
  bool ended = false;
  bool broken = false;

  int Status() const { return got.size() > 12 ? std::stoi(got.substr(9, 3)) : 0; }
  bool Has(const std::string& text) const { return got.find(text) != std::string::npos; }

 private:
  void Data(std::string_view bytes) override { got += bytes; }
  void Over(net::Fault fault) override {
    ended = true;
    broken = fault != net::Fault::kEnd;
  }
};
using TalkPtr = std::shared_ptr<Talk>;

// Says its text as soon as the connection is up.
struct Opening : Talk {
  explicit Opening(std::string words) : text(std::move(words)) {}
  std::string text;

 private:
  void Up() override { Send(text); }
};

inline shelflab::FleetSpec Fleet() {
  shelflab::FleetSpec fleet;
  fleet.zone = "z";
  shelflab::ClassSpec read;
  read.name = "read";
  read.aim = 500'000;
  read.give_up = 3'000'000;
  read.repeat = shelflab::Repeat::kIdempotent;
  shelflab::ClassSpec write = read;
  write.name = "write";
  write.repeat = shelflab::Repeat::kAtMostOnce;
  fleet.classes = {read, write};
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

inline std::string Call(int txn, const std::string& body = "", const std::string& more = "") {
  std::string id = std::to_string(txn);
  id.insert(0, 16 - id.size(), '0');
  const bool write = !body.empty() || !more.empty();
  return std::string(write ? "POST" : "GET") + " /api HTTP/1.1\r\nHost: h\r\nX-Txn: " + id +
         "\r\nX-Lane: " + (write ? "write" : "read") + "\r\nX-Org: t\r\nX-Remaining-Ms: 2000\r\n" +
         (more.empty() ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : more) +
         "\r\n" + body;
}

inline std::string Answer(const std::string& body, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

class Scene {
 public:
  explicit Scene(std::size_t sockets = 256, std::uint64_t seed = 7)
      : net_(seed),
        node(net_, 0x0a010001, "node", 10'000),
        discovery(net_, 0x0a000101, "discovery", 1000),
        client(net_, 0x0a000001, "client", 10'000),
        machine(net_, kHost, "sidecar", sockets) {
    node_door_ = node.Listen(kNodeAt);
    discovery_door_ = discovery.Listen(kDiscoveryAt);
    Accept(*node_door_, at_node);
    Accept(*discovery_door_, at_discovery);
    const shelflab::FleetSpec fleet = Fleet();
    shelflab::SidecarPlace place;
    place.name = "s0";
    place.listen = kClientsAt.Text();
    place.discovery = kDiscoveryAt.Text();
    place.sockets = sockets;
    auto config = nlohmann::json::parse(
        shelflab::SidecarConfig(fleet, place, nlohmann::json::parse(ListText())));
    config["console"] = kDoorAt.Text();
    sidecar = std::make_unique<kelpspring::Sidecar>(
        machine, kelpspring::ParseConfig(config.dump()),
        kelpspring::Sidecar::Wiring{.sink =
                                        [this](std::string_view line) {
                                          log += line;
                                          log += '\n';
                                        },
                                    .observer = &registry});
    door = std::make_unique<control::Door>(
        machine, sidecar->log(), kDoorAt,
        control::Orders{.ready = [this] { return sidecar->ready(); },
                        .metrics =
                            [this] {
                              return registry.Text({sidecar->listed(), sidecar->avoided()});
                            },
                        .drain = [this] { sidecar->StartDrain(); },
                        .undrain = [this] { return sidecar->EndDrain(); }});
    Run(milliseconds(50));
  }
  ~Scene() {
    machine.Kill();
    door.reset();
    sidecar.reset();
    for (net::VirtualProcess* p : {&node, &discovery, &client}) p->Kill();
    net_.Clear();
  }
  Scene(const Scene&) = delete;
  Scene& operator=(const Scene&) = delete;

  TalkPtr Open(const net::Address& to, const std::string& text = "") {
    auto talk = std::make_shared<Opening>(text);
    talk->Dial(client, to);
    Run(milliseconds(5));
    return talk;
  }
  TalkPtr AskDoor(const std::string& method, const std::string& path) {
    return Open(kDoorAt, method + ' ' + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  int Health() { return Open(kClientsAt, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")->Status(); }
  void Run(net::Span span) { net_.RunUntil(net_.Now() + span); }
  net::Time Now() const { return net_.Now(); }
  // Nothing passes between the sidecar and its node.
  void CutNode(bool on) { net_.SetCut(kHost, node.host(), on); }

 private:
  void Accept(net::Listener& door_at, std::deque<TalkPtr>& talks) {
    door_at.Accept([this, &door_at, &talks](net::Fault fault, net::StreamPtr stream) {
      if (fault != net::Fault::kNone) return;
      talks.push_back(std::make_shared<Talk>());
      talks.back()->Adopt(std::move(stream));
      Accept(door_at, talks);
    });
  }

  net::VirtualNet net_;

 public:
  net::VirtualProcess node, discovery, client, machine;
  std::deque<TalkPtr> at_node, at_discovery;
  std::string log;
  metrics::Registry registry{std::vector<std::string>{"read", "wr\"ite"}};
  std::unique_ptr<kelpspring::Sidecar> sidecar;
  std::unique_ptr<control::Door> door;

 private:
  net::ListenerPtr node_door_, discovery_door_;
};

}  // namespace scene

#endif  // SHELFLINK_TESTS_SCENE_H_
