#include "lab/control.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <utility>

namespace shelflab {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;
using Local = asio::local::stream_protocol;

namespace {

constexpr int kPatienceMs = 5000;

}  // namespace

class ControlServer::Peer : public std::enable_shared_from_this<Peer> {
 public:
  Peer(Local::socket socket, ControlServer& owner)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        owner_(owner),
        alive_(owner.alive_) {
    ++owner_.peers_;
  }
  ~Peer() {
    if (!*alive_) return;
    --owner_.peers_;
    owner_.Accept();
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  // Whoever says nothing is let go.
  void Start() {
    timer_.expires_after(std::chrono::milliseconds(kPatienceMs));
    timer_.async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      error_code ignored;
      if (!ec && self) self->socket_.close(ignored);
    });
    Read();
  }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              if (ec || !*self->alive_) return;
                              self->line_.append(self->chunk_.data(), n);
                              self->Got();
                            });
  }
  void Got() {
    const std::size_t end = line_.find('\n');
    if (end == std::string::npos && line_.size() <= kMostControlBytes) return Read();
    const Json answer = end > kMostControlBytes
                            ? Json{{"ok", false}, {"error", "the question is over 64 KiB"}}
                            : owner_.Answer(line_.substr(0, end));
    line_ = answer.dump() + "\n";
    asio::async_write(socket_, asio::buffer(line_),
                      [self = shared_from_this()](error_code, std::size_t) {
                        self->timer_.cancel();
                        error_code ignored;
                        self->socket_.close(ignored);
                      });
  }

  Local::socket socket_;
  asio::steady_timer timer_;
  ControlServer& owner_;
  std::shared_ptr<bool> alive_;
  std::array<char, 4096> chunk_{};
  std::string line_;
};

ControlServer::ControlServer(asio::io_context& io, const std::string& path, Handler handler)
    : acceptor_(io), path_(path), handler_(std::move(handler)) {
  if (path.size() >= sizeof(sockaddr_un::sun_path)) {
    throw std::runtime_error(path + ": too long for a socket's path");
  }
  error_code ec;
  Local::socket probe(io);
  probe.connect(Local::endpoint(path), ec);
  if (!ec) throw std::runtime_error(path + ": another emulation listens there");
  if (std::filesystem::is_socket(path)) std::filesystem::remove(path);
  acceptor_.open(Local());
  acceptor_.bind(Local::endpoint(path), ec);
  if (ec) {
    path_.clear();
    throw std::runtime_error(path + ": " + ec.message());
  }
  std::filesystem::permissions(
      path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  acceptor_.listen();
  Accept();
}

ControlServer::~ControlServer() {
  *alive_ = false;
  std::error_code ignored;
  if (!path_.empty()) std::filesystem::remove(path_, ignored);
}

void ControlServer::Accept() {
  if (peers_ >= kMostControlPeers) return;
  acceptor_.async_accept([this, alive = alive_](error_code ec, Local::socket socket) {
    if (ec || !*alive) return;
    std::make_shared<Peer>(std::move(socket), *this)->Start();
    if (peers_ < kMostControlPeers) Accept();
  });
}

Json ControlServer::Answer(const std::string& line) const {
  const Json question = Json::parse(line, nullptr, false);
  if (!question.is_object()) return {{"ok", false}, {"error", "expected a JSON object"}};
  try {
    Json answer = handler_(question);
    answer["ok"] = true;
    return answer;
  } catch (const std::exception& e) {
    return {{"ok", false}, {"error", e.what()}};
  }
}

Json AskControl(const std::string& path, const Json& question) {
  asio::io_context io;
  Local::socket socket(io);
  error_code ec;
  socket.connect(Local::endpoint(path), ec);
  if (ec) throw std::runtime_error(path + ": no emulation listens there: " + ec.message());
  asio::write(socket, asio::buffer(question.dump() + "\n"), ec);
  std::string text;
  std::array<char, 4096> chunk;
  while (!ec) {
    pollfd waiting{socket.native_handle(), POLLIN, 0};
    if (::poll(&waiting, 1, kPatienceMs) <= 0) throw std::runtime_error(path + ": no answer");
    const std::size_t n = socket.read_some(asio::buffer(chunk), ec);
    text.append(chunk.data(), n);
  }
  Json answer = Json::parse(text, nullptr, false);
  if (!answer.is_object()) throw std::runtime_error(path + ": not an answer");
  if (!answer.value("ok", false)) throw std::runtime_error(answer.value("error", "refused"));
  return answer;
}

std::string DefaultControlPath() {
  return (std::filesystem::temp_directory_path() /
          ("shelflab-" + std::to_string(::getuid()) + ".sock"))
      .string();
}

}  // namespace shelflab
