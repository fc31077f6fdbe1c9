#include "soak/cutting_loop.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <string_view>
#include <utility>

namespace shelflink::soak {
namespace {

constexpr std::chrono::milliseconds kReadEvery{50};
// What a machine's own buffers would take of a connection that is cut.
constexpr std::size_t kMostHeldBytes = std::size_t{256} << 10U;

// Of connections whose user has closed them.
class Nobody : public net::StreamUser {
 public:
  void OnBytes(std::string_view) override {}
  void OnEnd(net::Fault) override {}
};

net::StreamUser& TheNobody() {
  static Nobody nobody;
  return nobody;
}

}  // namespace

Cuts ReadCuts(const std::string& path) {
  Cuts cuts;
  std::ifstream file(path);
  std::string way;
  std::string peer;
  while (file >> way >> peer) {
    if (way == "to") cuts.to.insert(peer);
    if (way == "from") cuts.from.insert(peer);
  }
  return cuts;
}

// One dialled connection. What its user writes into a cut, and what comes out of one, waits here.
class CuttableStream : public net::Stream, private net::StreamUser {
 public:
  CuttableStream(CuttingLoop& loop, const net::Address& peer, net::StreamUser& user)
      : loop_(loop), peer_(peer), ip_(peer.Host()), address_(peer.Text()), user_(&user) {
    loop_.streams_.insert(this);
    Dial();
  }
  ~CuttableStream() override {
    LetGo();
    loop_.streams_.erase(this);
  }
  CuttableStream(const CuttableStream&) = delete;
  CuttableStream& operator=(const CuttableStream&) = delete;

  void SetUser(net::StreamUser& user) override { user_ = &user; }

  void Receive() override {
    receiving_ = true;
    if (!held_bytes_.empty() || end_) {
      loop_.Post([this, &loop = loop_] {
        if (loop.streams_.contains(this)) Deliver();
      });
    } else if (inner_) {
      inner_->Receive();
    }
  }

  net::Written Write(std::string_view bytes) override {
    if (user_ == nullptr) return {0, net::Fault::kClosed};
    if (!HeldTo() && unsent_.empty() && inner_) return inner_->Write(bytes);
    const std::size_t taken =
        std::min(bytes.size(), kMostHeldBytes - std::min(kMostHeldBytes, unsent_.size()));
    unsent_.append(bytes.substr(0, taken));
    wants_room_ = taken < bytes.size();
    return {taken, net::Fault::kNone};
  }

  net::Ahead Peek() override {
    if (user_ == nullptr) return net::Ahead::kOver;
    if (HeldFrom()) return net::Ahead::kNothing;
    if (!held_bytes_.empty()) return net::Ahead::kBytes;
    if (end_) return net::Ahead::kOver;
    return inner_ ? inner_->Peek() : net::Ahead::kNothing;
  }

  bool Ended() override {
    if (user_ == nullptr) return true;
    if (HeldFrom() || !inner_) return false;
    return end_.has_value() || inner_->Ended();
  }

  void EndSending() override {
    if (HeldTo() || !unsent_.empty()) {
      ends_sending_ = true;
    } else if (inner_) {
      inner_->EndSending();
    }
  }

  void Close() override { LetGo(); }

  void Reset() override {
    if (inner_ && !Held()) inner_->Reset();
    LetGo();
  }

  net::Address peer() const override { return peer_; }

  // Every call to the user may destroy this stream.
  void OnCutsChanged() {
    if (user_ == nullptr) return;
    CuttingLoop& loop = loop_;
    if (!inner_) return Dial();
    if (!HeldTo()) Flush();
    if (loop.streams_.contains(this)) Deliver();
  }

 private:
  bool HeldTo() const { return IsAmong(loop_.cuts_.to); }
  bool HeldFrom() const { return IsAmong(loop_.cuts_.from); }
  bool IsAmong(const std::set<std::string>& cut) const {
    return cut.contains(ip_) || cut.contains(address_);
  }
  bool Held() const { return HeldTo() || HeldFrom(); }

  // A connection comes up only where bytes pass both ways.
  void Dial() {
    if (!Held()) inner_ = loop_.net::GlibLoop::Dial(peer_, *this);
  }

  void LetGo() {
    user_ = nullptr;
    if (!inner_) return;
    if (Held()) {
      inner_->SetUser(TheNobody());
      loop_.closed_.push_back(std::move(inner_));
    } else {
      inner_->Close();
    }
  }

  void Flush() {
    if (!unsent_.empty()) {
      const net::Written written = inner_->Write(unsent_);
      unsent_.erase(0, written.bytes);
      // A fault shows at the next write or read; a part is followed by OnWritable.
      if (written.fault != net::Fault::kNone) unsent_.clear();
    }
    if (!unsent_.empty()) return;
    if (std::exchange(ends_sending_, false)) inner_->EndSending();
    if (std::exchange(wants_room_, false)) user_->OnWritable();
  }

  // Tells the user what came while it was held back.
  void Deliver() {
    if (HeldFrom() || user_ == nullptr) return;
    if (connected_) return user_->OnConnected(*std::exchange(connected_, std::nullopt));
    if (!receiving_) return;
    if (!held_bytes_.empty()) {
      receiving_ = false;
      const std::string bytes = std::exchange(held_bytes_, {});
      user_->OnBytes(bytes);
    } else if (end_) {
      receiving_ = false;
      user_->OnEnd(*end_);
    }
  }

  void OnConnected(net::Fault fault) override {
    connected_ = fault;
    Deliver();
  }
  void OnBytes(std::string_view bytes) override {
    if (HeldFrom()) {
      held_bytes_.append(bytes);
    } else {
      receiving_ = false;
      user_->OnBytes(bytes);
    }
  }
  void OnEnd(net::Fault fault) override {
    end_ = fault;
    Deliver();
  }
  void OnWritable() override {
    if (HeldTo()) return;
    wants_room_ = wants_room_ || unsent_.empty();
    Flush();
  }

  CuttingLoop& loop_;
  net::Address peer_;
  std::string ip_;
  std::string address_;
  net::StreamUser* user_;  // None after Close.
  net::StreamPtr inner_;   // None until it is dialled: it waits for the end of the cut.
  std::optional<net::Fault> connected_;  // Not told yet.
  std::optional<net::Fault> end_;
  std::string held_bytes_;
  std::string unsent_;
  bool receiving_ = false;
  bool wants_room_ = false;
  bool ends_sending_ = false;
};

CuttingLoop::CuttingLoop(std::string path)
    : path_(std::move(path)), timer_(NewTimer([this] { ReadFileAgain(); })) {
  if (!path_.empty()) ReadFileAgain();
}

CuttingLoop::~CuttingLoop() = default;

net::StreamPtr CuttingLoop::Dial(const net::Address& to, net::StreamUser& user) {
  return std::make_unique<CuttableStream>(*this, to, user);
}

void CuttingLoop::ReadFileAgain() {
  timer_->ArmAt(Now() + kReadEvery);
  Cuts cuts = ReadCuts(path_);
  if (cuts == cuts_) return;
  cuts_ = std::move(cuts);
  if (cuts_.to.empty() && cuts_.from.empty()) closed_.clear();
  const std::set<CuttableStream*> streams = streams_;
  for (CuttableStream* stream : streams) {
    if (streams_.contains(stream)) stream->OnCutsChanged();
  }
}

}  // namespace shelflink::soak
