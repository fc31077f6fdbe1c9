#include "tier/transport/peer_table.h"

#include <algorithm>
#include <chrono>

#include "tier/transport/connection.h"

namespace shelflink::transport {

namespace {

constexpr net::Span kLongestPause = std::chrono::milliseconds(500);
constexpr std::size_t kPeersBeforeSweep = 1024;  // Entries of peers that are gone go then.

}  // namespace

Peer& PeerTable::At(const net::Address& address, net::Time now) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return found->second;
  if (peers_.size() >= kPeersBeforeSweep) Sweep(now);
  return peers_[address];
}

void PeerTable::Sweep(net::Time now) {
  std::erase_if(peers_, [now](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.connections.empty() && peer.dialling == nullptr && peer.waiting.empty() &&
           peer.not_before <= now;
  });
}

bool PeerTable::Connected(const net::Address& address) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && !found->second.connections.empty();
}

bool PeerTable::Receives(const net::Address& address, net::Time since) const {
  const auto found = peers_.find(address);
  if (found == peers_.end()) return false;
  const std::vector<Connection*>& connections = found->second.connections;
  return std::any_of(connections.begin(), connections.end(),
                     [since](const Connection* connection) { return connection->Receives(since); });
}

void PeerTable::PauseAfterFailure(Peer& peer, net::Time now) const {
  const net::Span longest = std::max<net::Span>(kLongestPause, first_pause_);
  peer.pause = peer.pause == net::Span{} ? first_pause_ : std::min(peer.pause * 2, longest);
  peer.not_before = now + peer.pause;
}

void PeerTable::ResetPause(Peer& peer) {
  peer.pause = {};
  peer.not_before = {};
}

net::Time PeerTable::NextRedial() const {
  return redials_.empty() ? net::Time::max() : redials_.begin()->first;
}

std::optional<net::Address> PeerTable::TakeRedial(net::Time now) {
  if (redials_.empty() || redials_.begin()->first > now) return std::nullopt;
  const net::Address address = redials_.begin()->second;
  redials_.erase(redials_.begin());
  return address;
}

}  // namespace shelflink::transport
