// Messages between the tier's processes: frames of CBOR over TCP, on the seam of net/loop.h.
//
// A process is known by its internal listener's address. A hub dials on the first message to an
// address, keeps the connection, and closes it when the peer has been silent for too long while
// something was owed (pings at hub level). A message is delivered once or lost, never twice and,
// between the same two processes within one connection, in order; after a loss the sender of a Call
// learns kUnknown, the sender of a Send nothing. So whoever sends repeats, and receivers guard.
// Long messages are cut, so that urgent ones need not wait for their end.
// That order holds save for urgent messages, which overtake, and for messages of a slot, of which
// only the newest is of use (transport/delivery.h).
// Messages go on the oldest connection with the peer, whoever dialled it. Of several that one
// process dialled only the newest counts: what an older one still holds is not delivered after it.
//
// Limits: kLargestFrame bytes a frame; kMostQueued bytes queued to one peer and kMostQueuedInAll to
// all together, beyond which Send drops (counted) and Call fails with kUnavailable. A frame that is
// malformed, too long or of another protocol version closes its connection and is counted by cause.
#ifndef SHELFLINK_TIER_TRANSPORT_HUB_H_
#define SHELFLINK_TIER_TRANSPORT_HUB_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "tier/foundation/result.h"
#include "tier/transport/delivery.h"

namespace shelflink::transport {

constexpr std::uint64_t kProtocolVersion = 2;
constexpr std::size_t kLargestFrame = 48U << 20;
constexpr std::size_t kMostQueued = 64U << 20;
constexpr std::size_t kMostQueuedInAll = 96U << 20;

// Kinds of messages; each module defines its own within its range.
using MessageKind = std::uint16_t;
constexpr MessageKind kCoordinationKinds = 100;  // 100-199
constexpr MessageKind kClusterKinds = 200;       // 200-299
constexpr MessageKind kBatchKinds = 300;         // 300-399
constexpr MessageKind kOperatorKinds = 400;      // 400-499

// Who speaks: told by the first frame of each connection, on both sides.
struct PeerIdentity {
  std::string node;  // Name of the machine.
  std::string role;  // "proxy", "core", "store"
  std::string zone;
  net::Address address;           // Of its internal listener.
  std::uint64_t incarnation = 0;  // Drawn at each start of the process.
};

class Hub {
 public:
  using OnMessage = std::function<void(const PeerIdentity& from, std::string_view body)>;
  using Reply = std::function<void(Result<std::string>)>;
  // May be kept and called later, once; not calling it leaves the caller to its time-out. Errors go
  // over the wire with code and text.
  using OnCall = std::function<void(const PeerIdentity& from, std::string_view body, Reply reply)>;
  using OnPeer = std::function<void(const PeerIdentity& peer, bool up)>;

  struct Options {
    std::chrono::milliseconds silence{
        1500};  // Owed an answer for so long: the connection is closed.
    std::chrono::milliseconds connect{1000};
    std::chrono::milliseconds redial{100};  // First pause; doubles to 500 ms.
    std::size_t most_connections = 4096;
  };

  // Listens at `self.address`. Throws net::Error where that is taken.
  Hub(net::Loop& loop, PeerIdentity self, Options options);
  ~Hub();
  Hub(const Hub&) = delete;
  Hub& operator=(const Hub&) = delete;

  const PeerIdentity& self() const;
  // In place of an earlier handler; an empty one takes it away.
  void Handle(MessageKind kind, OnMessage handler);
  void HandleCall(MessageKind kind, OnCall handler);
  // Told of each first connection to a process and of the end of its last one.
  void Watch(OnPeer watcher);

  void Send(const net::Address& to, MessageKind kind, std::string body, Delivery delivery = {});
  // `done` is called once, never from inside Call: the answer, the peer's error, kUnavailable where
  // the message certainly never left, kUnknown after `timeout` or when the connection broke.
  void Call(const net::Address& to, MessageKind kind, std::string body,
            std::chrono::milliseconds timeout, Reply done);

  bool Connected(const net::Address& to) const;
  // A message of that process has begun to come, is not whole, and has grown within that span.
  bool Receives(const net::Address& from, net::Span within) const;
  // Bytes written and read, messages replaced, frames dropped by cause ("version", "malformed",
  // "too_long", "queue"), and lines of the log about frames that could not be read: one a minute
  // for each cause.
  struct Counters {
    std::uint64_t bytes_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t replaced = 0;  // Messages in whose place a newer one of their slot has gone.
    std::map<std::string, std::uint64_t> dropped;
    std::uint64_t drop_lines = 0;
  };
  const Counters& counters() const;
  // Of all messages that wait to be written, whoever they are for.
  std::size_t queued_bytes() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_HUB_H_
