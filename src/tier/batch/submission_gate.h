// Bounds the memory of submissions: one of 4 MB stands in several forms at once until it is stored.
// What comes while enough is under way waits in the order of arrival, and is refused where that
// would be too much too.
#ifndef SHELFLINK_TIER_BATCH_SUBMISSION_GATE_H_
#define SHELFLINK_TIER_BATCH_SUBMISSION_GATE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace shelflink::batch {

class SubmissionGate {
 public:
  static constexpr std::size_t kMostUnderWay = 6U << 20;
  static constexpr std::size_t kMostWaiting = 24U << 20;
  // Begins the submission; whoever it is handed to calls Leave with its size when it is over.
  using Begin = std::function<void(const std::string& body)>;

  // False: too much waits; it was not and will not be begun.
  bool Enter(std::string body, Begin begin) {
    const std::size_t size = body.size();
    if (waiting_.empty() && MayBegin(size)) {
      under_way_ += size;
      begin(body);
      return true;
    }
    if (waiting_bytes_ + size > kMostWaiting) return false;
    waiting_bytes_ += size;
    waiting_.emplace_back(std::move(body), std::move(begin));
    return true;
  }

  void Leave(std::size_t size) {
    under_way_ -= size;
    while (!waiting_.empty() && MayBegin(waiting_.front().first.size())) {
      const auto next = std::move(waiting_.front());
      waiting_.pop_front();
      waiting_bytes_ -= next.first.size();
      under_way_ += next.first.size();
      next.second(next.first);
    }
  }

 private:
  // One of any size may be under way alone.
  bool MayBegin(std::size_t size) const {
    return under_way_ == 0 || under_way_ + size <= kMostUnderWay;
  }

  std::size_t under_way_ = 0;
  std::size_t waiting_bytes_ = 0;
  std::deque<std::pair<std::string, Begin>> waiting_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_SUBMISSION_GATE_H_
