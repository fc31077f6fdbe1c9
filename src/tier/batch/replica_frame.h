// Messages between the stores that hold copies of a partition.
#ifndef SHELFLINK_TIER_BATCH_REPLICA_FRAME_H_
#define SHELFLINK_TIER_BATCH_REPLICA_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tier/coordination/messages.h"
#include "tier/foundation/result.h"

namespace shelflink::batch {

// A replica's epoch: the row's, then the life of the primary's disk.
constexpr unsigned kLifeBits = 24;
constexpr std::uint64_t ReplicaEpoch(std::uint64_t row_epoch, std::uint64_t life) {
  return (row_epoch << kLifeBits) | (life & ((std::uint64_t{1} << kLifeBits) - 1));
}
constexpr std::uint64_t RowEpochOf(std::uint64_t replica_epoch) {
  return replica_epoch >> kLifeBits;
}

struct ReplicaFrame {
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;                              // Of the sender's replica.
  std::string disk;                                     // Of the sender.
  bool has_room = true;                                 // The sender's disk takes new jobs.
  std::optional<coordination::ReplicaMessage> message;  // None: the epoch is the message.
  bool takes_results = true;                            // As has_room, of accepted items.
};

std::string Encode(ReplicaFrame frame);
Result<ReplicaFrame> DecodeReplicaFrame(std::string_view body);

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_REPLICA_FRAME_H_
