#include "net/sockets.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <ctime>
#include <utility>
#include <vector>

namespace net {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {
constexpr std::size_t kReadChunk = 16384;  // Bytes taken in at a time.
}

// Every stream reads through one buffer, so that an idle one owns none.
struct SocketLoop::Shared {
  explicit Shared(asio::io_context& context) : io(context) {}
  asio::io_context& io;
  std::array<char, kReadChunk> buffer{};
  std::vector<std::unique_ptr<asio::signal_set>> signals;
};

namespace {

using Clock = std::chrono::steady_clock;

Fault FaultOf(error_code ec) {
  if (!ec) return Fault::kNone;
  // By value, and first: where no descriptor is left, sanitizers cannot look into categories. No
  // other category of Asio's has these values.
  if (ec.value() == EMFILE || ec.value() == ENFILE) return Fault::kNoDescriptors;
  if (ec == asio::error::eof) return Fault::kEnd;
  if (ec == asio::error::connection_refused) return Fault::kRefused;
  if (ec == asio::error::operation_aborted) return Fault::kClosed;
  if (ec == asio::error::host_unreachable || ec == asio::error::network_unreachable ||
      ec == asio::error::timed_out) {
    return Fault::kUnreachable;
  }
  if (ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
      ec == asio::error::connection_aborted) {
    return Fault::kReset;
  }
  return Fault::kOther;
}

template <typename Endpoint>
Endpoint EndpointOf(const Address& address) {
  if (address.v6()) return {asio::ip::address_v6(address.bytes()), address.port()};
  asio::ip::address_v4::bytes_type bytes{};
  std::copy_n(address.bytes().begin(), bytes.size(), bytes.begin());
  return {asio::ip::address_v4(bytes), address.port()};
}

template <typename Endpoint>
Address AddressOf(const Endpoint& endpoint) {
  std::array<std::uint8_t, 16> bytes{};
  if (endpoint.address().is_v6()) {
    bytes = endpoint.address().to_v6().to_bytes();
  } else {
    const auto four = endpoint.address().to_v4().to_bytes();
    std::copy(four.begin(), four.end(), bytes.begin());
  }
  return Address::FromBytes(bytes, endpoint.address().is_v6(), endpoint.port());
}

Clock::time_point ClockTime(Time at) { return Clock::time_point(at.time_since_epoch()); }

// ---- Timers ----

// Arming anew for later, and cancelling, leave the machine's timer as it is: most timers here guard
// against what seldom happens and are moved on with every request. It looks again when it fires.
class TimerState : public std::enable_shared_from_this<TimerState> {
 public:
  TimerState(asio::io_context& io, std::function<void()> fired)
      : timer_(io), fired_(std::move(fired)) {}

  void ArmAt(Time at) {
    due_ = at;
    armed_ = true;
    if (!waiting_ || at < waits_for_) Wait();
  }
  void Cancel() { armed_ = false; }
  void End() {
    armed_ = false;
    error_code ignored;
    timer_.cancel(ignored);
  }

 private:
  void Wait() {
    waiting_ = true;
    waits_for_ = due_;
    timer_.expires_at(ClockTime(due_));
    timer_.async_wait([self = shared_from_this(), turn = ++turn_](error_code) {
      if (turn == self->turn_) self->Woken();
    });
  }
  void Woken() {
    waiting_ = false;
    if (!armed_) return;
    if (Clock::now() < ClockTime(due_)) return Wait();
    armed_ = false;
    fired_();
  }

  asio::steady_timer timer_;
  std::function<void()> fired_;
  Time due_;
  Time waits_for_;
  bool armed_ = false;
  bool waiting_ = false;
  std::uint64_t turn_ = 0;
};

class SocketTimer : public Timer {
 public:
  explicit SocketTimer(std::shared_ptr<TimerState> state) : state_(std::move(state)) {}
  ~SocketTimer() override { state_->End(); }
  SocketTimer(const SocketTimer&) = delete;
  SocketTimer& operator=(const SocketTimer&) = delete;
  void ArmAt(Time at) override { state_->ArmAt(at); }
  void Cancel() override { state_->Cancel(); }

