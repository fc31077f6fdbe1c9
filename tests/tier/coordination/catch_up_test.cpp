// Catch-up of a replica that missed hundreds of changes: its cost on slow links and slow disks,
// that it always ends, and that outdated state is never used.
//
//   tier_catch_up_test --run_test=table   prints the table of docs/measured/catch-up.md
#define BOOST_TEST_MODULE coordination_catch_up
#include "tier/coordination/catch_up.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <iostream>

#include "coordination/replica_site.h"
#include "emulator/random.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::coordination {
namespace {

using std::chrono::seconds;

constexpr std::size_t kDocumentBytes = 100'000;
constexpr std::size_t kKeptRecords = 64;  // Changes that are kept, as one short record each.
constexpr std::uint64_t kCoreMapBytes = 32U << 20;  // The share of the core in a disk of 64 MB.

std::string Bytes(shelflab::Random& random, std::size_t count) {
  std::string bytes(count, '\0');
  for (char& byte : bytes) byte = static_cast<char>('a' + random.Below(26));
  return bytes;
}

// Changes of one document and of records of the most recent changes, as in the map of the core.
class Changes {
 public:
  Changes(std::uint64_t seed, std::size_t bytes) : random_(seed), bytes_(bytes) {}
  std::vector<Write> Next() {
    ++count_;
    std::vector<Write> writes{{"document", Document()}, {KeyOf(count_), "taken"}};
    if (count_ > kKeptRecords) writes.push_back({KeyOf(count_ - kKeptRecords), std::nullopt});
    return writes;
  }
  std::size_t count() const { return count_; }

 private:
  // Only the beginning and the length vary. Drawing all of the text for each change would be slow.
  std::string Document() {
    if (text_.empty()) text_ = Bytes(random_, bytes_ + bytes_ / 4);
    const std::string head = std::to_string(count_) + " ";
    return head + text_.substr(0, bytes_ - bytes_ / 4 + random_.Below(bytes_ / 2 + 1));
  }
  static std::string KeyOf(std::size_t number) {
    const std::string digits = std::to_string(number);
    return "taken/" + std::string(8 - digits.size(), '0') + digits;
  }

