// How long a call to the platform may take: a short time, so that a dead connection is noticed, but
// longer after silences, so that a platform that is slow still gets to answer.
#ifndef SHELFLINK_TIER_PLATFORM_CALL_TIMEOUT_H_
#define SHELFLINK_TIER_PLATFORM_CALL_TIMEOUT_H_

#include <algorithm>
#include <chrono>

namespace shelflink::platform {

class CallTimeout {
 public:
  using Span = std::chrono::milliseconds;
  static constexpr int kLongestFactor = 4;  // Of the least.

  explicit CallTimeout(Span least) : least_(least), current_(least) {}

  Span current() const { return current_; }
  void OnSilence() { current_ = std::min(current_ * 2, least_ * kLongestFactor); }
  // The next call may take twice as long as this one took.
  void OnAnswer(Span elapsed) {
    current_ = std::clamp(elapsed * 2, least_, least_ * kLongestFactor);
  }

 private:
  Span least_;
  Span current_;
};

}  // namespace shelflink::platform

#endif  // SHELFLINK_TIER_PLATFORM_CALL_TIMEOUT_H_
