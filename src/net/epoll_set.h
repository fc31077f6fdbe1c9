// One epoll set for the descriptors of net::GlibLoop, which can also wait for those that GLib and
// libraries on it ask poll() for: so a turn of the loop takes one waiting call, and no poll set
// holds an epoll set.
#ifndef SHELFLINK_NET_EPOLL_SET_H_
#define SHELFLINK_NET_EPOLL_SET_H_

#include <poll.h>
#include <sys/epoll.h>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace net {

// Whoever is told of events on a descriptor. It may be destroyed in OnEvents.
class Watched {
 public:
  virtual void OnEvents(std::uint32_t events) = 0;

 protected:
  ~Watched() = default;
};

class EpollSet {
 public:
  // Throws Error.
  EpollSet();
  ~EpollSet();
  EpollSet(const EpollSet&) = delete;
  EpollSet& operator=(const EpollSet&) = delete;

  int descriptor() const { return epoll_; }

  // Tells `watched` of `events` on the descriptor from now on. False where the set takes no more.
  bool Add(int descriptor, std::uint32_t events, Watched& watched);
  void Change(int descriptor, std::uint32_t events);
  void Remove(int descriptor);
  // To be called before the descriptor is closed, which takes it out of the set.
  void Forget(int descriptor);

  // As poll(2), for `others` and for the set's own events, which TakeEvents then tells. In `others`
  // the set itself stands for its own events. Where one of them cannot be watched by epoll, it is
  // poll(2) that waits.
  int Wait(std::span<pollfd> others, int timeout_ms);
  // Tells what the last Wait found or, after a waiting by other means, what there is now.
  void TakeEvents();

  // Whether OnEvents of `watched` runs and it has not been closed in the meantime.
  bool Telling(const Watched& watched) const { return telling_ == &watched; }
  // Called by whoever is closed.
  void StopTelling(const Watched& watched) {
    if (telling_ == &watched) telling_ = nullptr;
  }

 private:
  static constexpr std::size_t kEventsAtOnce = 128;

  struct Slot {
    Watched* watched = nullptr;
    std::uint32_t generation = 0;  // Tells events of an earlier owner of the descriptor.
  };
  // A descriptor of somebody else, who may close it and get the same number again at any time.
  struct Other {
    int descriptor = -1;
    std::uint32_t events = 0;
    bool is_socket = false;
    bool wanted = false;  // By the Wait that runs.
  };

  epoll_event EventFor(int descriptor, std::uint32_t events) const;
  bool WatchOthers(std::span<const pollfd> others);
  bool WatchOther(int descriptor, std::uint32_t events);
  int Sort(std::span<pollfd> others, int count);
  static bool IsOther(const epoll_event& event);
  static int DescriptorOf(const epoll_event& event);

  int epoll_ = -1;
  std::vector<Slot> slots_;    // By descriptor.
  std::vector<Other> others_;  // Few.
  const Watched* telling_ = nullptr;
  std::array<epoll_event, kEventsAtOnce> events_{};
  int found_ = 0;        // Own events at the front of events_.
  bool waited_ = false;  // found_ is from a Wait.
};

}  // namespace net

#endif  // SHELFLINK_NET_EPOLL_SET_H_
