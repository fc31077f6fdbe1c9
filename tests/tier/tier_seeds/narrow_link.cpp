#include "tier_seeds/narrow_link.h"

#include <algorithm>
#include <utility>

namespace shelflink::tier_seeds {
namespace {

class NarrowStream : public net::Stream, private net::StreamUser {
 public:
  NarrowStream(net::Loop& process, NarrowLink& link)
      : process_(process), link_(link), outgoing_(std::make_shared<Outgoing>()) {
    outgoing_->on_room = [this] { TellRoom(); };
  }
  ~NarrowStream() override { NarrowStream::Close(); }
  NarrowStream(const NarrowStream&) = delete;
  NarrowStream& operator=(const NarrowStream&) = delete;

  void Dial(const net::Address& to, net::StreamUser& user) {
    user_ = &user;
    stream_ = process_.Dial(to, *this);
    outgoing_->stream = stream_.get();
  }
  void Accept(net::StreamPtr stream) {
    stream_ = std::move(stream);
    outgoing_->stream = stream_.get();
  }

  void SetUser(net::StreamUser& user) override {
    user_ = &user;
    stream_->SetUser(*this);
  }
  void Receive() override { stream_->Receive(); }
  net::Written Write(std::string_view bytes) override {
    if (outgoing_->fault != net::Fault::kNone) return {0, outgoing_->fault};
    const std::size_t room = kSocketBuffer - std::min(kSocketBuffer, outgoing_->waiting.size());
    const std::size_t taken = std::min(room, bytes.size());
    outgoing_->waiting += bytes.substr(0, taken);
    wants_room_ = taken < bytes.size();
    link_.Send(outgoing_);
    return {taken, net::Fault::kNone};
  }
  net::Ahead Peek() override { return stream_->Peek(); }
  bool Ended() override { return stream_->Ended(); }
  void EndSending() override {
    outgoing_->ends = true;
    link_.Send(outgoing_);
  }
  void Close() override {
    outgoing_->stream = nullptr;
    outgoing_->on_room = nullptr;
    if (stream_) stream_->Close();
  }
  void Reset() override {
    outgoing_->stream = nullptr;
    outgoing_->on_room = nullptr;
    stream_->Reset();
  }
  net::Address peer() const override { return stream_->peer(); }

 private:
  void OnConnected(net::Fault fault) override { user_->OnConnected(fault); }
  void OnBytes(std::string_view bytes) override { user_->OnBytes(bytes); }
  void OnEnd(net::Fault fault) override { user_->OnEnd(fault); }
  void OnWritable() override {
    outgoing_->blocked = false;
    link_.Send(outgoing_);
  }

  void TellRoom() {
    if (!wants_room_ || outgoing_->waiting.size() > kSocketBuffer / 2) return;
    wants_room_ = false;
    process_.Post([this, weak = std::weak_ptr<Outgoing>(outgoing_)] {
      const auto alive = weak.lock();
      if (alive && alive->stream != nullptr) user_->OnWritable();
    });
  }

  net::Loop& process_;
  NarrowLink& link_;
  std::shared_ptr<Outgoing> outgoing_;
  net::StreamPtr stream_;
  net::StreamUser* user_ = nullptr;
  bool wants_room_ = false;
};

class NarrowListener : public net::Listener {
 public:
  NarrowListener(net::Loop& process, NarrowLink& link, net::ListenerPtr listener)
      : process_(process), link_(link), listener_(std::move(listener)) {}

  net::Address address() const override { return listener_->address(); }
  void Accept(Done done) override {
    listener_->Accept([&process = process_, &link = link_, done = std::move(done)](
                          net::Fault fault, net::StreamPtr stream) {
      done(fault, Wrap(process, link, std::move(stream)));
    });
  }
  net::StreamPtr TakeWaiting() override { return Wrap(process_, link_, listener_->TakeWaiting()); }
  void Close() override { listener_->Close(); }

 private:
  static net::StreamPtr Wrap(net::Loop& process, NarrowLink& link, net::StreamPtr stream) {
    if (!stream) return nullptr;
    auto narrow = std::make_unique<NarrowStream>(process, link);
    narrow->Accept(std::move(stream));
    return narrow;
  }

  net::Loop& process_;
  NarrowLink& link_;
  net::ListenerPtr listener_;
};

}  // namespace

void NarrowLink::Send(const std::shared_ptr<Outgoing>& outgoing) {
  if (outgoing->in_turn || outgoing->blocked) return;
  outgoing->in_turn = true;
  turns_.push_back(outgoing);
  if (!busy_) SendNext();
}

std::size_t NarrowLink::SendSegment(Outgoing& outgoing) {
  const std::size_t wanted = std::min(kSegment, outgoing.waiting.size());
  const net::Written written =
      outgoing.stream->Write(std::string_view(outgoing.waiting).substr(0, wanted));
  outgoing.waiting.erase(0, written.bytes);
  outgoing.fault = written.fault;
  outgoing.blocked = written.fault == net::Fault::kNone && written.bytes < wanted;
  if (outgoing.waiting.empty() && outgoing.ends) outgoing.stream->EndSending();
  if (outgoing.on_room) outgoing.on_room();
  return written.bytes;
}

void NarrowLink::SendNext() {
  busy_ = false;
  while (!turns_.empty()) {
    const std::shared_ptr<Outgoing> outgoing = std::move(turns_.front());
    turns_.pop_front();
    outgoing->in_turn = false;
    if (outgoing->stream == nullptr) continue;
    const std::size_t bytes = SendSegment(*outgoing);
    const bool more = !outgoing->waiting.empty() && !outgoing->blocked;
    if (more && outgoing->fault == net::Fault::kNone) {
      outgoing->in_turn = true;
      turns_.push_back(outgoing);
    }
    if (bytes == 0) continue;
    sent_ += bytes;
    busy_ = true;
    const std::chrono::duration<double> takes(static_cast<double>(bytes) /
                                              static_cast<double>(bytes_per_second_));
    net_.At(net_.Now() + std::chrono::duration_cast<net::Span>(takes), [this] { SendNext(); });
    return;
  }
}

net::StreamPtr NarrowLoop::Dial(const net::Address& to, net::StreamUser& user) {
  auto stream = std::make_unique<NarrowStream>(process_, link_);
  stream->Dial(to, user);
  return stream;
}

net::ListenerPtr NarrowLoop::Listen(const net::Address& at) {
  return std::make_unique<NarrowListener>(process_, link_, process_.Listen(at));
}

}  // namespace shelflink::tier_seeds
