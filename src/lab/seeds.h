// The command that plays seeded fault runs: many on all cores, one with its timeline, one shrunk.
#ifndef SHELFLAB_LAB_SEEDS_H_
#define SHELFLAB_LAB_SEEDS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace shelflab {

struct SeedsOptions {
  std::uint64_t from = 1;
  std::uint64_t count = 100;
  unsigned jobs = 0;  // 0: as many as there are cores.
  std::optional<std::uint64_t> replay;
  std::optional<std::uint64_t> shrink;
  std::string script;  // A file, in place of what the seed draws.
  std::string shape;   // A scene at the size of a whole fleet, in place of what the seed draws.
  std::uint32_t sidecars = 70;
  std::uint32_t nodes = 30;  // Of each tier.
  std::string out;           // Where the shrunk script goes, or the figures of many runs (JSON).
  bool quiet = false;
};

// Returns the exit code: 0 if every rule held, 1 if not. Throws BadPlan for a bad script.
int RunSeeds(const SeedsOptions& options);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_SEEDS_H_
