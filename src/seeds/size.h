// Scenes at the size of a whole fleet: many sidecars, most of which meet a given node seldom. Pure
// values, as all scripts.
#ifndef SHELFLINK_SEEDS_SIZE_H_
#define SHELFLINK_SEEDS_SIZE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "seeds/script.h"

namespace seeds {

enum class Shape {
  kRelease,  // Nodes are replaced a few at a time while discovery is down, busy, late and old.
  kZone,     // Half of each tier is lost at once, and all of it is back, cold, at once.
  kJoin,     // Six nodes in ten are replaced within seconds, and some of all fail or are slow.
  kHerd,     // Seven in ten sidecars are killed at one instant and start again with their lists...
  kForget    // ...or with nothing remembered.
};
const char* WordOf(Shape shape);
std::optional<Shape> ShapeOf(std::string_view word);

struct Size {
  std::uint32_t sidecars = 70;  // Of the clients; each node of the first tier has its own as well.
  std::uint32_t nodes[2] = {30, 30};
  double load = 0.4;     // Part of what the nodes can do when all are warm.
  Micros list_cost = 0;  // What a call costs discovery; 0: as in other scenes, 25 ms after a kill.
};

// The same seed gives the same script.
Script AtSize(Shape shape, std::uint64_t seed, const Size& size = {});

}  // namespace seeds

#endif  // SHELFLINK_SEEDS_SIZE_H_