 private:
  std::shared_ptr<TimerState> state_;
};

// ---- Streams ----

// Keeps the loop's shared part alive while it points into it.
using SharedBuffer = std::shared_ptr<std::array<char, kReadChunk>>;

// Outlives its stream while the machine still has something to tell of it.
class StreamState : public std::enable_shared_from_this<StreamState> {
 public:
  StreamState(tcp::socket socket, SharedBuffer buffer)
      : socket_(std::move(socket)), buffer_(std::move(buffer)) {}

  void SetUser(StreamUser* user) { user_ = user; }

  void Prepare() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    peer_ = AddressOf(socket_.remote_endpoint(ignored));
  }

  void Connect(const Address& to) {
    socket_.async_connect(EndpointOf<tcp::endpoint>(to),
                          [self = shared_from_this()](error_code ec) {
                            if (self->user_ == nullptr) return;
                            if (!ec) self->Prepare();
                            self->user_->OnConnected(FaultOf(ec));
                          });
  }

  void Receive() {
    if (receiving_ || user_ == nullptr) return;
    receiving_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      self->receiving_ = false;
      if (self->user_ != nullptr) self->Ready(ec);
    });
  }

  Written Write(std::string_view bytes) {
    if (user_ == nullptr) return {0, Fault::kClosed};
    Written written;
    while (written.bytes < bytes.size()) {
      error_code ec;
      const std::string_view rest = bytes.substr(written.bytes);
      written.bytes += socket_.write_some(asio::buffer(rest.data(), rest.size()), ec);
      if (ec == asio::error::would_block) {
        AwaitRoom();
        break;
      }
      if (ec) {
        written.fault = FaultOf(ec);
        break;
      }
    }
    return written;
  }

  Ahead Peek() {
    if (user_ == nullptr) return Ahead::kOver;
    char byte = 0;
    const auto n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return Ahead::kBytes;
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? Ahead::kNothing : Ahead::kOver;
  }

  bool Ended() {
    if (user_ == nullptr) return true;
    pollfd one{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&one, 1, 0) > 0;
  }

  void EndSending() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }

  void Close() {
    user_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

  void Reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  const Address& peer() const { return peer_; }

 private:
  void Ready(error_code ec) {
    std::size_t n = 0;
    if (!ec) n = socket_.read_some(asio::buffer(*buffer_), ec);
    if (ec == asio::error::would_block) return Receive();
    if (ec) return user_->OnEnd(FaultOf(ec));
    user_->OnBytes({buffer_->data(), n});
  }

  void AwaitRoom() {
    if (awaiting_room_) return;
    awaiting_room_ = true;
    // An error shows at the write that follows.
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code) {
      self->awaiting_room_ = false;
      if (self->user_ != nullptr) self->user_->OnWritable();
    });
  }

  tcp::socket socket_;
  SharedBuffer buffer_;
  StreamUser* user_ = nullptr;
  Address peer_;
  bool receiving_ = false;
  bool awaiting_room_ = false;
};

class SocketStream : public Stream {
 public:
  explicit SocketStream(std::shared_ptr<StreamState> state) : state_(std::move(state)) {}
  ~SocketStream() override { state_->Close(); }
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void SetUser(StreamUser& user) override { state_->SetUser(&user); }
  void Receive() override { state_->Receive(); }
  Written Write(std::string_view bytes) override { return state_->Write(bytes); }
  Ahead Peek() override { return state_->Peek(); }
  bool Ended() override { return state_->Ended(); }
  void EndSending() override { state_->EndSending(); }
  void Close() override { state_->Close(); }
  void Reset() override { state_->Reset(); }
  Address peer() const override { return state_->peer(); }

 private:
  std::shared_ptr<StreamState> state_;
};

StreamPtr Accepted(tcp::socket socket, SharedBuffer buffer) {
  auto state = std::make_shared<StreamState>(std::move(socket), std::move(buffer));
  state->Prepare();
  return std::make_unique<SocketStream>(std::move(state));
}

