#include "tier/transport/connection.h"

#include <optional>
#include <utility>

namespace shelflink::transport {

Connection::Connection(std::uint64_t id, net::Loop& loop, ConnectionOwner& owner,
                       const PeerIdentity& self, Spans spans)
    : id_(id), loop_(loop), owner_(owner), self_(self), spans_(spans), silence_(spans.silence) {}

void Connection::Dial(const net::Address& to, std::uint64_t dial) {
  dial_ = dial;
  dialled_address_ = to;
  state_deadline_ = loop_.Now() + spans_.connect;
  stream_ = loop_.Dial(to, *this);
}

void Connection::Accept(net::StreamPtr stream) {
  stream_ = std::move(stream);
  stream_->SetUser(*this);
  StartGreeting();
}

void Connection::StartGreeting() {
  state_ = State::kGreeting;
  state_deadline_ = loop_.Now() + spans_.silence;
  // Nothing overtakes it.
  Append(EncodeHello(self_, dial_), {.urgent = true});
  owner_.OnQueued(*this);
  owner_.OnChanged(*this);
  stream_->Receive();
}

// Of the others a long one is cut, so that what is urgent need not wait for its end.
std::uint64_t Connection::Append(std::string frame, Delivery delivery) {
  const bool may_be_cut = !delivery.urgent && delivery.slot == 0;
  if (!may_be_cut || frame.size() <= kFrameHead + kLongestPart) {
    return AppendWhole(std::move(frame), delivery);
  }
  std::optional<std::uint64_t> first;
  for (std::string& part : CutIntoParts(frame)) {
    const std::uint64_t place = AppendWhole(std::move(part), delivery);
    first = first.value_or(place);
  }
  return *first;
}

std::uint64_t Connection::AppendWhole(std::string frame, Delivery delivery) {
  owner_.OnBytesQueued(frame.size());
  const Outbox::Put put = outbox_.Append(std::move(frame), delivery);
  if (put.replaced > 0) owner_.OnReplaced(put.replaced);
  return put.place;
}

std::uint64_t Connection::Queue(std::string frame, Expects expects, Delivery delivery) {
  const std::uint64_t place = Append(std::move(frame), delivery);
  if (expects == Expects::kSignOfLife) {
    silence_.Sent(loop_.Now());
    owner_.OnChanged(*this);
  }
  if (!blocked_) owner_.OnQueued(*this);
  return place;
}

void Connection::Flush() {
  while (!closed() && !blocked_ && !outbox_.empty()) {
    const std::string_view front = outbox_.Front();
    const net::Written written = stream_->Write(front);
    blocked_ = written.bytes < front.size();
    // Before a fault some bytes may have gone, which the calls must be judged by.
    outbox_.Written(written.bytes);
    owner_.OnBytesWritten(written.bytes);
    if (written.fault != net::Fault::kNone) return Break("reset");
  }
  if (!blocked_ || closed()) return;
  // A peer that does not read owes a sign of life, whatever it was sent.
  silence_.Sent(loop_.Now());
  owner_.OnChanged(*this);
}

void Connection::OpenCall(std::uint64_t call) {
  open_calls_.insert(call);
  silence_.CallOpened(loop_.Now());
  owner_.OnChanged(*this);
}

void Connection::EndCall(std::uint64_t call) {
  if (open_calls_.erase(call) == 0) return;
  silence_.CallEnded();
  owner_.OnChanged(*this);
}

net::Time Connection::NextCheck() const {
  switch (state_) {
    case State::kDialling:
    case State::kGreeting:
      return state_deadline_;
    case State::kGreeted:
      return silence_.NextCheck();
    case State::kClosed:
      break;
  }
  return net::Time::max();
}

void Connection::CheckSilence(net::Time now) {
  if (now < NextCheck()) return;
  if (state_ == State::kDialling) return Break("connect");
  if (state_ == State::kGreeting) return Break("silence");
  switch (silence_.Check(now)) {
    case Silence::Verdict::kFine:
      return;
    case Silence::Verdict::kPing:
      Queue(EncodePing(), Expects::kSignOfLife);
      return;
    case Silence::Verdict::kDead:
      return Break("silence");
  }
}

void Connection::RestartSpans(net::Time now) {
  state_deadline_ = now + (state_ == State::kDialling ? spans_.connect : spans_.silence);
  silence_.Restart(now);
}

void Connection::Close() {
  state_ = State::kClosed;
  if (stream_) stream_->Close();
}

void Connection::OnConnected(net::Fault fault) {
  if (fault != net::Fault::kNone) return Break("connect");
  StartGreeting();
}

void Connection::OnBytes(std::string_view bytes) {
  owner_.OnBytesRead(bytes.size());
  read_at_ = loop_.Now();
  silence_.Heard(read_at_);
  const auto outcome = splitter_.Feed(bytes, largest_frame_,
                                      [this](std::string_view payload) { return Take(payload); });
  if (closed()) return;
  if (outcome == FrameSplitter::Outcome::kTooLong) return Break(NameOf(FrameFault::kTooLong));
  owner_.OnChanged(*this);
  stream_->Receive();
}

void Connection::OnEnd(net::Fault fault) {
  Break(fault == net::Fault::kEnd && state_ == State::kGreeted ? "end" : "reset");
}

// Room again: the peer's machine has taken something.
void Connection::OnWritable() {
  blocked_ = false;
  silence_.Heard(loop_.Now());
  Flush();
  if (!closed()) owner_.OnChanged(*this);
}

// Whether the connection goes on.
bool Connection::Take(std::string_view payload) {
  const FrameResult frame = DecodeFrame(payload);
  if (!frame) {
    Break(NameOf(frame.error()));
  } else if (state_ == State::kGreeting) {
    Greet(frame.value());
  } else if (std::holds_alternative<HelloFrame>(frame.value())) {
    Break(NameOf(FrameFault::kMalformed));  // Said twice.
  } else if (std::holds_alternative<PingFrame>(frame.value())) {
    Queue(EncodePong(), Expects::kNothing);
  } else if (const auto* part = std::get_if<PartFrame>(&frame.value())) {
    TakePart(*part);
  } else if (!std::holds_alternative<PongFrame>(frame.value())) {
    owner_.OnFrame(*this, frame.value());
  }
  return !closed();
}

void Connection::TakePart(const PartFrame& part) {
  if (parts_.size() + part.bytes.size() > kLargestFrame) return Break(NameOf(FrameFault::kTooLong));
  parts_.append(part.bytes);
  if (!part.last) return;
  const std::string payload = std::exchange(parts_, {});
  const FrameResult whole = DecodeFrame(payload);
  if (!whole || std::holds_alternative<PartFrame>(whole.value())) {
    return Break(NameOf(FrameFault::kMalformed));
  }
  Take(payload);
}

void Connection::Greet(const Frame& frame) {
  const auto* hello = std::get_if<HelloFrame>(&frame);
  if (hello == nullptr) return Break(NameOf(FrameFault::kMalformed));
  peer_ = hello->identity;
  peer_dial_ = hello->dial;
  if (peer_.address == self_.address || (dialled() && peer_.address != dialled_address_)) {
    return Break("address");
  }
  state_ = State::kGreeted;
  largest_frame_ = kLargestFrame;
  owner_.OnGreeted(*this);
}

bool Connection::FromClaimedHost() const {
  const net::Address remote = stream_->peer();
  return !dialled() && remote.v6() == peer_.address.v6() && remote.bytes() == peer_.address.bytes();
}

void Connection::Break(const char* cause) {
  if (!closed()) owner_.OnBroken(*this, cause);
}

}  // namespace shelflink::transport
