#include "tier/transport/outbox.h"

#include <algorithm>

namespace shelflink::transport {

// ---- A lane ----

std::uint64_t OutboxLane::Append(std::string frame, std::uint32_t slot) {
  const std::uint64_t place = appended_;
  appended_ += frame.size();
  size_ += frame.size();
  const bool joins = slot == 0 && !empty() && chunks_.back().slot == 0 &&
                     chunks_.back().bytes.size() + frame.size() <= kChunk;
  if (joins) {
    chunks_.back().bytes += frame;
  } else {
    chunks_.push_back({std::move(frame), place, slot});
  }
  return place;
}

std::optional<std::size_t> OutboxLane::FindWaiting(std::uint32_t slot) const {
  const std::size_t first_whole = begun() ? first_ + 1 : first_;
  for (std::size_t index = first_whole; index < chunks_.size(); ++index) {
    if (chunks_[index].slot == slot) return index;
  }
  return std::nullopt;
}

std::size_t OutboxLane::Replace(std::size_t chunk, std::string frame) {
  std::string& bytes = chunks_[chunk].bytes;
  const std::size_t before = bytes.size();
  size_ += frame.size();
  size_ -= before;
  bytes = std::move(frame);
  return before;
}

// A chunk whose frame was replaced is of another size than the one that places count by.
std::uint64_t OutboxLane::written() const {
  if (empty()) return appended_;
  const std::uint64_t next = first_ + 1 < chunks_.size() ? chunks_[first_ + 1].place : appended_;
  return std::min(chunks_[first_].place + front_written_, next);
}

void OutboxLane::Written(std::size_t bytes) {
  size_ -= bytes;
  front_written_ += bytes;
  if (front_written_ < chunks_[first_].bytes.size()) return;
  std::string().swap(chunks_[first_++].bytes);
  front_written_ = 0;
  if (first_ == chunks_.size()) {
    std::vector<Chunk>().swap(chunks_);  // An idle connection holds nothing.
    first_ = 0;
  } else if (first_ >= kMostWrittenChunks) {
    chunks_.erase(chunks_.begin(), chunks_.begin() + static_cast<std::ptrdiff_t>(first_));
    first_ = 0;
  }
}

// ---- Both ----

Outbox::Put Outbox::Append(std::string frame, Delivery delivery) {
  OutboxLane& lane = delivery.urgent ? urgent_ : ordinary_;
  if (delivery.slot != 0) {
    const std::optional<std::size_t> waiting = lane.FindWaiting(delivery.slot);
    if (waiting) return {.replaced = lane.Replace(*waiting, std::move(frame))};
  }
  return {.place = lane.Append(std::move(frame), delivery.slot)};
}

void Outbox::Written(std::size_t bytes) {
  OutboxLane& lane = UrgentIsNext() ? urgent_ : ordinary_;
  lane.Written(bytes);
}

// What has begun to leave is sent to its end.
bool Outbox::UrgentIsNext() const {
  if (ordinary_.begun()) return false;
  return !urgent_.empty();
}

}  // namespace shelflink::transport
