#include "tier/transport/hub.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tier/foundation/log.h"
#include "tier/transport/connection.h"
#include "tier/transport/frames.h"

namespace shelflink::transport {

namespace {

constexpr const char* kLogger = "transport";
constexpr net::Span kLongestRedialPause = std::chrono::milliseconds(500);
constexpr net::Span kAcceptPause = std::chrono::milliseconds(100);  // With no descriptor left.
constexpr std::size_t kPeersBeforeSweep = 1024;  // Entries of peers that are gone go then.

// A frame for a peer that there is no connection to yet.
struct WaitingFrame {
  std::string bytes;
  std::uint64_t call = 0;  // 0: a message.
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

struct PendingCall {
  Hub::Reply done;
  net::Time deadline;
  bool handed_over = false;      // To a connection or to this process itself.
  std::uint64_t connection = 0;  // Whose queue it stands in, or stood.
  std::uint64_t place = 0;       // Of its frame in that connection's stream.
};

Error Unavailable(const std::string& text) { return MakeError(ErrorCode::kUnavailable, text); }
Error Unknown(const std::string& text) { return MakeError(ErrorCode::kUnknown, text); }

}  // namespace

struct Hub::Impl final : ConnectionOwner, std::enable_shared_from_this<Hub::Impl> {
  Impl(net::Loop& the_loop, PeerIdentity the_self, Options the_options);

  void Start();
  void End();

  void Send(const net::Address& to, MessageKind kind, std::string body);
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

  // Posts a step that is left out if the hub is gone by then.
  void Post(std::function<void()> step);
  void TellWatchers(const PeerIdentity& peer, bool up);
  void Drop(const char* cause) { ++counters.dropped[cause]; }

  // Accepting and dialling.
  void AcceptNext();
  void OnAccepted(net::Fault fault, net::StreamPtr stream);
  Connection& NewConnection();
  Peer& PeerAt(const net::Address& address);
  void SweepPeers();
  void EnsureDial(const net::Address& address, Peer& peer);
  void OnDialFailed(const net::Address& address);
  std::vector<WaitingFrame> TakeWaiting(Peer& peer);
  void DropWaiting(Peer& peer, const std::string& reason);
  bool Supersede(Connection& connection, Peer& peer);

  // Frames out.
  bool HasRoom(std::size_t queued_to_peer, std::size_t more) const {
    return queued_to_peer + more <= kMostQueued && queued_in_all + more <= kMostQueuedInAll;
  }
  void Deliver(const net::Address& to, std::string frame, std::uint64_t call);
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
  std::unordered_map<MessageKind, OnMessage> message_handlers;
  std::unordered_map<MessageKind, OnCall> call_handlers;
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
  std::map<net::Address, Peer> peers;
  std::set<std::pair<net::Time, net::Address>> redials;  // Peers that wait for their pause to end.

