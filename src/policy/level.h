// A priority level: a pool of seats and the queues before it. Each flow is dealt a small hand of
// the queues and joins the shortest; non-empty queues release one call each in turn.
#ifndef GAUGECART_POLICY_LEVEL_H_
#define GAUGECART_POLICY_LEVEL_H_

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <vector>

#include "gaugecart/choice.h"
#include "measures/answer_times.h"
#include "measures/decaying_rate.h"
#include "mix.h"

namespace gaugecart {

constexpr double kCalmEnough = 1.6;  // Slowness at which spare seats are shut and no limit rises...
constexpr double kCalmTail = 1.05;   // ...where the goal counts the tail: queues show there first.
// What is taken for calm doubles in some 1,400 answers.
constexpr AnswerTimes::Tuning kAnswerTimesTuning = {0.1, 0.03, 1.0005, 3e6};
constexpr std::size_t kQueues = 32;  // A level's queues; enough that two hands seldom coincide.
constexpr std::size_t kHand = 2;     // Queues dealt to a flow: two hands share all once in ~500.
constexpr std::size_t kQueueCapacity =
    16;  // QueuedRequest in one queue; the wait cap mostly binds first.

struct QueuedRequest {
  RequestId request;
  std::uint64_t flow;
  Micros due;
};

class FairQueues {
 public:
  // Levels with another salt deal other hands.
  explicit FairQueues(std::uint64_t salt, std::size_t capacity = kQueueCapacity)
      : salt_(salt), capacity_(capacity), queues_(kQueues) {}

  // The hand dealt to a flow: distinct queues by hashing.
  std::array<std::size_t, kHand> Hand(std::uint64_t flow) const {
    std::array<std::size_t, kHand> hand{};
    std::uint64_t h = Mix(Mix(flow) ^ salt_);
    for (std::size_t i = 0; i < kHand; ++i) {
      do {
        h = Mix(h);
        hand[i] = h % kQueues;
      } while (std::find(hand.begin(), hand.begin() + i, hand[i]) != hand.begin() + i);
    }
    return hand;
  }

  // Joins the shortest queue of the hand. `excess` tells how far a flow is beyond its share.
  // Returns the request shed to keep the queue's capacity, if any; possibly the new one.
  template <typename Excess>
  std::optional<RequestId> Enqueue(const QueuedRequest& w, const Excess& excess) {
    const auto length = [&](std::size_t q) { return queues_[q].size(); };
    std::deque<QueuedRequest>& queue = queues_[std::ranges::min(Hand(w.flow), {}, length)];
    queue.push_back(w);
    ++size_;
    if (queue.size() <= capacity_) return std::nullopt;
    auto victim = std::prev(queue.end());
    for (auto it = queue.begin(); it != queue.end(); ++it) {
      if (excess(it->flow) > excess(victim->flow)) victim = it;
    }
    const RequestId shed = victim->request;
    queue.erase(victim);
    --size_;
    return shed;
  }

  // One request from the next non-empty queue in turn, of those whose head `admits` allows.
  template <typename Admits>
  std::optional<QueuedRequest> Next(const Admits& admits) {
    for (std::size_t i = 0; i < kQueues && size_ > 0; ++i) {
      std::deque<QueuedRequest>& queue = queues_[(turn_ + i) % kQueues];
      if (queue.empty() || !admits(queue.front())) continue;
      turn_ = (turn_ + i + 1) % kQueues;
      const QueuedRequest w = queue.front();
      queue.pop_front();
      --size_;
      return w;
    }
    return std::nullopt;
  }

  void PutBack(const QueuedRequest& w) {
    queues_[Hand(w.flow)[0]].push_front(w);
    ++size_;
  }

  void Remove(RequestId request, std::uint64_t flow) {
    for (std::size_t q : Hand(flow)) {
      size_ -=
          std::erase_if(queues_[q], [&](const QueuedRequest& w) { return w.request == request; });
    }
  }

  std::size_t size() const { return size_; }

 private:
  std::uint64_t salt_;
  std::size_t capacity_;
  std::vector<std::deque<QueuedRequest>> queues_;
  std::size_t turn_ = 0;
  std::size_t size_ = 0;
};

struct Level {
  Level(std::uint32_t index, bool tail_counts)
      : queues(index), calm_enough(tail_counts ? kCalmTail : kCalmEnough) {}

  // Part of the spare seats that stays open: all while answers come as in calm times, none once
  // they take twice as long. What is beyond its share yields before anyone else feels the load.
  double Openness() const {
    return std::clamp((calm_enough - times.Slowness()) / (calm_enough - 1.0), 0.0, 1.0);
  }
  bool NearBaseline() const { return times.Slowness() < calm_enough; }

  FairQueues queues;
  double calm_enough;
  std::size_t in_flight = 0;  // Attempts that hold a seat of this pool.
  DecayingRate demand;        // Seat-seconds asked for, a second: sets this level's share.
  AnswerTimes times{kAnswerTimesTuning};
  Micros rest_until = 0;  // Less than one seat: it stays empty until then.
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_LEVEL_H_
