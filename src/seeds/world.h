// The world of a seeded run: nodes of the emulator's model, discovery, clients, and sidecars of the
// real code, each a process on the virtual network. It plays; the account judges.
#ifndef SHELFLINK_SEEDS_WORLD_H_
#define SHELFLINK_SEEDS_WORLD_H_

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/account.h"
#include "emulator/catalog.h"
#include "emulator/connections.h"
#include "emulator/fleet.h"
#include "emulator/load.h"
#include "emulator/random.h"
#include "net/virtual.h"
#include "seeds/run.h"
#include "sidecar/sidecar.h"

namespace seeds {

using shelflab::NodeId;

constexpr std::uint32_t kDiscoveryHost = 0x0a000101;
constexpr std::uint16_t kNodePort = 3000;

class NodeLine;
class DiscoveryLine;
class CallLine;
class Stray;

// One request of a client, or one call of a node to the next tier.
struct Ask {
  std::uint64_t txn = 0;
  std::uint32_t cls = 0;
  std::string tenant;
  Micros due = 0;  // When this try is no longer waited for.
  std::uint32_t sidecar = 0;
  std::uint64_t attempt = 0;  // Of the node that calls; 0: a client.
  std::uint32_t client = 0;
  std::uint32_t tries = 1;
  Micros until = 0;  // When the client leaves it for good.
  Micros begun = 0;
};

class World {
 public:
  World(const Script& script, Timeline timeline);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  RunResult Run();

 private:
  friend class NodeLine;
  friend class DiscoveryLine;
  friend class CallLine;
  friend class Stray;

  struct Node {
    explicit Node(const shelflab::ServerSpec& s) : connections(s.connections, s.idle_close) {}
    NodeId id = 0;
    std::uint32_t host = 0;
    std::unique_ptr<net::VirtualProcess> process;
    net::ListenerPtr listener;
    shelflab::Connections connections;
    std::map<std::uint64_t, std::shared_ptr<NodeLine>> lines;
    std::optional<std::uint32_t> sidecar;  // Its own, if it calls the next tier.
    std::uint32_t drains = 0;              // Faults that hold it drained.
  };
  // What the sidecar tells of itself.
  struct Told : kelpspring::Observer {
    std::uint64_t taken = 0;
    std::uint64_t sends = 0;
    std::array<std::uint64_t, 4> ended{};  // By kelpspring::Ending.
    void OnTaken(std::uint32_t) override { ++taken; }
    void OnSent(std::uint32_t) override { ++sends; }
    void OnEnded(std::uint32_t, kelpspring::Ending how) override {
      ++ended[static_cast<std::size_t>(how)];
    }
  };
  // The same as its peers see it.
  struct PeersSaw {
    std::uint64_t asked = 0;
    std::uint64_t attempts = 0;
    std::array<std::uint64_t, 3> answers{};  // By kelpspring::Ending.
  };
  struct Side {
    std::uint32_t place = 0;
    std::uint32_t tier = 0;
    std::uint32_t host = 0;
    std::unique_ptr<net::VirtualProcess> process;
    std::unique_ptr<kelpspring::Sidecar> sidecar;
    std::uint64_t life = 0;
    Told figures;  // Of this life, as what follows.
    PeersSaw seen;
    bool in_front = false;  // New requests go to it.
    bool draining = false;
    bool other_door = false;  // It asks discovery at its second address.
    std::int64_t told = 0;    // The newest version that it was told.
    // Of its tier's nodes: the start that it was told, and when.
    std::map<NodeId, std::pair<Micros, Micros>> births;
    std::set<std::uint64_t> retrying;  // Requests that go on after a failed attempt.
    std::set<std::uint64_t> asking;    // Its watches that are open.
    Return back;
  };
  struct Open {  // An attempt at a node.
    std::weak_ptr<NodeLine> line;
    std::uint64_t txn = 0;
    std::uint32_t cls = 0;
    NodeId node = 0;
    std::uint32_t sidecar = 0;
    std::string tenant;
  };
  struct Knob {  // Chances that faults turn up and down.
    double cancel = 0, slow = 0, cancel_with_reply = 0, update_in_retry = 0, burst = 1;
  };

  // Time.
  Micros Now() const;
  static Micros MicrosOf(net::Time at);
  net::Time When(Micros at) const;
  void After(Micros span, std::function<void()> step);
  void Arm();
  void Settle();
  void Say(const std::function<std::string()>& text);
  void Count(Moment moment) { ++result_.moments[static_cast<std::size_t>(moment)]; }
  Second& ThisSecond();
  void Find(const std::string& rule, const std::string& text);
  void CheckAccount();

  // Nodes (endpoints.cpp).
  void StartNode(NodeId id);
  void AcceptAt(NodeId id);
  void OnRequest(NodeLine& line);
  void Answer(const shelflab::FleetEffect& e);
  void CallNextTier(const shelflab::FleetEffect& e);
  void Died(NodeId id);
  void Fell(NodeId id);
  void SweepIdle();