  std::uint64_t last_call = 0;
  std::unordered_map<std::uint64_t, PendingCall> calls;
  std::set<std::pair<net::Time, std::uint64_t>> deadlines;
};

Hub::Impl::Impl(net::Loop& the_loop, PeerIdentity the_self, Options the_options)
    : loop(the_loop), self(std::move(the_self)), options(the_options) {}

void Hub::Impl::Start() {
  listener = loop.Listen(self.address);
  self.address = listener->address();
  timer = loop.NewTimer([this] { OnTimer(); });
  AcceptNext();
}

void Hub::Impl::End() {
  listener.reset();
  timer.reset();
  for (auto& [id, connection] : connections) connection->Close();
}

void Hub::Impl::Post(std::function<void()> step) {
  loop.Post([weak = weak_from_this(), step = std::move(step)] {
    // The hub ends this object together with its timer.
    const auto alive = weak.lock();
    if (alive && alive->timer) step();
  });
}

void Hub::Impl::TellWatchers(const PeerIdentity& peer, bool up) {
  const std::size_t count = watchers.size();
  for (std::size_t i = 0; i < count; ++i) watchers[i](peer, up);
}

// ---- Accepting and dialling ----

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

Peer& Hub::Impl::PeerAt(const net::Address& address) {
  const auto it = peers.find(address);
  if (it != peers.end()) return it->second;
  if (peers.size() >= kPeersBeforeSweep) SweepPeers();
  return peers[address];
}

// Forgets peers that there is nothing left to do with.
void Hub::Impl::SweepPeers() {
  const net::Time now = loop.Now();
  std::erase_if(peers, [now](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.connections.empty() && peer.dialling == nullptr && peer.waiting.empty() &&
           peer.not_before <= now;
  });
}

void Hub::Impl::EnsureDial(const net::Address& address, Peer& peer) {
  if (peer.dialling != nullptr || !peer.connections.empty()) return;
  if (loop.Now() < peer.not_before) {
    redials.emplace(peer.not_before, address);
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
  const net::Span longest = std::max<net::Span>(kLongestRedialPause, options.redial);
  peer.pause = peer.pause == net::Span{} ? options.redial : std::min(peer.pause * 2, longest);
  peer.not_before = loop.Now() + peer.pause;
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

// A process that was started anew does not use the connections of its earlier life, and whoever
// dials again has given up what it dialled before. So what still lies unread in the older
// connection can't be taken for newer. False if `connection` itself is the older one.
bool Hub::Impl::Supersede(Connection& connection, Peer& peer) {
  std::vector<Connection*> older;
  for (Connection* other : peer.connections) {
    if (other->peer().incarnation != connection.peer().incarnation) {
      older.push_back(other);
    } else if (!other->dialled() && !connection.dialled()) {
      const bool newer = connection.peer_dial() > other->peer_dial();
      older.push_back(newer ? other : &connection);
    }
  }
  for (Connection* one : older) OnBroken(*one, "superseded");
  return !connection.closed();
}

void Hub::Impl::OnGreeted(Connection& connection) {
  const PeerIdentity& identity = connection.peer();
  if (!Supersede(connection, PeerAt(identity.address))) return;
  Peer& peer = PeerAt(identity.address);
  if (peer.dialling == &connection) peer.dialling = nullptr;
  peer.pause = {};
  peer.not_before = {};
  peer.connections.push_back(&connection);
  for (WaitingFrame& frame : TakeWaiting(peer)) {
    QueueOn(connection, std::move(frame));
  }
  if (peer.connections.size() > 1) return;
  TellWatchers(identity, true);
}

void Hub::Impl::OnBroken(Connection& connection, const char* cause) {
  const bool greeted = connection.greeted();
  const std::string where = greeted                ? connection.peer().address.Text()
                            : connection.dialled() ? connection.dialled_address().Text()
                                                   : "a stranger";
  if (std::string_view(cause) != "end") {
    Drop(cause);
    log::Bounded(log::Level::kInfo, kLogger, where + cause,
                 "connection with " + where + " closed: " + cause, loop.LastingMicros());
  }
  connection.Close();
  queued_in_all -= connection.queued();
  const auto it = connections.find(connection.id());
  closed.push_back(std::move(it->second));
  connections.erase(it);
  watched.erase(connection.id());
  Post([this] { closed.clear(); });

  const auto open_calls = connection.open_calls();
  for (const std::uint64_t call : open_calls) {
    const bool left = connection.MayHaveLeft(calls.at(call).place);
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

// ---- Frames out ----

void Hub::Impl::Send(const net::Address& to, MessageKind kind, std::string body) {
  if (body.size() > kLargestBody) return Drop(WordOf(FrameFault::kTooLong));
  if (to == self.address) {
    return Post([this, kind, body = std::move(body)] { TakeMessage(self, {kind, body}); });
  }
  Deliver(to, EncodeMessage(kind, body), 0);
}

void Hub::Impl::Call(const net::Address& to, MessageKind kind, std::string body, net::Span timeout,
                     Reply done) {
  const std::uint64_t call = ++last_call;
  const net::Time deadline = loop.Now() + timeout;
  calls[call] = {std::move(done), deadline};
  deadlines.emplace(deadline, call);
  if (body.size() > kLargestBody) {
    FinishLater(call, MakeError(ErrorCode::kTooLarge, "the message is longer than a frame"));
  } else if (to == self.address) {
    calls[call].handed_over = true;
    Post([this, kind, call, body = std::move(body)] { TakeCall(self, 0, {kind, call, body}); });
  } else {
    Deliver(to, EncodeCall(kind, call, body), call);
  }
  Rearm();
}

void Hub::Impl::Deliver(const net::Address& to, std::string frame, std::uint64_t call) {
  Peer& peer = PeerAt(to);
  Connection* connection = peer.connections.empty() ? nullptr : peer.connections.front();
  const std::size_t queued = connection == nullptr ? peer.waiting_bytes : connection->queued();
  if (!HasRoom(queued, frame.size())) {
    Drop("queue");
    if (call != 0) FinishLater(call, Unavailable("the queue to " + to.Text() + " is full"));
    return;
  }
  if (connection != nullptr) return QueueOn(*connection, {std::move(frame), call});
  peer.waiting_bytes += frame.size();
  queued_in_all += frame.size();
  peer.waiting.push_back({std::move(frame), call});
  EnsureDial(to, peer);
}

void Hub::Impl::QueueOn(Connection& connection, WaitingFrame frame) {
  if (frame.call == 0) {
    connection.Queue(std::move(frame.bytes), Connection::Expects::kSignOfLife);
    return;
  }
  const auto it = calls.find(frame.call);
  if (it == calls.end()) return;  // Its time ran out while it waited: it must not leave any more.
  it->second.handed_over = true;
  it->second.connection = connection.id();
  it->second.place = connection.Queue(std::move(frame.bytes), Connection::Expects::kSignOfLife);
  connection.OpenCall(frame.call);
}

void Hub::Impl::QueueAnswer(std::uint64_t connection, std::string frame) {
  const auto it = connections.find(connection);
  if (it == connections.end()) return Drop("late");
  if (!HasRoom(it->second->queued(), frame.size())) return Drop("queue");
  it->second->Queue(std::move(frame), Connection::Expects::kNothing);
}

void Hub::Impl::OnQueued(Connection& connection) {
  if (to_flush.empty()) Post([this] { Flush(); });
  if (to_flush.empty() || to_flush.back() != connection.id()) to_flush.push_back(connection.id());
}

void Hub::Impl::Flush() {
  for (const std::uint64_t id : std::exchange(to_flush, {})) {
    const auto it = connections.find(id);
    if (it != connections.end()) it->second->Flush();
  }
}

// ---- Frames in ----

void Hub::Impl::OnFrame(Connection& connection, const Frame& frame) {
  if (const auto* message = std::get_if<MessageFrame>(&frame)) {
    TakeMessage(connection.peer(), *message);
  } else if (const auto* call = std::get_if<CallFrame>(&frame)) {
    TakeCall(connection.peer(), connection.id(), *call);
  } else if (const auto* answer = std::get_if<AnswerFrame>(&frame)) {
    TakeAnswer(connection, answer->call, std::string(answer->body));
  } else if (const auto* failure = std::get_if<FailureFrame>(&frame)) {
    TakeAnswer(connection, failure->call, failure->error);
  }
}

void Hub::Impl::TakeMessage(const PeerIdentity& from, const MessageFrame& message) {
  const auto it = message_handlers.find(message.kind);
  if (it == message_handlers.end()) return Drop("unhandled");
  it->second(from, message.body);
}

// `connection` is 0 for a call of this process to itself.
void Hub::Impl::TakeCall(const PeerIdentity& from, std::uint64_t connection,
                         const CallFrame& call) {
  const auto reply = [weak = weak_from_this(), connection, id = call.call,
                      used = std::make_shared<bool>(false)](Result<std::string> result) {
    const auto alive = weak.lock();
    if (std::exchange(*used, true) || !alive || !alive->timer) return;
    if (result && result.value().size() > kLargestBody) {
      result = MakeError(ErrorCode::kTooLarge, "the answer is longer than a frame");
    }
    if (connection == 0) {
      alive->Post(
          [impl = alive.get(), id, result = std::move(result)] { impl->Finish(id, result); });
    } else {
      alive->QueueAnswer(connection, result ? EncodeAnswer(id, result.value())
                                            : EncodeFailure(id, result.error()));
    }
  };
  const auto it = call_handlers.find(call.kind);
  if (it != call_handlers.end()) return it->second(from, call.body, reply);
  Drop("unhandled");
  reply(Unavailable("nothing handles calls of kind " + std::to_string(call.kind)));
}

// Only an answer on the connection that carried the call counts.
void Hub::Impl::TakeAnswer(const Connection& connection, std::uint64_t call,
                           Result<std::string> result) {
  const auto it = calls.find(call);
  if (it == calls.end() || it->second.connection != connection.id()) return Drop("late");
  Finish(call, std::move(result));
}

// ---- Calls ----

void Hub::Impl::Finish(std::uint64_t call, Result<std::string> result) {
  const auto it = calls.find(call);
  if (it == calls.end()) return;
  const PendingCall pending = std::move(it->second);
  calls.erase(it);
  deadlines.erase({pending.deadline, call});
  const auto connection = connections.find(pending.connection);
  if (connection != connections.end()) connection->second->EndCall(call);
  Rearm();
  pending.done(std::move(result));
}

void Hub::Impl::FinishLater(std::uint64_t call, Error error) {
  Post([this, call, error = std::move(error)] { Finish(call, error); });
}

void Hub::Impl::ExpireCalls(net::Time now) {
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const std::uint64_t call = deadlines.begin()->second;
    const bool handed_over = calls.at(call).handed_over;
    Finish(call, handed_over ? Unknown("no answer in time") : Unavailable("no connection in time"));
  }
}

// ---- Time ----

void Hub::Impl::OnChanged(Connection& connection) {
  const net::Time check = connection.NextCheck();
  if (check == net::Time::max()) {
    watched.erase(connection.id());
  } else {
    watched.insert({connection.id(), &connection});
    next_check = std::min(next_check, check);
  }
  if (watched.empty()) next_check = net::Time::max();
  Rearm();
}

net::Time Hub::Impl::NextDue() const {
  net::Time due = std::min(next_check, accept_again);
  if (!deadlines.empty()) due = std::min(due, deadlines.begin()->first);
  if (!redials.empty()) due = std::min(due, redials.begin()->first);
  return due;
}

void Hub::Impl::Rearm() {
  const net::Time due = NextDue();
  if (due == armed_for) return;
  armed_for = due;
  if (due == net::Time::max()) {
    timer->Cancel();
  } else {
    timer->ArmAt(due);
  }
}

void Hub::Impl::OnTimer() {
  const net::Time now = loop.Now();
  const net::Span late = now - std::exchange(armed_for, net::Time::max());
  // This process stood still. What the peers said in the meantime may be unread.
  if (late > options.silence / 4) {
    for (const auto& [id, connection] : watched) connection->RestartSpans(now);
  }
  CheckConnections(now);
  ExpireCalls(now);
  while (!redials.empty() && redials.begin()->first <= now) {
    const net::Address address = redials.begin()->second;
    redials.erase(redials.begin());
    Peer& peer = PeerAt(address);
    if (!peer.waiting.empty()) EnsureDial(address, peer);
  }
  if (accept_again <= now) {
    accept_again = net::Time::max();
    AcceptNext();
  }
  Rearm();
}

void Hub::Impl::CheckConnections(net::Time now) {
  if (next_check > now) return;
  const std::map<std::uint64_t, Connection*> all = watched;
  for (const auto& [id, connection] : all) {
    if (!connection->closed()) connection->CheckSilence(now);
  }
  next_check = net::Time::max();
  for (const auto& [id, connection] : watched) {
    next_check = std::min(next_check, connection->NextCheck());
  }
}

// ---- Hub ----

Hub::Hub(net::Loop& loop, PeerIdentity self, Options options)
    : impl_(std::make_shared<Impl>(loop, std::move(self), options)) {
  impl_->Start();
}

Hub::~Hub() { impl_->End(); }

const PeerIdentity& Hub::self() const { return impl_->self; }

void Hub::Handle(MessageKind kind, OnMessage handler) {
  impl_->message_handlers[kind] = std::move(handler);
}

void Hub::HandleCall(MessageKind kind, OnCall handler) {
  impl_->call_handlers[kind] = std::move(handler);
}

void Hub::Watch(OnPeer watcher) { impl_->watchers.push_back(std::move(watcher)); }

void Hub::Send(const net::Address& to, MessageKind kind, std::string body) {
  impl_->Send(to, kind, std::move(body));
}

void Hub::Call(const net::Address& to, MessageKind kind, std::string body,
               std::chrono::milliseconds timeout, Reply done) {
  impl_->Call(to, kind, std::move(body), timeout, std::move(done));
}

bool Hub::Connected(const net::Address& to) const {
  if (to == impl_->self.address) return true;
  const auto it = impl_->peers.find(to);
  return it != impl_->peers.end() && !it->second.connections.empty();
}

const Hub::Counters& Hub::counters() const { return impl_->counters; }

}  // namespace shelflink::transport
