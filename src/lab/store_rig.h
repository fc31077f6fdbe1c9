// A coordination store for a fleet of real processes: the stand-in as a process of its own, and a
// link of its own between it and each of them, and between each of them and the others' calls, all
// of which can be befallen.
#ifndef SHELFLAB_LAB_STORE_RIG_H_
#define SHELFLAB_LAB_STORE_RIG_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/process.h"
#include "lab/tcp_relay.h"

namespace shelflab {

// One call over HTTP and its answer; status 0 where none came within two seconds.
using HttpAnswered = std::function<void(int status, const std::string& body)>;
void CallHttp(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& to,
              const std::string& method, const std::string& path, const std::string& body,
              HttpAnswered answered);

class StoreRig {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  struct Setup {
    std::string program;     // This lab's, which has the stand-in.
    std::string folder;      // For its journal and log.
    Endpoint at;             // Where the stand-in listens, also after a restart.
    bool in_folder = false;  // There is none: the store is in a folder beside.
    std::uint64_t seed = 0;
    std::vector<Endpoint> doors;  // The operators' doors of the processes, by number.
  };

  StoreRig(boost::asio::io_context& io, Setup setup);

  // Starts the stand-in; `ready` is told once it answers, or with what is wrong.
  void Start(std::function<void(const std::string& error)> ready);
  void Stop();

  // As that process is to know them.
  std::string StoreAddress(std::size_t process) const;
  std::string DoorAddress(std::size_t process) const;
  const Endpoint& OwnDoor(std::size_t process) const { return setup_.doors[process]; }

  TcpRelay& StoreLink(std::size_t process) { return *store_links_[process]; }
  TcpRelay& DoorLink(std::size_t process) { return *door_links_[process]; }

  // What befalls the stand-in itself.
  void Kill() { process_.Kill(); }
  void StartAgain();
  void Halt() const;
  void Wake() const;
  // One of its calls under /lab/.
  void Tell(const std::string& path, const std::string& body);
  // Which process owns maintenance as the stand-in says; none if nobody does.
  void AskOwner(std::function<void(std::optional<std::uint32_t> process)> told);
  // The order as it stands, in the words of src/maintenance; empty if there is none.
  void AskOrder(std::function<void(const std::string& text)> told);

 private:
  void AwaitReady(int tries, std::function<void(const std::string&)> ready);
  void AskKey(const std::string& key, std::function<void(const std::string& value)> told);
  // What the first process that answers and follows says of the fleet; null if none does.
  void AskDoors(std::size_t first, std::function<void(const nlohmann::json& fleet)> told);
  std::string StoreFolder() const;

  boost::asio::io_context& io_;
  Setup setup_;
  Process process_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<TcpRelay>> store_links_;
  std::vector<std::unique_ptr<TcpRelay>> door_links_;
  bool stopped_ = false;
};

// The name of the fleet of a storm, and the number of the process that bears a name ("t0n3").
constexpr const char* kStormFleet = "storm";
std::optional<std::uint32_t> NumberOf(const std::string& name);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_STORE_RIG_H_
