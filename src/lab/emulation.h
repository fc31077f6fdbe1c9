// A fleet on loopback sockets: the pure fleet and catalog under real connections, with the sidecars
// as real processes. It moves bytes and keeps time; what happens is decided in src/emulator.
//
// Addresses. Every sidecar has its own address of discovery, and those of the first tier have their
// own address for each node, so that it is known who asks and who sends; a sidecar of a later tier
// is known by the requests that its one caller gave it.
#ifndef SHELFLAB_LAB_EMULATION_H_
#define SHELFLAB_LAB_EMULATION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/catalog.h"
#include "emulator/connections.h"
#include "emulator/fleet.h"
#include "lab/caller.h"
#include "lab/lateness.h"
#include "lab/plan.h"
#include "lab/process.h"
#include "lab/relay.h"
#include "lab/store_rig.h"

namespace shelflab {

// What befalls one sidecar, or what it does that others see.
struct FleetNote {
  // kLeft: it ended by itself, in order. kUnready: it says that it is not healthy; kReady again.
  enum class Kind {
    kStarted,
    kReady,
    kKilled,
    kStopped,
    kWoken,
    kCalled,
    kTold,
    kConnected,
    kLeft,
    kUnready
  };
  Kind kind = Kind::kStarted;
  Micros at = 0;
  std::uint32_t sidecar = 0;  // Its place among all.
  std::uint64_t life = 0;     // Counts its starts, from 1.
  std::int64_t version = 0;   // kTold: of the list that it was written.
  NodeId node = 0;            // kConnected: at which node.
};

struct EmulationOptions {
  std::string sidecar_program;  // Empty: no sidecars are started, only the endpoints and discovery.
  std::string folder;           // For configurations and logs; must exist.
  std::uint64_t seed = 1;
  bool record = false;    // Keep all service times.
  bool traced = false;    // Sidecars write a trace into their logs.
  bool stateful = false;  // Sidecars of the first tier remember, each in a folder of its own.
  // Sidecars of the first tier are told of so many peers. Endpoints then have one address for all
  // of them, for lists that go from one to another: who sends is known by the request, which
  // whoever drives the load tells beforehand.
  std::uint32_t peers = 0;
  Micros peer_list_age = 300 * kSecond;
  // There is a coordination store, a process of its own, and sidecars of the first tier are members
  // of one fleet. One that ends by itself is started again, and a front is told who says that it is
  // not healthy.
  bool coordinated = false;
  bool folder_store = false;  // That store is in a folder, not a process of its own.
  std::string lab_program{};  // That has the store.
  Micros ttl = 3 * kSecond;   // Of leases.
  std::function<void(const FleetNote&)> notes = nullptr;  // May be empty.
};

// What a sidecar is started again with.
struct Restart {
  storm::Memory list = storm::Memory::kLast;
  storm::Folder folder = storm::Folder::kKept;
};

struct SidecarView {
  std::uint32_t tier = 0;
  std::uint32_t number = 0;
  boost::asio::ip::tcp::endpoint listen;
  bool ready = false;
  pid_t pid = -1;
};

// What went on since the last look: for the windows of a report.
struct NodeWindow {
  std::uint64_t came = 0, served = 0, turned_away = 0, failed = 0;
  double service = 0;       // Time from an attempt's arrival to its answer, summed, microseconds.
  double work = 0;          // Work that those attempts were drawn.
  std::uint64_t timed = 0;  // How many of them.
};

// What a node took for its own part of a request that it served, calls to the next tier left out.
struct ServiceTime {
  NodeId node = 0;
  Micros came = 0;
  Micros own = 0;
};

class Emulation {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // Throws boost::system::system_error where an address cannot be had.
  Emulation(boost::asio::io_context& io, const Plan& plan, EmulationOptions options, SeenSink seen);
  ~Emulation();
  Emulation(const Emulation&) = delete;
  Emulation& operator=(const Emulation&) = delete;

  // Starts the sidecars; `ready` is called once all of them answer, or with what is wrong.
  void Start(std::function<void(std::string error)> ready);
  // Steps are counted from now on.
  void Play(const std::vector<Step>& steps);
  void Carry(const Step& step);
  // Ends all sidecars and connections.
  void Stop();

  // To sidecars of the first tier, by number. Kill: by that signal, and by SIGKILL where it has not
  // ended after its time; it starts again after `down` with that.
  void KillSidecar(std::uint32_t number, int signal, Micros down, const Restart& restart);
  void StopSidecar(std::uint32_t number);
  void WakeSidecar(std::uint32_t number);
  void SetLink(std::uint32_t number, storm::End to, const LinkFault& fault);
  void ResetLink(std::uint32_t number, storm::End to);

  // Null where there is no coordination store.
  StoreRig* store() { return store_.get(); }
  // Whether it is running and answers for its health.
  bool IsReady(std::uint32_t number) const;

  // The request goes to that sidecar of the first tier next.
  void Expect(std::uint64_t txn, std::uint32_t number);

  // What the account is to be told of a sidecar of the first tier that took a list of that version
  // from a peer; nothing where discovery told no such list.
  std::vector<Seen> HeardBy(std::uint32_t number, std::int64_t version, Micros at) const;

