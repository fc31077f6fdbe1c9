// How long an endpoint takes to the first event: a base and so much for each prompt token that it
// has to read before. Learned by least squares that forget.
#ifndef SHELFLINK_TIER_POLICY_FIRST_EVENT_MODEL_H_
#define SHELFLINK_TIER_POLICY_FIRST_EVENT_MODEL_H_

namespace shelflink::policy {

class FirstEventModel {
 public:
  // One first event: tokens that were to be read, and the time that it took in microseconds.
  void Note(double tokens, double micros);
  double Base() const { return base_; }
  double PerToken() const { return per_token_; }
  double Expected(double tokens) const { return base_ + per_token_ * tokens; }
  // Whether enough has been seen to judge an endpoint by it.
  bool HasEnoughSamples() const { return weight_ >= kMinWeight; }

 private:
  static constexpr double kDecay = 0.98;  // Weight that a sample keeps with each that follows.
  static constexpr double kMinWeight = 4.0;
  static constexpr double kInitialBase = 10'000.0;  // Microseconds; replaced by the first samples.
  static constexpr double kInitialPerToken = 1.0;

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
