// The operators' door: a second HTTP listener for /ready, /metrics, /drain and /undrain, and what
// concerns the fleet; one call to a connection. Its places are its own, so that no crowd of clients
// keeps the staff out. It decides nothing and must never touch a client's request: all it does
// leaves through Orders.
#ifndef SHELFLINK_CONTROL_DOOR_H_
#define SHELFLINK_CONTROL_DOOR_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "sidecar/log.h"

namespace control {

struct Orders {
  std::function<bool()> ready;
  std::function<std::string()> metrics;
  std::function<void()> drain;
  std::function<bool()> undrain;  // False: the process is leaving.
  // Calls that concern the fleet, by path (/fleet, /orders, /orders/pause, /orders/resume,
  // /orders/off, /turn) and body; answered then or later. Empty: there is no such channel.
  using Answered = std::function<void(int status, std::string text)>;
  std::function<void(std::string_view path, const std::string& body, Answered)> fleet = nullptr;
};

class Door {
 public:
  // Connections at a time. At the bound the one that has had its answer goes first, then the oldest
  // without a whole call.
  static constexpr std::size_t kPlaces = 12;
  // Descriptors that it may hold: its connections, the listener, and one that is being taken in.
  static constexpr std::size_t kDescriptors = kPlaces + 2;

  // Throws net::Error if it cannot listen.
  Door(net::Loop& loop, kelpspring::Log& log, const net::Address& at, Orders orders);
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;

  net::Address address() const { return listener_->address(); }
  std::size_t callers() const { return callers_.size(); }

 private:
  class Caller;
  using CallerPtr = std::shared_ptr<Caller>;

  void Accept();
  void Accepted(net::StreamPtr stream);
  void MakeRoom();
  void Remove(const CallerPtr& caller) { callers_.remove(caller); }

  net::Loop& loop_;
  kelpspring::Log& log_;
  Orders orders_;
  net::ListenerPtr listener_;
  net::TimerPtr pause_;
  std::list<CallerPtr> callers_;  // The oldest first.
};

}  // namespace control

#endif  // SHELFLINK_CONTROL_DOOR_H_
