// Storages that have failed: of what kind, what they hold afterwards, and that they take writes
// again. The real one on real files, whose growth a limit of the process refuses.
#define BOOST_TEST_MODULE tier_storage_recovery
#include <lmdb.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <fstream>
#include <memory>

#include "storage/file_size_limit.h"
#include "storage/storage_folder.h"
#include "tier/storage/crash_storage.h"
#include "tier/storage/lmdb_file.h"

namespace shelflink::storage {
namespace {

constexpr rlim_t kNoProof = 16U << 10;     // Less than a recovery writes to prove room.
constexpr rlim_t kSmallFile = 512U << 10;  // The storage grows beyond it.
constexpr std::size_t kValue = 32U << 10;

// How often a sync was told, and how the last time.
struct Told {
  int times = 0;
  bool stored = false;
  Storage::Synced Take() {
    return [this](const Result<void>& result) {
      ++times;
      stored = result.has_value();
    };
  }
};

bool Stores(StepLoop& loop, Storage& storage, const Batch& batch) {
  Told told;
  storage.Apply(batch);
  storage.Sync(told.Take());
  loop.Run();
  BOOST_TEST(told.times == 1);
  return told.stored;
}

std::string KeyOf(int number) { return "key" + std::to_string(100 + number); }

// Writes until it fails; how many were stored.
int Fill(StepLoop& loop, Storage& storage) {
  int stored = 0;
  while (stored < 1000 &&
         Stores(loop, storage, Batch().Put(KeyOf(stored), std::string(kValue, 'v')))) {
    ++stored;
  }
  BOOST_TEST(stored < 1000);
  return stored;
}

void CheckHolds(const Storage& storage, int stored) {
  BOOST_TEST(KeysOf(storage, "key").size() == static_cast<std::size_t>(stored));
  for (int number = 0; number < stored; ++number) {
    BOOST_TEST((storage.Get(KeyOf(number)) == std::string(kValue, 'v')));
  }
}

BOOST_AUTO_TEST_CASE(a_file_that_may_not_grow_is_full_and_has_everything_again) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  LmdbStorage& storage = *opened.value();
  int stored = 0;
  for (; stored < 8; ++stored) {
    BOOST_TEST(Stores(loop, storage, Batch().Put(KeyOf(stored), std::string(kValue, 'v'))));
  }
  {
    const FileSizeLimit limit(kNoProof);
    BOOST_TEST(!Stores(loop, storage, Batch().Put("refused", std::string(kValue, 'v'))));
    BOOST_TEST((storage.failure() == Failure::kFull));
    BOOST_TEST(storage.Recover().has_error());
    BOOST_TEST((storage.failure() == Failure::kFull));
    BOOST_TEST(!Stores(loop, storage, Batch().Put("later", "1")));
  }
  BOOST_REQUIRE(storage.Recover().has_value());
  BOOST_TEST(!storage.failed());
  CheckHolds(storage, stored);
  BOOST_TEST(KeysOf(storage, "").size() == static_cast<std::size_t>(stored));
  BOOST_TEST(Stores(loop, storage, Batch().Put("later", "1")));
  BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
}

// The last write ends at the limit, in the middle of what was to be written; the plain file that a
// recovery begins with still fits.
BOOST_AUTO_TEST_CASE(a_write_that_is_cut_short_loses_nothing_and_is_no_damage) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  LmdbStorage& storage = *opened.value();
  int stored = 0;
  {
    const FileSizeLimit limit(kSmallFile);
    stored = Fill(loop, storage);
    BOOST_TEST(stored > 0);
    for (int attempt = 0; attempt < 3; ++attempt) {
      const Failure failure = storage.failure();
      BOOST_TEST((failure == Failure::kFull || failure == Failure::kTransient));
      if (storage.Recover().has_error()) continue;
      CheckHolds(storage, stored);
      BOOST_TEST(!Stores(loop, storage, Batch().Put("refused", std::string(kValue, 'v'))));
    }
  }
  BOOST_REQUIRE(storage.Recover().has_value());
  CheckHolds(storage, stored);
  BOOST_TEST(KeysOf(storage, "").size() == static_cast<std::size_t>(stored));
  BOOST_TEST(Stores(loop, storage, Batch().Put("later", std::string(kValue, 'v'))));
  BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
}

BOOST_AUTO_TEST_CASE(what_cannot_be_made_for_want_of_room_is_made_later) {
  const Folder folder;
  StepLoop loop;
  std::unique_ptr<LmdbStorage> storage;
  {
    const FileSizeLimit limit(4096);  // LMDB begins with two pages.
    BOOST_TEST(LmdbStorage::Open(loop, folder.Options()).has_error());
    storage = LmdbStorage::OpenOrFailed(loop, folder.Options());
    BOOST_TEST((storage->failure() == Failure::kFull));
    BOOST_TEST(storage->usage().bytes_used == 0U);
    BOOST_TEST(storage->Recover().has_error());
  }
  BOOST_REQUIRE(storage->Recover().has_value());
  BOOST_TEST(Stores(loop, *storage, Batch().Put("key", "1")));
  BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
}

