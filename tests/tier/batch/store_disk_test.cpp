// Stores on disks that refuse writes, on the virtual network: no process ends, nothing that was
// told is lost, and a store comes back as soon as its disk has room, at any number of such faults.
#define BOOST_TEST_MODULE store_disk
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "batch/store_clients.h"
#include "cluster/rig.h"
#include "storage/storage_folder.h"
#include "tier/batch/store_process.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::batch {
namespace {

constexpr std::uint32_t kHost = 0x0a000101U;
constexpr std::uint32_t kStores = 4;
// As the operators give a machine to take part again.
constexpr milliseconds kRecovery{5200};

// --- The keeper alone ---------------------------------------------------------------------------

struct KeptDisk {
  KeptDisk() {
    disk_keeper = std::make_unique<StoreDisk>(
        loop, [this] { return Open(); }, WorkHere());
  }
  ~KeptDisk() {
    disk_keeper.reset();
    loop.Kill();
    net.Clear();
  }

  std::unique_ptr<storage::Storage> Open() {
    ++openings;
    return std::make_unique<storage::CrashStorage>(
        disk, [this](std::function<void()> step) { later.Run(kSyncTakes, std::move(step)); });
  }
  StoreDisk::Work WorkHere() {
    StoreDisk::Work work;
    work.start = [this](storage::Storage& opened) {
      if (listener_fails) throw net::Error(net::Fault::kOther, "listen: in use");
      storage = &opened;
    };
    work.leave = [this](std::function<void()> done) {
      ++leaves;
      if (core_answers) return done();
      left = std::move(done);
    };
    work.stop = [this] { storage = nullptr; };
    work.wait = [this](const storage::Storage& refusing) {
      BOOST_TEST(refusing.failed());
      BOOST_TEST((storage == nullptr && !waits));
      if (listener_fails) throw net::Error(net::Fault::kOther, "listen: in use");
      waits = true;
      ++waited;
    };
    work.end_wait = [this] { waits = false; };
    return work;
  }
  void Write() {
    storage::Batch batch;
    batch.Put("key", "value");
    storage->Apply(batch);
  }
  void RunFor(net::Span span) { net.RunUntil(net.Now() + span); }

