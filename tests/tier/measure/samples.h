// Spans that were measured, and how a table prints them.
#ifndef SHELFLINK_TESTS_TIER_MEASURE_SAMPLES_H_
#define SHELFLINK_TESTS_TIER_MEASURE_SAMPLES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "net/loop.h"

namespace shelflink::measure {

class Samples {
 public:
  void Add(net::Span span) { spans_.push_back(span); }
  void AddAll(const Samples& other) {
    spans_.insert(spans_.end(), other.spans_.begin(), other.spans_.end());
  }
  // What did not come about while it was waited for.
  void AddMissing() { ++missing_; }

  std::size_t count() const { return spans_.size(); }
  std::size_t missing() const { return missing_; }

  // In milliseconds; "-" where there is none. `share` of 1: the most.
  std::string Quantile(double share) const {
    if (spans_.empty()) return "-";
    std::vector<net::Span> sorted = spans_;
    std::sort(sorted.begin(), sorted.end());
    const auto last = static_cast<double>(sorted.size() - 1);
    return std::to_string(MillisecondsOf(sorted[static_cast<std::size_t>(share * last)]));
  }
  std::string Median() const { return Quantile(0.5); }
  std::string Most() const { return Quantile(1); }

 private:
  static std::int64_t MillisecondsOf(net::Span span) {
    return std::chrono::ceil<std::chrono::milliseconds>(span).count();
  }

  std::vector<net::Span> spans_;
  std::size_t missing_ = 0;
};

}  // namespace shelflink::measure

#endif  // SHELFLINK_TESTS_TIER_MEASURE_SAMPLES_H_
