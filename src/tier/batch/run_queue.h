// Which waiting item is run next. Pure: the present time comes with each question.
//
// Items fall into three classes, the first that has one is served:
//   urgent   can still be done when its job is due, and little time is left for it;
//   ahead    can still be done when due;
//   late     cannot; it earns less, so what can be done in time goes first.
// Within a class the owner that was served the fewest tokens is next, so a flood of one owner takes
// nothing from the others; within an owner the job due first, and of a job the largest item that
// can still be done, because the largest must begin first.
#ifndef SHELFLINK_TIER_BATCH_RUN_QUEUE_H_
#define SHELFLINK_TIER_BATCH_RUN_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "tier/batch/job_records.h"

namespace shelflink::batch {

class RunQueue {
 public:
  struct Job {
    std::string owner;
    std::string route;
    Micros due = 0;
    Micros aim = 0;   // From the first send to when it is due.
    Micros from = 0;  // Its items are not run earlier.
  };
  struct Waiting {
    JobNumber job = 0;
    std::uint32_t item = 0;
  };
  using RouteOpen = std::function<bool(const std::string& route)>;

  void AddJob(JobNumber number, Job job);
  void RemoveJob(JobNumber number);  // With what waits of it.
  // Jobs that have a time from which they are run wait so much longer; below 0: less long.
  void Postpone(Micros span);
  void Add(JobNumber job, std::uint32_t item, std::uint64_t tokens);
  void Remove(JobNumber job, std::uint32_t item, std::uint64_t tokens);

  // Takes the next item out of the queue and counts it as served to its owner.
  std::optional<Waiting> Take(Micros now, const RouteOpen& route_open);

  // Whether Take would give an item.
  bool HasRunnable(Micros now, const RouteOpen& route_open) const;

  // A whole run of an item of that size took so long: how long others of the route will take.
  void LearnPace(const std::string& route, std::uint64_t tokens, Micros duration);
  std::size_t size() const { return size_; }
  // Items whose job was due before.
  std::size_t Overdue(Micros now) const;

 private:
  using Sized = std::pair<std::uint64_t, std::uint32_t>;  // Tokens, item.
  struct JobEntry {
    Job job;
    std::set<Sized> waiting;
  };
  struct Owner {
    double served = 0;                            // Tokens, on the clock that all owners share.
    std::set<std::pair<Micros, JobNumber>> jobs;  // With something waiting, by due time.
  };
  enum class Urgency { kUrgent, kAhead, kLate };
  struct Candidate {
    Urgency urgency = Urgency::kLate;
    JobNumber job = 0;
    Sized item;
  };

  Micros Estimate(const std::string& route, std::uint64_t tokens) const;
  std::optional<Candidate> BestOfOwner(const Owner& owner, Micros now,
                                       const RouteOpen& route_open) const;
  std::optional<Candidate> BestOfJob(JobNumber number, const JobEntry& entry, Micros now) const;
  void Drop(JobNumber number, JobEntry& entry, const Sized& item);

  std::map<JobNumber, JobEntry> jobs_;
  std::map<std::string, Owner> owners_;  // Those with something waiting.
  std::map<std::string, double> pace_;   // Of each route: microseconds a token.
  double clock_ = 0;                     // Least `served` of an owner that was served last.
  std::size_t size_ = 0;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_RUN_QUEUE_H_
