#include "net/glib_loop.h"

#include <glib-unix.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/intrusive/set.hpp>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "net/epoll_set.h"

namespace net {

namespace {

namespace intrusive = boost::intrusive;

constexpr std::size_t kReadChunk = 16384;  // Bytes taken in at a time.
constexpr int kReadsAtOnce = 8;            // Of one stream, before others have their turn.
constexpr int kPostRounds = 4;             // Rounds of posted steps before sockets' turn.
constexpr std::uint32_t kReadEvents = EPOLLIN | EPOLLRDHUP;
constexpr std::uint32_t kBrokenEvents = EPOLLERR | EPOLLHUP;

Fault FaultOf(int error) {
  switch (error) {
    case 0:
      return Fault::kNone;
    case EMFILE:
    case ENFILE:
      return Fault::kNoDescriptors;
    case ECONNREFUSED:
      return Fault::kRefused;
    case EHOSTUNREACH:
    case ENETUNREACH:
    case ETIMEDOUT:
      return Fault::kUnreachable;
    case ECONNRESET:
    case EPIPE:
    case ECONNABORTED:
      return Fault::kReset;
    default:
      return Fault::kOther;
  }
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// ---- Addresses ----

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_storage);

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

SocketAddress SocketAddressOf(const Address& address) {
  SocketAddress result;
  if (address.v6()) {
    sockaddr_in6 six{};
    six.sin6_family = AF_INET6;
    six.sin6_port = htons(address.port());
    std::memcpy(&six.sin6_addr, address.bytes().data(), sizeof six.sin6_addr);
    std::memcpy(&result.storage, &six, sizeof six);
    result.size = sizeof six;
  } else {
    sockaddr_in four{};
    four.sin_family = AF_INET;
    four.sin_port = htons(address.port());
    std::memcpy(&four.sin_addr, address.bytes().data(), sizeof four.sin_addr);
    std::memcpy(&result.storage, &four, sizeof four);
    result.size = sizeof four;
  }
  return result;
}

Address AddressOf(const SocketAddress& address) {
  std::array<std::uint8_t, 16> bytes{};
  if (address.storage.ss_family == AF_INET6) {
    sockaddr_in6 six{};
    std::memcpy(&six, &address.storage, sizeof six);
    std::memcpy(bytes.data(), &six.sin6_addr, sizeof six.sin6_addr);
    return Address::FromBytes(bytes, true, ntohs(six.sin6_port));
  }
  sockaddr_in four{};
  std::memcpy(&four, &address.storage, sizeof four);
  std::memcpy(bytes.data(), &four.sin_addr, sizeof four.sin_addr);
  return Address::FromBytes(bytes, false, ntohs(four.sin_port));
}

int NewSocket(const Address& address, int type) {
  return ::socket(address.v6() ? AF_INET6 : AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void SetNoDelay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Time MonotonicNow() {
  timespec at{};
  ::clock_gettime(CLOCK_MONOTONIC, &at);
  return Time(std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec));
}

// ---- Timers ----

// Arming anew for later, and cancelling, leave the entry where it stands in the queue: most timers
// guard against what seldom happens and are moved on with every request. TimerQueue::Next puts such
// entries right before anything waits for them, so they wake nobody.
struct TimerEntry : intrusive::set_base_hook<intrusive::link_mode<intrusive::auto_unlink>>,
                    std::enable_shared_from_this<TimerEntry> {
  explicit TimerEntry(std::function<void()> step) : fired(std::move(step)) {}

  bool operator<(const TimerEntry& other) const { return queued_for < other.queued_for; }

  std::function<void()> fired;
  Time due;
  Time queued_for;
  bool armed = false;
};

class TimerQueue {
 public:
  void Arm(TimerEntry& entry, Time at) {
    // What is armed while timers fire waits for the next turn, so that sockets get theirs.
    entry.due = firing_ ? std::max(at, firing_until_ + std::chrono::nanoseconds(1)) : at;
    entry.armed = true;
    if (!entry.is_linked() || entry.due < entry.queued_for) Place(entry);
  }

  bool empty() const { return entries_.empty(); }

  // The time of the first timer; Time::max() without one.
  Time Next() {
    while (!entries_.empty()) {
      TimerEntry& first = *entries_.begin();
      if (!first.armed) {
        first.unlink();
      } else if (first.due > first.queued_for) {
        Place(first);
      } else {
        return first.due;
      }
    }
    return Time::max();
  }

  void Fire(Time until) {
    firing_ = true;
    firing_until_ = until;
    while (Next() <= until) {
      const std::shared_ptr<TimerEntry> entry = entries_.begin()->shared_from_this();
      entry->unlink();
      entry->armed = false;
      entry->fired();
    }
    firing_ = false;
  }

 private:
  void Place(TimerEntry& entry) {
    if (entry.is_linked()) entry.unlink();
    entry.queued_for = entry.due;
    entries_.insert(entry);
  }

  intrusive::multiset<TimerEntry, intrusive::constant_time_size<false>> entries_;
  bool firing_ = false;
  Time firing_until_;
};

// ---- The GLib source ----

// What all objects of one loop share; it lives as long as the last of them.
class Machine {
 public:
  Machine();
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Takes the source out of its context and drops what was posted.
  void End();

  GMainContext* context() { return context_; }
  TimerQueue& timers() { return timers_; }
  std::array<char, kReadChunk>& buffer() { return buffer_; }

  void Post(std::function<void()> step) { posted_.push_back(std::move(step)); }

  EpollSet& sockets() { return sockets_; }

 private:
  struct Source {
    GSource base;
    Machine* machine;
  };

  static gboolean Prepare(GSource* source, gint* timeout);
  static gboolean Check(GSource* source);
  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer);
  static Machine& Of(GSource* source) { return *reinterpret_cast<Source*>(source)->machine; }

  static gint Poll(GPollFD* places, guint count, gint timeout);
  static Machine* OnlyOneIn(std::span<const pollfd> places);

  bool SocketsReady() const { return g_source_query_unix_fd(source_, tag_) != 0; }
  void RunPosted();

  static GSourceFuncs functions_;
  static thread_local std::vector<Machine*> of_thread_;

  GMainContext* context_ = nullptr;
  GSource* source_ = nullptr;
  gpointer tag_ = nullptr;
  bool dispatching_ = false;
  EpollSet sockets_;
  std::array<char, kReadChunk> buffer_{};
  TimerQueue timers_;
  std::vector<std::function<void()>> posted_;
};

GSourceFuncs Machine::functions_ = {Machine::Prepare, Machine::Check, Machine::Dispatch,
                                    nullptr,          nullptr,        nullptr};

thread_local std::vector<Machine*> Machine::of_thread_;

Machine::Machine() : context_(g_main_context_ref_thread_default()) {
  source_ = g_source_new(&functions_, sizeof(Source));
  reinterpret_cast<Source*>(source_)->machine = this;
  g_source_set_name(source_, "net::GlibLoop");
  tag_ = g_source_add_unix_fd(source_, sockets_.descriptor(), G_IO_IN);
  // GLib takes a source that must not recurse out of the poll set while it is dispatched, and each
  // way wakes the context by a write to its event descriptor. `dispatching_` keeps out recursion.
  g_source_set_can_recurse(source_, TRUE);
  g_source_attach(source_, context_);
  of_thread_.push_back(this);
  g_main_context_set_poll_func(context_, Poll);
}

Machine::~Machine() {
  End();
  g_main_context_unref(context_);
}

void Machine::End() {
  if (source_ != nullptr) {
    g_source_destroy(source_);
    g_source_unref(std::exchange(source_, nullptr));
    std::erase(of_thread_, this);
    if (of_thread_.empty()) g_main_context_set_poll_func(context_, nullptr);
  }
  // What is dropped may post something more.
  while (!posted_.empty()) const auto dropped = std::exchange(posted_, {});
}

// The waiting of the context. The usual case is one loop in a thread, whose epoll set waits for
// all.
gint Machine::Poll(GPollFD* places, guint count, gint timeout) {
  static_assert(sizeof(GPollFD) == sizeof(pollfd));
  const std::span<pollfd> all(reinterpret_cast<pollfd*>(places), count);
  Machine* machine = OnlyOneIn(all);
  if (machine == nullptr) return g_poll(places, count, timeout);
  if (!machine->dispatching_) return machine->sockets_.Wait(all, timeout);
  // Somebody runs the context inside a step: the loop's events wait until that is over.
  const auto own = std::find_if(all.begin(), all.end(), [machine](const pollfd& place) {
    return place.fd == machine->sockets_.descriptor();
  });
  const int descriptor = std::exchange(own->fd, -1);  // Which poll leaves out.
  const gint ready = g_poll(places, count, timeout);
  own->fd = descriptor;
  own->revents = 0;
  return ready;
}

Machine* Machine::OnlyOneIn(std::span<const pollfd> places) {
  Machine* only = nullptr;
  for (const pollfd& place : places) {
    for (Machine* machine : of_thread_) {
      if (machine->sockets_.descriptor() != place.fd) continue;
      if (only != nullptr) return nullptr;
      only = machine;
    }
  }
  return only;
}

gboolean Machine::Prepare(GSource* source, gint* timeout) {
  Machine& machine = Of(source);
  *timeout = -1;
  if (machine.dispatching_) return FALSE;
  if (!machine.posted_.empty()) return TRUE;
  const Time next = machine.timers_.Next();
  if (next == Time::max()) return FALSE;
  const Span left = next - MonotonicNow();
  if (left <= Span::zero()) return TRUE;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  *timeout = static_cast<gint>(std::min<std::int64_t>(wait, G_MAXINT));
  return FALSE;
}

gboolean Machine::Check(GSource* source) {
  Machine& machine = Of(source);
  if (machine.dispatching_) return FALSE;
  if (machine.SocketsReady() || !machine.posted_.empty()) return TRUE;
  const Time next = machine.timers_.Next();
  return static_cast<gboolean>(next != Time::max() && next <= MonotonicNow());
}

// Sockets first: after a pause of the whole process an answer that has come beats its time-out.
gboolean Machine::Dispatch(GSource* source, GSourceFunc, gpointer) {
  Machine& machine = Of(source);
  if (std::exchange(machine.dispatching_, true)) return G_SOURCE_CONTINUE;
  if (machine.SocketsReady()) machine.sockets_.TakeEvents();
  if (!machine.timers_.empty()) machine.timers_.Fire(MonotonicNow());
  for (int round = 0; round < kPostRounds && !machine.posted_.empty(); ++round) {
    machine.RunPosted();
  }
  machine.dispatching_ = false;
  return G_SOURCE_CONTINUE;
}

void Machine::RunPosted() {
  auto steps = std::exchange(posted_, {});
  for (auto& step : steps) step();
  steps.clear();
  if (posted_.empty()) posted_ = std::move(steps);  // Keeps the room.
}

using MachinePtr = std::shared_ptr<Machine>;

// One descriptor and what of it is watched at the moment. Closes it at the end.
class Descriptor {
 public:
  Descriptor(MachinePtr machine, int number) : machine_(std::move(machine)), number_(number) {}
  ~Descriptor() { Close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int number() const { return number_; }
  bool open() const { return number_ >= 0; }
  std::uint32_t watched_events() const { return events_; }
  const MachinePtr& machine() const { return machine_; }

  // From now on `watched` is told of these; none of them ends it. False where that cannot be had.
  bool Watch(std::uint32_t events, Watched& watched) {
    if (events == events_) return true;
    const std::uint32_t before = std::exchange(events_, events);
    if (events == 0) {
      machine_->sockets().Remove(number_);
    } else if (before != 0) {
      machine_->sockets().Change(number_, events);
    } else if (!machine_->sockets().Add(number_, events, watched)) {
      events_ = 0;
      return false;
    }
    return true;
  }

  void Close() {
    if (!open()) return;
    if (events_ != 0) machine_->sockets().Forget(number_);
    events_ = 0;
    ::close(std::exchange(number_, -1));
  }

 private:
  MachinePtr machine_;
  int number_;
  std::uint32_t events_ = 0;
};

// ---- Streams ----

// Level-triggered. Reading stays watched while nobody asks, until that wakes the loop for nothing:
// users that ask again in OnBytes cost no call of the system beyond the reading itself, and the end
// of an idle connection is told at once.
class GlibStream : public Stream, private Watched {
 public:
  GlibStream(MachinePtr machine, int descriptor, const Address& peer)
      : socket_(std::move(machine), descriptor), peer_(peer) {}
  ~GlibStream() override { CloseSocket(); }
  GlibStream(const GlibStream&) = delete;
  GlibStream& operator=(const GlibStream&) = delete;

