// A machine's link of a given width on the virtual network, which has none of its own: what a
// process writes waits in a socket buffer of kSocketBuffer bytes a connection and leaves at the
// link's rate, a segment of each connection of the machine in turn.
//
// Only what leaves is paced, not what comes in. A connection that is closed drops what still waits
// here. Processor time of no account.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_NARROW_LINK_H_
#define SHELFLINK_TESTS_TIER_SEEDS_NARROW_LINK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "net/loop.h"
#include "net/virtual.h"

namespace shelflink::tier_seeds {

constexpr std::size_t kSocketBuffer = 65536;
constexpr std::size_t kSegment = 4096;  // Bytes of one connection before the next has its turn.

// What one connection has to send.
struct Outgoing {
  net::Stream* stream = nullptr;  // Null: closed.
  std::string waiting;
  bool in_turn = false;
  bool ends = false;     // Half closed once all is sent.
  bool blocked = false;  // The network takes no more for now.
  net::Fault fault = net::Fault::kNone;
  std::function<void()> on_room;  // Called from no process.
};

// Outlives the processes of its machine.
class NarrowLink {
 public:
  NarrowLink(net::VirtualNet& net, std::uint64_t bytes_per_second)
      : net_(net), bytes_per_second_(bytes_per_second) {}
  NarrowLink(const NarrowLink&) = delete;
  NarrowLink& operator=(const NarrowLink&) = delete;

  void Send(const std::shared_ptr<Outgoing>& outgoing);
  std::uint64_t sent() const { return sent_; }

 private:
  void SendNext();
  std::size_t SendSegment(Outgoing& outgoing);

  net::VirtualNet& net_;
  std::uint64_t bytes_per_second_;
  std::deque<std::shared_ptr<Outgoing>> turns_;
  bool busy_ = false;
  std::uint64_t sent_ = 0;  // Bytes.
};

// A process's loop whose connections go over the link. Both outlive it and all that it makes.
class NarrowLoop : public net::Loop {
 public:
  NarrowLoop(net::Loop& process, NarrowLink& link) : process_(process), link_(link) {}

  net::Time Now() const override { return process_.Now(); }
  std::int64_t WallMicros() const override { return process_.WallMicros(); }
  std::int64_t LastingMicros() const override { return process_.LastingMicros(); }
  net::TimerPtr NewTimer(std::function<void()> fired) override {
    return process_.NewTimer(std::move(fired));
  }
  void Post(std::function<void()> step) override { process_.Post(std::move(step)); }
  net::StreamPtr Dial(const net::Address& to, net::StreamUser& user) override;
  net::ListenerPtr Listen(const net::Address& at) override;
  net::DatagramsPtr Bind(const net::Address& at, net::Datagrams::OnMessage on_message) override {
    return process_.Bind(at, std::move(on_message));
  }

 private:
  net::Loop& process_;
  NarrowLink& link_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_NARROW_LINK_H_
