#include "lab/coordinator.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "coordination/stand_in.h"
#include "lab/store_rig.h"
#include "net/sockets.h"

namespace shelflab {
namespace {

std::string TextOf(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

net::Address AddressOf(const std::string& text) {
  const auto address = net::Address::Parse(text);
  if (!address) throw std::runtime_error(text + ": expected an address and port");
  return *address;
}

}  // namespace

void RunCoordinator(const CoordinatorOptions& options) {
  boost::asio::io_context io(1);
  net::SocketLoop loop(io);
  const std::string before = options.journal.empty() ? "" : TextOf(options.journal);
  std::ofstream journal;
  if (!options.journal.empty()) {
    journal.open(options.journal, std::ios::app);
    // A line that was cut while it was written must not run into the next.
    if (!before.empty() && before.back() != '\n') journal << '\n';
    if (!journal) throw std::runtime_error(options.journal + ": cannot be written");
  }
  coordination::StandIn stand_in(loop, AddressOf(options.listen), options.seed,
                                 [&](const std::string& line) {
                                   if (!journal.is_open()) return;
                                   journal << line << '\n' << std::flush;
                                   // What cannot be kept must not be acknowledged.
                                   if (!journal) std::abort();
                                 });
  stand_in.Play(before);
  std::cout << stand_in.address().Text() << std::endl;
  for (const int signal : {SIGTERM, SIGINT}) loop.OnSignal(signal, [&] { io.stop(); });
  io.run();
}

int AskFleet(const FleetCall& call) {
  const net::Address door = AddressOf(call.door);
  boost::asio::io_context io(1);
  int code = 1;
  CallHttp(io, {boost::asio::ip::make_address(door.Host()), door.port()}, call.method, call.path,
           call.body, [&](int status, const std::string& text) {
             if (status == 0) {
               std::cerr << call.door << ": no answer\n";
               return;
             }
             (status < 300 ? std::cout : std::cerr) << text;
             code = status < 300 ? 0 : 1;
           });
  io.run();
  return code;
}

}  // namespace shelflab
