// What a seeded run plays: a scene and the faults that befall it, drawn from a seed by a grammar,
// or read from a short file that a shrunk failure left. Pure values: no clock, no network.
#ifndef SHELFLINK_SEEDS_SCRIPT_H_
#define SHELFLINK_SEEDS_SCRIPT_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/spec.h"

namespace seeds {

using shelflab::Micros;

enum class Kind {
  // Nodes. `target`: its place over both tiers.
  kSlow,     // size: how many times as long work takes.
  kErrors,   // size: share of quick 500s.
  kResets,   // size: share of requests that end in a reset.
  kHalves,   // size: share of answers that break off.
  kStall,    // Takes requests and does nothing.
  kPause,    // The process stands still.
  kSilence,  // The machine is cut off.
  kLost,     // The process dies, and starts cold under its old name after `lasts`.
  kReborn,   // The same within a blink: the list may never show it gone.
  kDrain,    // Listed as draining.
  kForget,   // A box in between forgets the idle connections between sidecar `other` and it.
  kCut,      // Nothing passes between sidecar `other` and it.
  kBreak,    // All connections between sidecar `other` and it break at once.
  kRefuse,   // size: share of dials to it that are refused,
  kIgnore,   // or never answered.
  kNarrow,   // size: bytes of the window between sidecar `other` and it.
  // Everywhere.
  kRough,  // size: share of segments in whose place a connection to an endpoint breaks.
  kLate,   // size: share of segments that come 20 ms late.
  // Discovery.
  kDiscoveryLate,     // size: seconds.
  kDiscoveryBusy,     //
  kDiscoveryDown,     //
  kDiscoveryOld,      // Down, and back for `size` seconds with the list of the beginning.
  kDiscoveryGarbled,  // Answers that are no list.
  kDiscoveryCut,      // Sidecar `other` cannot reach it.
  // Sidecars. `other`: its place.
  kTerminate,    // SIGTERM, then started again.
  kCrash,        // Killed, then started again.
  kReload,       // SIGHUP with another address of discovery, while a watch is open.
  kDescriptors,  // size: descriptors that it may hold.
  kWallStep,     // size: seconds by which its wall clock is stepped.
  // Clients.
  kBurst,        // size: factor.
  kCancel,       // size: share of requests that their client leaves at any time.
  kSlowReaders,  // size: share of clients that take their answers slowly.
  kMalformed,    // size: broken requests a second.
  kIdlers,       // size: connections a second that say nothing.
  kPipelined,    // size: clients a second that send requests ahead.
  // Coincidences, made to happen while it lasts.
  kCancelWithReply,   // Clients leave at the very instant at which the reply reaches the sidecar.
  kUpdateInRetry,     // A failed attempt and a change of the list at about the same time.
  kDrainInConnect,    // A node is listed as draining while a connection to it comes up.
  kTerminateInAnswer  // SIGTERM to a sidecar while answers are half written.
};
constexpr std::size_t kKinds = static_cast<std::size_t>(Kind::kTerminateInAnswer) + 1;
const char* WordOf(Kind kind);
std::optional<Kind> KindOf(std::string_view word);

struct Fault {
  Kind kind = Kind::kSlow;
  Micros at = 0;
  Micros lasts = 0;
  std::uint32_t target = 0;
  std::uint32_t other = 0;
  double size = 0;
};

struct Scene {
  std::uint64_t seed = 1;                  // Of all that is drawn while it plays.
  Micros length = 30 * shelflab::kSecond;  // Of the load; a quiet end follows.
  std::uint32_t sidecars = 2;
  std::uint32_t nodes[2] = {3, 4};
  double rate = 30;  // Requests a second.
  double calls = 1.5;
  double work = 1;  // How many times as long work takes, and clients wait for it.
  std::uint32_t answer_bytes = 200;
  Micros latency_low = 100;
  Micros latency_high = 600;
  Micros grain = 1;
  double cut = 0.1;  // Share of writes that go out in pieces.
  std::uint32_t window = 65536;
  std::uint32_t descriptors = 256;
  Micros idle_close = 3 * shelflab::kSecond;
  bool push = true;        // Sidecars watch discovery from the start; else they ask.
  Micros list_cost = 500;  // What a call costs discovery, which answers one after the other.
  bool forget = false;     // A sidecar that starts again is not told the list that it had.
};

struct Script {
  Scene scene;
  std::vector<Fault> faults;  // In the order of their times.
};

// By their times; those of one time stay as they were.
void SortFaults(Script& script);

// The same seed draws the same script. Faults end well before the scene does.
Script Draw(std::uint64_t seed);

struct BadScript : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// As a TOML file, and back. Throws BadScript naming file, line and key.
std::string TextOf(const Script& script);
Script ParseScript(const std::string& text, const std::string& name);

}  // namespace seeds

#endif  // SHELFLINK_SEEDS_SCRIPT_H_
