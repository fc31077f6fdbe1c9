#include "tier/policy/priority_levels.h"

#include <algorithm>
#include <cmath>

#include "tier/policy/mutant.h"

namespace shelflink::policy {
namespace {

constexpr double kBatchReserve =
    0.25;  // Fraction of the limit withheld from live levels for batch.
// Fraction of the live limit split evenly; the rest is split by demand.
constexpr double kEvenShare = 0.25;
constexpr double kUrgencyRatio = 4.0;  // Weight of a level's demand relative to the next level's.
// First events within this fraction of the objective raise the limit.
constexpr double kFastFirstEvent = 0.5;
constexpr double kInitialCallSeconds = 0.5;  // Assumed duration until a call has completed.
// Multiple of a new initial limit, above which the limit is reset to it.
constexpr double kResetAt = 2.0;
constexpr double kInitialLimitPerLevel = 16.0;  // Calls, before any endpoint is known.
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

PriorityLevels::Entry::Entry(std::uint32_t index)
    : pool(index, false), durations(gaugecart::kAnswerTimesTuning) {}

PriorityLevels::PriorityLevels() { SetCount(1); }

void PriorityLevels::SetCount(std::size_t count) {
  count_ = count;
  const std::size_t before = levels_.size();
  while (levels_.size() < count) levels_.emplace_back(static_cast<std::uint32_t>(levels_.size()));
  if (levels_.size() != before) Reset(limiter_ ? limiter_->limit() : 0.0);
}

void PriorityLevels::SetInitialLimit(double limit) {
  if (!overload_seen_ || limiter_->limit() > kResetAt * std::max(limit, MinStart())) Reset(limit);
}

void PriorityLevels::Reset(double limit) {
  limiter_.emplace(std::max(limit, MinStart()),
                   gaugecart::kMinLevelLimit * static_cast<double>(levels_.size()));
}

double PriorityLevels::MinStart() const {
  return kInitialLimitPerLevel * static_cast<double>(levels_.size());
}

void PriorityLevels::NoteArrival(Micros now, std::uint32_t level) {
  const double typical = levels_[level].durations.typical() / kMicrosPerSecond;
  levels_[level].pool.demand.Add(now, typical > 0 ? typical : kInitialCallSeconds);
}

std::optional<CallId> PriorityLevels::Enqueue(std::uint32_t level,
                                              const gaugecart::QueuedRequest& waiting) {
  Entry& entry = levels_[level];
  ++entry.waiting_by_flow[waiting.flow];
  const auto shed = entry.pool.queues.Enqueue(waiting, [&](std::uint64_t flow) {
    const auto it = entry.waiting_by_flow.find(flow);
    return it == entry.waiting_by_flow.end() ? 0U : it->second;
  });
  return shed;
}

void PriorityLevels::Remove(std::uint32_t level, CallId call, std::uint64_t flow) {
  levels_[level].pool.queues.Remove(call, flow);
  RemoveWaiting(levels_[level], flow);
}

std::optional<gaugecart::QueuedRequest> PriorityLevels::Next(Micros now, std::uint32_t level) {
  Entry& entry = levels_[level];
  if (entry.pool.queues.size() == 0) return std::nullopt;
  if (static_cast<double>(entry.pool.in_flight) + 1.0 > std::max(1.0, LimitOf(now, level))) {
    return std::nullopt;
  }
  const auto next = entry.pool.queues.Next([](const gaugecart::QueuedRequest&) { return true; });
  if (next) RemoveWaiting(entry, next->flow);
  return next;
}

void PriorityLevels::PutBack(std::uint32_t level, const gaugecart::QueuedRequest& waiting) {
  levels_[level].pool.queues.PutBack(waiting);
  ++levels_[level].waiting_by_flow[waiting.flow];
}

void PriorityLevels::RemoveWaiting(Entry& entry, std::uint64_t flow) {
  const auto it = entry.waiting_by_flow.find(flow);
  if (it != entry.waiting_by_flow.end() && --it->second == 0) entry.waiting_by_flow.erase(it);
}

bool PriorityLevels::AnyWaiting() const {
  return std::any_of(levels_.begin(), levels_.end(),
                     [](const Entry& entry) { return entry.pool.queues.size() > 0; });
}

void PriorityLevels::NoteFirstEvent(Micros now, std::uint32_t level, Micros elapsed,
                                    Micros objective) {
  gaugecart::Level& pool = levels_[level].pool;
  const double ratio = static_cast<double>(elapsed) / static_cast<double>(objective);
  pool.times.Note(ratio, now);
  const bool near_baseline = pool.NearBaseline();
  const bool slow = !near_baseline && pool.times.typical() > kFastFirstEvent;
  const bool late = slow && pool.times.typical() > 1.0;
  const bool far_below_start = limiter_->IsFarBelowStart();
  // If first events take no longer than without load, a lower limit does not make them faster.
  if (ratio > 1.0 && !(near_baseline && far_below_start)) {
    Overload(slow, late);
  } else if ((near_baseline && far_below_start) ||
             (ratio <= kFastFirstEvent && (near_baseline || (!slow && far_below_start)))) {
    limiter_->NotePrompt(InFlight(), true);
  }
}

void PriorityLevels::NoteCompleted(Micros now, std::uint32_t level, Micros duration) {
  levels_[level].durations.Note(static_cast<double>(duration), now);
}

void PriorityLevels::NoteOverload(std::uint32_t level) {
  const gaugecart::Level& pool = levels_[level].pool;
  const bool slow = !pool.NearBaseline() && pool.times.typical() > kFastFirstEvent;
  Overload(slow, slow && pool.times.typical() > 1.0);
}

void PriorityLevels::Overload(bool slow, bool late) {
  overload_seen_ = true;
  limiter_->NoteOverload(InFlight(), slow, late);
}

Micros PriorityLevels::TypicalDuration(std::uint32_t level) const {
  return static_cast<Micros>(levels_[level].durations.typical());
}

bool PriorityLevels::IsBatch(std::uint32_t level) const {
  return count_ > 1 && level + 1 == count_;
}

double PriorityLevels::LimitOf(Micros now, std::uint32_t level) const {
  const double total = limit();
  if (Mutated(Mutant::kSharedPools)) return total;
  if (IsBatch(level)) return batch_limit_;
  if (level >= count_) return gaugecart::kMinLevelLimit;  // Removed level: drains its queue.
  const std::size_t live = count_ > 1 ? count_ - 1 : 1;
  double total_demand = 0.0;
  double level_demand = 0.0;
  for (std::size_t i = 0; i < live; ++i) {
    gaugecart::DecayingRate demand = levels_[i].pool.demand;
    const double weighted = demand.Rate(now) * std::pow(kUrgencyRatio, -static_cast<double>(i));
    total_demand += weighted;
    if (i == level) level_demand = weighted;
  }
  const double even = 1.0 / static_cast<double>(live);
  const double share = kEvenShare * even +
                       (1.0 - kEvenShare) * (total_demand > 0 ? level_demand / total_demand : even);
  const double live_limit = (count_ > 1 ? 1.0 - kBatchReserve : 1.0) * total;
  return std::max(std::min(gaugecart::kMinLevelLimit, live_limit * even), live_limit * share);
}

double PriorityLevels::InFlight() const {
  std::size_t sum = 0;
  for (const Entry& entry : levels_) sum += entry.pool.in_flight;
  return static_cast<double>(sum);
}

}  // namespace shelflink::policy