  net::VirtualNet net{1};
  net::VirtualProcess loop{net, kHost, "store", 10};
  storage::CrashDisk disk;
  Later later{loop};
  storage::Storage* storage = nullptr;  // While there is work on it.
  bool core_answers = true;
  bool listener_fails = false;
  int openings = 0;
  int leaves = 0;
  bool waits = false;  // For room, with others told so.
  int waited = 0;      // How often.
  std::function<void()> left;
  std::unique_ptr<StoreDisk> disk_keeper;
};

BOOST_AUTO_TEST_CASE(work_starts_on_a_disk_that_takes_writes) {
  KeptDisk kept;
  kept.RunFor(milliseconds(50));
  BOOST_TEST(kept.disk_keeper->is_working());
  BOOST_TEST(kept.storage != nullptr);
  BOOST_TEST(kept.disk.unsynced() == 0U);
}

BOOST_AUTO_TEST_CASE(a_disk_that_cannot_be_opened_is_tried_again_at_least_each_second) {
  for (const storage::Failure failure : {storage::Failure::kFull, storage::Failure::kFatal}) {
    KeptDisk kept;
    kept.disk.FailFrom(1, 1'000'000, failure);
    kept.RunFor(seconds(30));
    BOOST_TEST(!kept.disk_keeper->is_working());
    BOOST_TEST(kept.openings == 1);
    BOOST_TEST(kept.disk_keeper->looks() >= 30U);
    BOOST_TEST(kept.disk_keeper->looks() <= 35U);
    kept.disk.FailFrom(0, 0, storage::Failure::kNone);
    kept.RunFor(milliseconds(1010));
    BOOST_TEST(kept.disk_keeper->is_working());
  }
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_looked_at_at_least_each_second_and_moves_nothing) {
  KeptDisk kept;
  kept.disk.SetFull(true);
  kept.RunFor(seconds(30));
  BOOST_TEST(kept.disk_keeper->looks() >= 30U);
  BOOST_TEST(kept.disk_keeper->looks() <= 35U);
  BOOST_TEST(kept.disk_keeper->starts() == 0U);
  kept.disk.SetFull(false);
  kept.RunFor(milliseconds(1010));
  BOOST_TEST(kept.disk_keeper->is_working());
}

BOOST_AUTO_TEST_CASE(a_listener_that_fails_after_a_return_ends_nothing_and_is_tried_each_second) {
  KeptDisk kept;
  kept.RunFor(seconds(1));
  BOOST_REQUIRE(kept.disk_keeper->is_working());
  kept.disk.SetFull(true);
  kept.Write();
  kept.RunFor(milliseconds(150));
  kept.disk.SetFull(false);
  kept.listener_fails = true;
  BOOST_CHECK_NO_THROW(kept.RunFor(seconds(30)));
  BOOST_TEST(!kept.disk_keeper->is_working());
  BOOST_TEST(kept.disk_keeper->starts() == 1U);
  kept.listener_fails = false;
  kept.RunFor(seconds(2));
  BOOST_TEST(kept.disk_keeper->is_working());
  BOOST_TEST(kept.storage != nullptr);
}

// An address that cannot be used at all is a fault of the settings.
BOOST_AUTO_TEST_CASE(a_listener_that_fails_at_the_first_start_is_told) {
  KeptDisk kept;
  kept.listener_fails = true;
  BOOST_CHECK_THROW(kept.RunFor(seconds(1)), net::Error);
}

BOOST_AUTO_TEST_CASE(work_on_a_disk_that_failed_ends_at_once_and_begins_again_with_room) {
  KeptDisk kept;
  kept.RunFor(seconds(1));
  for (int round = 0; round < 20; ++round) {
    kept.disk.SetFull(true);
    kept.Write();
    kept.RunFor(milliseconds(150));
    BOOST_TEST(!kept.disk_keeper->is_working());
    BOOST_TEST(kept.leaves == round + 1);
    BOOST_TEST(kept.storage == nullptr);
    kept.RunFor(seconds(4));
    BOOST_TEST(kept.waits);
    BOOST_TEST(kept.waited == round + 1);
    kept.disk.SetFull(false);
    // A pause between looks, and at most the longest time of proof.
    kept.RunFor(StoreDisk::kLongestPause + StoreDisk::kLongestProbation + milliseconds(150));
    BOOST_TEST(kept.disk_keeper->is_working());
    BOOST_TEST(!kept.waits);
  }
}

// Room for the probe and no more: each return would move partitions.
BOOST_AUTO_TEST_CASE(a_disk_that_fails_soon_after_each_return_comes_back_ever_more_seldom) {
  KeptDisk kept;
  std::uint64_t starts = 0;
  for (int step = 0; step < 60000; ++step) {
    if (kept.disk_keeper->starts() > starts && kept.storage != nullptr) {
      starts = kept.disk_keeper->starts();
      kept.disk.SetFull(true);
      kept.Write();
      kept.disk.SetFull(false);
    }
    kept.RunFor(milliseconds(1));
  }
  BOOST_TEST(starts >= 20U);
  BOOST_TEST(starts <= 32U);  // Some two seconds each, after the first few.
}

BOOST_AUTO_TEST_CASE(a_disk_that_was_steady_comes_back_at_the_first_look) {
  KeptDisk kept;
  kept.RunFor(StoreDisk::kSteady + seconds(1));
  kept.disk.SetFull(true);
  kept.Write();
  kept.disk.SetFull(false);
  kept.RunFor(StoreDisk::kDiskCheck + StoreDisk::kFirstPause + milliseconds(10));
  BOOST_TEST(kept.disk_keeper->is_working());
}

BOOST_AUTO_TEST_CASE(a_stalled_disk_is_waited_for) {
  KeptDisk kept;
  kept.disk.SetStalled(true);
  kept.RunFor(seconds(5));
  BOOST_TEST(!kept.disk_keeper->is_working());
  kept.disk.SetStalled(false);
  kept.RunFor(milliseconds(50));
  BOOST_TEST(kept.disk_keeper->is_working());
}

BOOST_AUTO_TEST_CASE(it_leaves_in_order_whatever_the_disk_does) {
  for (const bool full : {false, true}) {
    KeptDisk kept;
    kept.disk.SetFull(full);
    kept.RunFor(seconds(1));
    bool ended = false;
    kept.disk_keeper->Leave([&] { ended = true; });
    kept.RunFor(milliseconds(10));
    BOOST_TEST(ended);
    BOOST_TEST(kept.leaves == (full ? 0 : 1));
    BOOST_TEST((kept.storage == nullptr && !kept.waits));
    kept.disk.SetFull(false);
    kept.RunFor(seconds(5));
    BOOST_TEST(!kept.disk_keeper->is_working());
  }
}

BOOST_AUTO_TEST_CASE(it_is_told_to_end_while_a_failed_disk_gives_its_lease_back) {
  KeptDisk kept;
  kept.RunFor(seconds(1));
  kept.core_answers = false;
  kept.disk.SetFull(true);
  kept.Write();
  kept.RunFor(milliseconds(200));
  bool ended = false;
  kept.disk_keeper->Leave([&] { ended = true; });
  kept.RunFor(milliseconds(200));
  BOOST_TEST(!ended);
  BOOST_TEST(kept.leaves == 1);
  kept.left();
  kept.RunFor(milliseconds(10));
  BOOST_TEST(ended);
}

// --- Whole stores -------------------------------------------------------------------------------

struct Scene {
  explicit Scene(std::uint64_t seed, OpenDisk open_disk = OpenCrashDisk)
      : world(seed, kStores, 2, true, std::move(open_disk)), clients(world) {
    world.RunFor(seconds(1));
  }

