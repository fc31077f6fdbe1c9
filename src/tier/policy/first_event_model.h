// Predicts the time from sending a call to its first event: a base time plus a time for each prompt
// token to prefill before it. Fitted by least squares with exponential forgetting.
#ifndef SHELFLINK_TIER_POLICY_FIRST_EVENT_MODEL_H_
#define SHELFLINK_TIER_POLICY_FIRST_EVENT_MODEL_H_

namespace shelflink::policy {

class FirstEventModel {
 public:
  // Adds a sample: prompt tokens to prefill before the first event, and the time to that event in
  // microseconds.
  void Note(double tokens, double micros);
  // Microseconds.
  double Base() const { return base_; }
  // Microseconds for each prompt token.
  double PerToken() const { return per_token_; }
  // Microseconds to the first event after prefilling that many tokens.
  double Expected(double tokens) const { return base_ + per_token_ * tokens; }
  // Whether there are enough samples to compare an endpoint with the prediction.
  bool HasEnoughSamples() const { return weight_ >= kMinWeight; }

 private:
  static constexpr double kDecay =
      0.98;  // Factor on the weight of older samples with each new one.
  static constexpr double kMinWeight = 4.0;         // Decayed number of samples.
  static constexpr double kInitialBase = 10'000.0;  // Microseconds, until there are samples.
  static constexpr double kInitialPerToken = 1.0;   // Microseconds, until there are samples.

  double base_ = kInitialBase;
  double per_token_ = kInitialPerToken;
  double weight_ = 0.0;
  double sum_x_ = 0.0;
  double sum_y_ = 0.0;
  double sum_xx_ = 0.0;
  double sum_xy_ = 0.0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_FIRST_EVENT_MODEL_H_