// ---- Listeners ----

class ListenerState : public std::enable_shared_from_this<ListenerState> {
 public:
  ListenerState(asio::io_context& io, SharedBuffer buffer, const Address& at)
      : ListenerState(io, std::move(buffer), tcp::acceptor(io, EndpointOf<tcp::endpoint>(at))) {}
  ListenerState(asio::io_context& io, SharedBuffer buffer, tcp::acceptor acceptor)
      : io_(io), buffer_(std::move(buffer)), acceptor_(std::move(acceptor)) {
    address_ = AddressOf(acceptor_.local_endpoint());
  }

  const Address& address() const { return address_; }

  void Accept(Listener::Done done) {
    acceptor_.async_accept([self = shared_from_this(), done = std::move(done)](
                               error_code ec, tcp::socket socket) mutable {
      // The other side left again before its turn came: that is no fault of the listener.
      if (ec == asio::error::connection_aborted) return self->Accept(std::move(done));
      if (ec) return done(FaultOf(ec), nullptr);
      done(Fault::kNone, Accepted(std::move(socket), self->buffer_));
    });
  }

  StreamPtr TakeWaiting() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) return nullptr;
    return Accepted(std::move(socket), buffer_);
  }

  // Out of the poll set before it is closed: closing alone leaves it there as long as another
  // process holds the same socket, and its events would go on waking this one.
  void Close() {
    if (!acceptor_.is_open()) return;
    error_code ignored;
    ::close(acceptor_.release(ignored));
  }

 private:
  asio::io_context& io_;
  SharedBuffer buffer_;
  tcp::acceptor acceptor_;
  Address address_;
};

class SocketListener : public Listener {
 public:
  explicit SocketListener(std::shared_ptr<ListenerState> state) : state_(std::move(state)) {}
  ~SocketListener() override { state_->Close(); }
  SocketListener(const SocketListener&) = delete;
  SocketListener& operator=(const SocketListener&) = delete;

  Address address() const override { return state_->address(); }
  void Accept(Done done) override { state_->Accept(std::move(done)); }
  StreamPtr TakeWaiting() override { return state_->TakeWaiting(); }
  void Close() override { state_->Close(); }

 private:
  std::shared_ptr<ListenerState> state_;
};

// ---- Datagrams ----

class DatagramState : public std::enable_shared_from_this<DatagramState> {
 public:
  DatagramState(asio::io_context& io, SharedBuffer buffer, const Address& at,
                Datagrams::OnMessage on_message)
      : buffer_(std::move(buffer)),
        socket_(io, EndpointOf<udp::endpoint>(at)),
        on_message_(std::move(on_message)) {
    socket_.non_blocking(true);
  }

  Address address() const { return AddressOf(socket_.local_endpoint()); }

  void Wait() {
    socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (ec || !self->open_) return;
      self->Take();
      if (self->open_) self->Wait();
    });
  }

  bool Send(const Address& to, std::string_view bytes) {
    error_code ec;
    const auto sent = socket_.send_to(asio::buffer(bytes.data(), bytes.size()),
                                      EndpointOf<udp::endpoint>(to), 0, ec);
    return !ec && sent == bytes.size();
  }

  void Close() {
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void Take() {
    while (open_) {
      error_code ec;
      udp::endpoint from;
      const std::size_t n = socket_.receive_from(asio::buffer(*buffer_), from, 0, ec);
      if (ec == asio::error::would_block) return;
      // A refusal that an earlier message met is told here; the next one may be sound.
      if (!ec) on_message_(AddressOf(from), {buffer_->data(), n});
    }
  }

  SharedBuffer buffer_;
  udp::socket socket_;
  Datagrams::OnMessage on_message_;
  bool open_ = true;
};

class SocketDatagrams : public Datagrams {
 public:
  explicit SocketDatagrams(std::shared_ptr<DatagramState> state) : state_(std::move(state)) {
    state_->Wait();
  }
  ~SocketDatagrams() override { state_->Close(); }
  SocketDatagrams(const SocketDatagrams&) = delete;
  SocketDatagrams& operator=(const SocketDatagrams&) = delete;

