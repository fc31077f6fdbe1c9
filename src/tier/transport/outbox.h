// What waits to be written on one connection, and how far the writing has come: so that whoever
// asks knows of each frame whether any byte of it may have left. Pure.
//
// Frames leave in the order in which they were appended, save that urgent ones go before all others
// of which nothing has left yet. Of frames of one slot only the newest is of use: it takes the
// place of one that waits, in the queue too, so that a slot holds up the others by one frame at
// most.
#ifndef SHELFLINK_TIER_TRANSPORT_OUTBOX_H_
#define SHELFLINK_TIER_TRANSPORT_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/transport/delivery.h"

namespace shelflink::transport {

// Frames that leave in their order.
class OutboxLane {
 public:
  // Small frames are put together up to this size, so that one write takes them all.
  static constexpr std::size_t kChunk = 65536;

  // Appends a frame and returns its place: the number of bytes that stand before it, those already
  // written included, each frame counted by the size that it was appended with.
  std::uint64_t Append(std::string frame, std::uint32_t slot);
  // Which chunk is a frame of that slot of which nothing has left.
  std::optional<std::size_t> FindWaiting(std::uint32_t slot) const;
  // Puts the frame in place of that one; the size of the one that has gone.
  std::size_t Replace(std::size_t chunk, std::string frame);

  bool empty() const { return first_ == chunks_.size(); }
  std::size_t size() const { return size_; }
  // Some of the first chunk has left.
  bool begun() const { return front_written_ > 0; }
  // Nothing of a frame at this place or behind it has left.
  std::uint64_t written() const;

  // What to write next; of a lane that is not empty.
  std::string_view Front() const {
    return std::string_view(chunks_[first_].bytes).substr(front_written_);
  }
  void Written(std::size_t bytes);

 private:
  static constexpr std::size_t kMostWrittenChunks = 64;  // Until they are cleared away.

  struct Chunk {
    std::string bytes;
    std::uint64_t place = 0;  // Of its first frame.
    std::uint32_t slot = 0;   // 0: frames of no slot.
  };

  std::vector<Chunk> chunks_;
  std::size_t first_ = 0;  // Those before it are written.
  std::size_t front_written_ = 0;
  std::size_t size_ = 0;
  std::uint64_t appended_ = 0;
};

class Outbox {
 public:
  static constexpr std::size_t kChunk = OutboxLane::kChunk;

  // What became of a frame that was put in: its place, of meaning only for ordinary frames without
  // a slot, and the size of the one that has gone for it.
  struct Put {
    std::uint64_t place = 0;
    std::size_t replaced = 0;
  };
  Put Append(std::string frame, Delivery delivery);
  std::uint64_t Append(std::string frame) { return Append(std::move(frame), {}).place; }

  bool empty() const { return urgent_.empty() && ordinary_.empty(); }
  std::size_t size() const { return urgent_.size() + ordinary_.size(); }
  // Of the ordinary frames: nothing of one at this place or behind it has left.
  std::uint64_t written() const { return ordinary_.written(); }

  // What to write next; of an outbox that is not empty.
  std::string_view Front() const { return UrgentIsNext() ? urgent_.Front() : ordinary_.Front(); }
  void Written(std::size_t bytes);

 private:
  bool UrgentIsNext() const;

  OutboxLane urgent_;
  OutboxLane ordinary_;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_OUTBOX_H_
