// A tier that loses one store, or one core machine: core processes and stores as they run, on the
// virtual clock and network, and a loader in place of the proxies. How long copies lack, by bytes
// to copy, as the core's primary tells it and as the stores show it.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_REPAIR_SCENE_H_
#define SHELFLINK_TESTS_TIER_SEEDS_REPAIR_SCENE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "tier/cluster/cluster_figures.h"
#include "tier_seeds/deployment.h"

namespace shelflink::tier_seeds {

struct RepairPlan {
  std::uint64_t seed = 1;
  std::size_t cores = 3;
  std::size_t stores = 4;
  std::size_t failures = 1;
  std::uint64_t bytes_each = 0;  // Of bodies in each partition.
  // The machine loses its disk and comes back so much later; none: it stays away.
  std::optional<net::Span> returns_after;
};

struct RepairOutcome {
  std::size_t rows_of_lost = 0;        // Partitions that had a copy there.
  net::Span known_after{};             // From the loss until the primary told of it.
  net::Span copies_after{};            // From then until a store had sent the first bytes.
  net::Span whole_after{};             // From the loss until nothing lacked a copy.
  cluster::RedundancyFigures before;   // As the primary told: at the moment of the loss,
  cluster::RedundancyFigures lacking;  // when it was known,
  cluster::RedundancyFigures after;    // and when all was whole again.
};

// Throws std::runtime_error where the tier does not come so far.
RepairOutcome PlayStoreLoss(const RepairPlan& plan);
// A core machine that is not the primary loses its disk; `bytes_each` of the control state.
// `copies_after` is not told.
RepairOutcome PlayCoreLoss(const RepairPlan& plan);

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_REPAIR_SCENE_H_
