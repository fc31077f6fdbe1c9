// The parts of a hub and how they work together. Accepting, dialling and the ends of connections
// are in hub_connections.cpp; frames, calls and time in hub.cpp.
#ifndef SHELFLINK_TIER_TRANSPORT_HUB_IMPL_H_
#define SHELFLINK_TIER_TRANSPORT_HUB_IMPL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tier/foundation/drop_counter.h"
#include "tier/transport/connection.h"
#include "tier/transport/frames.h"
#include "tier/transport/hub.h"
#include "tier/transport/peer_table.h"
#include "tier/transport/pending_calls.h"

namespace shelflink::transport {

inline constexpr const char* kLogger = "transport";

inline Error Unavailable(const std::string& text) {
  return MakeError(ErrorCode::kUnavailable, text);
}
inline Error Unknown(const std::string& text) { return MakeError(ErrorCode::kUnknown, text); }

struct Hub::Impl final : ConnectionOwner, std::enable_shared_from_this<Hub::Impl> {
  Impl(net::Loop& the_loop, PeerIdentity the_self, Options the_options);

  // Held while they run, so that one may take its own place.
  template <typename Handler>
  using Handlers = std::unordered_map<MessageKind, std::shared_ptr<const Handler>>;

  void Start();
  void End();
  // An empty one takes what was there away.
  template <typename Handler>
  static void SetHandler(Handlers<Handler>& handlers, MessageKind kind, Handler handler) {
    if (!handler) {
      handlers.erase(kind);
    } else {
      handlers[kind] = std::make_shared<const Handler>(std::move(handler));
    }
  }

  void Send(const net::Address& to, MessageKind kind, std::string body, Delivery delivery);
  void Call(const net::Address& to, MessageKind kind, std::string body, net::Span timeout,
            Reply done);

  // ConnectionOwner
  void OnGreeted(Connection& connection) override;
  void OnFrame(Connection& connection, const Frame& frame) override;
  void OnBroken(Connection& connection, const char* cause) override;
  void OnChanged(Connection& connection) override;
  void OnQueued(Connection& connection) override;
  void OnBytesRead(std::size_t bytes) override { counters.bytes_in += bytes; }
  void OnBytesQueued(std::size_t bytes) override { queued_in_all += bytes; }
  void OnBytesWritten(std::size_t bytes) override {
    counters.bytes_out += bytes;
    queued_in_all -= bytes;
  }
  void OnReplaced(std::size_t bytes) override {
    ++counters.replaced;
    queued_in_all -= bytes;
  }

  // Posts a step that is left out if the hub is gone by then.
  void Post(std::function<void()> step);
  void TellWatchers(const PeerIdentity& peer, bool up);
  void Drop(const char* cause) { drops.Count(cause); }
  void TellBroken(const std::string& where, const char* cause);

  // Accepting and dialling.
  void AcceptNext();
  void OnAccepted(net::Fault fault, net::StreamPtr stream);
  Connection& NewConnection();
  Peer& PeerAt(const net::Address& address) { return peers.At(address, loop.Now()); }
  void EnsureDial(const net::Address& address, Peer& peer);
  void OnDialFailed(const net::Address& address);
  std::vector<WaitingFrame> TakeWaiting(Peer& peer);
  void DropWaiting(Peer& peer, const std::string& reason);
  enum class Precedence { kBoth, kOther, kGreeted };
  static Precedence Compare(const Connection& other, const Connection& greeted);
  bool Supersede(Connection& connection, Peer& peer);

  // Frames out.
  bool HasRoom(std::size_t queued_to_peer, std::size_t more) const {
    return queued_to_peer + more <= kMostQueued && queued_in_all + more <= kMostQueuedInAll;
  }
  void Deliver(const net::Address& to, WaitingFrame frame);
  void QueueOn(Connection& connection, WaitingFrame frame);
  void QueueAnswer(std::uint64_t connection, std::string frame);
  void Flush();

  // Frames in.
  void TakeMessage(const PeerIdentity& from, const MessageFrame& message);
  void TakeCall(const PeerIdentity& from, std::uint64_t connection, const CallFrame& call);
  void TakeAnswer(const Connection& connection, std::uint64_t call, Result<std::string> result);

  // Calls. FinishLater posts, for what is found out inside Call.
  void Finish(std::uint64_t call, Result<std::string> result);
  void FinishLater(std::uint64_t call, Error error);
  void ExpireCalls(net::Time now);

  // Time.
  void OnTimer();
  void CheckConnections(net::Time now);
  net::Time NextDue() const;
  void Rearm();

  net::Loop& loop;
  PeerIdentity self;
  Options options;
  Counters counters;
  DropCounter drops;
  Handlers<OnMessage> message_handlers;
  Handlers<OnCall> call_handlers;
  std::deque<OnPeer> watchers;  // Which may grow while one of them runs.

  net::ListenerPtr listener;
  net::TimerPtr timer;
  net::Time armed_for = net::Time::max();
  net::Time accept_again = net::Time::max();
  net::Time next_check = net::Time::max();  // No connection's NextCheck is before it.

  std::size_t queued_in_all = 0;  // Bytes, of all outboxes and waiting frames.
  std::uint64_t last_connection = 0;
  std::uint64_t last_dial = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections;
  // Those with a NextCheck, by number: equal seeds check them in equal order.
  std::map<std::uint64_t, Connection*> watched;
  std::vector<std::unique_ptr<Connection>> closed;  // Until no call of theirs runs any more.
  std::vector<std::uint64_t> to_flush;              // Connections with something queued.
  PeerTable peers;
  PendingCalls calls;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_HUB_IMPL_H_
