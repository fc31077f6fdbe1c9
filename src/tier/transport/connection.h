// One TCP connection between two hubs, dialled or accepted: greets, cuts what comes into frames,
// writes what is queued, and knows when the peer has been silent for too long. It acts only when
// its owner or its stream calls; the owner drives time and flushes.
#ifndef SHELFLINK_TIER_TRANSPORT_CONNECTION_H_
#define SHELFLINK_TIER_TRANSPORT_CONNECTION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>

#include "net/loop.h"
#include "tier/transport/frames.h"
#include "tier/transport/outbox.h"
#include "tier/transport/silence.h"

namespace shelflink::transport {

class Connection;

class ConnectionOwner {
 public:
  // The peer's first frame has come: frames may be queued from now on.
  virtual void OnGreeted(Connection& connection) = 0;
  virtual void OnFrame(Connection& connection, const Frame& frame) = 0;
  // It can't go on. `cause` is a word for counters. The owner closes it.
  virtual void OnBroken(Connection& connection, const char* cause) = 0;
  // What it waits for may have changed: ask NextCheck.
  virtual void OnChanged(Connection& connection) = 0;
  // Something is queued that no OnWritable will follow for.
  virtual void OnQueued(Connection& connection) = 0;
  virtual void OnBytesRead(std::size_t bytes) = 0;
  virtual void OnBytesQueued(std::size_t bytes) = 0;
  virtual void OnBytesWritten(std::size_t bytes) = 0;
  // A frame of so many bytes was queued, and a newer one of its slot has gone in its place.
  virtual void OnReplaced(std::size_t bytes) = 0;

 protected:
  ~ConnectionOwner() = default;
};

class Connection final : private net::StreamUser {
 public:
  struct Spans {
    net::Span connect;
    net::Span silence;
  };

  Connection(std::uint64_t id, net::Loop& loop, ConnectionOwner& owner, const PeerIdentity& self,
             Spans spans);
  ~Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // One of these first.
  // `dial` counts the dials of this process, from 1.
  void Dial(const net::Address& to, std::uint64_t dial);
  void Accept(net::StreamPtr stream);

  std::uint64_t id() const { return id_; }
  bool dialled() const { return dial_ != 0; }
  // The peer's count of its dials; 0 where this side dialled.
  std::uint64_t peer_dial() const { return peer_dial_; }
  const net::Address& dialled_address() const { return dialled_address_; }
  bool greeted() const { return state_ == State::kGreeted; }
  bool closed() const { return state_ == State::kClosed; }
  const PeerIdentity& peer() const { return peer_; }  // Once greeted.
  // Accepted from the host on which the peer says that it listens. Once greeted.
  bool FromClaimedHost() const;
  std::size_t queued() const { return outbox_.size(); }
  // Of a frame that is here in part some came since then.
  bool Receives(net::Time since) const {
    return (splitter_.held() > 0 || !parts_.empty()) && read_at_ >= since;
  }

  // Whether the peer should be heard after this frame.
  enum class Expects { kNothing, kSignOfLife };
  // Returns the frame's place in the stream, of meaning only for one that is neither urgent nor of
  // a slot.
  std::uint64_t Queue(std::string frame, Expects expects, Delivery delivery = {});
  // Whether any byte from that place on has been handed to the machine.
  bool MayHaveLeft(std::uint64_t place) const { return outbox_.written() > place; }
  // Writes what the machine takes.
  void Flush();

  // Calls to the peer that wait for its answer on this connection.
  void OpenCall(std::uint64_t call);
  void EndCall(std::uint64_t call);
  const std::unordered_set<std::uint64_t>& open_calls() const { return open_calls_; }

  // When CheckSilence has something to do next; Time::max() while nothing is awaited.
  net::Time NextCheck() const;
  void CheckSilence(net::Time now);
  // This process itself stood still.
  void RestartSpans(net::Time now);

  // Says no more to its owner.
  void Close();

 private:
  enum class State { kDialling, kGreeting, kGreeted, kClosed };

  void OnConnected(net::Fault fault) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(net::Fault fault) override;
  void OnWritable() override;

  void StartGreeting();
  std::uint64_t Append(std::string frame, Delivery delivery);
  std::uint64_t AppendWhole(std::string frame, Delivery delivery);
  bool Take(std::string_view payload);
  void TakePart(const PartFrame& part);
  void Greet(const Frame& frame);
  void Break(const char* cause);

  std::uint64_t id_;
  net::Loop& loop_;
  ConnectionOwner& owner_;
  const PeerIdentity& self_;
  Spans spans_;
  State state_ = State::kDialling;
  net::Address dialled_address_;
  std::uint64_t dial_ = 0;  // 0 where the peer dialled.
  std::uint64_t peer_dial_ = 0;
  bool blocked_ = false;      // The machine takes no more until OnWritable.
  net::Time state_deadline_;  // Of dialling and greeting.
  std::size_t largest_frame_ = kLargestHello;
  net::StreamPtr stream_;
  PeerIdentity peer_;
  FrameSplitter splitter_;
  std::string parts_;    // Of a long payload, what has come.
  net::Time read_at_{};  // When the newest bytes came.
  Outbox outbox_;
  Silence silence_;
  std::unordered_set<std::uint64_t> open_calls_;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_CONNECTION_H_
