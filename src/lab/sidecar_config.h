// The configuration of a sidecar before one tier of a modelled fleet, as DEPLOY has it, for whoever
// starts one: the emulation on sockets, the seeded runs on the virtual network.
#ifndef SHELFLAB_LAB_SIDECAR_CONFIG_H_
#define SHELFLAB_LAB_SIDECAR_CONFIG_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "emulator/spec.h"

namespace shelflab {

struct SidecarPlace {
  std::string name;
  std::string listen;       // Address and port.
  std::string discovery;    // Address and port.
  std::string state_dir{};  // Where it remembers; empty: nowhere.
  // The channel to peers, as the configuration has it; empty: none.
  std::string peer_listen{};
  std::vector<std::string> peers{};
  Micros peer_list_age = 300 * kSecond;
  // The operators' door, and what it shares with its fleet; empty: none.
  std::string console{};
  std::string fleet{};
  std::string store{};       // Address and port, or file:/FOLDER.
  std::string door{};        // Where others find the operators' door.
  Micros ttl = 5 * kSecond;  // Of leases.
  std::uint64_t seed = 0;
  std::uint32_t tier = 0;
  std::uint32_t me = 0;     // Its number among those of its tier,
  std::uint32_t group = 1;  // which are so many.
  bool push = false;        // Discovery holds its calls until something changes.
  Micros longest_advice = 0;
  std::uint32_t memory_mb = 64;
  std::size_t sockets = 256;
};

// `known` is the list of nodes that it starts with.
std::string SidecarConfig(const FleetSpec& fleet, const SidecarPlace& place,
                          const nlohmann::json& known);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_SIDECAR_CONFIG_H_
