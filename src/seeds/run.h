// Plays one script on the virtual network and says what was found: the sidecar's own code, two
// tiers, every rule checked after each event by an account that sees the wire alone.
#ifndef SHELFLINK_SEEDS_RUN_H_
#define SHELFLINK_SEEDS_RUN_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "seeds/script.h"

namespace seeds {

// Rare moments that a run is to meet; how often it did is counted.
enum class Moment {
  kCancelWithReply,      // A client left at the instant at which its reply reached the sidecar.
  kUpdateInRetry,        // A list came while a request was on its way after a failed attempt.
  kDrainInConnect,       // A drain was told while a connection to that node came up.
  kTerminateInAnswer,    // SIGTERM while an answer was half written.
  kReloadInWatch,        // SIGHUP while a watch was open.
  kOlderList,            // A list older than the last one was told.
  kReborn,               // A node came back under its old name.
  kIdleCloseCrossing,    // A request crossed the close of its idle connection.
  kRefusedByDescriptors  // A sidecar had no descriptor left.
};
constexpr std::size_t kMoments = 9;
const char* WordOf(Moment moment);

struct Finding {
  std::string rule;  // A few words, the same for all findings of its sort.
  Micros at = 0;
  std::string text;
};

// What the whole fleet did in one second, as the wire shows it.
struct Second {
  std::uint64_t connects = 0;    // Connections that nodes took.
  std::uint64_t list_calls = 0;  // That discovery took.
  std::uint64_t sends = 0;       // Attempts that reached a node...
  std::uint64_t young = 0;       // ...that was not yet warm.
  std::uint64_t errors = 0;
  std::uint64_t turned_away = 0;
  std::uint64_t served = 0;   // Tries of clients...
  std::uint64_t refused = 0;  // ...
  std::uint64_t failed = 0;   // ...by how they ended, those without an answer included.
  std::uint64_t retries = 0;  // Of clients.
};

// How a sidecar of the clients came back from its last start.
struct Return {
  Micros started = 0;
  std::optional<Micros> ready;   // When it would serve; none if never.
  std::uint64_t list_calls = 0;  // Within kReturnSpan of its start.
};
constexpr Micros kReturnSpan = 10 * shelflab::kSecond;

struct RunResult {
  std::uint64_t hash = 0;  // Of all events: equal for equal histories.
  std::uint64_t events = 0;
  Micros simulated = 0;
  std::uint64_t requests = 0;  // Tries of clients, and calls of nodes to the next tier.
  std::uint64_t attempts = 0;
  double served = 0;        // Share of the clients' requests.
  double served_after = 1;  // Of those sent once all faults were over for kBackWithin.
  std::vector<Finding> findings;
  std::vector<Second> seconds;
  std::uint64_t fullest_tenth = 0;  // Most list calls in a tenth of a second: calls in step show.
  std::vector<Return> returns;      // Of those that were started again.
  std::array<std::uint64_t, kMoments> moments{};
};

// After the end of the last fault, service is back within this.
constexpr Micros kBackWithin = 6 * shelflab::kSecond;

using Timeline = std::function<void(Micros at, const std::string& text)>;

// `timeline` is told, if there is one, what happens.
RunResult Play(const Script& script, const Timeline& timeline = nullptr);

// Removes faults, then shortens and weakens, for as long as `fails` holds of what is left.
Script Shrink(const Script& script, const std::function<bool(const Script&)>& fails);

}  // namespace seeds

#endif  // SHELFLINK_SEEDS_RUN_H_
