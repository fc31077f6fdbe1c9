// Token bucket: a steady refill rate and a capacity for bursts.
#ifndef GAUGECART_MEASURES_TOKEN_BUCKET_H_
#define GAUGECART_MEASURES_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

namespace gaugecart {

class TokenBucket {
 public:
  using Micros = std::int64_t;

  // Starts full, at time 0.
  TokenBucket(double rate_per_s, double capacity)
      : rate_(rate_per_s), capacity_(capacity), tokens_(capacity) {}

  bool Has(Micros now) {
    tokens_ = std::min(capacity_, tokens_ + rate_ * static_cast<double>(now - refilled_at_) / 1e6);
    refilled_at_ = now;
    return tokens_ >= 1.0;
  }
  void Spend(Micros now) {
    if (Has(now)) tokens_ -= 1.0;
  }

 private:
  double rate_;
  double capacity_;
  double tokens_;
  Micros refilled_at_ = 0;
};

}  // namespace gaugecart

#endif  // GAUGECART_MEASURES_TOKEN_BUCKET_H_
