#include "lab/tcp_relay.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <utility>

#include "lab/clock.h"
#include "lab/stream.h"

namespace shelflab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 1024;
// Held back for one connection; beyond it the sender waits, as it would for a slow reader.
constexpr std::size_t kMostHeld = 1 << 20;

}  // namespace

// One end of a carried connection: what it reads goes out at the other.
class TcpRelay::Side : public Stream {
 public:
  Side(TcpRelay& owner, tcp::socket socket, bool to_process)
      : Stream(std::move(socket)), owner_(owner), to_process_(to_process), timer_(owner.io_) {}

  bool over() const {
    const auto other = other_.lock();
    return !open() && held_.empty() && (!other || !other->open());
  }
  void Pair(const std::shared_ptr<Side>& other) { other_ = other; }

  // Hands on what may go by now.
  void Release() {
    const auto other = other_.lock();
    if (!other) return DialWhenDue();
    while (!held_.empty() && !owner_.Held(to_process_) && held_.front().first <= Now()) {
      const std::string bytes = std::move(held_.front().second);
      held_.pop_front();
      size_ -= bytes.size();
      other->Write(bytes);
    }
    if (owner_.Held(to_process_)) return;
    if (!held_.empty()) return Wait();
    if (ended_) return other->CloseAfterWriting();
    if (open()) StartReading();
  }

  void Cut() {
    cut_ = true;
    held_.clear();
    timer_.cancel();
    Reset();
  }
  bool cut() const { return cut_; }
  void SetDialling() { dialling_ = true; }

 protected:
  void OnBytes(std::string_view bytes) override {
    const Micros delay = to_process_ ? owner_.fault_.delay : 0;
    held_.emplace_back(Now() + delay, std::string(bytes));
    size_ += bytes.size();
    if (size_ >= kMostHeld) StopReading();
    Release();
  }
  void OnClosed() override {
    ended_ = true;
    Release();
  }

 private:
  void DialWhenDue() {
    if (dialling_ || held_.empty() || owner_.Held(to_process_)) return;
    if (held_.front().first > Now()) return Wait();
    owner_.Dial(std::static_pointer_cast<Side>(shared_from_this()));
  }
  void Wait() {
    timer_.expires_at(At(held_.front().first));
    timer_.async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) static_cast<Side&>(*self).Release();
    });
  }

  TcpRelay& owner_;
  bool to_process_;  // What this end reads goes towards the process.
  asio::steady_timer timer_;
  std::weak_ptr<Side> other_;
  std::deque<std::pair<Micros, std::string>> held_;  // With when it may go.
  std::size_t size_ = 0;
  bool ended_ = false;
  bool dialling_ = false;
  bool cut_ = false;
};

TcpRelay::TcpRelay(asio::io_context& io, const Endpoint& target, Process process)
    : io_(io), target_(target), process_(process), acceptor_(io) {
  acceptor_.open(tcp::v4());
  acceptor_.bind({asio::ip::address_v4::loopback(), 0});
  acceptor_.listen(kBacklog);
  address_ = acceptor_.local_endpoint();
  Accept();
}

void TcpRelay::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
  Reset();
}

void TcpRelay::Accept() {
  acceptor_.async_accept([this, here = open_](error_code ec, tcp::socket socket) {
    if (!*here || ec == asio::error::operation_aborted) return;
    if (!ec) Join(std::move(socket));
    Accept();
  });
}

void TcpRelay::Join(tcp::socket socket) {
  Prepare(socket);
  const bool dials = process_ == Process::kDials;
  const auto in = std::make_shared<Side>(*this, std::move(socket), !dials);
  std::erase_if(sides_, [](const auto& s) { return s->over(); });
  sides_.push_back(in);
  in->StartReading();
  if (dials) Dial(in);
}

void TcpRelay::Dial(const std::shared_ptr<Side>& in) {
  in->SetDialling();
  const auto out = std::make_shared<tcp::socket>(io_);
  out->async_connect(target_, [this, in, out, here = open_](error_code ec) {
    if (!*here || ec == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (ec || in->cut()) return in->Cut();  // As if nobody listened.
    Prepare(*out);
    const bool dials = process_ == Process::kDials;
    const auto back = std::make_shared<Side>(*this, std::move(*out), dials);
    in->Pair(back);
    back->Pair(in);
    sides_.push_back(back);
    back->StartReading();
    in->Release();
  });
}

bool TcpRelay::Held(bool to_process) const {
  return fault_.shut || (to_process ? fault_.deaf : fault_.mute);
}

void TcpRelay::SetFault(const LinkFault& fault) {
  fault_ = fault;
  const auto sides = sides_;
  for (const auto& side : sides) side->Release();
}

void TcpRelay::Reset() {
  for (const auto& side : std::exchange(sides_, {})) side->Cut();
}

}  // namespace shelflab
