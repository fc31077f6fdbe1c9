// Which waiting item is run next: by due time, by owner, by size; what cannot be done when due goes
// last and is not forgotten.
#define BOOST_TEST_MODULE run_queue
#include "tier/batch/run_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace shelflink::batch {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kAim = 8 * kSecond;

bool AllOpen(const std::string&) { return true; }

RunQueue::Job JobDueAt(Micros due, const std::string& owner = "studio",
                       const std::string& route = "lots") {
  RunQueue::Job job;
  job.owner = owner;
  job.route = route;
  job.due = due;
  job.aim = kAim;
  return job;
}

void AddItems(RunQueue& queue, JobNumber job, std::uint32_t count, std::uint64_t tokens = 100) {
  for (std::uint32_t item = 0; item < count; ++item) queue.Add(job, item, tokens);
}

std::vector<JobNumber> JobsTaken(RunQueue& queue, Micros now, std::size_t count) {
  std::vector<JobNumber> taken;
  for (std::size_t i = 0; i < count; ++i) {
    const auto next = queue.Take(now, AllOpen);
    BOOST_REQUIRE(next.has_value());
    taken.push_back(next->job);
  }
  return taken;
}

BOOST_AUTO_TEST_CASE(the_job_due_first_goes_first) {
  RunQueue queue;
  queue.AddJob(1, JobDueAt(9 * kSecond));
  queue.AddJob(2, JobDueAt(5 * kSecond));
  queue.AddJob(3, JobDueAt(7 * kSecond));
  for (const JobNumber job : {1, 2, 3}) AddItems(queue, job, 2);
  BOOST_TEST(JobsTaken(queue, 0, 6) == (std::vector<JobNumber>{2, 2, 3, 3, 1, 1}),
             boost::test_tools::per_element());
  BOOST_TEST(!queue.Take(0, AllOpen).has_value());
}

BOOST_AUTO_TEST_CASE(what_can_still_be_done_when_due_goes_before_what_cannot) {
  RunQueue queue;
  queue.LearnPace("lots", 100, kSecond);  // Ten milliseconds a token.
  queue.AddJob(1, JobDueAt(kSecond / 2));
  queue.AddJob(2, JobDueAt(4 * kSecond));
  AddItems(queue, 1, 2);
  AddItems(queue, 2, 2);
  BOOST_TEST(JobsTaken(queue, 0, 4) == (std::vector<JobNumber>{2, 2, 1, 1}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(small_items_go_while_they_still_can) {
  RunQueue queue;
  queue.LearnPace("lots", 100, kSecond);
  queue.AddJob(1, JobDueAt(2 * kSecond));
  queue.Add(1, 0, 500);  // Five seconds: too late.
  queue.Add(1, 1, 150);
  queue.Add(1, 2, 50);
  std::vector<std::uint32_t> order;
  while (const auto next = queue.Take(0, AllOpen)) order.push_back(next->item);
  BOOST_TEST(order == (std::vector<std::uint32_t>{1, 2, 0}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(owners_take_turns_whoever_has_more) {
  RunQueue queue;
  queue.AddJob(1, JobDueAt(5 * kSecond, "flood"));
  queue.AddJob(2, JobDueAt(6 * kSecond, "small"));
  AddItems(queue, 1, 20);
  AddItems(queue, 2, 4);
  const std::vector<JobNumber> taken = JobsTaken(queue, 0, 8);
  BOOST_TEST(std::count(taken.begin(), taken.end(), JobNumber{2}) == 4);
}

BOOST_AUTO_TEST_CASE(tells_whether_anything_may_run_now) {
  RunQueue queue;
  BOOST_TEST(!queue.HasRunnable(0, AllOpen));
  RunQueue::Job later = JobDueAt(9 * kSecond);
  later.from = kSecond;
  queue.AddJob(1, later);
  AddItems(queue, 1, 1);
  BOOST_TEST(!queue.HasRunnable(0, AllOpen));
  BOOST_TEST(!queue.Take(0, AllOpen).has_value());
  BOOST_TEST(queue.HasRunnable(kSecond, AllOpen));
  const auto closed = [](const std::string&) { return false; };
  BOOST_TEST(!queue.HasRunnable(kSecond, closed));
  BOOST_TEST(queue.Take(kSecond, AllOpen).has_value());
  BOOST_TEST(!queue.HasRunnable(kSecond, AllOpen));
}

BOOST_AUTO_TEST_CASE(counts_what_waits_beyond_its_due_time) {
  RunQueue queue;
  queue.AddJob(1, JobDueAt(2 * kSecond));
  queue.AddJob(2, JobDueAt(5 * kSecond, "other"));
  AddItems(queue, 1, 3);
  AddItems(queue, 2, 4);
  BOOST_TEST(queue.Overdue(kSecond) == 0U);
  BOOST_TEST(queue.Overdue(3 * kSecond) == 3U);
  BOOST_TEST(queue.Overdue(6 * kSecond) == 7U);
  queue.RemoveJob(1);
  BOOST_TEST(queue.Overdue(6 * kSecond) == 4U);
}

}  // namespace
}  // namespace shelflink::batch
