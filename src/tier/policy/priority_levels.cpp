#include "tier/policy/priority_levels.h"

#include <algorithm>
#include <cmath>

#include "tier/policy/mutant.h"

namespace shelflink::policy {
namespace {

constexpr double kBatchShare = 0.25;  // Of the limit kept from live levels where there is batch.
constexpr double kEvenPart = 0.25;    // Of what live levels have, dealt evenly; the rest by demand.
constexpr double kUrgency = 4.0;      // Weight of a level's demand against the next one's.
constexpr double kPromptPart = 0.5;   // First events within this part of the objective: more room.
constexpr double kFirstSpan = 0.5;    // Seconds that a call is taken to last before one has.
constexpr double kFarAbove = 2.0;     // Starts, beyond which a limit begins anew.
constexpr double kFirstLimit = 16.0;  // For each level, before any endpoint is known.
constexpr double kMicrosInSecond = 1e6;

}  // namespace

Levels::Entry::Entry(std::uint32_t index) : pool(index, false), held(gaugecart::kTimes) {}

Levels::Levels() { SetCount(1); }

void Levels::SetCount(std::size_t count) {
  count_ = count;
  const std::size_t before = levels_.size();
  while (levels_.size() < count) levels_.emplace_back(static_cast<std::uint32_t>(levels_.size()));
  if (levels_.size() != before) BeginAt(limiter_ ? limiter_->limit() : 0.0);
}

void Levels::StartFrom(double limit) {
  if (!told_ || limiter_->limit() > kFarAbove * std::max(limit, LeastStart())) BeginAt(limit);
}

void Levels::BeginAt(double limit) {
  limiter_.emplace(std::max(limit, LeastStart()),
                   gaugecart::kSeatFloor * static_cast<double>(levels_.size()));
}

double Levels::LeastStart() const { return kFirstLimit * static_cast<double>(levels_.size()); }

void Levels::NoteArrival(Micros now, std::uint32_t level) {
  const double usual = levels_[level].held.typical() / kMicrosInSecond;
  levels_[level].pool.demand.Add(now, usual > 0 ? usual : kFirstSpan);
}

std::optional<CallId> Levels::Enqueue(std::uint32_t level, const gaugecart::Waiting& waiting) {
  Entry& entry = levels_[level];
  ++entry.waiting[waiting.flow];
  const auto shed = entry.pool.queues.Enqueue(waiting, [&](std::uint64_t flow) {
    const auto it = entry.waiting.find(flow);
    return it == entry.waiting.end() ? 0U : it->second;
  });
  return shed;
}

void Levels::Remove(std::uint32_t level, CallId call, std::uint64_t flow) {
  levels_[level].pool.queues.Remove(call, flow);
  RemoveWaiting(levels_[level], flow);
}

std::optional<gaugecart::Waiting> Levels::Next(Micros now, std::uint32_t level) {
  Entry& entry = levels_[level];
  if (entry.pool.queues.size() == 0) return std::nullopt;
  if (static_cast<double>(entry.pool.in_flight) + 1.0 > std::max(1.0, LimitOf(now, level))) {
    return std::nullopt;
  }
  const auto next = entry.pool.queues.Next([](const gaugecart::Waiting&) { return true; });
  if (next) RemoveWaiting(entry, next->flow);
  return next;
}

void Levels::PutBack(std::uint32_t level, const gaugecart::Waiting& waiting) {
  levels_[level].pool.queues.PutBack(waiting);
  ++levels_[level].waiting[waiting.flow];
}

void Levels::RemoveWaiting(Entry& entry, std::uint64_t flow) {
  const auto it = entry.waiting.find(flow);
  if (it != entry.waiting.end() && --it->second == 0) entry.waiting.erase(it);
}

bool Levels::AnyWaiting() const {
  return std::any_of(levels_.begin(), levels_.end(),
                     [](const Entry& entry) { return entry.pool.queues.size() > 0; });
}

void Levels::NoteFirstEvent(Micros now, std::uint32_t level, Micros took, Micros objective) {
  gaugecart::Level& pool = levels_[level].pool;
  const double part = static_cast<double>(took) / static_cast<double>(objective);
  pool.times.Note(part, now);
  const bool calm = pool.Calm();
  const bool slow = !calm && pool.times.typical() > kPromptPart;
  const bool late = slow && pool.times.typical() > 1.0;
  const bool low = limiter_->Low();
  // Where first events take no longer than in calm times, fewer calls do not make them faster.
  if (part > 1.0 && !(calm && low)) {
    Overload(slow, late);
  } else if ((calm && low) || (part <= kPromptPart && (calm || (!slow && low)))) {
    limiter_->Prompt(InFlight(), true);
  }
}

void Levels::NoteServed(Micros now, std::uint32_t level, Micros held) {
  levels_[level].held.Note(static_cast<double>(held), now);
}

void Levels::NoteOverload(std::uint32_t level) {
  const gaugecart::Level& pool = levels_[level].pool;
  const bool slow = !pool.Calm() && pool.times.typical() > kPromptPart;
  Overload(slow, slow && pool.times.typical() > 1.0);
}

void Levels::Overload(bool slow, bool late) {
  told_ = true;
  limiter_->Overload(InFlight(), slow, late);
}

Micros Levels::UsualSpan(std::uint32_t level) const {
  return static_cast<Micros>(levels_[level].held.typical());
}

bool Levels::IsBatch(std::uint32_t level) const { return count_ > 1 && level + 1 == count_; }

double Levels::LimitOf(Micros now, std::uint32_t level) const {
  const double all = limit();
  if (Mutated(Mutant::kLendPools)) return all;
  if (IsBatch(level)) return batch_seats_;
  if (level >= count_) return gaugecart::kSeatFloor;  // What is left there still drains.
  const std::size_t live = count_ > 1 ? count_ - 1 : 1;
  double asked = 0.0;
  double own = 0.0;
  for (std::size_t i = 0; i < live; ++i) {
    gaugecart::DecayingRate demand = levels_[i].pool.demand;
    const double weighed = demand.Rate(now) * std::pow(kUrgency, -static_cast<double>(i));
    asked += weighed;
    if (i == level) own = weighed;
  }
  const double even = 1.0 / static_cast<double>(live);
  const double share = kEvenPart * even + (1.0 - kEvenPart) * (asked > 0 ? own / asked : even);
  const double seats = (count_ > 1 ? 1.0 - kBatchShare : 1.0) * all;
  return std::max(std::min(gaugecart::kSeatFloor, seats * even), seats * share);
}

double Levels::InFlight() const {
  std::size_t sum = 0;
  for (const Entry& entry : levels_) sum += entry.pool.in_flight;
  return static_cast<double>(sum);
}

}  // namespace shelflink::policy