  shelflab::Random random_;
  std::size_t bytes_;
  std::size_t count_ = 0;
  std::string text_;
};

// Makes `count` changes with at most `window` in flight.
void RunChanges(ReplicaSite& site, Changes& changes, std::size_t count, std::size_t window = 1) {
  const std::size_t end = changes.count() + count;
  const bool completed = site.RunUntil(
      [&] { return changes.count() >= end && site.open_changes() == 0; }, seconds(100'000),
      [&] {
        while (changes.count() < end && site.open_changes() < window) {
          if (!site.Change(changes.Next())) return;
        }
      });
  BOOST_REQUIRE(completed);
}

struct TemporaryFolder {
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "catchupXXXXXX").string();
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path = pattern;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  ReplicaSite::OpenStorage Open(std::uint64_t bytes_limit) const {
    return [this, bytes_limit](net::Loop& loop, const std::string& disk) {
      storage::LmdbStorage::Options options;
      options.folder = (path / disk).string();
      options.bytes_limit = bytes_limit;
      auto opened = storage::LmdbStorage::Open(loop, options);
      BOOST_REQUIRE(opened.has_value());
      return std::unique_ptr<storage::Storage>(std::move(opened).value());
    };
  }
  std::filesystem::path path;
};

enum class Away : std::uint8_t { kAll, kHalf, kRecent };
constexpr std::size_t kRecentChanges = 20;

struct CatchUpCost {
  net::Span duration{};
  Traffic traffic;
  std::uint64_t state_bytes = 0;
  std::uint64_t disk_bytes = 0;
};

// Measures the catch-up of replica `c`, which is stopped during part of the changes.
CatchUpCost MeasureCatchUp(ReplicaSite& site, std::size_t count, std::size_t bytes, Away away) {
  Changes changes(count, bytes);
  const std::size_t missed = away == Away::kAll    ? count
                             : away == Away::kHalf ? count / 2
                                                   : kRecentChanges;
  RunChanges(site, changes, count - missed);
  site.Stop("c");
  site.Assign("a", {"a", "b"});
  RunChanges(site, changes, missed);
  site.traffic.clear();
  site.Start("c");
  site.Invite("c");
  const net::Time before = site.now();
  BOOST_REQUIRE(site.RunUntil([&] { return site.Names("c"); }, seconds(60)));
  CatchUpCost cost{site.now() - before, site.traffic["c"], site.StateBytes("a"),
                   site.At("c").storage->usage().bytes_used};
  site.Run(seconds(1));
  BOOST_TEST(site.SameMap("a", "c"));
  BOOST_TEST(site.At("c").told == site.At("a").told, "the owner of c has a different map");
  return cost;
}

// ---- Cost.

BOOST_AUTO_TEST_CASE(cost_depends_on_the_state_and_not_on_the_number_of_changes) {
  for (const std::size_t bytes : {std::size_t{200}, kDocumentBytes}) {
    for (const Away away : {Away::kAll, Away::kHalf, Away::kRecent}) {
      net::Span shortest = net::Span::max();
      net::Span longest{};
      for (const std::size_t count : {100U, 400U, 1000U}) {
        if (bytes == kDocumentBytes && count == 1000U)
          continue;  // Covered by disk_use_stays_bounded.
        ReplicaSite site({"a", "b", "c"});
        const CatchUpCost cost = MeasureCatchUp(site, count, bytes, away);
        BOOST_TEST(cost.traffic.copied <= cost.state_bytes + (64U << 10));
        BOOST_TEST(cost.traffic.appended <= kDocumentBytes + (16U << 10));
        shortest = std::min(shortest, cost.duration);
        longest = std::max(longest, cost.duration);
      }
      BOOST_TEST((longest <= shortest + milliseconds(400)));  // May differ by one invitation.
    }
  }
}

// Changes as in a partition of the batch store: each job is accepted with its body, then the body
// is replaced by a result, and later the job is removed. Some hundred jobs are stored at any time.
class JobChanges {
 public:
  explicit JobChanges(std::uint64_t seed) : random_(seed) {}
  std::vector<Write> Next() {
    const std::size_t at = count_++ / 3;
    switch (count_ % 3) {
      case 1:
        return {{Key("job", at), "accepted"}, {Key("item", at), Bytes(random_, 500)}};
      case 2:
        if (at < kRunning) return {{Key("count", 0), "none"}};
        return {{Key("item", at - kRunning), std::nullopt},
                {Key("result", at - kRunning), Bytes(random_, 300)}};
      default:
        if (at < kKept) return {{Key("count", 0), "none"}};
        return {{Key("job", at - kKept), std::nullopt}, {Key("result", at - kKept), std::nullopt}};
    }
  }
  std::size_t count() const { return count_; }

 private:
  static constexpr std::size_t kRunning = 40;
  static constexpr std::size_t kKept = 400;
  static std::string Key(const std::string& kind, std::size_t number) {
    const std::string digits = std::to_string(number);
    return kind + "/" + std::string(8 - digits.size(), '0') + digits;
  }

