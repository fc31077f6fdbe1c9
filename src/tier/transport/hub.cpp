#include "tier/transport/hub.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "tier/transport/hub_impl.h"

namespace shelflink::transport {

Hub::Impl::Impl(net::Loop& the_loop, PeerIdentity the_self, Options the_options)
    : loop(the_loop),
      self(std::move(the_self)),
      options(the_options),
      drops(the_loop, kLogger, counters.dropped),
      peers(the_options.redial) {}

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

// ---- Frames out ----

void Hub::Impl::Send(const net::Address& to, MessageKind kind, std::string body,
                     Delivery delivery) {
  if (body.size() > kLargestBody) return Drop(NameOf(FrameFault::kTooLong));
  if (to == self.address) {
    return Post([this, kind, body = std::move(body)] { TakeMessage(self, {kind, body}); });
  }
  Deliver(to, {EncodeMessage(kind, body), 0, delivery});
}

void Hub::Impl::Call(const net::Address& to, MessageKind kind, std::string body, net::Span timeout,
                     Reply done) {
  const std::uint64_t call = calls.Open(std::move(done), loop.Now() + timeout);
  if (body.size() > kLargestBody) {
    FinishLater(call, MakeError(ErrorCode::kTooLarge, "the message is longer than a frame"));
  } else if (to == self.address) {
    calls.Find(call)->handed_over = true;
    Post([this, kind, call, body = std::move(body)] { TakeCall(self, 0, {kind, call, body}); });
  } else {
    Deliver(to, {EncodeCall(kind, call, body), call, {}});
  }
  Rearm();
}

void Hub::Impl::Deliver(const net::Address& to, WaitingFrame frame) {
  Peer& peer = PeerAt(to);
  Connection* connection = peer.connections.empty() ? nullptr : peer.connections.front();
  const std::size_t queued = connection == nullptr ? peer.waiting_bytes : connection->queued();
  if (!HasRoom(queued, frame.bytes.size())) {
    Drop("queue");
    if (frame.call != 0) {
      FinishLater(frame.call, Unavailable("the queue to " + to.Text() + " is full"));
    }
    return;
  }
  if (connection != nullptr) return QueueOn(*connection, std::move(frame));
  peer.waiting_bytes += frame.bytes.size();
  queued_in_all += frame.bytes.size();
  peer.waiting.push_back(std::move(frame));
  EnsureDial(to, peer);
}

void Hub::Impl::QueueOn(Connection& connection, WaitingFrame frame) {
  if (frame.call == 0) {
    connection.Queue(std::move(frame.bytes), Connection::Expects::kSignOfLife, frame.delivery);
    return;
  }
  PendingCall* pending = calls.Find(frame.call);
  if (pending == nullptr) return;  // Its time ran out while it waited: it must not leave any more.
  pending->handed_over = true;
  pending->connection = connection.id();
  pending->place = connection.Queue(std::move(frame.bytes), Connection::Expects::kSignOfLife);
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
  const auto handler = it->second;  // It may put another in its place.
  (*handler)(from, message.body);
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
  if (it == call_handlers.end()) {
    Drop("unhandled");
    return reply(Unavailable("nothing handles calls of kind " + std::to_string(call.kind)));
  }
  const auto handler = it->second;  // It may put another in its place.
  (*handler)(from, call.body, reply);
}

// Only an answer on the connection that carried the call counts.
void Hub::Impl::TakeAnswer(const Connection& connection, std::uint64_t call,
                           Result<std::string> result) {
  const PendingCall* pending = calls.Find(call);
  if (pending == nullptr || pending->connection != connection.id()) return Drop("late");
  Finish(call, std::move(result));
}

// ---- Calls ----

void Hub::Impl::Finish(std::uint64_t call, Result<std::string> result) {
  const std::optional<PendingCall> pending = calls.Take(call);
  if (!pending) return;
  const auto connection = connections.find(pending->connection);
  if (connection != connections.end()) connection->second->EndCall(call);
  Rearm();
  pending->done(std::move(result));
}

void Hub::Impl::FinishLater(std::uint64_t call, Error error) {
  Post([this, call, error = std::move(error)] { Finish(call, error); });
}

void Hub::Impl::ExpireCalls(net::Time now) {
  while (const auto call = calls.Overdue(now)) {
    const bool handed_over = calls.Find(*call)->handed_over;
    Finish(*call,
           handed_over ? Unknown("no answer in time") : Unavailable("no connection in time"));
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
  const net::Time due = std::min(next_check, accept_again);
  return std::min({due, calls.NextDeadline(), peers.NextRedial()});
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
  while (const auto address = peers.TakeRedial(now)) {
    Peer& peer = PeerAt(*address);
    if (!peer.waiting.empty()) EnsureDial(*address, peer);
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
  impl_->SetHandler(impl_->message_handlers, kind, std::move(handler));
}

void Hub::HandleCall(MessageKind kind, OnCall handler) {
  impl_->SetHandler(impl_->call_handlers, kind, std::move(handler));
}

void Hub::Watch(OnPeer watcher) { impl_->watchers.push_back(std::move(watcher)); }

void Hub::Send(const net::Address& to, MessageKind kind, std::string body, Delivery delivery) {
  impl_->Send(to, kind, std::move(body), delivery);
}

void Hub::Call(const net::Address& to, MessageKind kind, std::string body,
               std::chrono::milliseconds timeout, Reply done) {
  impl_->Call(to, kind, std::move(body), timeout, std::move(done));
}

bool Hub::Connected(const net::Address& to) const {
  if (to == impl_->self.address) return true;
  return impl_->peers.Connected(to);
}

bool Hub::Receives(const net::Address& from, net::Span within) const {
  return impl_->peers.Receives(from, impl_->loop.Now() - within);
}

const Hub::Counters& Hub::counters() const { return impl_->counters; }

std::size_t Hub::queued_bytes() const { return impl_->queued_in_all; }

}  // namespace shelflink::transport
