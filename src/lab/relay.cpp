#include "lab/relay.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "lab/clock.h"

namespace shelflab {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMostBytes = 65536;

}  // namespace

Relay::Relay(asio::io_context& io, std::vector<Endpoint> own, const std::vector<Endpoint>& theirs,
             std::uint64_t seed)
    : io_(io), own_(std::move(own)), faults_(own_.size()), random_(seed, 0x4e1a) {
  for (std::size_t i = 0; i < own_.size(); ++i) {
    numbers_.emplace(own_[i], i);
    sockets_.emplace_back(io_, theirs[i]).non_blocking(true);
    Wait(i);
  }
}

void Relay::Stop() {
  *open_ = false;
  error_code ignored;
  for (auto& socket : sockets_) socket.close(ignored);
}

void Relay::Wait(std::size_t to) {
  sockets_[to].async_wait(udp::socket::wait_read, [this, to, open = open_](error_code ec) {
    if (ec || !*open) return;
    Take(to);
    Wait(to);
  });
}

void Relay::Take(std::size_t to) {
  std::string bytes(kMostBytes, '\0');
  for (;;) {
    error_code ec;
    Endpoint from;
    const std::size_t n = sockets_[to].receive_from(asio::buffer(bytes), from, 0, ec);
    if (ec == asio::error::would_block) return;
    if (ec) continue;  // Whom it sent to last was not there.
    const auto sender = numbers_.find(from);
    if (sender != numbers_.end()) Carry(sender->second, to, bytes.substr(0, n));
  }
}

void Relay::Carry(std::size_t from, std::size_t to, const std::string& bytes) {
  const LinkFault& a = faults_[from];
  const LinkFault& b = faults_[to];
  if (a.mute || b.deaf || a.apart != b.apart) return;
  if (random_.Chance(std::max(a.lose, b.lose))) return;
  const int copies = random_.Chance(std::max(a.repeat, b.repeat)) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Micros drawn =
        static_cast<Micros>(random_.Unit() * static_cast<double>(std::max(a.reorder, b.reorder)));
    const Micros late = a.delay + b.delay + drawn;
    if (late == 0) {
      Deliver(from, to, bytes);
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_at(At(Now() + late));
    timer->async_wait([this, timer, from, to, bytes, open = open_](error_code ec) {
      if (!ec && *open) Deliver(from, to, bytes);
    });
  }
}

void Relay::Deliver(std::size_t from, std::size_t to, const std::string& bytes) {
  error_code ignored;
  sockets_[from].send_to(asio::buffer(bytes), own_[to], 0, ignored);
}

}  // namespace shelflab