  StoreMachine& Machine(std::uint32_t number) { return *world.machines[number]; }
  bool IsWorking(std::uint32_t number) { return Machine(number).keeper->disk.is_working(); }
  std::uint32_t StoreOfDisk(const std::string& disk) const {
    for (const auto& machine : world.machines) {
      if (machine->known_disk == disk) return machine->number;
    }
    throw std::runtime_error("no store has that disk");
  }
  std::uint32_t PrimaryOf(const std::string& job) {
    return StoreOfDisk(world.RowOf(world.promises.at(job).submit.job).primary_disk);
  }
  void SubmitJobs(int count) {
    for (int number = 0; number < count; ++number) {
      clients.SubmitJob("first-" + std::to_string(number), 3, "a");
    }
    while (!clients.AllAcknowledged()) world.RunFor(milliseconds(1));
  }
  void CheckAllDone() {
    for (const std::string& one : BrokenPromises(world, clients)) BOOST_ERROR(one);
    for (const auto& row : world.rows()) {
      BOOST_TEST(row.epoch < 100U, "a row changed " << row.epoch << " times");
    }
  }

  StoreWorld world;
  Clients clients;
};

BOOST_AUTO_TEST_CASE(disks_of_all_stores_are_full_in_turn) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(seed);
      scene.SubmitJobs(4);
      for (std::uint32_t round = 0; round < 2 * kStores; ++round) {
        const std::uint32_t number = round % kStores;
        const std::string identity = scene.Machine(number).process->identity.id;
        scene.Machine(number).disk.SetFull(true);
        scene.clients.LiveFor(milliseconds(500 + scene.world.Draw(4000)));
        scene.Machine(number).disk.SetFull(false);
        scene.clients.LiveFor(kRecovery);
        BOOST_REQUIRE(scene.IsWorking(number));
        BOOST_TEST(scene.Machine(number).process->identity.id == identity);
        BOOST_TEST(scene.world.AllComplete());
      }
      scene.CheckAllDone();
    }
  }
}

// No store takes anything then: refused before a 202, and all that had one comes back.
BOOST_AUTO_TEST_CASE(disks_of_all_stores_are_full_at_once) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(seed);
      scene.SubmitJobs(4);
      scene.clients.LiveFor(milliseconds(scene.world.Draw(2000)));
      for (auto& machine : scene.world.machines) machine->disk.SetFull(true);
      for (int number = 0; number < 4; ++number) {
        scene.clients.SubmitJob("meanwhile-" + std::to_string(number), 2, "a");
      }
      scene.clients.LiveFor(milliseconds(2000 + scene.world.Draw(4000)));
      for (int number = 0; number < 4; ++number) {
        const std::string id = "meanwhile-" + std::to_string(number);
        BOOST_TEST(!scene.world.promises.at(id).acknowledged, id);
      }
      for (auto& machine : scene.world.machines) machine->disk.SetFull(false);
      scene.clients.LiveFor(kRecovery);
      for (std::uint32_t number = 0; number < kStores; ++number) {
        BOOST_TEST(scene.IsWorking(number), "store " << number);
      }
      BOOST_TEST(scene.world.AllComplete());
      scene.CheckAllDone();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_store_starts_on_a_full_disk_and_joins_when_there_is_room) {
  Scene scene(1);
  scene.SubmitJobs(4);
  const std::uint32_t number = scene.PrimaryOf("first-0");
  scene.world.Kill(number);
  scene.Machine(number).disk.SetFull(true);
  scene.world.Start(number);
  scene.clients.LiveFor(seconds(4));
  BOOST_TEST(!scene.IsWorking(number));
  scene.Machine(number).disk.SetFull(false);
  scene.clients.LiveFor(kRecovery);
  BOOST_TEST(scene.IsWorking(number));
  scene.CheckAllDone();
}