  shelflab::Random random_;
  std::size_t count_ = 0;
};

void RunJobChanges(ReplicaSite& site, JobChanges& jobs, std::size_t changes) {
  constexpr std::size_t kWindow = 32;
  const std::size_t end = jobs.count() + changes;
  const bool completed = site.RunUntil(
      [&] { return jobs.count() >= end && site.open_changes() == 0; }, seconds(100'000),
      [&] {
        while (jobs.count() < end && site.open_changes() < kWindow) {
          if (!site.Change(jobs.Next())) return;
        }
      });
  BOOST_REQUIRE(completed);
}

BOOST_AUTO_TEST_CASE(a_replica_that_missed_a_day_of_jobs_copies_only_what_is_kept) {
  for (const std::size_t missed : {600U, 6000U, 30'000U}) {
    ReplicaSite site({"a", "b", "c"});
    JobChanges jobs(missed);
    RunJobChanges(site, jobs, 3000);
    site.Stop("c", missed % 5);
    site.Assign("a", {"a", "b"});
    RunJobChanges(site, jobs, missed);
    site.traffic.clear();
    site.Start("c");
    site.Invite("c");
    const net::Time before = site.now();
    BOOST_REQUIRE(site.RunUntil([&] { return site.Names("c"); }, seconds(20),
                                [&] {
                                  if (site.open_changes() < 8) site.Change(jobs.Next());
                                }));
    const Traffic& traffic = site.traffic["c"];
    BOOST_TEST_MESSAGE(missed << " changes missed: named after "
                              << (site.now() - before) / milliseconds(1) << " ms, copied "
                              << traffic.copied << " of " << site.StateBytes("a")
                              << ", most in transit " << traffic.most_on_the_way);
    BOOST_TEST(traffic.copied <= site.StateBytes("a") * 5 / 4 + (64U << 10));
    BOOST_TEST((site.now() - before <= seconds(3)));
    site.Run(seconds(1));
    BOOST_TEST(site.SameMap("a", "c"));
  }
}

// The table of docs/measured/catch-up.md.
BOOST_AUTO_TEST_CASE(table, *boost::unit_test::disabled()) {
  std::cout
      << "| document | changes | away for | state | copied | streamed | waiting | named after "
         "|\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const std::size_t bytes : {std::size_t{200}, kDocumentBytes}) {
    for (const std::size_t count : {200U, 2000U}) {
      for (const Away away : {Away::kAll, Away::kHalf, Away::kRecent}) {
        ReplicaSite site({"a", "b", "c"});
        const CatchUpCost cost = MeasureCatchUp(site, count, bytes, away);
        const char* const names[] = {"all", "half", "last 20"};
        std::cout << "| " << bytes << " B | " << count << " | "
                  << names[static_cast<std::size_t>(away)] << " | " << cost.state_bytes << " B | "
                  << cost.traffic.copied << " B | " << cost.traffic.appended << " B | "
                  << cost.traffic.most_on_the_way << " B | " << cost.duration / milliseconds(1)
                  << " ms |" << std::endl;
      }
    }
  }
}

// 2,000 changes of 100 KB each on a disk of 64 MB, half of which the core may use.
BOOST_AUTO_TEST_CASE(disk_use_stays_bounded) {
  const TemporaryFolder folder;
  ReplicaSite site({"a", "b", "c"}, {}, folder.Open(kCoreMapBytes));
  const CatchUpCost cost = MeasureCatchUp(site, 2000, kDocumentBytes, Away::kHalf);
  BOOST_TEST(cost.state_bytes < 2 * kDocumentBytes);
  for (const char* const name : {"a", "b", "c"}) {
    BOOST_TEST(site.At(name).storage->usage().bytes_used <= 16 * kDocumentBytes);
    const auto file = std::filesystem::file_size(folder.path / name / "data.mdb");
    BOOST_TEST_MESSAGE(name << ": file of " << file << " bytes");
    BOOST_TEST(file <= 20 * kDocumentBytes);
  }
}

// A disk that is half full of old state has space for new state of the same size that replaces it.
BOOST_AUTO_TEST_CASE(space_of_old_state_is_reused_for_its_replacement) {
  const TemporaryFolder folder;
  constexpr std::size_t kDocuments = kCoreMapBytes * 6 / 10 / kDocumentBytes;
  ReplicaSite site({"a", "b", "c"}, {}, folder.Open(kCoreMapBytes));
  const auto fill = [&](const std::string& text) {
    for (std::size_t i = 0; i < kDocuments; ++i) {
      BOOST_REQUIRE(site.Change(
          {{"document/" + std::to_string(i), text + std::string(kDocumentBytes, text.front())}}));
      BOOST_REQUIRE(site.RunUntil([&] { return site.open_changes() == 0; }, seconds(5)));
    }
  };
  fill("old");
  site.Stop("c");
  site.Assign("a", {"a", "b"});
  fill("new");
  site.Start("c");
  site.Invite("c");
  BOOST_TEST(site.RunUntil([&] { return site.Names("c"); }, seconds(60)));
  BOOST_TEST(site.SameMap("a", "c"));
}

// ---- Termination.

// A learner whose disk or link is slower than those of the replicas would never have the newest
// change unless commits wait for it.
BOOST_AUTO_TEST_CASE(catch_up_ends_under_continuous_writes) {
  for (const std::size_t window : {1U, 8U}) {
    for (const int delay_ms : {0, 10, 40}) {
      ReplicaSite site({"a", "b", "c"});
      site.checks_maps = true;
      Changes changes(window, 2000);
      RunChanges(site, changes, 50, window);
      site.Stop("c");
      site.Assign("a", {"a", "b"});
      RunChanges(site, changes, 100, window);
      site.acknowledged = {};
      site.Start("c");
      site.At("c").slower = milliseconds(delay_ms);
      site.Invite("c");
      const net::Time before = site.now();
      BOOST_TEST(site.RunUntil([&] { return site.Names("c"); }, seconds(20),
                               [&] {
                                 while (site.open_changes() < window) site.Change(changes.Next());
                               }));
      BOOST_TEST_MESSAGE("window " << window << ", slower by " << delay_ms << " ms: named after "
                                   << (site.now() - before) / milliseconds(1) << " ms, "
                                   << site.acknowledged.count << " changes meanwhile, the longest "
                                   << site.acknowledged.longest / milliseconds(1) << " ms");
      BOOST_TEST((site.now() - before <= seconds(5)));
      BOOST_TEST((site.acknowledged.longest <= milliseconds(500)));
      RunChanges(site, changes, 10, window);
      site.Run(seconds(1));
      BOOST_TEST(site.SameMap("a", "c"));
    }
  }
}

// Ranges are read at different positions. The owner must receive the map of a single position.
BOOST_AUTO_TEST_CASE(the_map_reported_after_catch_up_is_consistent) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    shelflab::Random random(seed);
    constexpr DigestLimits kManyRanges{64, 256};
    ReplicaSite site({"a", "b", "c"}, {}, nullptr, kManyRanges);
    site.checks_maps = true;  // Throws if a reported map is not that of its position.
    Changes changes(seed, 2000);
    RunChanges(site, changes, 50);
    site.Stop("c");
    site.Assign("a", {"a", "b"});
    RunChanges(site, changes, 50);
    site.Start("c");
    site.At("c").slower = milliseconds(random.Below(30));
    site.Invite("c");
    BOOST_TEST(site.RunUntil([&] { return site.Names("c"); }, seconds(20),
                             [&] {
                               if (site.open_changes() < 4 && random.Below(6) == 0)
                                 site.Change(changes.Next());
                             }));
    site.Run(seconds(1));
    BOOST_TEST(site.SameMap("a", "c"));
  }
}