  // Discovery (discovery.cpp).
  void StartDiscovery();
  void StopDiscovery();
  void AcceptAtDiscovery(std::uint32_t place, std::size_t door);
  void OnCall(DiscoveryLine& line);
  void AnswerCall(const shelflab::CatalogAnswer& answer);
  void SendList(DiscoveryLine& line, std::int64_t seq, bool whole,
                const std::vector<shelflab::Listed>& rows);
  void Tell(std::uint32_t place, std::uint64_t life, std::int64_t seq, bool whole,
            const std::vector<shelflab::Listed>& rows);
  void TellRow(Side& side, const shelflab::Listed& row);
  void Fact(NodeId id, shelflab::Health health, Micros started, bool at_once = false);
  std::string ListText(std::int64_t seq, bool whole,
                       const std::vector<shelflab::Listed>& rows) const;

  // Sidecars (sidecars.cpp).
  std::string ConfigOf(const Side& side) const;
  std::pair<std::int64_t, std::vector<shelflab::Listed>> Known(const Side& side) const;
  void StartSidecar(std::uint32_t place);
  void AwaitReady(std::uint32_t place, std::uint64_t life);
  std::vector<Return> Returns() const;
  void Terminate(std::uint32_t place, Micros down);
  void EndSidecar(std::uint32_t place, bool crash, Micros down);
  net::Address SidecarAddress(const Side& side) const;
  net::Address DoorOf(const Side& side, bool other) const;

  // Clients (clients.cpp).
  void NextArrival();
  void Retry(Ask ask);
  void Begin(Ask ask);
  void Resend(Ask ask);
  net::VirtualProcess& CallerOf(const Ask& ask);
  void DropCallsOf(const net::VirtualProcess& process);
  void ExcuseCallsOf(const net::VirtualProcess& process);
  void Ended(const Ask& ask, shelflab::TryEnd end, Micros advice);
  void NewStray(int sort);
  void CancelWithReply(std::uint64_t txn, net::Time arrival);

  // Faults (faults.cpp).
  void Schedule();
  void Start(const Fault& fault);
  void Stop(const Fault& fault);
  void ApplyTo(NodeId id, shelflab::Step::Kind kind, double size);
  void DrainNode(NodeId id, bool on, bool at_once);
  void Weathered(const Fault& fault, bool on);
  std::uint32_t SideHost(const Fault& fault) const;

  // The end.
  void Bury(std::unique_ptr<net::VirtualProcess> process);
  void CheckDescriptors(const Side& side);
  void CheckQuiet();
  void CheckFigures(const Side& side);
  void CheckBack();

  Script script_;
  Timeline timeline_;
  RunResult result_;
  net::VirtualNet net_;
  shelflab::FleetSpec spec_;
  shelflab::Fleet fleet_;
  shelflab::Catalog catalog_;
  shelflab::Account account_;
  shelflab::Random random_;
  std::uint64_t known_broken_ = 0;

  // Processes that have ended; what they made may still be held somewhere.
  std::vector<std::unique_ptr<net::VirtualProcess>> ended_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Side>> sides_;
  std::map<std::uint32_t, std::uint32_t> side_of_host_;
  std::unique_ptr<net::VirtualProcess> discovery_;
  std::vector<net::ListenerPtr> doors_;
  std::unique_ptr<net::VirtualProcess> client_;
  std::vector<shelflab::ClientHabits> habits_;

  std::map<std::uint64_t, Open> open_;
  std::map<std::uint64_t, std::shared_ptr<CallLine>> calls_;  // By number.
  std::map<std::uint64_t, std::weak_ptr<CallLine>> by_txn_;
  std::map<std::uint64_t, std::weak_ptr<DiscoveryLine>> asking_;
  std::list<std::shared_ptr<DiscoveryLine>> discovery_lines_;
  std::list<std::shared_ptr<Stray>> strays_;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t next_line_ = 0;
  std::uint64_t next_call_ = 0;

  Micros armed_ = shelflab::kNever;
  std::uint64_t turn_ = 0;
  bool settling_ = false;
  bool quiet_ = false;  // No more load.
  Micros last_fault_ = 0;
  Knob knob_;
  bool garbled_ = false;
  Micros old_until_ = 0;
  std::int64_t old_seq_[2] = {0, 0};  // The list as it was at the beginning.
  std::vector<shelflab::Listed> old_rows_[2];
  std::optional<NodeId> drain_on_accept_;
  Micros drain_lasts_ = 0;
  std::optional<std::uint32_t> terminate_in_answer_;
  std::map<std::uint32_t, std::pair<NodeId, Micros>> connecting_;  // By sidecar: lately accepted.
  std::map<Micros, std::uint64_t> list_calls_by_tenth_;
  std::uint64_t asked_ = 0, served_ = 0, asked_after_ = 0, served_after_ = 0;
};

}  // namespace seeds

#endif  // SHELFLINK_SEEDS_WORLD_H_
