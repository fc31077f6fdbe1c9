// A learner on a real file: the stored state is complete when the file is opened again, whatever
// the learner received between two syncs.
#define BOOST_TEST_MODULE tier_learner_file
#include <boost/test/unit_test.hpp>

#include "storage/storage_folder.h"
#include "tier/coordination/catch_up.h"
#include "tier/coordination/replica.h"

namespace shelflink::coordination {
namespace {

constexpr int kEntries = 60;

// Two entries with many small values, as of placements and batch jobs, then one with a large value.
std::vector<Write> WritesOf(int number) {
  std::vector<Write> writes;
  const int count = number % 3 == 0 ? 1 : 40 + 7 * (number % 11);
  for (int i = 0; i < count; ++i) {
    writes.push_back({"k" + std::to_string(i), std::string(number % 3 == 0 ? 20000 : 300, 'v')});
  }
  return writes;
}

BOOST_AUTO_TEST_CASE(the_state_of_a_learner_is_complete_after_reopening_its_file) {
  const storage::Folder folder;
  storage::StepLoop loop;
  int reopened_empty = 0;
  int syncs = 0;
  {
    auto opened = storage::LmdbStorage::Open(loop, folder.Options(64U << 20));
    BOOST_REQUIRE(opened.has_value());
    storage::Storage& disk = *opened.value();
    disk.Apply(storage::Batch().Put("identity", "b"));
    Replica::Options options;
    options.disk = "b";
    options.prefix = "core/";
    Replica replica(options, disk);
    Ticket ticket = 0;
    ReplicaOutput out;
    const auto run = [&](const auto& event) {
      Step step{net::Time(std::chrono::seconds(10)), disk, ++ticket, false};
      event(step);
    };
    run([&](Step& step) { replica.Assign(step, out, {1, "a", {"a"}}, false); });
    run([&](Step& step) { replica.CatchUp(step, out); });
    const auto request = std::get<CatchUpRequest>(out.messages.back().second);
    CatchUpReply reply;
    reply.epoch = 1;
    reply.session = request.session;
    reply.start = true;
    reply.digests = SplitDigests(PrefixView(disk, "none/"), {}, {});
    run([&](Step& step) { replica.OnMessage(step, out, "a", reply); });
    BOOST_REQUIRE(replica.complete());
    Position last;
    for (int number = 0; number < kEntries; ++number) {
      // An entry and the notice that it is committed are processed in one turn of the loop.
      Append append{1, last, {{{1, last.sequence + 1}, WritesOf(number)}}, last.sequence};
      run([&](Step& step) { replica.OnMessage(step, out, "a", append); });
      last = append.entries.front().position;
      run([&](Step& step) {
        replica.OnMessage(step, out, "a", Append{1, last, {}, last.sequence});
      });
      disk.Sync([&](const Result<void>& result) { syncs += result.has_value() ? 1 : 0; });
      loop.Run();
      // A copy of the file as a crash at this point would leave it.
      const auto copy = folder.path / "copy";
      std::filesystem::remove_all(copy);
      std::filesystem::remove_all(folder.path / "copy.damaged");
      std::filesystem::copy(folder.path / "core", copy);
      const auto again = storage::LmdbStorage::Open(loop, {copy.string(), 64U << 20, true});
      BOOST_REQUIRE(again.has_value());
      if (!again.value()->Get("identity")) ++reopened_empty;
    }
  }
  BOOST_TEST(syncs == kEntries);
  BOOST_TEST(reopened_empty == 0);
}

}  // namespace
}  // namespace shelflink::coordination
