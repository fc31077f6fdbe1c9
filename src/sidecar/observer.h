// The life of each request, told once and in order to whoever watches. A watcher must be quick, may
// not call back, and sways nothing.
#ifndef KELPSPRING_OBSERVER_H_
#define KELPSPRING_OBSERVER_H_

#include <cstdint>

namespace kelpspring {

enum class Ending : std::uint8_t {
  kAnswered,   // Served, to the last byte.
  kRefused,    // Trying again is harmless.
  kFailed,     // Also an answer that broke off half way.
  kAbandoned,  // The client went away first.
};

// `level` is the index of the request's class in the settings.
class Observer {
 public:
  virtual void OnTaken(std::uint32_t level) = 0;
  // An attempt has been written whole to an endpoint.
  virtual void OnSent(std::uint32_t level) = 0;
  virtual void OnEnded(std::uint32_t level, Ending how) = 0;

 protected:
  ~Observer() = default;
};

}  // namespace kelpspring

#endif  // KELPSPRING_OBSERVER_H_
