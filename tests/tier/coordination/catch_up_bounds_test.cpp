// A step of a catch-up reads a bounded part of the map, on either side, however large the map is
// and whatever differs; the learner has the whole map in the end.
//
//   tier_catch_up_bounds_test --run_test=table   prints the table of docs/measured/catch-up.md
#define BOOST_TEST_MODULE coordination_catch_up_bounds
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <limits>
#include <memory>
#include <utility>

#include "storage/storage_folder.h"
#include "tier/coordination/catch_up.h"
#include "tier/coordination/replica.h"
#include "tier/storage/crash_storage.h"

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKeys = 4000;
constexpr std::size_t kValueBytes = 1000;
constexpr std::string_view kMapPrefix = "p/m";

std::string KeyOf(std::size_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kMapPrefix) + std::string(8 - digits.size(), '0') + digits;
}

// Counts the keys that are visited.
class CountingStorage final : public storage::CrashStorage {
 public:
  using CrashStorage::CrashStorage;
  void Scan(std::string_view prefix, std::string_view from, const Visitor& visitor) const override {
    CrashStorage::Scan(prefix, from, [&](std::string_view key, std::string_view value) {
      ++visited_;
      return visitor(key, value);
    });
  }
  std::size_t TakeVisited() { return std::exchange(visited_, 0); }

 private:
  mutable std::size_t visited_ = 0;
};

Replica::Options SmallSteps(const std::string& disk) {
  Replica::Options options;
  options.disk = disk;
  options.prefix = "p/";
  options.most_copied_bytes = 16 * kValueBytes;
  options.digests = {4 * kValueBytes, 16 * kValueBytes};
  options.most_counted_bytes = 16 * kValueBytes;
  options.most_replaced_bytes = 16 * kValueBytes;
  options.copied_bytes_a_sync = 64 * kValueBytes;
  return options;
}
// Sixteen keys are digested, counted, copied or replaced, some of it in two passes, and the key
// behind each range is looked at.
constexpr std::size_t kMostVisited = 60;

// A replica on a disk of its own; syncs end at once.
struct Site {
  explicit Site(const std::string& name)
      : storage(disk, [](const std::function<void()>& step) { step(); }),
        replica(SmallSteps(name), storage) {}
  template <typename Event>
  void Run(const Event& event) {
    Step step{net::Time(std::chrono::seconds(10)), storage, ++ticket, false};
    storage.TakeVisited();
    event(step);
    most_visited = std::max(most_visited, storage.TakeVisited());
    if (!step.wants_sync) return;
    ++syncs;
    storage.Sync([](const Result<void>&) {});
    Step then{net::Time(std::chrono::seconds(10)), storage, ++ticket, false};
    replica.OnSynced(then, out, ticket);
  }
  void Fill(std::size_t from, std::size_t until, char value) {
    storage::Batch batch;
    for (std::size_t number = from; number < until; ++number) {
      batch.Put(KeyOf(number), std::string(kValueBytes, value));
    }
    if (!batch.empty()) storage.Apply(batch);
  }
  RangeDigest Digest() const { return DigestOf(PrefixView(storage, std::string(kMapPrefix)), {}); }

  storage::CrashDisk disk;
  CountingStorage storage;
  Replica replica;
  ReplicaOutput out;
  Ticket ticket = 0;
  std::size_t most_visited = 0;
  std::size_t syncs = 0;
};

void Carry(Site& from, const std::string& name, Site& to) {
  for (const auto& [disk, message] : std::exchange(from.out.messages, {})) {
    to.Run([&](Step& step) { to.replica.OnMessage(step, to.out, name, message); });
  }
}

// The learner asks for its first digests.
template <typename AnySite>
void Begin(AnySite& primary, AnySite& learner) {
  const Assignment assignment{1, "a", {"a", "c"}};
  primary.Run([&](Step& step) { primary.replica.Found(step); });
  primary.Run([&](Step& step) { primary.replica.Assign(step, primary.out, assignment, true); });
  learner.Run([&](Step& step) { learner.replica.Assign(step, learner.out, assignment, false); });
  learner.Run([&](Step& step) { learner.replica.CatchUp(step, learner.out); });
}

// Plays the messages between the two until there are none.
void CatchUp(Site& primary, Site& learner) {
  Begin(primary, learner);
  while (!primary.out.messages.empty() || !learner.out.messages.empty()) {
    Carry(primary, "a", learner);
    Carry(learner, "b", primary);
  }
}

