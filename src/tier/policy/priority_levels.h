// Priority levels: isolated pools that never lend, each with queues of its own before it. Pools are
// shares of one learned limit on calls in flight. Built of the parts that gaugecart is built of.
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

  // The last level is batch's where there are two or more. A level that is no more is kept while
  // the module lives: calls may still be in it.
  void SetCount(std::size_t count);
  std::size_t count() const { return count_; }
  std::size_t allocated_count() const { return levels_.size(); }
  // A limit at which nothing is held. It is taken while nothing has told what is too much, and
  // where the present limit is far above it: what one sidecar of few may start with is too much for
  // many.
  void SetInitialLimit(double limit);

  // Seats that the limit never falls below: so many the endpoints surely have for this sidecar.
  void SetMinLimit(double limit) { min_limit_ = limit; }

  // Seats of the batch level's pool: the slots of the endpoints that this sidecar runs batch calls
  // at. The limit that live calls share does not bind it, each endpoint's batch limit does.
  void SetBatchLimit(double limit) { batch_limit_ = limit; }

  // A call has come, which will take about as long as calls of its level do.
  void NoteArrival(Micros now, std::uint32_t level);
  // Returns the call shed to keep the queue's capacity, if any; possibly this one.
  std::optional<CallId> Enqueue(std::uint32_t level, const gaugecart::Waiting& waiting);
  void Remove(std::uint32_t level, CallId call, std::uint64_t flow);
  // The next call of the level while its pool has room.
  std::optional<gaugecart::Waiting> Next(Micros now, std::uint32_t level);

  // Back to the front: it cannot be sent just now.
  void PutBack(std::uint32_t level, const gaugecart::Waiting& waiting);

  void Start(std::uint32_t level) { ++levels_[level].pool.in_flight; }
  void Finish(std::uint32_t level) { --levels_[level].pool.in_flight; }
  std::size_t in_flight(std::uint32_t level) const { return levels_[level].pool.in_flight; }
  std::size_t waiting(std::uint32_t level) const { return levels_[level].pool.queues.size(); }
  bool AnyWaiting() const;

  // A first event came in time or late.
  void NoteFirstEvent(Micros now, std::uint32_t level, Micros elapsed, Micros objective);
  // A call has been served whole, `held` after it was sent.
  void NoteCompleted(Micros now, std::uint32_t level, Micros seat_time);
  // A time-out, a reset, a stream that did not start in time, an endpoint that turned it away.
  void NoteOverload(std::uint32_t level);

  bool IsBatch(std::uint32_t level) const;
  // How long a call of the level usually holds its seat; 0: not known.
  Micros TypicalSeatTime(std::uint32_t level) const;
  double LimitOf(Micros now, std::uint32_t level) const;
  double limit() const { return std::max(min_limit_, limiter_->limit()); }

 private:
  struct Entry {
    explicit Entry(std::uint32_t index);
    gaugecart::Level pool;  // Its answer times are first events, as parts of the objective.
    gaugecart::AnswerTimes seat_times;  // How long a call holds its seat.
    std::unordered_map<std::uint64_t, std::uint32_t>
        waiting_by_flow;  // Calls of each flow, where any.
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
  bool overload_seen_ = false;  // Of overload.
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PRIORITY_LEVELS_H_
