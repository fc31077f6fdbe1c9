#include "tier/policy/batch_owners.h"

#include <algorithm>
#include <utility>

#include "mix.h"
#include "tier/policy/subset.h"

namespace shelflink::policy {
namespace {

// Virtual nodes of each sidecar on the hash ring; with 16 the number of endpoints that a sidecar
// owns varies by about a quarter.
constexpr std::uint64_t kPointsPerSidecar = 16;

}  // namespace

bool BatchOwners::SetSidecars(std::vector<Sidecar> sidecars) {
  std::sort(sidecars.begin(), sidecars.end());
  if (sidecars == sidecars_) return false;
  sidecars_ = std::move(sidecars);
  rings_by_zone_.clear();
  ring_of_all_zones_.clear();
  for (const Sidecar& sidecar : sidecars_) {
    const std::uint64_t node_hash = HashOf(sidecar.node);
    Ring& zone = rings_by_zone_[sidecar.zone];
    for (std::uint64_t i = 0; i < kPointsPerSidecar; ++i) {
      const Point point{gaugecart::Mix(node_hash + i), node_hash};
      zone.push_back(point);
      ring_of_all_zones_.push_back(point);
    }
  }
  for (auto& [zone, ring] : rings_by_zone_) std::sort(ring.begin(), ring.end());
  std::sort(ring_of_all_zones_.begin(), ring_of_all_zones_.end());
  return true;
}

bool BatchOwners::Owns(const std::string& node, const std::string& endpoint_id,
                       const std::string& endpoint_zone) const {
  const auto zone = rings_by_zone_.find(endpoint_zone);
  const Ring& ring = zone == rings_by_zone_.end() ? ring_of_all_zones_ : zone->second;
  if (ring.empty()) return false;
  auto next = std::lower_bound(ring.begin(), ring.end(), Point{HashOf(endpoint_id), 0});
  if (next == ring.end()) next = ring.begin();
  return next->node_hash == HashOf(node);
}

}  // namespace shelflink::policy
