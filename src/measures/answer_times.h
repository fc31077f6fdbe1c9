// Tracks the typical answer time and its baseline, the answer time without queueing.
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
    double typical_gain;          // Weight of one answer in the typical time.
    double baseline_gain;         // Weight of one answer in the long average.
    double baseline_rise;         // Factor by which the baseline rises with each answer.
    double typical_decay_micros;  // Time constant of the typical time.
  };

  explicit AnswerTimes(const Tuning& tuning) : tuning_(tuning) {}

  void Note(double rtt, Micros now) {
    // With few calls the time constant sets the weight; otherwise adapting would take minutes.
    const double elapsed = static_cast<double>(now - last_answer_at_);
    const double gain =
        std::max(tuning_.typical_gain, 1.0 - std::exp(-elapsed / tuning_.typical_decay_micros));
    last_answer_at_ = now;
    ++answers_;
    const auto n = static_cast<double>(answers_);
    typical_ += std::max(gain, 1.0 / n) * (rtt - typical_);
    // The baseline is the minimum of an average over more answers: the minimum over a few is the
    // time of the shortest work, compared to which every later average looks slow.
    long_average_ += std::max(tuning_.baseline_gain, 1.0 / n) * (rtt - long_average_);
    if (n * tuning_.baseline_gain < 0.5) return;
    baseline_ =
        baseline_ > 0 ? std::min(baseline_ * tuning_.baseline_rise, long_average_) : long_average_;
  }

  double typical() const { return typical_; }  // 0 until the first answer.
  double baseline() const {
    return baseline_;
  }  // Recent minimum of the long average; 0 until known.
  // The typical time as a multiple of the baseline; 1 until that is known.
  double Slowness() const { return baseline_ > 0 ? typical_ / baseline_ : 1.0; }

 private:
  Tuning tuning_;
  double typical_ = 0.0;
  double baseline_ = 0.0;
  double long_average_ = 0.0;  // As `typical_`, over more answers.
  Micros last_answer_at_ = 0;
  std::uint64_t answers_ = 0;
};

}  // namespace gaugecart

#endif  // GAUGECART_MEASURES_ANSWER_TIMES_H_
