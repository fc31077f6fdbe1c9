// How long answers usually take, and how long in calm times.
#ifndef GAUGECART_MEASURES_ANSWER_TIMES_H_
#define GAUGECART_MEASURES_ANSWER_TIMES_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace gaugecart {

class AnswerTimes {
 public:
  using Micros = std::int64_t;

  struct Tuning {
    double typical_gain;  // Weight of one answer in the usual time.
    double steady_gain;   // Weight of one answer in the average that gives calm.
    double calm_rise;     // What is taken for calm rises by this factor with each answer.
    double typical_span;  // Microseconds in which the usual time is forgotten.
  };

  explicit AnswerTimes(const Tuning& tuning) : tuning_(tuning) {}

  void Note(double rtt, Micros now) {
    // With few calls the span decides, else it would take minutes to learn.
    const double passed = static_cast<double>(now - answered_at_);
    const double gain =
        std::max(tuning_.typical_gain, 1.0 - std::exp(-passed / tuning_.typical_span));
    answered_at_ = now;
    ++answers_;
    const auto n = static_cast<double>(answers_);
    typical_ += std::max(gain, 1.0 / n) * (rtt - typical_);
    // Calm is the least of an average over more answers: the least of a few is what the shortest
    // work takes, and against that nothing ever looks calm again.
    steady_ += std::max(tuning_.steady_gain, 1.0 / n) * (rtt - steady_);
    if (n * tuning_.steady_gain < 0.5) return;
    calm_ = calm_ > 0 ? std::min(calm_ * tuning_.calm_rise, steady_) : steady_;
  }

  double typical() const { return typical_; }  // 0 until one is seen.
  double calm() const { return calm_; }        // The least it has lately been; 0 until known.
  // How many times its calm time an answer takes now.
  double Slowness() const { return calm_ > 0 ? typical_ / calm_ : 1.0; }

 private:
  Tuning tuning_;
  double typical_ = 0.0;
  double calm_ = 0.0;
  double steady_ = 0.0;  // As `typical`, over more answers.
  Micros answered_at_ = 0;
  std::uint64_t answers_ = 0;
};

}  // namespace gaugecart

#endif  // GAUGECART_MEASURES_ANSWER_TIMES_H_
