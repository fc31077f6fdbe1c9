// All servers of a fleet, their tiers and the troubles that befall them, as one pure state machine:
// events go in with their time, effects come out. The same fleet runs under sockets (src/lab) and
// under a virtual clock (the tests); one seed is one history.
//
// A request that reaches a node is an attempt, known by a number that the embedder gives. The fleet
// draws its work, plays it through the node's server and says how and when it is answered. Where
// the node calls the next tier, the embedder makes the call (through a sidecar) and tells how it
// went; the node's slot is held meanwhile.
#ifndef SHELFLAB_EMULATOR_FLEET_H_
#define SHELFLAB_EMULATOR_FLEET_H_

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "emulator/incident.h"
#include "emulator/random.h"
#include "emulator/server.h"
#include "emulator/spec.h"

namespace shelflab {

struct Attempt {
  std::uint64_t id = 0;
  NodeId node = 0;
  std::uint32_t cls = 0;  // Place in FleetSpec::classes.
  Micros due = kNever;    // When its caller stops waiting.
  bool fresh = false;     // First on its connection, which costs a handshake.
};

struct FleetEffect {
  enum class Kind {
    kAnswer,    // `attempt` ends, as `answer` says.
    kCall,      // `attempt` calls the next tier; tell CallDone.
    kDied,      // `node`'s process is gone, with all attempts there: no answer comes.
    kStarted,   // `node`'s process runs.
    kFellOver,  // `node` was pushed over while cold and died (kDied follows).
  };
  enum class Answer {
    kOk,
    kError,       // 500
    kTurnedAway,  // 503, never ran.
    kHalf,        // 200, breaks off in the middle; it ran.
    kReset,       // The connection is reset; it ran.
  };
  Kind kind = Kind::kAnswer;
  Answer answer = Answer::kOk;
  std::uint64_t attempt = 0;
  NodeId node = 0;
  std::uint32_t cls = 0;
  Micros due = kNever;
  Micros at = 0;
};

enum class NodeState { kServing, kDraining, kDown };

struct NodeView {
  NodeState state = NodeState::kServing;
  bool stalled = false;
  bool paused = false;
  bool silent = false;
  bool choked = false;
  double slow = 1;
  Micros started = 0;      // 0: long ago.
  std::uint64_t came = 0;  // Attempts, over all its lives; and of these
  std::uint64_t served = 0;
  std::uint64_t turned_away = 0;
  std::uint64_t failed = 0;
  double work_done = 0;
  std::size_t held = 0;
};

class Fleet {
 public:
  Fleet(const FleetSpec& spec, std::uint64_t seed);

  void OnAttempt(Micros now, const Attempt& attempt);
  void CallDone(Micros now, std::uint64_t attempt, bool ok);
  // Carries out a step that concerns nodes or tiers; others are ignored.
  void Apply(Micros now, const Step& step);
  void Advance(Micros now);
  Micros Next() const;
  // What has happened since the last call, in order.
  std::vector<FleetEffect> TakeEffects();

  const FleetSpec& spec() const { return spec_; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(nodes_.size()); }
  NodeView View(NodeId node) const;
  std::uint32_t tier(NodeId node) const { return nodes_[node].tier; }
  const std::string& kind(NodeId node) const { return nodes_[node].kind; }
  double speed(NodeId node) const { return nodes_[node].speed; }

 private:
  struct Node {
    Node(const ServerSpec& spec, std::uint32_t t) : server(spec), tier(t) {}
    Server server;
    std::uint32_t tier;
    std::string kind;
    double speed = 1;
    NodeState state = NodeState::kServing;
    bool stalled = false;
    bool paused = false;
    bool silent = false;
    double slow = 1;
    double errors = 0;
    double resets = 0;
    double halves = 0;
    Micros started = 0;
    Micros next = kNever;  // As it stands in agenda_.
    std::uint64_t came = 0, served = 0, turned_away = 0, failed = 0;
    double work_done = 0;
    std::unordered_map<JobId, Attempt> attempts;
  };

  void Put(FleetEffect::Kind kind, const Attempt& attempt, Micros at,
           FleetEffect::Answer answer = FleetEffect::Answer::kOk);
  void Work(Micros now, NodeId node);
  void Schedule(NodeId node);
  void Die(Micros now, NodeId node);
  void Slow(Micros now, NodeId node);
  void Quiet(Micros now, NodeId node);
  double Draw(std::uint32_t cls);

  FleetSpec spec_;
  Random random_;
  std::vector<Node> nodes_;
  std::vector<double> tier_slow_;
  std::set<std::pair<Micros, NodeId>> agenda_;
  std::set<std::pair<Micros, std::uint64_t>> quick_;  // Quick errors, by time and attempt.
  std::unordered_map<std::uint64_t, Attempt> quick_attempts_;
  std::unordered_map<std::uint64_t, NodeId> where_;  // Attempts that have calls out.
  std::vector<FleetEffect> effects_;
  std::vector<ServerEffect> scratch_;
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_FLEET_H_