  // Where clients connect: the sidecars of the first tier.
  std::vector<Endpoint> Targets() const;
  std::vector<SidecarView> Sidecars() const;
  const Fleet& fleet() const { return fleet_; }
  // The endpoint of a node as the first sidecar of its tier knows it.
  Endpoint NodeAddress(NodeId node) const;
  // Where a sidecar, by its place among all, finds discovery.
  Endpoint DiscoveryAddress(std::size_t sidecar) const;
  std::size_t connections() const { return connections_; }
  std::uint64_t attempts() const { return next_attempt_; }
  const Lateness& lateness() const { return late_; }
  // Burst factors are the load's: told to whoever drives it.
  void OnBurst(std::function<void(double)> on_burst) { on_burst_ = std::move(on_burst); }
  // Sidecars that ended though nobody told them to.
  std::uint64_t crashes() const { return crashes_; }
  std::vector<NodeWindow> TakeWindows();
  // Kept only where the options ask for it.
  const std::vector<ServiceTime>& service_times() const { return service_times_; }

 private:
  class Line;
  class EndpointLine;
  class DiscoveryLine;
  struct Door;
  struct Node;
  struct Sidecar;
  struct Open;
  struct Link;
  struct Had;

  void Accept(Door& door);
  void OpenDoor(Door& door);
  void ShutDoor(Door& door);
  void Muffle(Door& door, bool on);
  void OnRequest(EndpointLine& line);
  void OnDiscoveryCall(DiscoveryLine& line);
  void Settle();
  void Arm();
  void Tick();
  void Answer(const FleetEffect& effect);
  void CallNextTier(const FleetEffect& effect);
  void Died(NodeId node);
  void Started(NodeId node);
  void AnswerDiscovery(const CatalogAnswer& answer);
  void TellRow(std::uint32_t sidecar, const Listed& row, Micros at);
  void TellAbsent(std::uint32_t sidecar, const std::vector<Listed>& rows, Micros at);
  void Fact(NodeId node, Health health, Micros started);
  void SweepIdle();
  void ResetLines(NodeId node);
  void CountTold();
  void StartSidecar(Sidecar& sidecar, const Restart& restart = {});
  std::string StateOf(const Sidecar& sidecar) const;
  bool OneDoor(std::uint32_t tier) const { return tier != 0 || options_.peers > 0; }
  void StartRelay();
  void StartStoreRig();
  TcpRelay& StoreLink(std::uint32_t number, storm::End to);
  void ProbeHealth();
  void Leave(Sidecar& sidecar);
  void AskHealth(const Sidecar& sidecar, std::function<void(bool healthy)> told);
  std::vector<std::string> PeersOf(const Sidecar& sidecar) const;
  void Befall(const Sidecar& sidecar, storm::Folder folder) const;
  void StartAgain(Sidecar& sidecar, std::uint64_t life, Micros at, Micros kill_at,
                  const Restart& restart);
  void Learn(Sidecar& sidecar, const CatalogAnswer& answer);
  std::vector<std::shared_ptr<Line>> LinesOf(const Sidecar& sidecar, storm::End to) const;
  std::vector<Door*> DoorsOf(Sidecar& sidecar, storm::End to);
  void Note(FleetNote::Kind kind, const Sidecar& sidecar, std::int64_t version = 0,
            NodeId node = 0) const;
  void AwaitReady(Sidecar& sidecar, std::uint64_t life);
  std::string ConfigOf(const Sidecar& sidecar, const Had& known) const;
  void Watch();
  void CheckAllReady();

  boost::asio::io_context& io_;
  Plan plan_;
  EmulationOptions options_;
  SeenSink seen_;
  Fleet fleet_;
  Catalog catalog_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer sweep_timer_;
  Micros armed_ = kNever;
  Lateness late_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::unique_ptr<Relay> relay_;     // Null without peers.
  std::unique_ptr<StoreRig> store_;  // Null without coordination.
  boost::asio::steady_timer health_timer_;
  std::map<std::int64_t, std::map<NodeId, Listed>> versions_;  // Of the first tier, as told.
  std::vector<Had> first_lists_;                               // By tier.
  std::unordered_map<std::uint64_t, Open> open_;  // Attempts at endpoints, by their number.
  std::unordered_map<std::uint64_t, std::weak_ptr<DiscoveryLine>> asking_;
  std::unordered_map<std::uint64_t, std::uint32_t> caller_of_;  // Requests of later tiers.
  std::deque<std::pair<Micros, std::uint64_t>> caller_ends_;
  std::multimap<Micros, Step> steps_;
  std::multimap<Micros, std::pair<std::uint32_t, Listed>> told_late_;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t next_call_ = 0;
  std::uint64_t next_connection_ = 0;
  Random txns_;
  std::size_t connections_ = 0;
  std::function<void(std::string)> ready_;
  std::function<void(double)> on_burst_;
  std::uint64_t crashes_ = 0;
  std::vector<ServiceTime> service_times_;
  std::uint32_t first_tier_sidecars_ = 0;
  bool settling_ = false;
  bool stopped_ = false;
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_EMULATION_H_