// What came and went within one sync may have been given the last pages of the file, which LMDB
// counts and never writes then: the file is shorter than it says and yet whole.
BOOST_AUTO_TEST_CASE(a_value_that_came_and_went_before_a_sync_is_no_damage) {
  const Folder folder;
  StepLoop loop;
  int stored = 0;
  {
    const auto opened = LmdbStorage::Open(loop, folder.Options());
    BOOST_REQUIRE(opened.has_value());
    LmdbStorage& storage = *opened.value();
    for (; stored < 8; ++stored) {
      BOOST_TEST(Stores(loop, storage, Batch().Put(KeyOf(stored), std::string(kValue, 'v'))));
    }
    // Free pages from before are looked at, as in any file that has lived for a while.
    BOOST_TEST(Stores(loop, storage, Batch().Put("other", "1")));
    BOOST_TEST(Stores(loop, storage, Batch().Put("other", "2")));
    storage.Apply(Batch().Put("tail", std::string(4 * kValue, 't')));
    BOOST_TEST(Stores(loop, storage, Batch().Remove("tail")));
    BOOST_TEST(!storage.failed());
    {
      const FileSizeLimit limit(kNoProof);
      BOOST_TEST(!Stores(loop, storage, Batch().Put("refused", std::string(kValue, 'v'))));
      BOOST_TEST((storage.failure() == Failure::kFull));
    }
    BOOST_REQUIRE(storage.Recover().has_value());
    CheckHolds(storage, stored);
    BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
  }
  const auto again = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(again.has_value());
  CheckHolds(*again.value(), stored);
  BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
}

// What is stored stays, also for a larger map; nothing that removes nothing fits.
BOOST_AUTO_TEST_CASE(a_map_without_room_stays_full_and_whole) {
  const Folder folder;
  StepLoop loop;
  int stored = 0;
  {
    const auto opened = LmdbStorage::Open(loop, folder.Options(1U << 20));
    BOOST_REQUIRE(opened.has_value());
    LmdbStorage& storage = *opened.value();
    stored = Fill(loop, storage);
    for (int attempt = 0; attempt < 3; ++attempt) {
      BOOST_TEST((storage.failure() == Failure::kFull));
      BOOST_REQUIRE(storage.Recover().has_value());
      CheckHolds(storage, stored);
      BOOST_TEST(!Stores(loop, storage, Batch().Put("refused", std::string(kValue, 'v'))));
    }
  }
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  CheckHolds(*opened.value(), stored);
  BOOST_TEST(Stores(loop, *opened.value(), Batch().Remove(KeyOf(0))));
  BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
}

