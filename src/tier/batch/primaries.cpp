#include "tier/batch/primaries.h"

#include <algorithm>

#include "tier/batch/partition.h"
#include "tier/cluster/view.h"

namespace shelflink::batch {
namespace {

using std::chrono::milliseconds;

// In a small fleet.
constexpr milliseconds kIdleInterval{800};

}  // namespace

std::optional<net::Address> Primaries::Of(std::uint32_t partition) const {
  const auto& placement = view_().placement;
  if (placement == nullptr || partition >= placement->rows.size()) return std::nullopt;
  const net::Address& primary = placement->rows[partition].primary;
  if (primary.port() == 0) return std::nullopt;
  return primary;
}

std::set<net::Address> Primaries::All() const {
  std::set<net::Address> primaries;
  const auto& placement = view_().placement;
  if (placement == nullptr) return primaries;
  for (const cluster::PartitionRow& row : placement->rows) {
    if (row.primary.port() != 0) primaries.insert(row.primary);
  }
  return primaries;
}

milliseconds Primaries::IdleInterval() const {
  std::size_t proxies = 0;
  if (const auto& members = view_().members) {
    proxies = static_cast<std::size_t>(
        std::count_if(members->all.begin(), members->all.end(),
                      [](const cluster::Member& member) { return member.role == "proxy"; }));
  }
  return std::max(kIdleInterval, milliseconds(proxies * 1000 / kMostOffersAStore));
}

milliseconds Primaries::FirstDelay(const net::Address& self) const {
  const auto spread = static_cast<std::uint64_t>((IdleInterval() - kIdleInterval).count());
  return milliseconds(spread == 0 ? 0 : StableHash(self.Text()) % spread);
}

}  // namespace shelflink::batch
