// The seam between the program and its machine: clock, timers, byte streams, listeners, datagrams.
// Everything above it is driven by one Loop and by nothing else, so that the same code runs on
// sockets (net/sockets.h) and on a virtual network with a virtual clock (net/virtual.h).
//
// A loop is single-threaded: every call into it and out of it happens on its thread. Nothing that
// is started here calls back before the call that started it has returned.
#ifndef SHELFLINK_NET_LOOP_H_
#define SHELFLINK_NET_LOOP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string_view>

#include "net/address.h"

namespace net {

// A clock that no step of the wall clock moves. It has no now(): the time comes from a Loop.
struct Steady {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Steady>;
  static constexpr bool is_steady = true;
};
using Time = Steady::time_point;
using Span = Steady::duration;

// Why something did not come about or came to its end.
enum class Fault {
  kNone,
  kEnd,            // The other side has ended its sending; what it sent before has been read.
  kReset,          // The connection is broken.
  kRefused,        // Nobody listens there.
  kUnreachable,    // No way there, or no answer for longer than the machine waits.
  kNoDescriptors,  // The process or the machine has none left.
  kClosed,         // Closed on this side.
  kOther,
};
const char* WordOf(Fault fault);

// What cannot be had at the start: an address that is taken, for instance.
struct Error : std::runtime_error {
  Error(Fault why, const std::string& text) : std::runtime_error(text), fault(why) {}
  Fault fault;
};

// Whoever is told what happens on a stream. It may close or destroy the stream in any of these.
class StreamUser {
 public:
  // Dialled streams only, once: whether it came up.
  virtual void OnConnected(Fault) {}
  // Answers a Receive; the bytes, one at least, are there until this returns.
  virtual void OnBytes(std::string_view bytes) = 0;
  // Answers a Receive in place of bytes; none come any more.
  virtual void OnEnd(Fault fault) = 0;
  // After a Write that did not take all: more can be written.
  virtual void OnWritable() {}

 protected:
  ~StreamUser() = default;
};

// What can be told of a stream without taking anything from it.
enum class Ahead {
  kNothing,
  kBytes,  // Unread bytes have come.
  kOver,   // It has ended or is broken, and nothing is left to be read.
};

struct Written {
  std::size_t bytes = 0;
  Fault fault = Fault::kNone;
};

// One connection. Nothing is buffered for its user on either way: what Write takes has been handed
// to the machine, and what has come waits there until Receive asks for it, which is the
// backpressure. Destroying it closes it.
class Stream {
 public:
  virtual ~Stream() = default;
  // An accepted stream needs one before anything else is called.
  virtual void SetUser(StreamUser& user) = 0;
  // Asks for OnBytes or OnEnd, once; of no effect while one is asked for.
  virtual void Receive() = 0;
  // Hands over what the machine takes at once. Less than all without a fault: OnWritable follows.
  virtual Written Write(std::string_view bytes) = 0;
  virtual Ahead Peek() = 0;
  // Whether the other side has ended or broken it, as far as this machine knows. Other than Peek it
  // tells so also while bytes that came before are unread.
  virtual bool Ended() = 0;
  // Half close: the other side reads an end after what was written.
  virtual void EndSending() = 0;
  // No more is told to the user. Closing with bytes unread may reset the connection.
  virtual void Close() = 0;
  virtual void Reset() = 0;
  virtual Address peer() const = 0;
};
using StreamPtr = std::unique_ptr<Stream>;

class Listener {
 public:
  using Done = std::function<void(Fault, StreamPtr)>;

  virtual ~Listener() = default;
  virtual Address address() const = 0;
  // Takes in one connection: `done` is called once, with a stream or a fault. One that had already
  // been taken in is still handed over after Close. One at a time.
  virtual void Accept(Done done) = 0;
  // One that stands in the queue at this moment; null if there is none or it cannot be had.
  virtual StreamPtr TakeWaiting() = 0;
  // Resets what stands in the queue.
  virtual void Close() = 0;
};
using ListenerPtr = std::unique_ptr<Listener>;

// Messages that come whole, once, late, twice or never. Destroying it closes it.
class Datagrams {
 public:
  using OnMessage = std::function<void(const Address& from, std::string_view bytes)>;

  virtual ~Datagrams() = default;
  virtual Address address() const = 0;
  // Never waits: what the machine does not take at once is dropped, and false returned.
  virtual bool Send(const Address& to, std::string_view bytes) = 0;
};
using DatagramsPtr = std::unique_ptr<Datagrams>;

// Destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
  // Fires once at that time or soon after, in place of what it was armed for before. A time that
  // has passed fires at once, but not from inside this call.
  virtual void ArmAt(Time at) = 0;
  // After this it does not fire, also if its time had come.
  virtual void Cancel() = 0;
};
using TimerPtr = std::unique_ptr<Timer>;

class Loop {
 public:
  virtual ~Loop() = default;
  virtual Time Now() const = 0;
  // Microseconds since 1970, by a clock that may be stepped at any time.
  virtual std::int64_t WallMicros() const = 0;
  // Microseconds since some moment, by a clock that no step moves and that goes on while the
  // machine sleeps: for whatever holds only so long.
  virtual std::int64_t LastingMicros() const = 0;
  virtual TimerPtr NewTimer(std::function<void()> fired) = 0;
  // Calls it after what runs now, in the order of the posts.
  virtual void Post(std::function<void()> step) = 0;
  // Starts a connection; OnConnected tells how that went, also where there is no descriptor.
  virtual StreamPtr Dial(const Address& to, StreamUser& user) = 0;
  // Throws Error. Port 0 asks for any free one.
  virtual ListenerPtr Listen(const Address& at) = 0;
  // Throws Error.
  virtual DatagramsPtr Bind(const Address& at, Datagrams::OnMessage on_message) = 0;
};

}  // namespace net

#endif  // SHELFLINK_NET_LOOP_H_
