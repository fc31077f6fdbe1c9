// What a store counts of batch jobs since its process began, over all partitions that it decided
// for.
#ifndef SHELFLINK_TIER_BATCH_JOB_COUNTERS_H_
#define SHELFLINK_TIER_BATCH_JOB_COUNTERS_H_

#include <chrono>
#include <cstdint>

namespace shelflink::batch {

struct JobCounters {
  std::uint64_t accepted = 0;               // Jobs; one that came again counts again.
  std::uint64_t over_quota = 0;             // Jobs refused for the tokens that wait already.
  std::uint64_t without_room = 0;           // Jobs refused for want of room on disks.
  std::uint64_t busy = 0;                   // Jobs refused as too many submissions were under way.
  std::uint64_t leases = 0;                 // Items handed out.
  std::chrono::milliseconds lease_wait{0};  // From when their jobs were first sent, summed.
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_JOB_COUNTERS_H_
