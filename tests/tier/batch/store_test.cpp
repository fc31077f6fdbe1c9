// The store's service on the virtual network: what clients were told holds through kills, losses of
// power and disks, freezes and cuts, as far as the tolerance goes.
#define BOOST_TEST_MODULE store
#include <boost/test/unit_test.hpp>

#include "batch/store_world.h"

namespace shelflink::batch {
namespace {

using std::chrono::seconds;

// Clients of the world: they send, read and end jobs, again and again until told, and note what was
// broken.
class Clients {
 public:
  explicit Clients(StoreWorld& world) : world_(world) {}

  std::string SubmitJob(const std::string& id, std::uint64_t items, const std::string& content) {
    Promise& promise = world_.promises[id];
    promise.submit = MakeSubmit(id, items, content);
    Send(id);
    return id;
  }
  // Until accepted, at any proxy.
  void Send(const std::string& id) {
    const Promise& promise = world_.promises.at(id);
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kSubmit, promise.submit.job, Encode(promise.submit),
                  [this, id](const Result<std::string>& result) { OnSubmitAnswer(id, result); });
  }
  void End(const std::string& id) {
    Promise& promise = world_.promises.at(id);
    promise.end_asked = true;
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kEnd, promise.submit.job, Encode(promise.submit.job),
                  [this, id](const Result<std::string>& result) {
                    Promise& ended = world_.promises.at(id);
                    if (result) {
                      if (!ended.end_acknowledged) ended.end_acknowledged = world_.net.Now();
                    } else {
                      Again([this, id] { End(id); });
                    }
                  });
  }
  void ReadJob(const std::string& id, milliseconds wait) {
    const Promise& promise = world_.promises.at(id);
    Read read;
    read.job = promise.submit.job;
    read.after = promise.read.empty() ? 0 : world_.Draw(promise.read.size() + 1);
    read.wait = wait;
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kRead, promise.submit.job, Encode(read),
                  [this, id, read](const Result<std::string>& result) {
                    OnReadAnswer(id, read.after, result);
                  });
  }
  void AskBody(const std::string& id, std::size_t index) {
    const Promise& promise = world_.promises.at(id);
    const ItemRef item{promise.submit.job, promise.submit.items[index].id};
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kBody, item.job, Encode(item),
                  [this, id, index](const Result<std::string>& result) {
                    const Promise& asked = world_.promises.at(id);
                    if (result && result.value() != asked.submit.items[index].body) {
                      world_.broken.push_back("a body comes with other bytes: " + id);
                    }
                  });
  }
  bool AllAcknowledged() const {
    return std::all_of(world_.promises.begin(), world_.promises.end(),
                       [](const auto& entry) { return entry.second.acknowledged; });
  }

 private:
  void Again(std::function<void()> step) {
    world_.net.At(world_.net.Now() + milliseconds(200), std::move(step));
  }

  static Submit MakeSubmit(const std::string& id, std::uint64_t items, const std::string& content) {
    Submit submit;
    submit.job.tenant = "tenant-" + std::to_string(StableHash(id) % 7);
    submit.job.host = "host";
    submit.job.job = id;
    submit.job.partition = PartitionOf(submit.job.tenant, submit.job.host, kTestPartitions);
    submit.route = "route";
    submit.run_aim = seconds(8);
    submit.keep = seconds(1000);
    submit.max_attempts = 3;
    for (std::uint64_t index = 0; index < items; ++index) {
      Item item;
      item.id = id + "-" + std::to_string(index);
      item.path = "/path/" + item.id;
      item.body = content + item.id + std::string(200, 'b');
      item.tokens = 50 + index;
      submit.items.push_back(std::move(item));
    }
    return submit;
  }

  void OnSubmitAnswer(const std::string& id, const Result<std::string>& result) {
    if (!result) {
      Again([this, id] { Send(id); });
      return;
    }
    const Result<SubmitAnswer> answer = Decode<SubmitAnswer>(result.value());
    if (answer && answer.value().outcome == SubmitOutcome::kAccepted) {
      world_.promises.at(id).acknowledged = true;
    } else {
      world_.broken.push_back("a job that fits is refused: " + id);
    }
  }

  void OnReadAnswer(const std::string& id, std::uint64_t after, const Result<std::string>& result) {
    Promise& promise = world_.promises.at(id);
    if (!result) {
      if (promise.acknowledged && result.error().code == ErrorCode::kNotFound) {
        world_.broken.push_back("an accepted job is not found: " + id);
      }
      return;
    }
    const Result<ReadAnswer> answer = Decode<ReadAnswer>(result.value());
    if (!answer || answer.value().total != promise.submit.items.size()) {
      world_.broken.push_back("a job tells another total: " + id);
      return;
    }
    std::size_t position = after;
    for (const ItemResult& one : answer.value().results) CheckResult(promise, position++, one);
  }

  void CheckResult(Promise& promise, std::size_t position, const ItemResult& result) {
    if (position < promise.read.size()) {
      const ItemResult& before = promise.read[position];
      if (before.id != result.id || before.state != result.state || before.text != result.text) {
        world_.broken.push_back("a position holds another result than before");
      }
      return;
    }
    const bool whole = result.state == ResultState::kCompleted;
    if (whole && result.text != WholeOutput(result.id)) {
      world_.broken.push_back("a completed text is not the whole output: " + result.text);
    }
    if (!whole && !promise.end_asked) world_.broken.push_back("a dead letter without a reason");
    for (const ItemResult& other : promise.read) {
      if (other.id == result.id) world_.broken.push_back("an item stands at two positions");
    }
    promise.read.push_back(result);
  }

  StoreWorld& world_;
};

