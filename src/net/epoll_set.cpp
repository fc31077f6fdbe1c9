#include "net/epoll_set.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "net/loop.h"

namespace net {

namespace {

// In place of a generation in the data of events on others' descriptors.
constexpr std::uint64_t kOtherMark = 0xffffffffU;

epoll_event OtherEvent(int descriptor, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = kOtherMark << 32 | static_cast<std::uint32_t>(descriptor);
  return event;
}

bool IsSocket(int descriptor) {
  int type = 0;
  socklen_t size = sizeof type;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0;
}

}  // namespace

EpollSet::EpollSet() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ >= 0) return;
  const Fault fault = errno == EMFILE || errno == ENFILE ? Fault::kNoDescriptors : Fault::kOther;
  throw Error(fault, std::string("epoll: ") + std::strerror(errno));
}

EpollSet::~EpollSet() { ::close(epoll_); }

// ---- Own descriptors ----

epoll_event EpollSet::EventFor(int descriptor, std::uint32_t events) const {
  const std::uint64_t generation = slots_[static_cast<std::size_t>(descriptor)].generation;
  epoll_event event{};
  event.events = events;
  event.data.u64 = generation << 32 | static_cast<std::uint32_t>(descriptor);
  return event;
}

bool EpollSet::Add(int descriptor, std::uint32_t events, Watched& watched) {
  // Whoever had the number before has closed it.
  std::erase_if(others_, [descriptor](const Other& o) { return o.descriptor == descriptor; });
  const auto index = static_cast<std::size_t>(descriptor);
  if (index >= slots_.size()) slots_.resize(std::max(index + 1, slots_.size() * 2));
  slots_[index].watched = &watched;
  ++slots_[index].generation;
  epoll_event event = EventFor(descriptor, events);
  if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) == 0) return true;
  slots_[index].watched = nullptr;
  return false;
}

void EpollSet::Change(int descriptor, std::uint32_t events) {
  epoll_event event = EventFor(descriptor, events);
  ::epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event);
}

void EpollSet::Remove(int descriptor) {
  ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
  Forget(descriptor);
}

void EpollSet::Forget(int descriptor) {
  Slot& slot = slots_[static_cast<std::size_t>(descriptor)];
  slot.watched = nullptr;
  ++slot.generation;
}

// ---- Others' descriptors ----

// A socket may have been closed, and its number given to another one, since the last time, which
// takes it out of the set without a word: so each is asked for anew. What is no socket is the event
// descriptor of the GLib context, which lives as long as that.
bool EpollSet::WatchOther(int descriptor, std::uint32_t events) {
  const auto it = std::find_if(others_.begin(), others_.end(),
                               [descriptor](const Other& o) { return o.descriptor == descriptor; });
  const bool known = it != others_.end();
  if (known) it->wanted = true;
  if (known && !it->is_socket && it->events == events) return true;
  epoll_event event = OtherEvent(descriptor, events);
  const int first = known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (::epoll_ctl(epoll_, first, descriptor, &event) != 0) {
    if (errno != ENOENT && errno != EEXIST) return false;
    const int second = known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (::epoll_ctl(epoll_, second, descriptor, &event) != 0) return false;
  }
  if (known) {
    it->events = events;
  } else {
    others_.push_back({descriptor, events, IsSocket(descriptor), true});
  }
  return true;
}

bool EpollSet::WatchOthers(std::span<const pollfd> others) {
  for (Other& other : others_) other.wanted = false;
  for (const pollfd& one : others) {
    if (one.fd < 0 || one.fd == epoll_) continue;
    // The bits of poll and epoll are the same for these events.
    if (!WatchOther(one.fd, static_cast<std::uint16_t>(one.events))) return false;
  }
  std::erase_if(others_, [this](const Other& other) {
    if (!other.wanted) ::epoll_ctl(epoll_, EPOLL_CTL_DEL, other.descriptor, nullptr);
    return !other.wanted;
  });
  return true;
}

bool EpollSet::IsOther(const epoll_event& event) { return event.data.u64 >> 32 == kOtherMark; }

int EpollSet::DescriptorOf(const epoll_event& event) {
  return static_cast<int>(event.data.u64 & 0xffffffffU);
}

int EpollSet::Wait(std::span<pollfd> others, int timeout_ms) {
  waited_ = false;
  if (!WatchOthers(others)) return ::poll(others.data(), others.size(), timeout_ms);
  const int count =
      ::epoll_wait(epoll_, events_.data(), static_cast<int>(events_.size()), timeout_ms);
  if (count < 0) return count;
  waited_ = true;
  return Sort(others, count);
}

// Own events to the front of events_, others' into their places. The number of places with events.
int EpollSet::Sort(std::span<pollfd> others, int count) {
  found_ = 0;
  for (pollfd& one : others) one.revents = 0;
  for (int i = 0; i < count; ++i) {
    const epoll_event event = events_[static_cast<std::size_t>(i)];
    if (!IsOther(event)) {
      events_[static_cast<std::size_t>(found_++)] = event;
      continue;
    }
    for (pollfd& one : others) {
      if (one.fd == DescriptorOf(event)) one.revents = static_cast<short>(event.events);
    }
  }
  int places = 0;
  for (pollfd& one : others) {
    if (one.fd == epoll_ && found_ > 0) one.revents = POLLIN;
    if (one.revents != 0) ++places;
  }
  return places;
}

void EpollSet::TakeEvents() {
  if (!std::exchange(waited_, false)) {
    found_ = ::epoll_wait(epoll_, events_.data(), static_cast<int>(events_.size()), 0);
  }
  for (int i = 0; i < found_; ++i) {
    const epoll_event& event = events_[static_cast<std::size_t>(i)];
    if (IsOther(event)) continue;
    const Slot slot = slots_[static_cast<std::size_t>(DescriptorOf(event))];
    if (slot.watched == nullptr || slot.generation != event.data.u64 >> 32) continue;
    telling_ = slot.watched;
    slot.watched->OnEvents(event.events);
    telling_ = nullptr;
  }
}

}  // namespace net