  void SetUser(StreamUser& user) override { user_ = &user; }

  // `error` is that of the socket, if there is none.
  void Connect(StreamUser& user, int error) {
    user_ = &user;
    if (!socket_.open()) return FailLater(FaultOf(error));
    SetNoDelay(socket_.number());
    SocketAddress to = SocketAddressOf(peer_);
    const int answer = ::connect(socket_.number(), to.get(), to.size);
    if (answer != 0 && errno != EINPROGRESS) return FailLater(FaultOf(errno));
    connecting_ = true;
    if (!socket_.Watch(kReadEvents | EPOLLOUT, *this)) FailLater(Fault::kNoDescriptors);
  }

  void Receive() override {
    if (receiving_ || user_ == nullptr) return;
    receiving_ = true;
    Refresh();
  }

  Written Write(std::string_view bytes) override {
    if (user_ == nullptr) return {0, Fault::kClosed};
    if (bytes.empty()) return {};
    const auto sent =
        ::send(socket_.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) return Write(bytes);
    if (sent < 0 && !WouldBlock(errno)) return {0, FaultOf(errno)};
    Written written;
    written.bytes = sent < 0 ? 0 : static_cast<std::size_t>(sent);
    if (written.bytes < bytes.size()) {
      awaiting_room_ = true;
      Refresh();
    }
    return written;
  }

