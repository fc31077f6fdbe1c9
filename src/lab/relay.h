// Carries the datagrams between processes, and befalls them on the way. Each process is known to
// the others by an address of the relay's: what is sent there goes on to it, and comes to it from
// the address that stands for whoever sent it.
#ifndef SHELFLAB_LAB_RELAY_H_
#define SHELFLAB_LAB_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "emulator/spec.h"

namespace shelflab {

// What a link does to what goes over it.
struct LinkFault {
  bool deaf = false;   // Nothing reaches the sidecar.
  bool mute = false;   // Nothing of the sidecar comes through.
  bool shut = false;   // No connection comes up.
  bool apart = false;  // Only those that are apart too are reached, and reach it.
  Micros delay = 0;    // Added to whatever goes to the sidecar; of datagrams, to either way.
  double lose = 0;     // Shares of its datagrams, either way.
  double repeat = 0;
  Micros reorder = 0;  // Each is late by a drawn part of it.
};

class Relay {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // `own` are the processes' addresses, `theirs` those by which others know them. Throws
  // boost::system::system_error where one cannot be had.
  Relay(boost::asio::io_context& io, std::vector<Endpoint> own, const std::vector<Endpoint>& theirs,
        std::uint64_t seed);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void SetFault(std::size_t process, const LinkFault& fault) { faults_[process] = fault; }
  // From now on nothing is carried.
  void Stop();

 private:
  void Wait(std::size_t to);
  void Take(std::size_t to);
  void Carry(std::size_t from, std::size_t to, const std::string& bytes);
  void Deliver(std::size_t from, std::size_t to, const std::string& bytes);

  boost::asio::io_context& io_;
  std::vector<Endpoint> own_;
  std::map<Endpoint, std::size_t> numbers_;  // By their own addresses.
  std::vector<boost::asio::ip::udp::socket> sockets_;
  std::vector<LinkFault> faults_;
  Random random_;
  std::shared_ptr<bool> open_ = std::make_shared<bool>(true);
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_RELAY_H_