// --- Room ---------------------------------------------------------------------------------------

// Of the 64 MB that these disks have.
constexpr std::uint64_t kMegabyte = 1U << 20;
constexpr std::uint64_t kNoNewJobs = 56 * kMegabyte;
constexpr std::uint64_t kNoCopies = 59 * kMegabyte;
constexpr std::uint64_t kNoResults = 62 * kMegabyte;

// Nothing is said to a backup while nothing comes: whether its disk has room is asked.
BOOST_AUTO_TEST_CASE(a_partition_takes_jobs_again_once_a_backups_disk_has_room) {
  Scene scene(1);
  scene.SubmitJobs(1);
  scene.world.RunFor(seconds(10));
  const cluster::PartitionRow row =
      scene.world.RowOf(scene.world.promises.at("first-0").submit.job);
  StoreMachine& backup = scene.Machine(scene.StoreOfDisk(row.backup_disks[0]));
  backup.disk.SetBytesUsed(kNoNewJobs);
  scene.clients.SubmitBeside("noticed", "first-0");
  scene.world.RunFor(seconds(20));
  BOOST_TEST(scene.world.promises.at("noticed").acknowledged);
  scene.clients.SubmitBeside("refused", "first-0");
  scene.world.RunFor(seconds(5));
  BOOST_TEST(!scene.world.promises.at("refused").acknowledged);
  backup.disk.SetBytesUsed(0);
  scene.world.RunFor(seconds(3));
  BOOST_TEST(scene.world.promises.at("refused").acknowledged);
  scene.CheckAllDone();
}

BOOST_AUTO_TEST_CASE(a_disk_with_little_room_takes_no_copies_and_keeps_what_it_has) {
  Scene scene(2);
  scene.SubmitJobs(6);
  scene.world.Wipe(0);
  for (std::uint32_t number = 1; number < kStores; ++number) {
    scene.Machine(number).disk.SetBytesUsed(kNoCopies);
  }
  scene.world.RunFor(seconds(10));
  BOOST_TEST(!scene.world.AllComplete());
  std::uint64_t refused = 0;
  for (std::uint32_t number = 1; number < kStores; ++number) {
    BOOST_TEST(scene.IsWorking(number));
    BOOST_TEST(scene.Machine(number).keeper->disk.starts() == 1U);
    refused += scene.Machine(number).process->replicas.copies().incomplete;
  }
  BOOST_TEST(refused > 0U);
  for (std::uint32_t number = 1; number < kStores; ++number) {
    scene.Machine(number).disk.SetBytesUsed(0);
  }
  scene.world.RunFor(seconds(10));
  BOOST_TEST(scene.world.AllComplete());
  scene.world.Start(0);
  scene.CheckAllDone();
}

// What removes something is still taken: that is what makes room.
BOOST_AUTO_TEST_CASE(a_disk_with_hardly_any_room_takes_ends_and_no_results) {
  Scene scene(3);
  for (auto& proxy : scene.world.proxies) proxy->SetCapacity(0);
  scene.SubmitJobs(4);
  for (auto& machine : scene.world.machines) machine->disk.SetBytesUsed(kNoResults);
  // Each partition hears of its backup's disk.
  for (int number = 0; number < 4; ++number) scene.clients.End("first-" + std::to_string(number));
  scene.world.RunFor(seconds(2));
  for (int number = 0; number < 4; ++number) {
    const std::string id = "first-" + std::to_string(number);
    BOOST_TEST(scene.world.promises.at(id).end_acknowledged.has_value(), id);
  }
  for (auto& machine : scene.world.machines) machine->disk.SetBytesUsed(0);
  scene.world.RunFor(seconds(3));
  for (int number = 0; number < 4; ++number) {
    scene.clients.SubmitBeside("next-" + std::to_string(number), "first-" + std::to_string(number));
  }
  scene.world.RunFor(seconds(2));
  for (auto& machine : scene.world.machines) machine->disk.SetBytesUsed(kNoResults);
  for (auto& proxy : scene.world.proxies) proxy->SetCapacity(6);
  scene.world.RunFor(seconds(10));
  BOOST_TEST(scene.world.finished.empty());
  for (auto& machine : scene.world.machines) machine->disk.SetBytesUsed(0);
  scene.CheckAllDone();
  BOOST_TEST(!scene.world.finished.empty());
}

