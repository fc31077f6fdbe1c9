// What a sidecar is told at its start.
#ifndef KELPSPRING_CONFIG_H_
#define KELPSPRING_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/address.h"
#include "settings.h"
#include "sidecar/discovery.h"
#include "sidecar/lesson.h"

namespace kelpspring {

constexpr std::size_t kFewestSockets = 64;

// Where a sidecar remembers from one start to the next.
struct StateSettings {
  std::string folder;
  std::chrono::microseconds list_age{std::chrono::minutes(5)};  // An older list decides nothing.
  // An older lesson decides nothing: what endpoints can bear changes with all others' load.
  std::chrono::microseconds lesson_age{std::chrono::minutes(1)};
};

// The channel to others of the fleet.
struct PeerSettings {
  net::Address listen;
  std::vector<net::Address> others;
  std::string fleet;  // Its name: whoever bears another is no peer.
  std::chrono::microseconds list_age{std::chrono::minutes(5)};  // An older list is not taken.
};

// The store that a fleet shares, for work that one does for all.
struct CoordinationSettings {
  std::vector<net::Address> servers;  // Tried in turn; empty: the store is in a folder,
  std::string folder{};               // of this machine's, by its absolute path.
  std::string fleet;                  // Its name: keys of others are not touched.
  std::chrono::microseconds ttl{std::chrono::seconds(5)};  // Of leases.
  net::Address door;  // Where others of the fleet reach the operators' door.
};

struct Config {
  std::string name;
  net::Address listen;
  net::Address discovery;
  std::optional<net::Address> console;  // The operators' door; none where it is not asked for.
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;  // File descriptors it may hold.
  std::size_t memory_mb = 64;  // The memory it is given.
  MemberList known;
  // Since discovery said that it holds; none where that is not known.
  std::optional<std::chrono::microseconds> known_age;
  std::optional<StateSettings> state;  // None: nothing is stored.
  std::optional<Lesson> lesson;        // Of its last life, as old as it is now.
  std::int64_t fence = 0;              // The highest of an owner that an earlier life has seen.
  std::optional<PeerSettings> peers;   // None: no channel.
  std::optional<CoordinationSettings> coordination;  // None: it does nothing on others' behalf.
  gaugecart::Setup setup;
  bool traced = false;  // A line for each event; asked for on the command line.
};

// Throws gaugecart::BadInput naming the field at fault.
Config ParseConfig(const std::string& text);
Config LoadConfig(const char* path);
// The address in PROXY_CONSOLE, for a configuration that names none; none if it is empty.
std::optional<net::Address> ConsoleAddress(const std::string& text);

}  // namespace kelpspring

#endif  // KELPSPRING_CONFIG_H_
