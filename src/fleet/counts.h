// What a sidecar's part in its fleet has come to, for figures.
#ifndef SHELFLINK_FLEET_COUNTS_H_
#define SHELFLINK_FLEET_COUNTS_H_

#include <cstddef>
#include <cstdint>

namespace fleet {

struct Counts {
  std::size_t members = 0;  // As the store has them.
  std::uint64_t joins = 0;  // Seen since its start.
  std::uint64_t leaves = 0;
  std::uint64_t late_calls = 0;  // Of owners that own no more: refused.
  std::uint64_t store_done = 0;  // Calls to the store, by how they ended.
  std::uint64_t store_refused = 0;
  std::uint64_t store_unknown = 0;
  bool owns = false;  // Maintenance.
};

}  // namespace fleet

#endif  // SHELFLINK_FLEET_COUNTS_H_
