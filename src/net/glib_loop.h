// net::Loop on a GLib main context, so that libsoup and the project's own connections share one
// thread and one loop. Sockets are watched by one epoll set, which also waits for the context.
#ifndef SHELFLINK_NET_GLIB_LOOP_H_
#define SHELFLINK_NET_GLIB_LOOP_H_

#include <memory>

#include "net/loop.h"

namespace net {

class GlibLoop : public Loop {
 public:
  // The thread's default context, which libsoup uses too.
  GlibLoop();
  ~GlibLoop() override;
  GlibLoop(const GlibLoop&) = delete;
  GlibLoop& operator=(const GlibLoop&) = delete;

  Time Now() const override;
  std::int64_t WallMicros() const override;
  std::int64_t LastingMicros() const override;
  TimerPtr NewTimer(std::function<void()> fired) override;
  void Post(std::function<void()> step) override;
  StreamPtr Dial(const Address& to, StreamUser& user) override;
  ListenerPtr Listen(const Address& at) override;
  DatagramsPtr Bind(const Address& at, Datagrams::OnMessage on_message) override;

  // Calls `step` on the loop's thread for each delivery of the signal.
  void OnSignal(int signal, std::function<void()> step);
  // Until Stop.
  void Run();
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace net

#endif  // SHELFLINK_NET_GLIB_LOOP_H_
