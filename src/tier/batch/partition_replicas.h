// The copies of partitions on this store's disk: which of them this store is the primary of, as the
// core's placement has it and the copies themselves allow.
#ifndef SHELFLINK_TIER_BATCH_PARTITION_REPLICAS_H_
#define SHELFLINK_TIER_BATCH_PARTITION_REPLICAS_H_

#include <cstdint>
#include <functional>

#include "tier/batch/partition_log.h"
#include "tier/cluster/view.h"

namespace shelflink::batch {

class PartitionReplicas {
 public:
  struct Events {  // Never called from inside a call of this class, but for LeadAnew.
    // The log may be read and committed to until `lost` has been told of the same partition.
    std::function<void(std::uint32_t partition, PartitionLog& log)> primary;
    std::function<void(std::uint32_t partition)> lost;
  };

  virtual ~PartitionReplicas() = default;
  virtual void SetEvents(Events events) = 0;
  virtual void OnPlacement(const cluster::Placement& placement) = 0;
  // What the owner knew of the partition is void: `lost` is told now, and `primary` once more when
  // this store still is it.
  virtual void LeadAnew(std::uint32_t partition) = 0;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_PARTITION_REPLICAS_H_
