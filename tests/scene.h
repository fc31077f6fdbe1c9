// A sidecar with its control interface on the virtual network, and peers that send and receive
// plain text.
#ifndef SHELFLINK_TESTS_SCENE_H_
#define SHELFLINK_TESTS_SCENE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "rig.h"

namespace scene {

using rig::kClientsAt;
using rig::kDoorAt;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Keeps the received text, and whether the connection has ended.
struct RecordingPeer : seeds::Peer {
  std::string received;
  bool ended = false;
  bool broken = false;

  int Status() const { return received.size() > 12 ? std::stoi(received.substr(9, 3)) : 0; }
  bool Has(const std::string& text) const { return received.find(text) != std::string::npos; }

 private:
  void Data(std::string_view bytes) override { received += bytes; }
  void Over(net::Fault fault) override {
    ended = true;
    broken = fault != net::Fault::kEnd;
  }
};
using PeerPtr = std::shared_ptr<RecordingPeer>;

// Sends its text once connected.
struct SendingPeer : RecordingPeer {
  explicit SendingPeer(std::string opening_text) : text(std::move(opening_text)) {}
  std::string text;

 private:
  void Up() override { Send(text); }
};

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

class Scene : public rig::Rig {
 public:
  explicit Scene(std::size_t sockets = 256, std::uint64_t seed = 7)
      : Rig(seed, sockets, {"read", "wr\"ite"}) {
    shelflab::SidecarPlace place;
    place.sockets = sockets;
    const auto make_peer = [](std::deque<PeerPtr>& peers) {
      return [&peers] { return peers.emplace_back(std::make_shared<RecordingPeer>()); };
    };
    Start(
        rig::Fleet({"read", "write"}, 500'000, 3'000'000), place,
        [this](std::string_view line) {
          log += line;
          log += '\n';
        },
        make_peer(at_node), make_peer(at_discovery));
    Run(milliseconds(50));
  }
  ~Scene() { End(); }

  PeerPtr Open(const net::Address& to, const std::string& text = "") {
    auto peer = std::make_shared<SendingPeer>(text);
    peer->Dial(client, to);
    Run(milliseconds(5));
    return peer;
  }
  PeerPtr AskControl(const std::string& method, const std::string& path) {
    return Open(kDoorAt, method + ' ' + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  int Health() { return Open(kClientsAt, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")->Status(); }
  // Cuts the network between the sidecar and its node.
  void CutNode(bool on) { net_.SetCut(rig::kHost, node.host(), on); }
  // Sets the latency between the sidecar and its node.
  void SlowNode(milliseconds span) {
    net::Weather weather = net_.weather();
    weather.latency_low = weather.latency_high = span;
    net_.SetWeather(rig::kHost, node.host(), weather);
  }
  void CutDiscovery(bool on) { net_.SetCut(rig::kHost, discovery.host(), on); }

  std::deque<PeerPtr> at_node, at_discovery;
  std::string log;
};

}  // namespace scene

#endif  // SHELFLINK_TESTS_SCENE_H_
