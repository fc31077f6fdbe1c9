// Priority levels: isolated concurrency pools that do not lend capacity to each other, each with
// its own queues. The pools of live levels are shares of one adaptive limit on calls in flight.
// Uses the same components as gaugecart.
#ifndef SHELFLINK_TIER_POLICY_PRIORITY_LEVELS_H_
#define SHELFLINK_TIER_POLICY_PRIORITY_LEVELS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "measures/answer_times.h"
#include "policy/level.h"
#include "policy/limiter.h"
#include "tier/policy/module.h"

namespace shelflink::policy {

class PriorityLevels {
 public:
  PriorityLevels();

  // Sets the number of levels. With two or more, the last one is the batch level. Levels above a
  // reduced count stay allocated, because calls may still be in them.
  void SetCount(std::size_t count);
  // Levels in use.
  std::size_t count() const { return count_; }
  // Levels in use or still draining.
  std::size_t allocated_count() const { return levels_.size(); }
  // Sets the limit to start with, at which no call should be queued. It applies until the first
  // overload signal, and later if the present limit is far above it: the initial limit of one
  // sidecar of few is too high when there are many.
  void SetInitialLimit(double limit);

  // Sets the lower bound of limit(), the calls that the endpoints can certainly run for this
  // sidecar.
  void SetMinLimit(double limit) { min_limit_ = limit; }

  // Sets the pool size of the batch level: the slots of the endpoints that this sidecar owns for
  // batch. It does not depend on the limit of live calls; the batch limit of each endpoint applies.
  void SetBatchLimit(double limit) { batch_limit_ = limit; }

  // Adds an arrived call to the demand of its level, with the typical duration of its calls.
  void NoteArrival(Micros now, std::uint32_t level);
  // Queues a call. Returns the call shed because the queue is full, if any; possibly this one.
  std::optional<CallId> Enqueue(std::uint32_t level, const gaugecart::QueuedRequest& waiting);
  void Remove(std::uint32_t level, CallId call, std::uint64_t flow);
  // Dequeues the next call of the level; none if its pool is full or no call is queued.
  std::optional<gaugecart::QueuedRequest> Next(Micros now, std::uint32_t level);

  // Puts a dequeued call that cannot be sent now back to the front of its queue.
  void PutBack(std::uint32_t level, const gaugecart::QueuedRequest& waiting);

  void Start(std::uint32_t level) { ++levels_[level].pool.in_flight; }
  void Finish(std::uint32_t level) { --levels_[level].pool.in_flight; }
  std::size_t in_flight(std::uint32_t level) const { return levels_[level].pool.in_flight; }
  std::size_t waiting(std::uint32_t level) const { return levels_[level].pool.queues.size(); }
  bool AnyWaiting() const;

  // Adjusts the limit to the time of a first event against the objective.
  void NoteFirstEvent(Micros now, std::uint32_t level, Micros elapsed, Micros objective);
  // Records a completed call, `duration` microseconds after it was sent.
  void NoteCompleted(Micros now, std::uint32_t level, Micros duration);
  // Records an overload signal: a timeout, a reset, a stream that started too late, a rejection.
  void NoteOverload(std::uint32_t level);

  bool IsBatch(std::uint32_t level) const;
  // Typical time in flight of a call of the level in microseconds; 0 if not known.
  Micros TypicalDuration(std::uint32_t level) const;
  // Concurrency limit of the level.
  double LimitOf(Micros now, std::uint32_t level) const;
  // Concurrency limit of all live levels and the batch reserve.
  double limit() const { return std::max(min_limit_, limiter_->limit()); }

 private:
  struct Entry {
    explicit Entry(std::uint32_t index);
    gaugecart::Level pool;  // Its answer times are first-event times as fractions of the objective.
    gaugecart::AnswerTimes durations;                                  // Time in flight of calls.
    std::unordered_map<std::uint64_t, std::uint32_t> waiting_by_flow;  // Queued calls.
  };

  void RemoveWaiting(Entry& entry, std::uint64_t flow);
  double InFlight() const;
  void Overload(bool slow, bool late);
  void Reset(double limit);
  double MinStart() const;

  std::vector<Entry> levels_;
  std::optional<gaugecart::Limiter> limiter_;
  std::size_t count_ = 0;
  double min_limit_ = 0.0;
  double batch_limit_ = 0.0;
  bool overload_seen_ = false;  // An overload signal was recorded before.
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PRIORITY_LEVELS_H_
