// The local control socket of a running emulation: a line of JSON asks, a line of JSON answers,
// then the connection ends. Whoever may open the socket's file may use it.
//
//   {"do":"incident","toml":"[[incident]]\nkind = ..."}   -> {"ok":true,"steps":4}
//   {"do":"status"}                                       -> {"ok":true,"nodes":[...],...}
//   {"do":"stop"}                                         -> {"ok":true}
//   anything that cannot be done                          -> {"ok":false,"error":"..."}
#ifndef SHELFLAB_LAB_CONTROL_H_
#define SHELFLAB_LAB_CONTROL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace shelflab {

constexpr std::size_t kMostControlBytes = 65536;  // Of a question; a longer one is refused.
constexpr std::size_t kMostControlPeers = 16;     // At a time; more wait in the accept queue.

class ControlServer {
 public:
  using Handler = std::function<nlohmann::json(const nlohmann::json&)>;
  // Takes the place of a socket file that nobody listens on. Throws std::runtime_error naming the
  // path if it cannot be had or is in use. What the handler throws is the answer's error.
  ControlServer(boost::asio::io_context& io, const std::string& path, Handler handler);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  class Peer;
  void Accept();
  nlohmann::json Answer(const std::string& line) const;

  boost::asio::local::stream_protocol::acceptor acceptor_;
  std::string path_;
  Handler handler_;
  std::size_t peers_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Asks and waits for the answer. Throws std::runtime_error, naming the path, if nobody answers
// within five seconds, and with the answer's own words if it says that it cannot.
nlohmann::json AskControl(const std::string& path, const nlohmann::json& question);

std::string DefaultControlPath();

}  // namespace shelflab

#endif  // SHELFLAB_LAB_CONTROL_H_
