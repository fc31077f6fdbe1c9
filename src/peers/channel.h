// The channel between sidecars of one fleet: a socket for datagrams, and the way between it and the
// pure parts that ask (peers/inquiry.h) and answer (peers/answerer.h).
#ifndef SHELFLINK_PEERS_CHANNEL_H_
#define SHELFLINK_PEERS_CHANNEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"
#include "peers/answerer.h"
#include "peers/inquiry.h"

namespace peers {

struct Counts {
  std::uint64_t asked = 0;      // Questions sent.
  std::uint64_t answered = 0;   // Questions of others answered.
  std::uint64_t declined = 0;   // Not answered, for there were too many.
  std::uint64_t taken = 0;      // Lists that decisions came to rest on.
  std::uint64_t unusable = 0;   // Lists that came whole and said what cannot be used.
  std::uint64_t strange = 0;    // Messages from an address that is no peer's,
  std::uint64_t malformed = 0;  // that are not in form,
  std::uint64_t foreign = 0;    // of another fleet,
  std::uint64_t unasked = 0;    // and answers that came late, twice or to no question.
};

class Channel {
 public:
  struct Setup {
    net::Address listen;
    std::vector<net::Address> others;
    std::uint64_t fleet = 0;
    // Another process of this sidecar may hold the address still: it is waited for.
    bool shared_address = false;
    Terms terms;  // `others` is filled in.
  };
  // False: what it says cannot be used.
  using OnHeard = std::function<bool(const Heard&)>;

  // Throws net::Error where the address cannot be had.
  Channel(net::Loop& loop, Setup setup, OnHeard on_heard);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void Begin(std::optional<std::int64_t> known);
  void OnDiscoveryAnswered(std::int64_t version);
  void OnDiscoveryFailed();
  // What is told to others.
  Answerer& answerer() { return answerer_; }
  const Counts& counts() const { return counts_; }

 private:
  void Open();
  void OnMessage(const net::Address& from, std::string_view bytes);
  void Carry();
  Micros Now() const { return loop_.LastingMicros(); }

  net::Loop& loop_;
  Setup setup_;
  OnHeard on_heard_;
  std::map<net::Address, std::size_t> numbers_;  // Of the others.
  Inquiry inquiry_;
  Answerer answerer_;
  Counts counts_;
  net::TimerPtr timer_;
  net::TimerPtr open_timer_;
  net::DatagramsPtr socket_;  // Null while the address is another process's.
};

}  // namespace peers

#endif  // SHELFLINK_PEERS_CHANNEL_H_