// Copies the map to an empty disk of `c` over links of the given speeds.
Traffic CopyToEmptyDisk(SiteSpeeds speeds, std::size_t keys, std::size_t value_bytes) {
  ReplicaSite site({"a", "b", "c"}, speeds);
  shelflab::Random random(1);
  constexpr std::size_t kWritesPerChange = 20;
  site.Stop("c");
  site.Assign("a", {"a", "b"});
  for (std::size_t i = 0; i < keys; i += kWritesPerChange) {
    std::vector<Write> writes;
    for (std::size_t j = i; j < i + kWritesPerChange; ++j) {
      writes.push_back({"item/" + std::to_string(j), Bytes(random, value_bytes)});
    }
    BOOST_REQUIRE(site.Change(std::move(writes)));
    BOOST_REQUIRE(site.RunUntil([&] { return site.open_changes() == 0; }, seconds(20)));
  }
  site.At("c").disk.Wipe();
  site.traffic.clear();
  site.Start("c");
  site.Invite("c");
  const net::Time before = site.now();
  BOOST_TEST(site.RunUntil([&] { return site.Names("c"); }, seconds(90)));
  BOOST_TEST(site.SameMap("a", "c"));
  const Traffic& traffic = site.traffic["c"];
  BOOST_TEST_MESSAGE("named after " << (site.now() - before) / milliseconds(1) << " ms, copied "
                                    << traffic.copied << " of " << site.StateBytes("a")
                                    << ", most in transit " << traffic.most_on_the_way);
  BOOST_TEST(traffic.copied <= site.StateBytes("a") * 5 / 4);
  return traffic;
}

// If 16 partitions are copied to an empty disk at once, each has a sixteenth of the link.
BOOST_AUTO_TEST_CASE(catch_up_ends_on_a_slow_link) {
  SiteSpeeds speeds;
  speeds.bytes_per_second = 30'000'000 / 8 / 16;
  const Traffic traffic = CopyToEmptyDisk(speeds, 2000, 3000);
  // Data queued for the link delays acknowledgements.
  BOOST_TEST(traffic.most_on_the_way <= speeds.bytes_per_second);
}

// On this link a write takes longer than the resend interval, and a reply to a learner takes longer
// than the learner's initial timeout.
BOOST_AUTO_TEST_CASE(catch_up_ends_on_a_link_slower_than_its_timeouts) {
  SiteSpeeds speeds;
  speeds.bytes_per_second = 30'000'000 / 8 / 80;
  CopyToEmptyDisk(speeds, 800, 3000);
}

}  // namespace
}  // namespace shelflink::coordination