void CheckCatchUp(Site& primary, Site& learner) {
  CatchUp(primary, learner);
  BOOST_TEST(learner.replica.complete());
  BOOST_TEST(primary.replica.Joined("b"));
  BOOST_TEST(learner.Digest().digest == primary.Digest().digest);
  BOOST_TEST(learner.Digest().keys == primary.Digest().keys);
  BOOST_TEST(primary.most_visited <= kMostVisited);
  BOOST_TEST(learner.most_visited <= kMostVisited);
}

// A store that lost its disk comes back while another holds a large partition.
BOOST_AUTO_TEST_CASE(an_empty_learner_copies_a_large_map_in_bounded_steps) {
  Site primary("a");
  Site learner("b");
  primary.Fill(0, kKeys, 'v');
  CheckCatchUp(primary, learner);
}

BOOST_AUTO_TEST_CASE(a_learner_that_has_all_compares_a_large_map_in_bounded_steps) {
  Site primary("a");
  Site learner("b");
  primary.Fill(0, kKeys, 'v');
  learner.Fill(0, kKeys, 'v');
  CheckCatchUp(primary, learner);
  BOOST_TEST(primary.replica.copied_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_learner_whose_copy_ended_half_way_goes_on_from_there) {
  Site primary("a");
  Site learner("b");
  primary.Fill(0, kKeys, 'v');
  learner.Fill(0, kKeys / 2, 'v');
  CheckCatchUp(primary, learner);
  BOOST_TEST(primary.replica.copied_bytes() <= (kKeys / 2 + 32) * (kValueBytes + 8));
}

BOOST_AUTO_TEST_CASE(one_key_that_differs_is_found_in_a_large_map) {
  for (const std::size_t differs : {std::size_t{0}, kKeys / 3, kKeys - 1}) {
    Site primary("a");
    Site learner("b");
    primary.Fill(0, kKeys, 'v');
    learner.Fill(0, kKeys, 'v');
    learner.Fill(differs, differs + 1, 'w');
    CheckCatchUp(primary, learner);
    BOOST_TEST(primary.replica.copied_bytes() <= 32 * (kValueBytes + 8));
  }
}

BOOST_AUTO_TEST_CASE(a_learner_removes_much_that_the_primary_lacks_in_bounded_steps) {
  for (const std::size_t kept : {std::size_t{0}, std::size_t{1}, kKeys / 2}) {
    Site primary("a");
    Site learner("b");
    primary.Fill(0, kept, 'v');
    learner.Fill(0, kKeys, 'v');
    CheckCatchUp(primary, learner);
  }
}

// A storage reuses the space of what was replaced only once the replacement is durable.
BOOST_AUTO_TEST_CASE(a_learner_replaces_all_values_in_bounded_steps_with_syncs_between) {
  Site primary("a");
  Site learner("b");
  primary.Fill(0, kKeys, 'v');
  learner.Fill(0, kKeys, 'w');
  CheckCatchUp(primary, learner);
  BOOST_TEST(learner.syncs >= kKeys * kValueBytes / (2 * 64 * kValueBytes));
}

// What is left is told once the size of the map is known, and never less than it is.
BOOST_AUTO_TEST_CASE(what_is_left_is_told_once_the_map_has_been_counted) {
  Site primary("a");
  Site learner("b");
  primary.Fill(0, kKeys, 'v');
  const std::uint64_t total = primary.Digest().bytes;
  Begin(primary, learner);
  std::size_t known = 0;
  while (!primary.out.messages.empty() || !learner.out.messages.empty()) {
    Carry(learner, "b", primary);
    for (const LearnerProgress& progress : primary.replica.learners()) {
      if (!progress.bytes_left || primary.replica.Joined("b")) continue;
      ++known;
      BOOST_TEST(*progress.bytes_left + progress.bytes_copied == total);
    }
    Carry(primary, "a", learner);
  }
  BOOST_TEST(known > 0U);
  const std::vector<LearnerProgress> learners = primary.replica.learners();
  BOOST_REQUIRE(learners.size() == 1U);
  BOOST_TEST(learners.front().bytes_left.value() == 0U);
}

// ---- The table.

std::chrono::nanoseconds ProcessorTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

std::unique_ptr<storage::Storage> Open(net::Loop& loop,
                                       const storage::LmdbStorage::Options& options) {
  auto opened = storage::LmdbStorage::Open(loop, options);
  BOOST_REQUIRE(opened.has_value());
  return std::move(opened).value();
}

Replica::Options UsualSteps(const std::string& disk, bool bounded) {
  Replica::Options options;
  options.disk = disk;
  options.prefix = "p/";
  if (!bounded) {
    options.digests.step_bytes = std::numeric_limits<std::size_t>::max();
    options.most_counted_bytes = std::numeric_limits<std::uint32_t>::max();
  }
  return options;
}

// A replica on a real file, and the processor time of its longest step.
struct FileSite {
  FileSite(const std::string& name, bool bounded, std::uint64_t limit)
      : disk(Open(loop, folder.Options(limit))), replica(UsualSteps(name, bounded), *disk) {}
  template <typename Event>
  void Run(const Event& event) {
    Step step{net::Time(std::chrono::seconds(10)), *disk, ++ticket, false};
    const std::chrono::nanoseconds begin = ProcessorTime();
    event(step);
    longest = std::max(longest, ProcessorTime() - begin);
    wants_sync = wants_sync || step.wants_sync;
  }
  void Sync() {
    if (!std::exchange(wants_sync, false)) return;
    disk->Sync([](const Result<void>&) {});
    loop.Run();
    Run([&](Step& step) { replica.OnSynced(step, out, ticket); });
  }

  storage::Folder folder;
  storage::StepLoop loop;
  std::unique_ptr<storage::Storage> disk;
  Replica replica;
  ReplicaOutput out;
  Ticket ticket = 0;
  bool wants_sync = false;
  std::chrono::nanoseconds longest{};
};

void FillFile(FileSite& site, std::size_t total_bytes, std::size_t value_bytes) {
  storage::Batch batch;
  std::size_t bytes = 0;
  for (std::size_t number = 0; number * value_bytes < total_bytes; ++number) {
    batch.Put(KeyOf(number), std::string(value_bytes, 'v'));
    bytes += value_bytes;
    if (bytes < (8U << 20)) continue;
    site.disk->Apply(std::exchange(batch, {}));
    site.disk->Sync([](const Result<void>&) {});
    site.loop.Run();
    bytes = 0;
  }
  if (!batch.empty()) site.disk->Apply(batch);
  BOOST_REQUIRE(!site.disk->failed());
}

void CarryFile(FileSite& from, const std::string& name, FileSite& to) {
  for (const auto& [disk, message] : std::exchange(from.out.messages, {})) {
    const std::string bytes = Encode(AsMessage(message));
    to.Run([&](Step& step) {
      to.replica.OnMessage(step, to.out, name, *AsReplicaMessage(*DecodeMessage(bytes)));
    });
  }
  to.Sync();
}

void PrintRow(std::size_t megabytes, std::size_t value_bytes, bool empty, bool bounded) {
  const std::size_t total = megabytes << 20U;
  const std::uint64_t limit = (2 * total) + (64U << 20);
  FileSite primary("a", bounded, limit);
  FileSite learner("b", bounded, limit);
  FillFile(primary, total, value_bytes);
  if (!empty) FillFile(learner, total, value_bytes);
  const std::chrono::nanoseconds begin = ProcessorTime();
  Begin(primary, learner);
  while (!primary.out.messages.empty() || !learner.out.messages.empty()) {
    CarryFile(primary, "a", learner);
    CarryFile(learner, "b", primary);
  }
  BOOST_TEST(learner.replica.complete());
  std::cout << "| " << megabytes << " MB | " << value_bytes << " B | "
            << (empty ? "empty" : "equal") << " | " << (bounded ? "bounded" : "whole") << " | "
            << primary.longest / milliseconds(1) << " ms | " << learner.longest / milliseconds(1)
            << " ms | " << (ProcessorTime() - begin) / milliseconds(1) << " ms |" << std::endl;
}

BOOST_AUTO_TEST_CASE(table, *boost::unit_test::disabled()) {
  std::cout << "| map | values | learner | digests | longest step of the primary | of the learner "
               "| all |\n| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const std::size_t megabytes : {10U, 100U, 390U, 600U}) {
    for (const std::size_t value_bytes : {std::size_t{1000}, std::size_t{200'000}}) {
      for (const bool empty : {true, false}) {
        PrintRow(megabytes, value_bytes, empty, false);
        PrintRow(megabytes, value_bytes, empty, true);
      }
    }
  }
}

}  // namespace
}  // namespace shelflink::coordination
