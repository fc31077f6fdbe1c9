// The last thirty-second of what a storage may hold, some pages at the least: a reserve for batches
// that remove something, and for small ones, as whoever removes stores a note of it first. Without
// it nothing could be removed from a full storage any more, and it would stay full. Pure.
#ifndef SHELFLINK_TIER_STORAGE_RESERVE_H_
#define SHELFLINK_TIER_STORAGE_RESERVE_H_

#include <algorithm>
#include <cstdint>

#include "tier/storage/storage.h"

namespace shelflink::storage {

constexpr std::uint64_t kReserveParts = 32;
constexpr std::uint64_t kLeastReserve = 128U << 10;
// The largest batch that may use it though it removes nothing; so many fit at the least.
constexpr std::uint64_t kLargestSmallBatch = 64U << 10;
constexpr std::uint64_t kSmallBatchesInReserve = 16;

inline bool RemovesAnything(const Batch& batch) {
  return std::any_of(batch.changes().begin(), batch.changes().end(),
                     [](const Batch::Change& change) { return !change.value; });
}

inline std::uint64_t BytesPutBy(const Batch& batch) {
  std::uint64_t bytes = 0;
  for (const Batch::Change& change : batch.changes()) {
    if (change.value) bytes += change.value->size();
  }
  return bytes;
}

// Whether the batch may use the reserve, or leaves it as it is.
inline bool HasRoomFor(const Batch& batch, const Usage& usage) {
  const std::uint64_t reserve = std::max(usage.bytes_limit / kReserveParts, kLeastReserve);
  const std::uint64_t bytes = BytesPutBy(batch);
  if (RemovesAnything(batch)) return true;
  if (bytes <= std::min(reserve / kSmallBatchesInReserve, kLargestSmallBatch)) return true;
  return usage.bytes_used + bytes + reserve <= usage.bytes_limit;
}

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_RESERVE_H_
