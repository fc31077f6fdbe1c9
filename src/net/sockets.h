// The seam on real sockets and the machine's clocks (Boost.Asio). The one place of the sidecar that
// knows them.
#ifndef SHELFLINK_NET_SOCKETS_H_
#define SHELFLINK_NET_SOCKETS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "net/loop.h"

namespace net {

class SocketLoop : public Loop {
 public:
  // What it starts must be gone, as must the loop itself, before `io`.
  explicit SocketLoop(boost::asio::io_context& io);
  ~SocketLoop() override;
  SocketLoop(const SocketLoop&) = delete;
  SocketLoop& operator=(const SocketLoop&) = delete;

  Time Now() const override;
  std::int64_t WallMicros() const override;
  std::int64_t LastingMicros() const override;
  TimerPtr NewTimer(std::function<void()> fired) override;
  void Post(std::function<void()> step) override;
  StreamPtr Dial(const Address& to, StreamUser& user) override;
  ListenerPtr Listen(const Address& at) override;
  DatagramsPtr Bind(const Address& at, Datagrams::OnMessage on_message) override;

  // Takes over a listening socket that the process was started with. Throws Error if it is none.
  ListenerPtr Inherit(int descriptor);

  // Calls it each time the process gets that signal.
  void OnSignal(int signal, std::function<void()> step);

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace net

#endif  // SHELFLINK_NET_SOCKETS_H_