  Ahead Peek() override {
    if (user_ == nullptr) return Ahead::kOver;
    char byte = 0;
    const auto n = ::recv(socket_.number(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return Ahead::kBytes;
    return n < 0 && WouldBlock(errno) ? Ahead::kNothing : Ahead::kOver;
  }

  bool Ended() override {
    if (user_ == nullptr) return true;
    pollfd one{socket_.number(), POLLRDHUP, 0};
    return ::poll(&one, 1, 0) > 0;
  }

  void EndSending() override {
    if (socket_.open()) ::shutdown(socket_.number(), SHUT_WR);
  }

  void Close() override { CloseSocket(); }

  void Reset() override {
    const linger now{1, 0};
    if (socket_.open()) ::setsockopt(socket_.number(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    CloseSocket();
  }

  Address peer() const override { return peer_; }

 private:
  void CloseSocket() {
    user_ = nullptr;
    pending_.reset();
    socket_.machine()->sockets().StopTelling(*this);
    socket_.Close();
  }

  // Calls `tell` after what runs now, unless the stream is closed by then.
  void TellLater(std::function<void()> tell) {
    pending_ = std::make_shared<bool>(true);
    socket_.machine()->Post([tell = std::move(tell), pending = std::weak_ptr<bool>(pending_)] {
      if (!pending.expired()) tell();
    });
  }

  void FailLater(Fault fault) {
    connecting_ = false;
    TellLater([this, fault] { user_->OnConnected(fault); });
  }

  void Refresh() {
    std::uint32_t events = ended_ ? 0 : socket_.watched_events() & kReadEvents;
    if (receiving_) events |= kReadEvents;
    if (connecting_ || awaiting_room_) events |= EPOLLOUT;
    Watch(events);
  }

  void Watch(std::uint32_t events) {
    if (!socket_.open() || socket_.Watch(events, *this)) return;
    // The machine has no room for another watch: the stream is of no use.
    TellLater([this] {
      if (std::exchange(receiving_, false)) user_->OnEnd(Fault::kNoDescriptors);
    });
  }

  // Every call to the user may close or destroy this stream.
  void OnEvents(std::uint32_t events) override {
    const MachinePtr machine = socket_.machine();
    if (connecting_) {
      if ((events & (EPOLLOUT | kBrokenEvents)) != 0) FinishConnect();
    } else if ((events & (kReadEvents | kBrokenEvents)) != 0) {
      ReadOrMute(events);
    }
    if (!machine->sockets().Telling(*this)) return;
    if (awaiting_room_ && !connecting_ && (events & (EPOLLOUT | kBrokenEvents)) != 0) {
      awaiting_room_ = false;
      user_->OnWritable();  // An error shows at the write that follows.
      if (!machine->sockets().Telling(*this)) return;
    }
    Refresh();
  }

  void FinishConnect() {
    connecting_ = false;
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(socket_.number(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
    user_->OnConnected(FaultOf(error));
  }

  void ReadOrMute(std::uint32_t events) {
    if (!receiving_) {
      // Errors cannot be masked: the descriptor leaves the set until somebody asks.
      const bool broken = (events & kBrokenEvents) != 0;
      return Watch(broken && !awaiting_room_ ? 0 : socket_.watched_events() & ~kReadEvents);
    }
    const MachinePtr machine = socket_.machine();
    // A full buffer promises more: it is read without another turn of the loop if the user asks.
    for (int reads = 0; reads < kReadsAtOnce && receiving_; ++reads) {
      const std::size_t n = ReadOnce();
      if (!machine->sockets().Telling(*this) || n < kReadChunk) return;
    }
  }

  // Tells the user what there is; the number of bytes that were read.
  std::size_t ReadOnce() {
    auto& buffer = socket_.machine()->buffer();
    const auto n = ::recv(socket_.number(), buffer.data(), buffer.size(), 0);
    if (n < 0 && (WouldBlock(errno) || errno == EINTR)) return 0;
    receiving_ = false;
    if (n > 0) {
      const auto bytes = static_cast<std::size_t>(n);
      user_->OnBytes({buffer.data(), bytes});
      return bytes;
    }
    ended_ = true;
    user_->OnEnd(n == 0 ? Fault::kEnd : FaultOf(errno));
    return 0;
  }

  Descriptor socket_;
  Address peer_;
  StreamUser* user_ = nullptr;
  std::shared_ptr<bool> pending_;  // While something is to be told to the user by a post.
  bool connecting_ = false;
  bool receiving_ = false;
  bool awaiting_room_ = false;
  bool ended_ = false;
};

// ---- Listeners ----

class GlibListener : public Listener, private Watched {
 public:
  GlibListener(MachinePtr machine, int descriptor, const Address& address)
      : socket_(std::move(machine), descriptor), address_(address) {}
  ~GlibListener() override { CloseSocket(); }
  GlibListener(const GlibListener&) = delete;
  GlibListener& operator=(const GlibListener&) = delete;

  Address address() const override { return address_; }

  void Accept(Done done) override {
    done_ = std::move(done);
    if (!socket_.open()) return EndAccept(Fault::kClosed);
    if (!socket_.Watch(EPOLLIN, *this)) EndAccept(Fault::kNoDescriptors);
  }

  StreamPtr TakeWaiting() override {
    if (!socket_.open()) return nullptr;
    int error = 0;
    return Take(&error);
  }

  void Close() override { CloseSocket(); }

 private:
  void CloseSocket() {
    socket_.Close();
    if (done_) EndAccept(Fault::kClosed);
  }

  void EndAccept(Fault fault) {
    socket_.machine()->Post(
        [done = std::exchange(done_, nullptr), fault] { done(fault, nullptr); });
  }

  StreamPtr Take(int* error) {
    SocketAddress from;
    const int descriptor =
        ::accept4(socket_.number(), from.get(), &from.size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    *error = descriptor < 0 ? errno : 0;
    if (descriptor < 0) return nullptr;
    SetNoDelay(descriptor);
    return std::make_unique<GlibStream>(socket_.machine(), descriptor, AddressOf(from));
  }

  void OnEvents(std::uint32_t) override {
    if (!done_) {
      socket_.Watch(0, *this);
      return;
    }
    int error = 0;
    StreamPtr stream = Take(&error);
    // The other side left again before its turn came: that is no fault of the listener.
    if (WouldBlock(error) || error == ECONNABORTED || error == EINTR) return;
    const Done done = std::exchange(done_, nullptr);
    done(FaultOf(error), std::move(stream));
  }

  Descriptor socket_;
  Address address_;
  Done done_;
};

// ---- Datagrams ----

class GlibDatagrams : public Datagrams, private Watched {
 public:
  GlibDatagrams(MachinePtr machine, int descriptor, const Address& address, OnMessage on_message)
      : socket_(std::move(machine), descriptor),
        address_(address),
        on_message_(std::make_shared<OnMessage>(std::move(on_message))) {
    if (!socket_.Watch(EPOLLIN, *this)) {
      throw Error(Fault::kNoDescriptors, "datagrams at " + address.Text() + ": not watched");
    }
  }
  ~GlibDatagrams() override { socket_.machine()->sockets().StopTelling(*this); }
  GlibDatagrams(const GlibDatagrams&) = delete;
  GlibDatagrams& operator=(const GlibDatagrams&) = delete;

  Address address() const override { return address_; }

  bool Send(const Address& to, std::string_view bytes) override {
    SocketAddress target = SocketAddressOf(to);
    const auto sent = ::sendto(socket_.number(), bytes.data(), bytes.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT, target.get(), target.size);
    return sent >= 0 && static_cast<std::size_t>(sent) == bytes.size();
  }

 private:
  // The user may destroy this in its function, which therefore is held here too.
  void OnEvents(std::uint32_t) override {
    const std::shared_ptr<OnMessage> on_message = on_message_;
    const MachinePtr machine = socket_.machine();
    while (machine->sockets().Telling(*this)) {
      SocketAddress from;
      auto& buffer = machine->buffer();
      const auto n =
          ::recvfrom(socket_.number(), buffer.data(), buffer.size(), 0, from.get(), &from.size);
      if (n < 0 && WouldBlock(errno)) return;
      // A refusal that an earlier message met is told here; the next one may be sound.
      if (n < 0) continue;
      (*on_message)(AddressOf(from), {buffer.data(), static_cast<std::size_t>(n)});
    }
  }

  Descriptor socket_;
  Address address_;
  std::shared_ptr<OnMessage> on_message_;
};

// ---- Timers of the seam ----

class GlibTimer : public Timer {
 public:
  GlibTimer(MachinePtr machine, std::function<void()> fired)
      : machine_(std::move(machine)), entry_(std::make_shared<TimerEntry>(std::move(fired))) {}
  ~GlibTimer() override {
    entry_->armed = false;
    if (entry_->is_linked()) entry_->unlink();
  }
  GlibTimer(const GlibTimer&) = delete;
  GlibTimer& operator=(const GlibTimer&) = delete;

  void ArmAt(Time at) override { machine_->timers().Arm(*entry_, at); }
  void Cancel() override { entry_->armed = false; }

 private:
  MachinePtr machine_;
  std::shared_ptr<TimerEntry> entry_;
};

// A socket that is bound, with the address it got. Throws Error.
std::pair<int, Address> BoundSocket(const Address& at, int type, const std::string& purpose) {
  const auto fail = [&](int descriptor) {
    const int error = errno;
    if (descriptor >= 0) ::close(descriptor);
    throw Error(FaultOf(error), purpose + " at " + at.Text() + ": " + std::strerror(error));
  };
  const int descriptor = NewSocket(at, type);
  if (descriptor < 0) fail(descriptor);
  const int on = 1;
  if (type == SOCK_STREAM) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  }
  SocketAddress address = SocketAddressOf(at);
  if (::bind(descriptor, address.get(), address.size) != 0) fail(descriptor);
  if (type == SOCK_STREAM && ::listen(descriptor, SOMAXCONN) != 0) fail(descriptor);
  SocketAddress bound;
  if (::getsockname(descriptor, bound.get(), &bound.size) != 0) fail(descriptor);
  return {descriptor, AddressOf(bound)};
}

}  // namespace

struct GlibLoop::Impl {
  std::shared_ptr<Machine> machine = std::make_shared<Machine>();
  GMainLoop* main_loop = g_main_loop_new(machine->context(), FALSE);
  std::vector<GSource*> signals;
};

GlibLoop::GlibLoop() : impl_(std::make_unique<Impl>()) {}

GlibLoop::~GlibLoop() {
  for (GSource* signal : impl_->signals) {
    g_source_destroy(signal);
    g_source_unref(signal);
  }
  impl_->machine->End();
  g_main_loop_unref(impl_->main_loop);
}

Time GlibLoop::Now() const { return MonotonicNow(); }

std::int64_t GlibLoop::WallMicros() const { return g_get_real_time(); }

std::int64_t GlibLoop::LastingMicros() const {
  timespec at{};
  ::clock_gettime(CLOCK_BOOTTIME, &at);
  return std::int64_t{at.tv_sec} * 1'000'000 + at.tv_nsec / 1000;
}

TimerPtr GlibLoop::NewTimer(std::function<void()> fired) {
  return std::make_unique<GlibTimer>(impl_->machine, std::move(fired));
}

void GlibLoop::Post(std::function<void()> step) { impl_->machine->Post(std::move(step)); }

StreamPtr GlibLoop::Dial(const Address& to, StreamUser& user) {
  const int descriptor = NewSocket(to, SOCK_STREAM);
  const int error = errno;
  auto stream = std::make_unique<GlibStream>(impl_->machine, descriptor, to);
  stream->Connect(user, error);
  return stream;
}

ListenerPtr GlibLoop::Listen(const Address& at) {
  const auto [descriptor, address] = BoundSocket(at, SOCK_STREAM, "listen");
  return std::make_unique<GlibListener>(impl_->machine, descriptor, address);
}

DatagramsPtr GlibLoop::Bind(const Address& at, Datagrams::OnMessage on_message) {
  const auto [descriptor, address] = BoundSocket(at, SOCK_DGRAM, "datagrams");
  return std::make_unique<GlibDatagrams>(impl_->machine, descriptor, address,
                                         std::move(on_message));
}

void GlibLoop::OnSignal(int signal, std::function<void()> step) {
  GSource* source = g_unix_signal_source_new(signal);
  const auto call = [](gpointer data) -> gboolean {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_CONTINUE;
  };
  const auto destroy = [](gpointer data) { delete static_cast<std::function<void()>*>(data); };
  g_source_set_callback(source, call, new std::function<void()>(std::move(step)), destroy);
  g_source_attach(source, impl_->machine->context());
  impl_->signals.push_back(source);
}

void GlibLoop::Run() { g_main_loop_run(impl_->main_loop); }
void GlibLoop::Stop() { g_main_loop_quit(impl_->main_loop); }

}  // namespace net
