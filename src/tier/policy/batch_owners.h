// Assigns each endpoint to the one sidecar that sends batch calls to it. No I/O and no clock.
//
// All sidecars send live calls to an endpoint, and no sidecar sees those of the others. Batch calls
// come from a single owner per endpoint, so the owner knows how many of them run there and can keep
// slots free for live calls without coordination. The owner is chosen by consistent hashing over
// the ready sidecars of the endpoint's zone, or of all zones if that zone has none. Sidecars with
// the same member list agree on the owner; while their lists differ, two sidecars may own an
// endpoint for a short time.
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
    auto operator<=>(const Sidecar&) const =
        default;  // NOLINT(modernize-use-nullptr): false positive.
  };

  // Sets the ready sidecars; with an empty list no endpoint has an owner. Returns whether the list
  // has changed.
  bool SetSidecars(std::vector<Sidecar> sidecars);
  bool Owns(const std::string& node, const std::string& endpoint_id,
            const std::string& endpoint_zone) const;

 private:
  struct Point {
    std::uint64_t position = 0;
    std::uint64_t node_hash = 0;
    auto operator<=>(const Point&) const =
        default;  // NOLINT(modernize-use-nullptr): false positive.
  };
  using Ring = std::vector<Point>;  // Hash ring, sorted by position.

  std::vector<Sidecar> sidecars_;  // Sorted.
  std::map<std::string, Ring> rings_by_zone_;
  Ring ring_of_all_zones_;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_BATCH_OWNERS_H_
