// Stores on disks that refuse writes, on the virtual network: no process ends, nothing that was
// told is lost, and a store comes back as soon as its disk has room, at any number of such faults.
#define BOOST_TEST_MODULE store_disk
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "batch/store_clients.h"

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
    kept.disk.SetFull(false);
    // A pause between looks, and at most the longest time of proof.
    kept.RunFor(StoreDisk::kLongestPause + StoreDisk::kLongestProbation + milliseconds(150));
    BOOST_TEST(kept.disk_keeper->is_working());
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
    BOOST_TEST(kept.storage == nullptr);
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
  explicit Scene(std::uint64_t seed) : world(seed, kStores, 2, true), clients(world) {
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

}  // namespace
}  // namespace shelflink::batch
