// The parts of a running emulation: listeners, connections, nodes and sidecars. Only the files of
// lab/emulation*.cpp include this.
#ifndef SHELFLAB_LAB_EMULATION_PARTS_H_
#define SHELFLAB_LAB_EMULATION_PARTS_H_

#include <spdlog/spdlog.h>

#include <array>
#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/catalog_wire.h"
#include "lab/clock.h"
#include "lab/emulation.h"
#include "lab/emulation_addresses.h"

namespace shelflab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 4096;                // Of a listener.
constexpr Micros kCallMemory = 60 * kSecond;  // How long a call to the next tier is remembered.

inline std::size_t Index(storm::End to) { return static_cast<std::size_t>(to); }

// The wall clock's time at that moment of the steady clock, in microseconds since 1970.
Micros WallClock(Micros time);

// A row of the list, as discovery tells it and as a configuration knows it.
nlohmann::json RowText(const FleetSpec& fleet, const Listed& row, const tcp::endpoint& dial,
                       const std::string& kind);

// A listener that can be shut (refuses), muffled (nothing comes up) and opened again, always at the
// same address.
struct Emulation::Door {
  explicit Door(asio::io_context& io) : acceptor(io) {}
  tcp::acceptor acceptor;
  tcp::endpoint address;
  bool open = false;
  bool muffled = false;
  bool accepting = false;
  std::vector<tcp::socket> plugs;  // Fill a muffled door's queue.
  std::function<void(tcp::socket)> enter;
};

// What a sidecar knows of its tier's nodes, as discovery told it.
struct Emulation::Had {
  std::int64_t seq = 0;
  std::map<NodeId, Listed> rows;
};

struct Emulation::Link {
  LinkFault fault;
};

class Emulation::Line : public Stream {
 public:
  Line(Socket socket, Emulation& owner, std::shared_ptr<const Link> link)
      : Stream(std::move(socket)), owner_(owner), link_(std::move(link)), timer_(owner.io_) {
    ++owner_.connections_;
  }
  ~Line() override { --owner_.connections_; }

  // Writes as the link allows; `written` is called when it has.
  void Say(std::string text, std::function<void()> written = nullptr) {
    const Micros delay = link_ ? link_->fault.delay : 0;
    held_.push_back({Now() + delay, std::move(text), std::move(written)});
    Release();
  }
  void CloseAfterSaying() {
    close_after_ = true;
    Release();
  }
  // What the link has let through by now.
  void Release() {
    if (!open()) held_.clear();
    while (!held_.empty() && (!link_ || !link_->fault.deaf) && held_.front().due <= Now()) {
      const Held next = std::move(held_.front());
      held_.pop_front();
      Write(next.text);
      if (next.written) next.written();
    }
    if (held_.empty()) {
      if (close_after_) CloseAfterWriting();
      return;
    }
    if (link_->fault.deaf) return;
    timer_.expires_at(At(held_.front().due));
    timer_.async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) static_cast<Line&>(*self).Release();
    });
  }
  // Reads, unless the link lets nothing through.
  void Listen() {
    if (!link_ || !link_->fault.mute) StartReading();
  }

 protected:
  Emulation& owner_;
  Reader<true> reader_;

 private:
  struct Held {
    Micros due;
    std::string text;
    std::function<void()> written;
  };
  std::shared_ptr<const Link> link_;
  std::deque<Held> held_;
  asio::steady_timer timer_;
  bool close_after_ = false;
};

class Emulation::EndpointLine : public Line {
 public:
  EndpointLine(Socket socket, Emulation& owner, NodeId at, std::uint32_t from,
               std::shared_ptr<const Link> link)
      : Line(std::move(socket), owner, std::move(link)), node(at), sidecar(from) {}

  NodeId node;
  std::uint32_t sidecar;
  bool busy = false;
  ConnectionId id = 0;

  auto& message() { return reader_.message(); }
  void NextRequest();
  void Leave();

 protected:
  void OnBytes(std::string_view bytes) override {
    const auto state = reader_.Feed(bytes);
    if (state == Reader<true>::State::kMalformed) {
      const auto self = shared_from_this();
      Write(AnswerText(400, "Bad Request", ""));
      CloseAfterWriting();
      return Leave();
    }
    if (state != Reader<true>::State::kWhole || busy) return;
    busy = true;
    owner_.OnRequest(*this);
  }
  void OnClosed() override { Leave(); }
};

class Emulation::DiscoveryLine : public Line {
 public:
  DiscoveryLine(Socket socket, Emulation& owner, std::uint32_t from,
                std::shared_ptr<const Link> link)
      : Line(std::move(socket), owner, std::move(link)), sidecar(from) {}
  std::uint32_t sidecar;
  std::uint64_t call = 0;
  auto& message() { return reader_.message(); }
  void NextRequest() { reader_.Next(); }

 protected:
  void OnBytes(std::string_view bytes) override {
    const auto state = reader_.Feed(bytes);
    if (state == Reader<true>::State::kMalformed) return Close();
    if (state == Reader<true>::State::kWhole) owner_.OnDiscoveryCall(*this);
  }
  void OnClosed() override { Forget(); }

 public:
  void Forget() {
    if (call == 0) return;
    owner_.catalog_.Hangup(call);
    owner_.asking_.erase(call);
  }
};

struct Emulation::Node {
  explicit Node(const ServerSpec& s) : connections(s.connections, s.idle_close) {}
  NodeId id = 0;
  std::vector<std::unique_ptr<Door>> doors;  // One for each sidecar that may call; or one for all.
  std::unordered_map<ConnectionId, std::shared_ptr<EndpointLine>> lines;
  Connections connections;
  bool paused = false;
  bool silent = false;
  std::unique_ptr<CallerPool> calls;  // To the next tier.
  std::uint32_t sidecar = 0;          // Its own, if it has calls.
  NodeWindow window;
};

struct Emulation::Sidecar {
  explicit Sidecar(asio::io_context& io) : door(io), timer(io) {}
  std::uint32_t tier = 0;    // That it sends to.
  std::uint32_t number = 0;  // Among those of its tier.
  std::uint32_t place = 0;   // Among all.
  tcp::endpoint listen;
  Door door;  // Its discovery.
  std::vector<std::weak_ptr<DiscoveryLine>> asking;
  Process process;
  std::uint64_t life = 0;  // Moves on with every start and every end.
  std::uint64_t starts = 0;
  bool ready = false;
  bool unhealthy = false;  // It says so itself.
  bool wanted = false;
  Micros started = 0;
  Had had;
  std::array<std::shared_ptr<Link>, 2> links = {std::make_shared<Link>(),
                                                std::make_shared<Link>()};  // By storm::End.
  asio::steady_timer timer;
};

struct Emulation::Open {
  std::weak_ptr<EndpointLine> line;
  std::uint64_t txn = 0;
  std::uint32_t cls = 0;
  NodeId node = 0;
  std::string tenant;
  Micros came = 0;
  Micros calling = 0;    // Spent in calls to the next tier,
  Micros called_at = 0;  // the last of which began then.
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_EMULATION_PARTS_H_