std::size_t KeysOfPartitions(const storage::CrashDisk& disk) {
  const auto& contents = disk.contents();
  return static_cast<std::size_t>(std::count_if(
      contents.begin(), contents.end(),
      [](const auto& entry) { return entry.first.starts_with("p") && entry.first != "probe"; }));
}

BOOST_AUTO_TEST_CASE(what_no_row_asks_for_is_removed_whatever_its_size) {
  Scene scene(4);
  scene.clients.SubmitJob("large", 4, std::string(kMegabyte, 'a'));
  scene.SubmitJobs(3);
  const std::uint32_t number = scene.PrimaryOf("large");
  scene.Machine(number).retiring = true;
  scene.world.RunFor(seconds(10));
  BOOST_TEST(KeysOfPartitions(scene.Machine(number).disk) > 0U);
  scene.world.RunFor(seconds(25));
  BOOST_TEST(KeysOfPartitions(scene.Machine(number).disk) == 0U);
  scene.Machine(number).retiring = false;
  scene.world.RunFor(seconds(10));
  BOOST_TEST(scene.world.AllComplete());
  scene.CheckAllDone();
}

// It is named again while what it had is being removed.
BOOST_AUTO_TEST_CASE(what_is_left_of_a_copy_is_never_taken_for_it) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(seed);
      scene.clients.SubmitJob("large", 8, std::string(kMegabyte, 'a'));
      scene.SubmitJobs(3);
      const std::uint32_t number = scene.PrimaryOf("large");
      scene.Machine(number).retiring = true;
      scene.world.RunFor(seconds(15));
      const std::size_t before = KeysOfPartitions(scene.Machine(number).disk);
      for (int step = 0; step < 2000; ++step) {
        if (KeysOfPartitions(scene.Machine(number).disk) < before) break;
        scene.world.RunFor(milliseconds(10));
      }
      scene.world.RunFor(milliseconds(scene.world.Draw(600)));
      scene.Machine(number).retiring = false;
      for (std::uint32_t other = 0; other < kStores; ++other) {
        if (other != number) scene.Machine(other).retiring = other % 2 == number % 2;
      }
      scene.world.RunFor(seconds(10));
      for (auto& machine : scene.world.machines) machine->retiring = false;
      scene.CheckAllDone();
    }
  }
}

double FullestOf(const StoreWorld& world) {
  double fullest = 0;
  for (const auto& machine : world.machines) {
    const storage::Usage usage = machine->process->storage.usage();
    fullest = std::max(
        fullest, static_cast<double>(usage.bytes_used) / static_cast<double>(usage.bytes_limit));
  }
  return fullest;
}

