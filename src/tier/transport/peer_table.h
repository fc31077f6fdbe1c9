// What a hub knows of each address: its connections, what waits for one, and when to dial again.
// Pure: times come in.
#ifndef SHELFLINK_TIER_TRANSPORT_PEER_TABLE_H_
#define SHELFLINK_TIER_TRANSPORT_PEER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/transport/connection.h"

namespace shelflink::transport {

// A frame for a peer that there is no connection to yet.
struct WaitingFrame {
  std::string bytes;
  std::uint64_t call = 0;  // 0: a message.
  Delivery delivery;       // Of a message.
};

// All that is known of one address.
struct Peer {
  std::vector<Connection*> connections;  // Greeted ones, the oldest first.
  Connection* dialling = nullptr;        // Until greeted.
  std::vector<WaitingFrame> waiting;
  std::size_t waiting_bytes = 0;
  net::Span pause{};  // Before the next dial; zero after a success.
  net::Time not_before;
};

class PeerTable {
 public:
  // `first_pause`: after the first dial that fails; it doubles with each further one.
  explicit PeerTable(net::Span first_pause) : first_pause_(first_pause) {}

  // Made where it is not known yet; those that there is nothing left to do with may go then.
  Peer& At(const net::Address& address, net::Time now);
  bool Connected(const net::Address& address) const;
  // Some frame of that process is here in part, and some of it came since then.
  bool Receives(const net::Address& address, net::Time since) const;

  // From now until when it is not dialled.
  void PauseAfterFailure(Peer& peer, net::Time now) const;
  static void ResetPause(Peer& peer);

  void RedialAt(net::Time at, const net::Address& address) { redials_.emplace(at, address); }
  // Time::max() without one.
  net::Time NextRedial() const;
  // An address whose pause has ended, once.
  std::optional<net::Address> TakeRedial(net::Time now);

 private:
  void Sweep(net::Time now);

  net::Span first_pause_;
  std::map<net::Address, Peer> peers_;
  std::set<std::pair<net::Time, net::Address>> redials_;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_PEER_TABLE_H_
