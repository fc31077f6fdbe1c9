// Connections of a hub: accepted and dialled, greeted, superseded and broken.
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/foundation/log.h"
#include "tier/transport/hub_impl.h"

namespace shelflink::transport {

namespace {

constexpr net::Span kAcceptPause = std::chrono::milliseconds(100);  // With no descriptor left.

// What a peer has sent can't be read, or is not said by whom it should be.
bool IsFaultOfPeer(std::string_view cause) {
  return cause == NameOf(FrameFault::kMalformed) || cause == NameOf(FrameFault::kVersion) ||
         cause == NameOf(FrameFault::kTooLong) || cause == "address";
}

}  // namespace

void Hub::Impl::AcceptNext() {
  listener->Accept([weak = weak_from_this()](net::Fault fault, net::StreamPtr stream) {
    const auto alive = weak.lock();
    if (alive && alive->timer) alive->OnAccepted(fault, std::move(stream));
  });
}

void Hub::Impl::OnAccepted(net::Fault fault, net::StreamPtr stream) {
  if (fault == net::Fault::kClosed) return;
  if (fault != net::Fault::kNone) {
    Drop("accept");
    accept_again = loop.Now() + kAcceptPause;
    return Rearm();
  }
  if (connections.size() >= options.most_connections) {
    Drop("connections");
  } else {
    NewConnection().Accept(std::move(stream));
  }
  AcceptNext();
}

Connection& Hub::Impl::NewConnection() {
  const std::uint64_t id = ++last_connection;
  auto& connection = connections[id];
  const Connection::Spans spans{options.connect, options.silence};
  connection = std::make_unique<Connection>(id, loop, *this, self, spans);
  return *connection;
}

void Hub::Impl::EnsureDial(const net::Address& address, Peer& peer) {
  if (peer.dialling != nullptr || !peer.connections.empty()) return;
  if (loop.Now() < peer.not_before) {
    peers.RedialAt(peer.not_before, address);
    return Rearm();
  }
  Connection& connection = NewConnection();
  peer.dialling = &connection;
  connection.Dial(address, ++last_dial);
  OnChanged(connection);
}

void Hub::Impl::OnDialFailed(const net::Address& address) {
  Peer& peer = PeerAt(address);
  peer.dialling = nullptr;
  peers.PauseAfterFailure(peer, loop.Now());
  if (peer.connections.empty()) DropWaiting(peer, "no connection to " + address.Text());
}

std::vector<WaitingFrame> Hub::Impl::TakeWaiting(Peer& peer) {
  queued_in_all -= std::exchange(peer.waiting_bytes, 0);
  return std::exchange(peer.waiting, {});
}

void Hub::Impl::DropWaiting(Peer& peer, const std::string& reason) {
  const auto waiting = TakeWaiting(peer);
  for (const WaitingFrame& frame : waiting) {
    if (frame.call == 0) Drop("unreachable");
    if (frame.call != 0) FinishLater(frame.call, Unavailable(reason));
  }
}

// Which of two connections with one address counts; `greeted` is the one that greeted last.
//
// A process that was started anew does not use the connections of its earlier life, and whoever
// dials again has given up what it dialled before. So what still lies unread in the older
// connection can't be taken for newer. What a process claims from another host than the one that it
// names does not displace whoever speaks from there.
Hub::Impl::Precedence Hub::Impl::Compare(const Connection& other, const Connection& greeted) {
  const bool both_accepted = !other.dialled() && !greeted.dialled();
  if (both_accepted && other.FromClaimedHost() != greeted.FromClaimedHost()) {
    return other.FromClaimedHost() ? Precedence::kOther : Precedence::kGreeted;
  }
  if (other.peer().incarnation != greeted.peer().incarnation) return Precedence::kGreeted;
  if (!both_accepted) return Precedence::kBoth;
  return greeted.peer_dial() > other.peer_dial() ? Precedence::kGreeted : Precedence::kOther;
}

// Ends the connections with the peer that do not count. False if `connection` is one of them.
bool Hub::Impl::Supersede(Connection& connection, Peer& peer) {
  std::vector<Connection*> superseded;
  for (Connection* other : peer.connections) {
    const Precedence precedence = Compare(*other, connection);
    if (precedence == Precedence::kGreeted) superseded.push_back(other);
    if (precedence == Precedence::kOther) superseded.push_back(&connection);
  }
  for (Connection* one : superseded) {
    if (!one->closed()) OnBroken(*one, "superseded");
  }
  return !connection.closed();
}

void Hub::Impl::OnGreeted(Connection& connection) {
  const PeerIdentity& identity = connection.peer();
  if (!Supersede(connection, PeerAt(identity.address))) return;
  Peer& peer = PeerAt(identity.address);
  if (peer.dialling == &connection) peer.dialling = nullptr;
  PeerTable::ResetPause(peer);
  peer.connections.push_back(&connection);
  for (WaitingFrame& frame : TakeWaiting(peer)) {
    QueueOn(connection, std::move(frame));
  }
  if (peer.connections.size() > 1) return;
  TellWatchers(identity, true);
}

// A peer that sends what can't be read is a fault, told by cause; one that is lost is none.
void Hub::Impl::TellBroken(const std::string& where, const char* cause) {
  const std::string_view word(cause);
  const std::string text = "connection with " + where + " closed: " + cause;
  if (word == "end") return;
  if (IsFaultOfPeer(word)) {
    if (drops.Tell(cause, text)) ++counters.drop_lines;
    return;
  }
  Drop(cause);
  log::Bounded(log::Level::kInfo, kLogger, where + cause, text, loop.LastingMicros());
}

void Hub::Impl::OnBroken(Connection& connection, const char* cause) {
  const bool greeted = connection.greeted();
  const std::string where = greeted                ? connection.peer().address.Text()
                            : connection.dialled() ? connection.dialled_address().Text()
                                                   : "a stranger";
  TellBroken(where, cause);
  connection.Close();
  queued_in_all -= connection.queued();
  const auto it = connections.find(connection.id());
  closed.push_back(std::move(it->second));
  connections.erase(it);
  watched.erase(connection.id());
  Post([this] { closed.clear(); });

  const auto open_calls = connection.open_calls();
  for (const std::uint64_t call : open_calls) {
    const PendingCall* pending = calls.Find(call);
    const bool left = pending != nullptr && connection.MayHaveLeft(pending->place);
    const std::string text = "connection with " + where + " lost: " + cause;
    FinishLater(call, left ? Unknown(text) : Unavailable(text));
  }
  if (!greeted) {
    if (connection.dialled()) OnDialFailed(connection.dialled_address());
    return Rearm();
  }
  Peer& peer = PeerAt(connection.peer().address);
  std::erase(peer.connections, &connection);
  Rearm();
  if (!peer.connections.empty()) return;
  TellWatchers(connection.peer(), false);
}

}  // namespace shelflink::transport