// Jobs come until one is refused for want of room, and wait; then some end and the others are done,
// and what was refused is taken; three times. No disk ever fails. Gives how full the fullest was.
double PlayJobsThatComeAndGo(Scene& scene) {
  constexpr int kMostJobs = 100;
  constexpr milliseconds kAccepted{1500};  // Or it is refused.
  const std::string content(20'000, 'a');
  double fullest = 0;
  int jobs = 0;
  for (int round = 0; round < 3; ++round) {
    for (auto& proxy : scene.world.proxies) proxy->SetCapacity(0);
    const int first = jobs;
    while (scene.clients.AllAcknowledged() && jobs < first + kMostJobs) {
      scene.clients.SubmitJob("job-" + std::to_string(jobs++), 1 + scene.world.Draw(12), content);
      for (milliseconds waited{0}; waited < kAccepted && !scene.clients.AllAcknowledged();
           waited += milliseconds(50)) {
        scene.world.RunFor(milliseconds(50));
      }
    }
    BOOST_TEST(!scene.clients.AllAcknowledged());
    fullest = std::max(fullest, FullestOf(scene.world));
    for (int job = first; job < jobs - 1; job += 2) {
      scene.clients.End("job-" + std::to_string(job));
    }
    for (auto& proxy : scene.world.proxies) proxy->SetCapacity(6);
    for (int second = 0; second < 60 && !scene.clients.AllAcknowledged(); ++second) {
      scene.world.RunFor(seconds(1));
    }
    BOOST_TEST(scene.clients.AllAcknowledged());
    for (const auto& machine : scene.world.machines) {
      BOOST_REQUIRE(machine->keeper->disk.is_working());
      BOOST_REQUIRE(machine->keeper->disk.starts() == 1U);
    }
  }
  BOOST_TEST_MESSAGE(jobs << " jobs, fullest " << fullest);
  scene.CheckAllDone();
  return fullest;
}

// Fills what is left of a disk with what belongs to nobody, until it fails.
constexpr int kMostGarbage = 1000;
std::string GarbageKey(int number) { return "x" + std::to_string(number); }
void FillUp(Scene& scene, StoreMachine& machine) {
  storage::Storage& storage = machine.process->storage;
  for (int number = 0; number < kMostGarbage && !storage.failed(); ++number) {
    storage.Apply(storage::Batch().Put(GarbageKey(number), std::string(15'000, 'x')));
    storage.Sync([](const Result<void>&) {});
    scene.world.RunFor(milliseconds(5));
  }
  BOOST_TEST((storage.failure() == storage::Failure::kFull));
}
void RemoveGarbage(StoreMachine& machine) {
  storage::Batch removal;
  for (int number = 0; number < kMostGarbage; ++number) removal.Remove(GarbageKey(number));
  machine.process->storage.Apply(removal);
  machine.process->storage.Sync([](const Result<void>&) {});
}

// The stores return from disks that are full, what was accepted is there, ends are taken, and with
// room again everything goes on.
void PlayFullDisks(Scene& scene) {
  for (auto& proxy : scene.world.proxies) proxy->SetCapacity(0);
  scene.SubmitJobs(6);
  for (auto& machine : scene.world.machines) FillUp(scene, *machine);
  scene.world.RunFor(kRecovery + StoreDisk::kLongestProbation);
  for (const auto& machine : scene.world.machines) {
    BOOST_REQUIRE(machine->keeper->disk.is_working());
  }
  scene.clients.End("first-0");
  scene.clients.SubmitBeside("refused", "first-1");
  scene.world.RunFor(seconds(5));
  BOOST_TEST(scene.world.promises.at("first-0").end_acknowledged.has_value());
  BOOST_TEST(!scene.world.promises.at("refused").acknowledged);
  for (auto& machine : scene.world.machines) {
    BOOST_REQUIRE(machine->keeper->disk.is_working());
    RemoveGarbage(*machine);
  }
  for (auto& proxy : scene.world.proxies) proxy->SetCapacity(6);
  scene.CheckAllDone();
}

void SetLimits(Scene& scene, std::uint64_t bytes) {
  for (auto& machine : scene.world.machines) machine->disk.SetLimit(bytes);
}

BOOST_AUTO_TEST_CASE(disks_are_filled_and_emptied_by_jobs_that_come_and_go) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(seed);
      SetLimits(scene, 3 * kMegabyte);
      const double fullest = PlayJobsThatComeAndGo(scene);
      BOOST_TEST(fullest > 0.7);
      BOOST_TEST(fullest < 0.97);
    }
  }
}

BOOST_AUTO_TEST_CASE(stores_return_on_disks_that_are_full) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(seed);
      SetLimits(scene, 3 * kMegabyte);
      PlayFullDisks(scene);
    }
  }
}

// --- Real files ---------------------------------------------------------------------------------

// Each machine's disk is a file of its own, of a few megabytes.
struct RealDisks {
  OpenDisk Opener(std::uint64_t bytes_limit) {
    return [this, bytes_limit](StoreMachine& machine, net::Loop& loop, Later&) {
      storage::LmdbStorage::Options options;
      options.folder = (folder.path / std::to_string(machine.number)).string();
      options.bytes_limit = bytes_limit;
      return storage::LmdbStorage::OpenOrFailed(loop, options);
    };
  }
  storage::Folder folder;
};

