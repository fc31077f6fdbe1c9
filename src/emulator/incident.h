// Incidents: what goes wrong, when, at which nodes. A script of them and a seed make a list of
// steps, each one change at one time; the fleet, the discovery service, the load and the lab's
// sockets carry out the steps that concern them.
#ifndef SHELFLAB_EMULATOR_INCIDENT_H_
#define SHELFLAB_EMULATOR_INCIDENT_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/spec.h"

namespace shelflab {

enum class Trouble {
  kSlow,         // size: how many times as long work takes.
  kSharedSlow,   // The same for every node of the tier, or of all tiers.
  kFastErrors,   // size: share of requests that get a quick 500.
  kResets,       // size: share of requests whose connection is reset in place of an answer.
  kHalfAnswers,  // size: share of requests whose answer breaks off in the middle.
  kDeadIdle,     // Connections idle at that moment: what is written to them next ends as a reset.
  kStall,        // Takes connections and requests and does nothing; then goes on.
  kPause,        // The process stands still, its sockets too; then goes on.
  kSilence,      // The machine is cut off: nothing is said, nothing comes up.
  kLost,         // The process dies; it starts again cold after `lasts`, if that is not 0.
  kDrain,        // Listed as draining; ends after `lasts`.
  kRollingRestart,  // One node after the other: drained, killed, started cold.
  kBurst,           // size: how many times as much load.
  kDiscoveryLate,   // size: seconds from a change to its place in the list.
  kDiscoveryBusy,   // Every call ends with 503.
  kDiscoveryDown,   // Connections are reset and new ones refused.
  kSidecarRestart,  // Sidecars of the first tier get SIGTERM, then start again, in turn.
};

// The word for it in files and commands, and back; no value for a word that is none.
const char* WordOf(Trouble trouble);
std::optional<Trouble> TroubleOf(const std::string& word);
std::vector<std::string> TroubleWords();

struct Incident {
  Trouble trouble = Trouble::kSlow;
  Micros at = 0;
  Micros lasts = 0;
  double size = 0;
  std::optional<std::string> tier;  // All tiers where absent (the first for a rolling restart).
  double share = 0;                 // Of the tier's nodes, one at least; or
  std::vector<std::string> nodes;   // these, by name.
  Micros drain = 2 * kSecond;       // Rolling restart: from the drain to the kill,
  Micros down = 1 * kSecond;        // and from there to the start.
};

struct Step {
  enum class Kind {
    kNodeSlow,      // size: factor
    kTierSlow,      // tier, size: factor
    kNodeErrors,    // size: share
    kNodeResets,    // size: share
    kNodeHalves,    // size: share
    kNodeDeadIdle,  //
    kNodeStall,     // size: 1 on, 0 off
    kNodePause,     // size: 1 on, 0 off
    kNodeSilence,   // size: 1 on, 0 off
    kNodeDrain,     // size: 1 on, 0 off
    kNodeDie,
    kNodeStart,
    kBurst,             // size: factor
    kDiscoveryLate,     // size: seconds; below 0: as the fleet's file says
    kDiscoveryBusy,     // size: 1 on, 0 off
    kDiscoveryDown,     // size: 1 on, 0 off
    kSidecarTerminate,  // node: the sidecar's number
    kSidecarStart,
  };
  Micros at = 0;
  Kind kind = Kind::kNodeSlow;
  NodeId node = 0;
  std::uint32_t tier = 0;
  double size = 0;
};

// An incident that the fleet cannot have; says which part of it is wrong.
struct BadIncident : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Names of nodes are those of NodeName. Steps come in the order of their times, and of the script
// where those are equal. The same script, fleet and seed give the same steps.
std::vector<Step> Compile(const std::vector<Incident>& script, const FleetSpec& fleet,
                          std::uint64_t seed);

// "issue-store-3": the tier's name and the place in it, from 0.
std::string NodeName(const FleetSpec& fleet, NodeId node);
// Where a tier's nodes begin.
NodeId FirstNode(const FleetSpec& fleet, std::uint32_t tier);
std::uint32_t NodeCount(const FleetSpec& fleet);
std::uint32_t TierOf(const FleetSpec& fleet, NodeId node);

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_INCIDENT_H_