  Address address() const override { return state_->address(); }
  bool Send(const Address& to, std::string_view bytes) override { return state_->Send(to, bytes); }

 private:
  std::shared_ptr<DatagramState> state_;
};

void AwaitSignal(asio::signal_set& signals, const std::shared_ptr<std::function<void()>>& step) {
  signals.async_wait([&signals, step](error_code ec, int) {
    if (ec) return;
    AwaitSignal(signals, step);
    (*step)();
  });
}

}  // namespace

SocketLoop::SocketLoop(asio::io_context& io) : shared_(std::make_shared<Shared>(io)) {}
SocketLoop::~SocketLoop() = default;

Time SocketLoop::Now() const { return Time(Clock::now().time_since_epoch()); }

std::int64_t SocketLoop::WallMicros() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t SocketLoop::LastingMicros() const {
  timespec at{};
  ::clock_gettime(CLOCK_BOOTTIME, &at);
  return std::int64_t{at.tv_sec} * 1'000'000 + at.tv_nsec / 1000;
}

TimerPtr SocketLoop::NewTimer(std::function<void()> fired) {
  return std::make_unique<SocketTimer>(std::make_shared<TimerState>(shared_->io, std::move(fired)));
}

void SocketLoop::Post(std::function<void()> step) { asio::post(shared_->io, std::move(step)); }

StreamPtr SocketLoop::Dial(const Address& to, StreamUser& user) {
  auto state = std::make_shared<StreamState>(tcp::socket(shared_->io),
                                             SharedBuffer(shared_, &shared_->buffer));
  state->SetUser(&user);
  state->Connect(to);
  return std::make_unique<SocketStream>(std::move(state));
}

ListenerPtr SocketLoop::Listen(const Address& at) {
  try {
    return std::make_unique<SocketListener>(
        std::make_shared<ListenerState>(shared_->io, SharedBuffer(shared_, &shared_->buffer), at));
  } catch (const boost::system::system_error& e) {
    throw Error(FaultOf(e.code()), "listen at " + at.Text() + ": " + e.code().message());
  }
}

ListenerPtr SocketLoop::Inherit(int descriptor) {
  const auto name = "descriptor " + std::to_string(descriptor);
  int listens = 0;
  int type = 0;
  sockaddr_storage at{};
  socklen_t size = sizeof listens;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0 ||
      ::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM) {
    throw Error(Fault::kOther, name + ": expected a listening TCP socket");
  }
  size = sizeof at;
  if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&at), &size) != 0 ||
      (at.ss_family != AF_INET && at.ss_family != AF_INET6)) {
    throw Error(Fault::kOther, name + ": expected a listening TCP socket");
  }
  try {
    tcp::acceptor acceptor(shared_->io, at.ss_family == AF_INET ? tcp::v4() : tcp::v6(),
                           descriptor);
    return std::make_unique<SocketListener>(std::make_shared<ListenerState>(
        shared_->io, SharedBuffer(shared_, &shared_->buffer), std::move(acceptor)));
  } catch (const boost::system::system_error& e) {
    throw Error(FaultOf(e.code()), name + ": " + e.code().message());
  }
}

DatagramsPtr SocketLoop::Bind(const Address& at, Datagrams::OnMessage on_message) {
  try {
    return std::make_unique<SocketDatagrams>(std::make_shared<DatagramState>(
        shared_->io, SharedBuffer(shared_, &shared_->buffer), at, std::move(on_message)));
  } catch (const boost::system::system_error& e) {
    throw Error(FaultOf(e.code()), "datagrams at " + at.Text() + ": " + e.code().message());
  }
}

void SocketLoop::OnSignal(int signal, std::function<void()> step) {
  auto& set =
      shared_->signals.emplace_back(std::make_unique<asio::signal_set>(shared_->io, signal));
  AwaitSignal(*set, std::make_shared<std::function<void()>>(std::move(step)));
}

}  // namespace net
