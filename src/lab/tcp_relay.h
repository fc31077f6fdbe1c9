// Carries the connections of one link between a process and somebody else, and befalls what goes
// over them. What a cut holds back goes on its way when the link heals, however late that is.
#ifndef SHELFLAB_LAB_TCP_RELAY_H_
#define SHELFLAB_LAB_TCP_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "lab/relay.h"

namespace shelflab {

class TcpRelay {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // Which end of the link is the process that faults are told from.
  enum class Process { kDials, kIsDialled };

  // Listens at a free address of its own. Throws boost::system::system_error if it cannot.
  TcpRelay(boost::asio::io_context& io, const Endpoint& target, Process process);
  ~TcpRelay() { *open_ = false; }
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  const Endpoint& address() const { return address_; }
  // Of a fault it takes deaf, mute and delay; what is shut lets nothing through either way.
  void SetFault(const LinkFault& fault);
  // Every connection is reset at both ends.
  void Reset();
  // From now on nothing is taken in or carried. To be called before it goes.
  void Stop();

 private:
  class Side;
  void Accept();
  // Of a link to the process, once the first bytes are due there: a connection that is late comes
  // up late too.
  void Join(boost::asio::ip::tcp::socket socket);
  void Dial(const std::shared_ptr<Side>& in);
  // Whether nothing goes towards the process, or comes from it.
  bool Held(bool to_process) const;

  boost::asio::io_context& io_;
  Endpoint target_;
  Process process_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Endpoint address_;
  LinkFault fault_;
  std::shared_ptr<bool> open_ = std::make_shared<bool>(true);  // False once this is gone.
  std::vector<std::shared_ptr<Side>> sides_;  // Those that are over go with the next that come.
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_TCP_RELAY_H_
