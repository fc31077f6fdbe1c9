// The store's service on the virtual network: what clients were told holds through kills, losses of
// power and disks, freezes and cuts, as far as the tolerance goes.
#define BOOST_TEST_MODULE store
#include <boost/test/unit_test.hpp>

#include "batch/store_clients.h"

namespace shelflink::batch {
namespace {

void CheckAllDone(StoreWorld& world, Clients& clients) {
  const std::vector<std::string> broken = BrokenPromises(world, clients);
  for (const std::string& one : broken) BOOST_TEST_MESSAGE(one);
  BOOST_TEST(broken.empty());
}

// Once the stores have begun: `jobs` of them, named job-0 and on, with so many items each.
void SubmitJobs(StoreWorld& world, Clients& clients, int jobs, int items) {
  world.RunFor(seconds(1));
  for (int number = 0; number < jobs; ++number) {
    clients.SubmitJob("job-" + std::to_string(number), items, "a");
  }
}

BOOST_AUTO_TEST_CASE(a_job_is_accepted_run_and_read) {
  StoreWorld world(1, 3);
  Clients clients(world);
  world.RunFor(seconds(1));
  clients.SubmitJob("job", 5, "a");
  world.RunFor(milliseconds(300));
  BOOST_TEST(clients.AllAcknowledged());
  CheckAllDone(world, clients);
}

BOOST_AUTO_TEST_CASE(a_waiting_read_is_answered_by_the_first_result) {
  StoreWorld world(2, 3);
  Clients clients(world);
  world.RunFor(seconds(1));
  clients.SubmitJob("job", 1, "a");
  world.RunFor(milliseconds(100));
  clients.ReadJob("job", milliseconds(1900));
  world.RunFor(milliseconds(1800));
  BOOST_TEST(world.promises.at("job").read.size() == 1U);
}

BOOST_AUTO_TEST_CASE(two_jobs_with_one_id_and_other_content_conflict) {
  StoreWorld world(3, 3);
  Clients clients(world);
  world.RunFor(seconds(1));
  clients.SubmitJob("job", 3, "a");
  world.RunFor(milliseconds(300));
  Submit other = world.promises.at("job").submit;
  other.items[1].body += "!";
  std::optional<SubmitOutcome> outcome;
  world.proxies[1]->CallJob(kSubmit, other.job, Encode(other), [&](const auto& result) {
    outcome = Decode<SubmitAnswer>(result.value()).value().outcome;
  });
  world.RunFor(milliseconds(300));
  BOOST_CHECK(outcome == SubmitOutcome::kConflict);
  CheckAllDone(world, clients);
}

BOOST_AUTO_TEST_CASE(a_page_holds_a_megabyte_and_at_least_one_result) {
  StoreWorld world(4, 3);
  Clients clients(world);
  world.RunFor(seconds(1));
  clients.SubmitJob("job", 4, "a");
  world.RunFor(seconds(5));
  const JobRef job = world.promises.at("job").submit.job;
  Read read;
  read.job = job;
  read.most_bytes = 1;
  std::vector<std::uint64_t> pages;
  for (int page = 0; page < 4; ++page) {
    world.proxies[0]->CallJob(kRead, job, Encode(read), [&](const auto& result) {
      const ReadAnswer answer = Decode<ReadAnswer>(result.value()).value();
      pages.push_back(answer.results.size());
      read.after = answer.next;
    });
    world.RunFor(milliseconds(100));
  }
  BOOST_TEST(pages == (std::vector<std::uint64_t>{1, 1, 1, 1}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_store_that_wrote_most_loses_its_disk_right_after_an_acknowledgement) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    StoreWorld world(seed, 3);
    Clients clients(world);
    SubmitJobs(world, clients, 5, 3);
    while (!clients.AllAcknowledged()) world.RunFor(milliseconds(1));
    world.RunFor(milliseconds(5));
    const auto primary = world.StoreAt(world.RowOf(world.promises.at("job-0").submit.job).primary);
    world.Wipe(*primary);
    world.RunFor(milliseconds(700));
    world.Start(*primary);
    CheckAllDone(world, clients);
  }
}

// The same with one copy only: the judge sees what is missing.
BOOST_AUTO_TEST_CASE(an_acknowledgement_by_one_disk_is_caught) {
  StoreWorld world(1, 3, 1);
  Clients clients(world);
  world.RunFor(seconds(1));
  clients.SubmitJob("job-0", 3, "a");
  while (!clients.AllAcknowledged()) world.RunFor(milliseconds(1));
  const auto primary = world.StoreAt(world.RowOf(world.promises.at("job-0").submit.job).primary);
  world.Wipe(*primary);
  world.RunFor(milliseconds(700));
  world.Start(*primary);
  BOOST_TEST(!BrokenPromises(world, clients).empty());
}

BOOST_AUTO_TEST_CASE(a_full_disk_refuses_new_jobs_and_keeps_the_old_ones) {
  StoreWorld world(5, 3);
  Clients clients(world);
  world.RunFor(seconds(1));
  clients.SubmitJob("old", 3, "a");
  world.RunFor(milliseconds(500));
  for (const auto& machine : world.machines) machine->disk.SetBytesUsed(60U << 20);
  const Submit again = world.promises.at("old").submit;
  Submit fresh = again;
  fresh.job.job = "new";
  std::optional<SubmitOutcome> outcome;
  std::optional<ErrorCode> refusal;
  world.proxies[0]->CallJob(kSubmit, again.job, Encode(again), [&](const auto& result) {
    outcome = Decode<SubmitAnswer>(result.value()).value().outcome;
  });
  world.proxies[0]->CallJob(kSubmit, fresh.job, Encode(fresh), [&](const auto& result) {
    if (!result) refusal = result.error().code;
  });
  world.RunFor(milliseconds(300));
  BOOST_CHECK(outcome == SubmitOutcome::kAccepted);
  BOOST_CHECK(refusal == ErrorCode::kUnavailable);
  CheckAllDone(world, clients);
}

BOOST_AUTO_TEST_CASE(a_stepped_clock_is_corrected_by_what_most_machines_have) {
  net::VirtualNet net(1);
  net::VirtualProcess loop(net, 1, "store", 10);
  const Micros right = loop.WallMicros();
  loop.StepWall(300'000'000);
  JobClock clock(loop);
  BOOST_TEST(clock.Correct(right) == -300'000'000);
  BOOST_TEST(clock.Now() == right);
  BOOST_TEST(clock.Correct(right + 900'000) == 0);  // Clocks differ a little.
}

BOOST_AUTO_TEST_CASE(submissions_beyond_the_gate_wait_and_then_are_refused) {
  SubmissionGate gate;
  constexpr std::size_t kLarge = 4U << 20;
  int begun = 0;
  int refused = 0;
  for (int number = 0; number < 12; ++number) {
    if (!gate.Enter(std::string(kLarge, 'x'), [&](const std::string&) { ++begun; })) ++refused;
  }
  BOOST_TEST(begun == 1);
  BOOST_TEST(refused == 5);  // Six wait.
  for (int number = 0; number < 7; ++number) gate.Leave(kLarge);
  BOOST_TEST(begun == 7);
  BOOST_TEST(gate.Enter("small", [&](const std::string&) { ++begun; }));
  BOOST_TEST(begun == 8);
}

BOOST_AUTO_TEST_CASE(all_stores_lose_power_and_one_its_disk_too) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    StoreWorld world(seed, 3);
    Clients clients(world);
    SubmitJobs(world, clients, 5, 3);
    while (!clients.AllAcknowledged()) world.RunFor(milliseconds(1));
    world.RunFor(milliseconds(world.Draw(2000)));
    const auto wiped = static_cast<std::uint32_t>(world.Draw(3));
    for (std::uint32_t number = 0; number < 3; ++number) world.Kill(number);
    world.Wipe(wiped);
    world.RunFor(milliseconds(500));
    for (std::uint32_t number = 0; number < 3; ++number) world.Start(number);
    CheckAllDone(world, clients);
  }
}

BOOST_AUTO_TEST_CASE(a_store_retires_while_items_run) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    StoreWorld world(seed, 4);
    Clients clients(world);
    SubmitJobs(world, clients, 5, 4);
    world.RunFor(milliseconds(500));
    const auto retired = world.StoreAt(world.RowOf(world.promises.at("job-0").submit.job).primary);
    world.machines[*retired]->retiring = true;
    const std::string disk = world.machines[*retired]->known_disk;
    const auto names_it = [&] {
      return std::any_of(world.rows().begin(), world.rows().end(),
                         [&](const auto& row) { return cluster::Names(row, disk); });
    };
    for (int waited = 0; waited < 100 && names_it(); ++waited) world.RunFor(milliseconds(100));
    BOOST_TEST(!names_it(), "the store was not emptied");
    world.Wipe(*retired);  // Taken away, disk and all.
    CheckAllDone(world, clients);
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_on_long_after_an_acknowledged_end) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    StoreWorld world(seed, 3);
    Clients clients(world);
    SubmitJobs(world, clients, 8, 10);
    world.RunFor(milliseconds(400));
    for (int number = 0; number < 4; ++number) clients.End("job-" + std::to_string(number));
    CheckAllDone(world, clients);
  }
}

BOOST_AUTO_TEST_CASE(rows_stand_still_in_calm) {
  for (std::uint32_t stores = 2; stores <= 6; ++stores) {
    StoreWorld world(stores, stores);
    world.RunFor(seconds(20));
    std::vector<std::uint64_t> before;
    for (const auto& row : world.rows()) before.push_back(row.epoch);
    world.RunFor(seconds(10));
    std::vector<std::uint64_t> after;
    for (const auto& row : world.rows()) after.push_back(row.epoch);
    BOOST_TEST(before == after, boost::test_tools::per_element());
  }
}

}  // namespace
}  // namespace shelflink::batch
