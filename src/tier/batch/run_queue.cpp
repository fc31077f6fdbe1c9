#include "tier/batch/run_queue.h"

#include <algorithm>

namespace shelflink::batch {
namespace {

constexpr double kLearningRate = 0.1;
// Less of the aim left than this: urgent.
constexpr double kUrgentShare = 0.3;

}  // namespace

void RunQueue::AddJob(JobNumber number, Job job) { jobs_[number].job = std::move(job); }

void RunQueue::RemoveJob(JobNumber number) {
  const auto found = jobs_.find(number);
  if (found == jobs_.end()) return;
  while (!found->second.waiting.empty()) {
    const Sized item = *found->second.waiting.begin();
    Drop(number, found->second, item);
  }
  jobs_.erase(found);
}

void RunQueue::Postpone(Micros span) {
  for (auto& [number, entry] : jobs_) {
    if (entry.job.from != 0) entry.job.from += span;
  }
}

void RunQueue::Add(JobNumber job, std::uint32_t item, std::uint64_t tokens) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  JobEntry& entry = found->second;
  if (!entry.waiting.emplace(tokens, item).second) return;
  ++size_;
  const auto [owner, fresh] = owners_.try_emplace(entry.job.owner);
  if (fresh) owner->second.served = clock_;  // Nothing is saved up while nothing waits.
  owner->second.jobs.emplace(entry.job.due, job);
}

void RunQueue::Remove(JobNumber job, std::uint32_t item, std::uint64_t tokens) {
  const auto found = jobs_.find(job);
  if (found != jobs_.end()) Drop(job, found->second, {tokens, item});
}

void RunQueue::Drop(JobNumber number, JobEntry& entry, const Sized& item) {
  if (entry.waiting.erase(item) == 0) return;
  --size_;
  if (!entry.waiting.empty()) return;
  const auto owner = owners_.find(entry.job.owner);
  owner->second.jobs.erase({entry.job.due, number});
  if (owner->second.jobs.empty()) owners_.erase(owner);
}

std::optional<RunQueue::Waiting> RunQueue::Take(Micros now, const RouteOpen& route_open) {
  Owner* chosen_owner = nullptr;
  std::optional<Candidate> chosen;
  for (auto& [name, owner] : owners_) {
    const std::optional<Candidate> candidate = BestOfOwner(owner, now, route_open);
    if (!candidate) continue;
    const bool better = !chosen || std::pair(candidate->urgency, owner.served) <
                                       std::pair(chosen->urgency, chosen_owner->served);
    if (!better) continue;
    chosen = candidate;
    chosen_owner = &owner;
  }
  if (!chosen) return {};
  clock_ = std::max(clock_, chosen_owner->served);
  chosen_owner->served += static_cast<double>(std::max<std::uint64_t>(chosen->item.first, 1));
  Drop(chosen->job, jobs_.at(chosen->job), chosen->item);
  return Waiting{chosen->job, chosen->item.second};
}

bool RunQueue::HasRunnable(Micros now, const RouteOpen& route_open) const {
  return std::any_of(owners_.begin(), owners_.end(), [&](const auto& owner) {
    return std::any_of(owner.second.jobs.begin(), owner.second.jobs.end(),
                       [&](const auto& waiting) {
                         const Job& job = jobs_.at(waiting.second).job;
                         return job.from <= now && route_open(job.route);
                       });
  });
}

std::optional<RunQueue::Candidate> RunQueue::BestOfOwner(const Owner& owner, Micros now,
                                                         const RouteOpen& route_open) const {
  std::optional<Candidate> best;
  for (const auto& [due, number] : owner.jobs) {
    const JobEntry& entry = jobs_.at(number);
    if (entry.job.from > now || !route_open(entry.job.route)) continue;
    const std::optional<Candidate> candidate = BestOfJob(number, entry, now);
    if (!candidate) continue;
    if (!best || candidate->urgency < best->urgency) best = candidate;
    // Jobs come by due time: behind one that can be done in time none is more urgent.
    if (best->urgency != Urgency::kLate) break;
  }
  return best;
}

std::optional<RunQueue::Candidate> RunQueue::BestOfJob(JobNumber number, const JobEntry& entry,
                                                       Micros now) const {
  if (entry.waiting.empty()) return {};
  const Micros left = entry.job.due - now;
  const auto fits = [&](const Sized& item) { return Estimate(entry.job.route, item.first) < left; };
  // Sorted by size, and the estimate rises with it.
  const auto behind = std::partition_point(entry.waiting.begin(), entry.waiting.end(), fits);
  if (behind == entry.waiting.begin()) {
    return Candidate{Urgency::kLate, number, *entry.waiting.begin()};
  }
  const Sized& largest = *std::prev(behind);
  const Micros slack = left - Estimate(entry.job.route, largest.first);
  const bool urgent =
      static_cast<double>(slack) < kUrgentShare * static_cast<double>(entry.job.aim);
  return Candidate{urgent ? Urgency::kUrgent : Urgency::kAhead, number, largest};
}

std::size_t RunQueue::Overdue(Micros now) const {
  std::size_t overdue = 0;
  for (const auto& [name, owner] : owners_) {
    for (const auto& [due, number] : owner.jobs) {
      if (due >= now) break;  // Jobs come by due time.
      overdue += jobs_.at(number).waiting.size();
    }
  }
  return overdue;
}

Micros RunQueue::Estimate(const std::string& route, std::uint64_t tokens) const {
  const auto found = pace_.find(route);
  if (found == pace_.end()) return 0;
  return static_cast<Micros>(found->second * static_cast<double>(tokens));
}

void RunQueue::LearnPace(const std::string& route, std::uint64_t tokens, Micros duration) {
  if (tokens == 0 || duration <= 0) return;
  const double sample = static_cast<double>(duration) / static_cast<double>(tokens);
  const auto [entry, first] = pace_.try_emplace(route, sample);
  if (!first) entry->second += kLearningRate * (sample - entry->second);
}

}  // namespace shelflink::batch
