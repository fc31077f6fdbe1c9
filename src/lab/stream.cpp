#include "lab/stream.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace shelflab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadChunk = 65536;
thread_local std::array<char, kReadChunk> read_chunk;

bool WouldBlock(const error_code& ec) {
  return ec == asio::error::would_block || ec == asio::error::try_again;
}

}  // namespace

std::string AddressText(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void Prepare(asio::ip::tcp::socket& socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Stream::StartReading() {
  wants_bytes_ = true;
  if (waits_to_read_ || !open()) return;
  waits_to_read_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->waits_to_read_ = false;
    if (ec || !self->open() || !self->wants_bytes_) return;
    self->ReadSome();
    if (self->wants_bytes_ && self->open()) self->StartReading();
  });
}

void Stream::ReadSome() {
  error_code ec;
  const std::size_t n = socket_.read_some(asio::buffer(read_chunk), ec);
  if (WouldBlock(ec)) return;
  if (ec) return Broken();
  OnBytes({read_chunk.data(), n});
}

void Stream::Write(std::string_view bytes) {
  if (!open()) return;
  if (unsent_.empty()) {
    error_code ec;
    const std::size_t n = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), ec);
    if (ec && !WouldBlock(ec)) return;  // The read tells of the end.
    if (!ec) bytes.remove_prefix(n);
    if (bytes.empty()) return;
  }
  unsent_.append(bytes);
  WriteSome();
}

void Stream::WriteSome() {
  if (waits_to_write_ || unsent_.empty() || !open()) return;
  waits_to_write_ = true;
  socket_.async_wait(Socket::wait_write, [self = shared_from_this()](error_code ec) {
    self->waits_to_write_ = false;
    if (ec || !self->open()) return;
    error_code failed;
    const std::size_t n = self->socket_.write_some(asio::buffer(self->unsent_), failed);
    if (failed && !WouldBlock(failed)) return;
    if (!failed) self->unsent_.erase(0, n);
    if (!self->unsent_.empty()) return self->WriteSome();
    self->unsent_.shrink_to_fit();
    if (self->close_when_sent_) self->Close();
  });
}

void Stream::CloseAfterWriting() {
  close_when_sent_ = true;
  if (unsent_.empty()) Close();
}

void Stream::Close() {
  wants_bytes_ = false;
  error_code ignored;
  socket_.close(ignored);
}

void Stream::Reset() {
  if (!open()) return;
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Stream::Broken() {
  Close();
  OnClosed();
}

}  // namespace shelflab