BOOST_AUTO_TEST_CASE(real_files_are_filled_and_emptied_by_jobs_that_come_and_go) {
  RealDisks disks;
  Scene scene(5, disks.Opener(4 * kMegabyte));
  const double fullest = PlayJobsThatComeAndGo(scene);
  BOOST_TEST(fullest > 0.7);
  BOOST_TEST(fullest < 0.97);
}

BOOST_AUTO_TEST_CASE(stores_return_on_real_files_that_are_full) {
  RealDisks disks;
  Scene scene(6, disks.Opener(6 * kMegabyte));
  PlayFullDisks(scene);
}

// --- What the core tells of stores --------------------------------------------------------------

constexpr std::uint32_t kFiguresHost = 0x0a030009U;

// Cores on a rig, and one whole store process.
struct ToldStore {
  ToldStore() {
    process = std::make_unique<StoreProcess>(
        loop, Settings(),
        [this] {
          return std::make_unique<storage::CrashStorage>(
              disk, [this](std::function<void()> step) { later.Run(kSyncTakes, std::move(step)); });
        },
        [this] { return ++drawn; });
  }
  ~ToldStore() {
    process.reset();
    loop.Kill();
  }

  static ProcessSettings Settings() {
    ProcessSettings settings = cluster::RigSettings(3);
    settings.node = "storage-1";
    settings.role = "store";
    settings.zone = "zone-0";
    settings.ip = "10.3.0.9";
    return settings;
  }
  cluster::KnownStore Known() {
    for (const cluster::KnownStore& store : rig.Primary().service().figures().stores) {
      if (store.node == "storage-1") return store;
    }
    return {};
  }

  cluster::Rig rig{3, 1, 1};
  net::VirtualProcess loop{rig.net, kFiguresHost, "storage-1", 200};
  Later later{loop};
  storage::CrashDisk disk;
  std::uint64_t drawn = 0;
  std::unique_ptr<StoreProcess> process;
};

BOOST_AUTO_TEST_CASE(the_core_tells_what_a_store_holds) {
  ToldStore told;
  told.disk.SetBytesUsed(3 * kMegabyte);
  told.rig.Start();
  told.rig.Run(seconds(6));
  const cluster::KnownStore known = told.Known();
  BOOST_TEST(known.in_touch);
  BOOST_REQUIRE(known.figures.has_value());
  BOOST_TEST(!known.figures->disk_refuses);
  BOOST_TEST(known.figures->bytes_used == 3 * kMegabyte);
  BOOST_TEST(known.figures->bytes_limit == 64 * kMegabyte);
  BOOST_TEST(known.figures->primaries + known.figures->backups > 0U);
  BOOST_TEST((known.figures->uptime >= seconds(5) && known.figures->uptime <= seconds(6)));
  BOOST_TEST(known.figures->endpoints_age.has_value());
  BOOST_TEST(known.figures->violations == 0U);
}

// It has no part in anything then, and is heard of all the same.
BOOST_AUTO_TEST_CASE(the_core_tells_that_a_stores_disk_refuses) {
  ToldStore told;
  told.disk.SetFull(true);
  told.rig.Start();
  told.rig.Run(seconds(3));
  const cluster::KnownStore refusing = told.Known();
  BOOST_TEST(refusing.in_touch);
  BOOST_REQUIRE(refusing.figures.has_value());
  BOOST_TEST(refusing.figures->disk_refuses);
  BOOST_TEST(refusing.figures->primaries + refusing.figures->backups == 0U);
  told.disk.SetFull(false);
  told.rig.Run(kRecovery);
  const cluster::KnownStore returned = told.Known();
  BOOST_TEST(returned.in_touch);
  BOOST_REQUIRE(returned.figures.has_value());
  BOOST_TEST(!returned.figures->disk_refuses);
  BOOST_TEST(returned.figures->primaries + returned.figures->backups > 0U);
}

BOOST_AUTO_TEST_CASE(the_core_tells_that_a_store_is_out_of_touch) {
  ToldStore told;
  told.rig.Start();
  told.rig.Run(seconds(5));
  told.rig.net.SetCutOff(kFiguresHost, true);
  told.rig.Run(seconds(3));
  const cluster::KnownStore known = told.Known();
  BOOST_TEST(known.node == "storage-1");
  BOOST_TEST(!known.in_touch);
  BOOST_TEST(!known.figures.has_value());
}

}  // namespace
}  // namespace shelflink::batch
