// Which partition of the batch data a job belongs to. The partition of an owner never changes while
// the number of partitions (rows of cluster::Placement) does not, and that is fixed for good when
// the system starts for the first time.
#ifndef SHELFLINK_TIER_BATCH_PARTITION_H_
#define SHELFLINK_TIER_BATCH_PARTITION_H_

#include <cstdint>
#include <string_view>

#include "mix.h"

namespace shelflink::batch {

// FNV-1a of 64 bits with a last mixing step; the same on every machine and in every version.
constexpr std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = gaugecart::Fnv1a(text);
  hash ^= hash >> 32U;
  hash *= 0xd6e8feb86659fd93ULL;
  hash ^= hash >> 32U;
  return hash;
}

// The owner is the tenant; where there are no tenants, the host. `partitions` is above 0.
constexpr std::uint32_t PartitionOf(std::string_view tenant, std::string_view host,
                                    std::size_t partitions) {
  const std::uint64_t hash = tenant.empty() ? StableHash(host) : StableHash(tenant);
  return static_cast<std::uint32_t>(hash % partitions);
}

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_PARTITION_H_
