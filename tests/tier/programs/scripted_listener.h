// A listener on loopback that sends the same answer to each connection, whatever the request is,
// and then closes the connection or leaves it open without sending more. Runs in a thread of
// its own, which the destructor ends.
#ifndef SHELFLINK_TESTS_TIER_PROGRAMS_SCRIPTED_LISTENER_H_
#define SHELFLINK_TESTS_TIER_PROGRAMS_SCRIPTED_LISTENER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace shelflink::programs {

class ScriptedListener {
 public:
  enum class AfterAnswer : std::uint8_t { kClose, kKeepOpen };

  explicit ScriptedListener(std::string answer, AfterAnswer after_answer = AfterAnswer::kClose)
      : answer_(std::move(answer)),
        after_answer_(after_answer),
        socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const bool listens = ::bind(socket_, generic, size) == 0 && ::listen(socket_, 16) == 0 &&
                         ::getsockname(socket_, generic, &size) == 0;
    if (!listens) throw std::runtime_error("cannot listen on loopback");
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  ~ScriptedListener() {
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
    for (const int connection : open_connections_) ::close(connection);
  }
  ScriptedListener(const ScriptedListener&) = delete;
  ScriptedListener& operator=(const ScriptedListener&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int request_count() const { return request_count_; }
  // The last request. May be read only after the client program has ended.
  const std::string& request() const { return request_; }

 private:
  void Serve() {
    while (true) {
      const int connection = ::accept(socket_, nullptr, nullptr);
      if (connection < 0) return;
      ReadHead(connection);
      ++request_count_;
      WriteAnswer(connection);
      if (after_answer_ == AfterAnswer::kKeepOpen) {
        open_connections_.push_back(connection);
      } else {
        ::close(connection);
      }
    }
  }
  void ReadHead(int connection) {
    std::string head;
    char bytes[1024];
    while (head.find("\r\n\r\n") == std::string::npos) {
      const ssize_t count = ::recv(connection, bytes, sizeof bytes, 0);
      if (count <= 0) break;
      head.append(bytes, static_cast<std::size_t>(count));
    }
    request_ = head;
  }
  void WriteAnswer(int connection) const {
    std::size_t sent = 0;
    while (sent < answer_.size()) {
      const ssize_t count =
          ::send(connection, answer_.data() + sent, answer_.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return;
      sent += static_cast<std::size_t>(count);
    }
  }

  std::string answer_;
  AfterAnswer after_answer_;
  int socket_;
  int port_ = 0;
  std::atomic<int> request_count_{0};
  std::string request_;
  std::vector<int> open_connections_;
  std::thread thread_;
};

inline std::string HttpAnswer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace shelflink::programs

#endif  // SHELFLINK_TESTS_TIER_PROGRAMS_SCRIPTED_LISTENER_H_
