// A priority level: a concurrency limit and the queues before it. Each flow hashes to a few of the
// queues and joins the shortest; non-empty queues release one call each in turn.
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

constexpr double kBaselineSlowness = 1.6;  // Slowness that ends spare capacity and increases...
constexpr double kBaselineSlownessTail = 1.05;  // ...if the tail counts: queues show there first.
// The baseline doubles in some 1,400 answers.
constexpr AnswerTimes::Tuning kAnswerTimesTuning = {0.1, 0.03, 1.0005, 3e6};
constexpr std::size_t kQueuesPerLevel = 32;  // Enough that flows seldom share their queues.
constexpr std::size_t kQueuesPerFlow = 2;    // Two flows share both of them once in ~500.
constexpr std::size_t kQueueCapacity = 16;   // Requests; the wait limit mostly binds first.

struct QueuedRequest {
  RequestId request;
  std::uint64_t flow;
  Micros due;
};

class FairQueues {
 public:
  // Levels with different salts map a flow to different queues.
  explicit FairQueues(std::uint64_t salt, std::size_t capacity = kQueueCapacity)
      : salt_(salt), capacity_(capacity), queues_(kQueuesPerLevel) {}

  // The flow's distinct queues, by hashing.
  std::array<std::size_t, kQueuesPerFlow> QueuesOf(std::uint64_t flow) const {
    std::array<std::size_t, kQueuesPerFlow> queues{};
    std::uint64_t h = Mix(Mix(flow) ^ salt_);
    for (std::size_t i = 0; i < kQueuesPerFlow; ++i) {
      do {
        h = Mix(h);
        queues[i] = h % kQueuesPerLevel;
      } while (std::find(queues.begin(), queues.begin() + i, queues[i]) != queues.begin() + i);
    }
    return queues;
  }

  // Joins the shortest of the flow's queues. `excess` ranks how far a flow is over its share.
  // Returns the request shed to keep the queue's capacity, if any; possibly the new one.
  template <typename Excess>
  std::optional<RequestId> Enqueue(const QueuedRequest& w, const Excess& excess) {
    const auto length = [&](std::size_t q) { return queues_[q].size(); };
    std::deque<QueuedRequest>& queue = queues_[std::ranges::min(QueuesOf(w.flow), {}, length)];
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

  // Takes a request from the next queue in turn whose head `admits` accepts.
  template <typename Admits>
  std::optional<QueuedRequest> Next(const Admits& admits) {
    for (std::size_t i = 0; i < kQueuesPerLevel && size_ > 0; ++i) {
      std::deque<QueuedRequest>& queue = queues_[(next_queue_ + i) % kQueuesPerLevel];
      if (queue.empty() || !admits(queue.front())) continue;
      next_queue_ = (next_queue_ + i + 1) % kQueuesPerLevel;
      const QueuedRequest w = queue.front();
      queue.pop_front();
      --size_;
      return w;
    }
    return std::nullopt;
  }

  void PutBack(const QueuedRequest& w) {
    queues_[QueuesOf(w.flow)[0]].push_front(w);
    ++size_;
  }

  void Remove(RequestId request, std::uint64_t flow) {
    for (std::size_t q : QueuesOf(flow)) {
      size_ -=
          std::erase_if(queues_[q], [&](const QueuedRequest& w) { return w.request == request; });
    }
  }

  std::size_t size() const { return size_; }

 private:
  std::uint64_t salt_;
  std::size_t capacity_;
  std::vector<std::deque<QueuedRequest>> queues_;
  std::size_t next_queue_ = 0;
  std::size_t size_ = 0;
};

struct Level {
  Level(std::uint32_t index, bool tail_counts)
      : queues(index), max_slowness(tail_counts ? kBaselineSlownessTail : kBaselineSlowness) {}

  // Usable fraction of the spare capacity: 1 at baseline answer times, 0 from max_slowness on.
  // Tenants over their share yield before others notice the load.
  double SpareFraction() const {
    return std::clamp((max_slowness - times.Slowness()) / (max_slowness - 1.0), 0.0, 1.0);
  }
  bool NearBaseline() const { return times.Slowness() < max_slowness; }

  FairQueues queues;
  double max_slowness;
  std::size_t in_flight = 0;  // Attempts counted against this level's limit.
  DecayingRate demand;        // Answer seconds asked for per second; sets this level's share.
  AnswerTimes times{kAnswerTimesTuning};
  Micros paused_until = 0;  // With a limit below 1, nothing is sent until then.
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_LEVEL_H_