// Also where the last values that went in were hardly larger than what the reserve takes.
BOOST_AUTO_TEST_CASE(a_full_map_takes_removals_and_has_room_again) {
  for (const std::size_t last : {kValue, std::size_t{10'000}}) {
    const Folder folder;
    StepLoop loop;
    const auto opened = LmdbStorage::Open(loop, folder.Options(1U << 20));
    BOOST_REQUIRE(opened.has_value());
    LmdbStorage& storage = *opened.value();
    const int stored = Fill(loop, storage);
    BOOST_REQUIRE(storage.Recover().has_value());
    int more = 0;
    while (
        Stores(loop, storage, Batch().Put("more" + std::to_string(more), std::string(last, 'm')))) {
      ++more;
    }
    BOOST_TEST((storage.failure() == Failure::kFull));
    // One at a time, each behind a note of it, as replicas do.
    for (int number = 0; number < stored; ++number) {
      if (storage.failed()) BOOST_REQUIRE(storage.Recover().has_value());
      BOOST_REQUIRE(Stores(loop, storage, Batch().Put("note", KeyOf(number))));
      BOOST_REQUIRE(Stores(loop, storage, Batch().Remove(KeyOf(number)).Remove("note")));
    }
    BOOST_TEST(KeysOf(storage, "").size() == static_cast<std::size_t>(more));
    BOOST_TEST(Stores(loop, storage, Batch().Put("later", std::string(16 * kValue, 'v'))));
  }
}

// An entry that is stored already is carried out: that removes as much as it puts.
BOOST_AUTO_TEST_CASE(what_removes_something_may_use_the_reserve) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options(8U << 20));
  BOOST_REQUIRE(opened.has_value());
  LmdbStorage& storage = *opened.value();
  BOOST_TEST(Stores(loop, storage, Batch().Put("entry", std::string(100'000, 'v'))));
  int stored = 0;
  while (Stores(loop, storage, Batch().Put(KeyOf(stored), std::string(kValue, 'v')))) ++stored;
  BOOST_REQUIRE(storage.Recover().has_value());
  Batch carried_out;
  for (int number = 0; number < 3; ++number) {
    carried_out.Put("carried" + std::to_string(number), std::string(kValue, 'c'));
  }
  BOOST_TEST(Stores(loop, storage, carried_out.Remove("entry")));
  CheckHolds(storage, stored);
}

BOOST_AUTO_TEST_CASE(a_sync_that_waits_is_told_an_error_once) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options(1U << 20));
  BOOST_REQUIRE(opened.has_value());
  LmdbStorage& storage = *opened.value();
  Told before;
  storage.Apply(Batch().Put("small", "1"));
  storage.Sync(before.Take());
  storage.Apply(Batch().Put("large", std::string(2U << 20, 'v')));
  BOOST_TEST((storage.failure() == Failure::kFull));
  BOOST_REQUIRE(storage.Recover().has_value());
  Told after;
  storage.Apply(Batch().Put("after", "1"));
  storage.Sync(after.Take());
  loop.Run();
  BOOST_TEST(before.times == 1);
  BOOST_TEST(!before.stored);
  BOOST_TEST(after.times == 1);
  BOOST_TEST(after.stored);
  BOOST_TEST((KeysOf(storage, "") == std::vector<std::string>{"after"}));
}

// Changes one byte of each stored copy of the value.
void Damage(const std::filesystem::path& file, const std::string& value) {
  std::string bytes(std::filesystem::file_size(file), '\0');
  std::ifstream(file, std::ios::binary).read(bytes.data(), static_cast<long>(bytes.size()));
  std::fstream out(file, std::ios::binary | std::ios::in | std::ios::out);
  for (auto at = bytes.find(value); at != std::string::npos; at = bytes.find(value, at + 1)) {
    out.seekp(static_cast<long>(at));
    out.put('w');
  }
}

BOOST_AUTO_TEST_CASE(what_is_found_damaged_is_set_aside_and_the_disk_is_another) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  LmdbStorage& storage = *opened.value();
  std::uint64_t drawn = 7;
  const auto random = [&] { return drawn++; };
  const DiskIdentity first = ReadOrDrawIdentity(storage, random);
  const std::string value(100, 'v');
  BOOST_TEST(Stores(loop, storage, Batch().Put("key", value)));
  Damage(folder.path / "core" / "data.mdb", value);
  BOOST_TEST(!storage.Get("key").has_value());
  BOOST_TEST((storage.failure() == Failure::kDamaged));
  {
    // Without room it stays as it is.
    const FileSizeLimit limit(kNoProof);
    BOOST_TEST(storage.Recover().has_error());
    BOOST_TEST((storage.failure() == Failure::kDamaged));
    BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
  }
  BOOST_REQUIRE(storage.Recover().has_value());
  BOOST_TEST(KeysOf(storage, "").empty());
  BOOST_TEST(std::filesystem::exists(folder.path / "core.damaged" / "data.mdb"));
  const DiskIdentity second = ReadOrDrawIdentity(storage, random);
  BOOST_TEST(second.is_new);
  BOOST_TEST(second.id != first.id);
  BOOST_TEST(Stores(loop, storage, Batch().Put("key", "1")));
}

BOOST_AUTO_TEST_CASE(codes_of_the_system_have_their_classes) {
  BOOST_TEST((FailureOfErrno(0) == Failure::kNone));
  for (const int code : {ENOSPC, EDQUOT, EFBIG}) {
    BOOST_TEST((FailureOfErrno(code) == Failure::kFull));
  }
  for (const int code : {EIO, EINTR, EAGAIN, ETIMEDOUT}) {
    BOOST_TEST((FailureOfErrno(code) == Failure::kTransient));
  }
  for (const int code : {EACCES, EROFS, ENOENT}) {
    BOOST_TEST((FailureOfErrno(code) == Failure::kFatal));
  }
}

BOOST_AUTO_TEST_CASE(codes_of_lmdb_have_their_classes) {
  for (const int code : {MDB_MAP_FULL, ENOSPC, EDQUOT, EFBIG}) {
    BOOST_TEST((FailureOfCode(code) == Failure::kFull));
  }
  for (const int code : {MDB_PANIC, MDB_BAD_TXN, EIO, EINTR, EAGAIN, ETIMEDOUT}) {
    BOOST_TEST((FailureOfCode(code) == Failure::kTransient));
  }
  for (const int code : {MDB_CORRUPTED, MDB_PAGE_NOTFOUND, MDB_INVALID}) {
    BOOST_TEST((FailureOfCode(code) == Failure::kDamaged));
  }
  BOOST_TEST((FailureOfCode(EACCES) == Failure::kFatal));
}

// ---- The stand-in of the tests fails in the same ways.

constexpr Failure kAll[] = {Failure::kFull, Failure::kTransient, Failure::kDamaged,
                            Failure::kFatal};

// The first batch is synced; then an operation fails: the second's Apply, or its sync.
void FailSecond(CrashDisk& disk, CrashStorage& storage, std::uint64_t operation, Failure failure,
                Told& told) {
  storage.Apply(Batch().Put("first", "1"));
  storage.Sync([](const Result<void>&) {});
  disk.FailFrom(operation, 2, failure);
  storage.Apply(Batch().Put("second", "2"));
  storage.Sync(told.Take());
}

BOOST_AUTO_TEST_CASE(the_stand_in_fails_at_any_operation_and_recovers) {
  for (const Failure failure : kAll) {
    for (const std::uint64_t operation : {1U, 2U}) {
      CrashDisk disk;
      CrashStorage storage(disk, [](const std::function<void()>& step) { step(); });
      Told told;
      FailSecond(disk, storage, operation, failure, told);
      BOOST_TEST((storage.failure() == failure));
      BOOST_TEST(told.times == 1);
      BOOST_TEST(!told.stored);
      BOOST_TEST(storage.Recover().has_error());
      BOOST_TEST((storage.failure() == failure));
      BOOST_TEST(storage.Recover().has_value());
      const bool kept = failure != Failure::kDamaged;
      BOOST_TEST(storage.Get("first").has_value() == kept);
      BOOST_TEST(!storage.Get("second").has_value());
      BOOST_TEST(disk.unsynced() == 0U);
    }
  }
}

// Each kind of operation by itself, so often; the next attempt succeeds.
BOOST_AUTO_TEST_CASE(the_stand_in_fails_at_each_kind_of_operation) {
  for (const DiskOperation kind : {DiskOperation::kOpen, DiskOperation::kRename,
                                   DiskOperation::kWrite, DiskOperation::kSync}) {
    for (const std::uint64_t times : {1U, 3U}) {
      CrashDisk disk;
      CrashStorage storage(disk, [](const std::function<void()>& step) { step(); });
      BOOST_TEST(!storage.failed());
      disk.FailFrom(1, 1, Failure::kDamaged);
      storage.Apply(Batch().Put("key", "1"));
      disk.FailFrom(kind, 1, times, Failure::kFull);
      for (std::uint64_t attempt = 0; attempt < times; ++attempt) {
        BOOST_TEST(storage.Recover().has_error());
        BOOST_TEST(storage.failed());
      }
      BOOST_TEST(storage.Recover().has_value());
      storage.Apply(Batch().Put("key", "1"));
      BOOST_TEST(!storage.failed());
    }
  }
}

BOOST_AUTO_TEST_CASE(the_stand_in_that_cannot_be_opened_has_failed_and_loses_nothing) {
  CrashDisk disk;
  const auto at_once = [](const std::function<void()>& step) { step(); };
  {
    CrashStorage storage(disk, at_once);
    storage.Apply(Batch().Put("key", "1"));
    storage.Sync([](const Result<void>&) {});
  }
  disk.FailFrom(DiskOperation::kOpen, 1, 2, Failure::kTransient);
  CrashStorage storage(disk, at_once);
  BOOST_TEST((storage.failure() == Failure::kTransient));
  BOOST_TEST(storage.Recover().has_error());
  BOOST_TEST(storage.Recover().has_value());
  BOOST_TEST((storage.Get("key") == "1"));
}

// One that is full is opened and read; it refuses what is written.
BOOST_AUTO_TEST_CASE(the_stand_in_that_is_full_is_opened) {
  CrashDisk disk;
  disk.SetFull(true);
  CrashStorage storage(disk, [](const std::function<void()>& step) { step(); });
  BOOST_TEST(!storage.failed());
  storage.Apply(Batch().Put("key", "1"));
  BOOST_TEST((storage.failure() == Failure::kFull));
  BOOST_TEST(storage.Recover().has_error());
  disk.SetFull(false);
  BOOST_TEST(storage.Recover().has_value());
}

BOOST_AUTO_TEST_CASE(batches_whose_sync_failed_may_remain_on_the_stand_in) {
  CrashDisk disk;
  CrashStorage storage(disk, [](const std::function<void()>& step) { step(); });
  disk.SetKeptOnFailure(1);
  Told told;
  FailSecond(disk, storage, 2, Failure::kTransient, told);
  BOOST_TEST(storage.Recover().has_error());
  BOOST_TEST(storage.Recover().has_value());
  BOOST_TEST(storage.Get("second").has_value());
}

}  // namespace
}  // namespace shelflink::storage