// Reads everything once all is calm; what of the promises does not hold then or did not before.
std::vector<std::string> BrokenPromises(StoreWorld& world, Clients& clients) {
  for (int round = 0; round < 60; ++round) {
    for (const auto& [id, promise] : world.promises) clients.ReadJob(id, milliseconds(0));
    world.RunFor(seconds(1));
    const bool done =
        std::all_of(world.promises.begin(), world.promises.end(), [](const auto& entry) {
          return entry.second.end_asked ||
                 entry.second.read.size() == entry.second.submit.items.size();
        });
    if (done && clients.AllAcknowledged()) break;
  }
  std::vector<std::string> broken = world.broken;
  for (const auto& [id, promise] : world.promises) {
    if (!promise.acknowledged) broken.push_back(id + " was never accepted");
    if (promise.end_asked || promise.read.size() == promise.submit.items.size()) continue;
    broken.push_back(id + ": " + std::to_string(promise.read.size()) + " results of " +
                     std::to_string(promise.submit.items.size()));
  }
  if (world.data_lost() > 0) broken.push_back("a partition was given up");
  return broken;
}

void CheckAllDone(StoreWorld& world, Clients& clients) {
  const std::vector<std::string> broken = BrokenPromises(world, clients);
  for (const std::string& one : broken) BOOST_TEST_MESSAGE(one);
  BOOST_TEST(broken.empty());
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
    world.RunFor(seconds(1));
    for (int number = 0; number < 5; ++number) {
      clients.SubmitJob("job-" + std::to_string(number), 3, "a");
    }
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
    world.RunFor(seconds(1));
    for (int number = 0; number < 5; ++number) {
      clients.SubmitJob("job-" + std::to_string(number), 3, "a");
    }
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
    world.RunFor(seconds(1));
    for (int number = 0; number < 5; ++number) {
      clients.SubmitJob("job-" + std::to_string(number), 4, "a");
    }
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
    world.RunFor(seconds(1));
    for (int number = 0; number < 8; ++number) {
      clients.SubmitJob("job-" + std::to_string(number), 10, "a");
    }
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

// Faults of one store at a time, as the tolerance is, between jobs that come all the time.
void PlayFaults(std::uint64_t seed) {
  StoreWorld world(seed, 4);
  Clients clients(world);
  world.RunFor(seconds(1));
  int jobs = 0;
  const auto live_for = [&](milliseconds span) {
    for (milliseconds passed{0}; passed < span; passed += milliseconds(100)) {
      if (world.Draw(3) == 0 && jobs < 60) {
        clients.SubmitJob("job-" + std::to_string(jobs++), 1 + world.Draw(5), "a");
      }
      if (jobs > 0) {
        const std::string id =
            "job-" + std::to_string(world.Draw(static_cast<std::uint64_t>(jobs)));
        clients.ReadJob(id, milliseconds(world.Draw(2) * 500));
        if (world.Draw(10) == 0) clients.AskBody(id, 0);
        if (world.Draw(40) == 0) clients.End(id);
      }
      world.RunFor(milliseconds(100));
    }
  };
  for (int fault = 0; fault < 3; ++fault) {
    live_for(milliseconds(500 + world.Draw(2000)));
    const auto victim = static_cast<std::uint32_t>(world.Draw(4));
    const milliseconds span(100 + world.Draw(4000));
    switch (world.Draw(5)) {
      case 0:
        world.Kill(victim);
        live_for(span);
        world.Start(victim);
        break;
      case 1:
        world.Wipe(victim);
        live_for(span);
        world.Start(victim);
        break;
      case 2:
        world.Pause(victim, true);
        live_for(span);
        world.Pause(victim, false);
        break;
      case 3:
        world.Cut(victim, true);
        live_for(span);
        world.Cut(victim, false);
        break;
      default:
        for (std::uint32_t number = 0; number < 4; ++number) world.Kill(number);
        world.RunFor(milliseconds(300));
        for (std::uint32_t number = 0; number < 4; ++number) world.Start(number);
        break;
    }
    // The tolerance has no room for another loss before this one is made good.
    for (int waited = 0; waited < 52; ++waited) live_for(milliseconds(100));
  }
  CheckAllDone(world, clients);
  for (const auto& row : world.rows()) {
    BOOST_TEST(row.epoch < 100U, "a row changed " << row.epoch << " times");
  }
}

BOOST_AUTO_TEST_CASE(promises_hold_through_faults_of_one_store_at_a_time) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) { PlayFaults(seed); }
  }
}

}  // namespace
}  // namespace shelflink::batch
