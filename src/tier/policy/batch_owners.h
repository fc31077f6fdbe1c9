// Which sidecar sends batch calls to which endpoint. Pure.
//
// Live calls of all sidecars meet at an endpoint, and no sidecar sees those of the others. Batch
// calls are sent by one owner an endpoint, so the owner knows how many of them run there and can
// keep slots free for live calls without asking anyone. The owner is found by consistent hashing
// over the ready sidecars of the endpoint's zone, or of all zones where that zone has none.
// Sidecars with the same list agree; while lists differ, two of them may own an endpoint for a
// moment.
#ifndef SHELFLINK_TIER_POLICY_BATCH_OWNERS_H_
#define SHELFLINK_TIER_POLICY_BATCH_OWNERS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shelflink::policy {

class BatchOwners {
 public:
  struct Sidecar {
    std::string node;
    std::string zone;
    auto operator<=>(const Sidecar&) const = default;  // NOLINT(modernize-use-nullptr): its error.
  };

  // The ready sidecars. Without any, nobody is an owner. Returns whether they differ from before.
  bool SetSidecars(std::vector<Sidecar> sidecars);
  bool Owns(const std::string& node, const std::string& endpoint_id,
            const std::string& endpoint_zone) const;

 private:
  struct Point {
    std::uint64_t position = 0;
    std::uint64_t node_hash = 0;
    auto operator<=>(const Point&) const = default;  // NOLINT(modernize-use-nullptr): its error.
  };
  using Ring = std::vector<Point>;  // Sorted.

  std::vector<Sidecar> sidecars_;  // Sorted.
  std::map<std::string, Ring> rings_by_zone_;
  Ring ring_of_all_zones_;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_OWNERS_H_
