// What waits to be written on one connection, and how far the writing has come: so that whoever
// asks knows of each frame whether any byte of it may have left. Pure.
#ifndef SHELFLINK_TIER_TRANSPORT_OUTBOX_H_
#define SHELFLINK_TIER_TRANSPORT_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shelflink::transport {

class Outbox {
 public:
  // Small frames are put together up to this size, so that one write takes them all.
  static constexpr std::size_t kChunk = 65536;

  // Appends a frame and returns its place: the number of bytes that stand before it, those already
  // written included.
  std::uint64_t Append(std::string frame) {
    const std::uint64_t place = appended_;
    appended_ += frame.size();
    if (first_ < chunks_.size() && chunks_.back().size() + frame.size() <= kChunk) {
      chunks_.back() += frame;
    } else {
      chunks_.push_back(std::move(frame));
    }
    return place;
  }

  bool empty() const { return written_ == appended_; }
  std::size_t size() const { return static_cast<std::size_t>(appended_ - written_); }
  std::uint64_t written() const { return written_; }

  // What to write next; of an outbox that is not empty.
  std::string_view Front() const {
    return std::string_view(chunks_[first_]).substr(front_written_);
  }
  void Written(std::size_t bytes) {
    written_ += bytes;
    front_written_ += bytes;
    if (front_written_ < chunks_[first_].size()) return;
    std::string().swap(chunks_[first_++]);
    front_written_ = 0;
    if (first_ == chunks_.size()) {
      std::vector<std::string>().swap(chunks_);  // An idle connection holds nothing.
      first_ = 0;
    } else if (first_ >= kMostWrittenChunks) {
      chunks_.erase(chunks_.begin(), chunks_.begin() + static_cast<std::ptrdiff_t>(first_));
      first_ = 0;
    }
  }

 private:
  static constexpr std::size_t kMostWrittenChunks = 64;  // Until they are cleared away.

  std::vector<std::string> chunks_;
  std::size_t first_ = 0;  // Those before it are written.
  std::size_t front_written_ = 0;
  std::uint64_t appended_ = 0;
  std::uint64_t written_ = 0;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_OUTBOX_H_
