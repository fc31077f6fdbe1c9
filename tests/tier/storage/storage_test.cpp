#define BOOST_TEST_MODULE tier_storage
#include <lmdb.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <utility>

#include "mix.h"
#include "storage/storage_folder.h"
#include "tier/storage/crash_storage.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::storage {
namespace {

void CheckOrderAndPrefixes(Storage& storage) {
  Batch batch;
  batch.Put("b1", "x").Put("a", "1").Put("b2", "y").Put("c", "").Remove("none");
  storage.Apply(batch);
  storage.Apply(Batch().Put("b1", "z").Remove("a"));
  BOOST_TEST((KeysOf(storage, "b") == std::vector<std::string>{"b1", "b2"}));
  BOOST_TEST((KeysOf(storage, "b", "b11") == std::vector<std::string>{"b2"}));
  BOOST_TEST((KeysOf(storage, "") == std::vector<std::string>{"b1", "b2", "c"}));
  BOOST_TEST(storage.Get("b1").value() == "z");
  BOOST_TEST(storage.Get("c").value().empty());
  BOOST_TEST(!storage.Get("a").has_value());
}

BOOST_AUTO_TEST_CASE(both_kinds_read_what_was_applied_in_order_and_by_prefix) {
  const Folder folder;
  StepLoop loop;
  const auto lmdb = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(lmdb.has_value());
  CheckOrderAndPrefixes(*lmdb.value());
  CrashDisk disk;
  CrashStorage crash(disk, [](const std::function<void()>& step) { step(); });
  CheckOrderAndPrefixes(crash);
}

BOOST_AUTO_TEST_CASE(lmdb_keeps_what_a_sync_covered_and_nothing_else) {
  const Folder folder;
  StepLoop loop;
  int told = 0;
  {
    const auto storage = LmdbStorage::Open(loop, folder.Options());
    BOOST_REQUIRE(storage.has_value());
    storage.value()->Apply(Batch().Put("kept", "1"));
    storage.value()->Sync([&](const Result<void>& result) { told += result.has_value(); });
    storage.value()->Sync([&](const Result<void>& result) { told += result.has_value(); });
    BOOST_TEST(told == 0);
    loop.Run();
    BOOST_TEST(told == 2);
    storage.value()->Apply(Batch().Put("lost", "1"));
    BOOST_TEST(storage.value()->Get("lost").has_value());
  }
  const auto storage = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(storage.has_value());
  BOOST_TEST((KeysOf(*storage.value(), "") == std::vector<std::string>{"kept"}));
}

BOOST_AUTO_TEST_CASE(an_identity_is_drawn_once_a_disk) {
  const Folder folder;
  StepLoop loop;
  std::uint64_t next = 7;
  const auto random = [&] { return next++; };
  std::string first;
  {
    const auto storage = LmdbStorage::Open(loop, folder.Options());
    const DiskIdentity drawn = ReadOrDrawIdentity(*storage.value(), random);
    BOOST_TEST(drawn.is_new);
    first = drawn.id;
    storage.value()->Sync([](const Result<void>&) {});
    loop.Run();
  }
  const auto storage = LmdbStorage::Open(loop, folder.Options());
  const DiskIdentity read = ReadOrDrawIdentity(*storage.value(), random);
  BOOST_TEST(!read.is_new);
  BOOST_TEST(read.id == first);
}

void WriteSome(StepLoop& loop, const Folder& folder) {
  const auto storage = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(storage.has_value());
  for (int i = 0; i < 200; ++i) {
    storage.value()->Apply(Batch().Put("key" + std::to_string(i), std::string(100, 'v')));
  }
  storage.value()->Sync([](const Result<void>&) {});
  loop.Run();
}

// Each damage: the storage opens empty, and what was there is set aside.
void CheckSetAside(StepLoop& loop, const Folder& folder) {
  const auto storage = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(storage.has_value());
  BOOST_TEST(KeysOf(*storage.value(), "").empty());
  BOOST_TEST(std::filesystem::exists(folder.path / "core.damaged" / "data.mdb"));
  storage.value()->Apply(Batch().Put("a", "b"));
  bool stored = false;
  storage.value()->Sync([&](const Result<void>& result) { stored = result.has_value(); });
  loop.Run();
  BOOST_TEST(stored);
}

BOOST_AUTO_TEST_CASE(a_truncated_file_is_set_aside) {
  const Folder folder;
  StepLoop loop;
  WriteSome(loop, folder);
  const auto file = folder.path / "core" / "data.mdb";
  std::filesystem::resize_file(file, std::filesystem::file_size(file) / 2);
  CheckSetAside(loop, folder);
}

// Small values, large ones, and pages that are free again: several levels of pages.
std::size_t WriteMany(StepLoop& loop, const Folder& folder) {
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  LmdbStorage& storage = *opened.value();
  const auto sync = [&] {
    storage.Sync([](const Result<void>&) {});
    loop.Run();
  };
  for (int number = 0; number < 300; ++number) {
    const std::size_t size = number % 25 == 0 ? 9000 : 200;
    storage.Apply(Batch().Put("key" + std::to_string(number), std::string(size, 'v')));
    if (number % 20 == 19) sync();
  }
  storage.Apply(Batch().Put("tail", std::string(100000, 't')));
  storage.Apply(Batch().Remove("tail"));
  sync();
  BOOST_REQUIRE(!storage.failed());
  return KeysOf(storage, "").size();
}

// Everything or nothing, and never a read beyond the end, which would end this test.
BOOST_AUTO_TEST_CASE(a_file_cut_anywhere_is_whole_or_set_aside) {
  const Folder folder;
  StepLoop loop;
  const std::size_t stored = WriteMany(loop, folder);
  const auto core = folder.path / "core";
  const auto damaged = folder.path / "core.damaged";
  const auto whole = folder.path / "whole";
  std::filesystem::rename(core, whole);
  constexpr std::uintmax_t kPage = 4096;
  constexpr std::uintmax_t kStep = 3 * kPage / 2;  // Cuts at the end of a page and within one.
  const std::uintmax_t size = std::filesystem::file_size(whole / "data.mdb");
  int set_aside = 0;
  for (std::uintmax_t length = size; length >= kPage; length -= std::min(length, kStep)) {
    std::filesystem::remove_all(core);
    std::filesystem::remove_all(damaged);
    std::filesystem::copy(whole, core);
    std::filesystem::resize_file(core / "data.mdb", length);
    const auto opened = LmdbStorage::Open(loop, folder.Options());
    BOOST_REQUIRE(opened.has_value());
    const bool aside = std::filesystem::exists(damaged);
    BOOST_TEST(KeysOf(*opened.value(), "").size() == (aside ? 0 : stored));
    if (aside) ++set_aside;
    if (length == size) BOOST_TEST(!aside);
  }
  BOOST_TEST(set_aside > 20);
}

BOOST_AUTO_TEST_CASE(a_file_of_something_else_is_set_aside) {
  const Folder folder;
  StepLoop loop;
  std::filesystem::create_directory(folder.path / "core");
  std::ofstream(folder.path / "core" / "data.mdb") << std::string(8192, 'x');
  CheckSetAside(loop, folder);
}

BOOST_AUTO_TEST_CASE(one_changed_byte_of_a_value_is_found) {
  const Folder folder;
  StepLoop loop;
  WriteSome(loop, folder);
  const auto file = folder.path / "core" / "data.mdb";
  std::string bytes(std::filesystem::file_size(file), '\0');
  std::ifstream(file, std::ios::binary).read(bytes.data(), static_cast<long>(bytes.size()));
  // The value may also lie in a page that is free by now: change it wherever it stands.
  const std::string value(100, 'v');
  for (auto at = bytes.find(value); at != std::string::npos; at = bytes.find(value, at + 1)) {
    bytes[at + 50] = 'w';
  }
  std::ofstream(file, std::ios::binary).write(bytes.data(), static_cast<long>(bytes.size()));
  CheckSetAside(loop, folder);
}

BOOST_AUTO_TEST_CASE(a_full_storage_fails_for_good_and_keeps_what_it_had) {
  const Folder folder;
  StepLoop loop;
  {
    const auto storage = LmdbStorage::Open(loop, folder.Options(1U << 20));
    BOOST_REQUIRE(storage.has_value());
    storage.value()->Apply(Batch().Put("kept", "1"));
    storage.value()->Sync([](const Result<void>&) {});
    loop.Run();
    ErrorCode code{};
    bool refused = false;
    const auto see = [&](const Result<void>& result) {
      refused = result.has_error();
      if (refused) code = result.error().code;
    };
    for (int i = 0; i < 40 && !refused; ++i) {
      storage.value()->Apply(Batch().Put("big" + std::to_string(i), std::string(65536, 'b')));
      storage.value()->Sync(see);
      loop.Run();
    }
    BOOST_TEST(refused);
    BOOST_TEST((code == ErrorCode::kStorage));
    BOOST_TEST(storage.value()->failed());
    refused = false;
    storage.value()->Sync(see);
    loop.Run();
    BOOST_TEST(refused);
  }
  const auto storage = LmdbStorage::Open(loop, folder.Options(1U << 20));
  BOOST_REQUIRE(storage.has_value());
  BOOST_TEST(storage.value()->Get("kept").value() == "1");
}

BOOST_AUTO_TEST_CASE(a_power_loss_keeps_a_prefix_of_what_was_not_synced) {
  for (std::size_t kept = 0; kept <= 3; ++kept) {
    CrashDisk disk;
    CrashStorage storage(disk, [](const std::function<void()>& step) { step(); });
    storage.Apply(Batch().Put("a", "1"));
    storage.Sync([](const Result<void>&) {});
    storage.Apply(Batch().Put("b", "1"));
    storage.Apply(Batch().Put("c", "1").Remove("a"));
    disk.LosePower(kept);
    CrashStorage again(disk, [](const std::function<void()>& step) { step(); });
    BOOST_TEST(again.Get("a").has_value() == (kept < 2));
    BOOST_TEST(again.Get("b").has_value() == (kept >= 1));
    BOOST_TEST(again.Get("c").has_value() == (kept >= 2));
  }
}

BOOST_AUTO_TEST_CASE(a_sync_covers_what_was_applied_before_it_was_asked_for) {
  CrashDisk disk;
  std::deque<std::function<void()>> steps;
  CrashStorage storage(disk, [&](std::function<void()> step) { steps.push_back(std::move(step)); });
  storage.Apply(Batch().Put("a", "1"));
  bool told = false;
  storage.Sync([&](const Result<void>&) { told = true; });
  storage.Apply(Batch().Put("b", "1"));
  steps.front()();
  BOOST_TEST(told);
  BOOST_TEST(disk.unsynced() == 1U);
  disk.LosePower(0);
  BOOST_TEST(storage.Get("a").has_value());
  BOOST_TEST(!storage.Get("b").has_value());
}

// Bytes of memory that the process holds now.
std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

BOOST_AUTO_TEST_CASE(a_file_larger_than_the_memory_can_be_read_through) {
  constexpr std::size_t kValue = 100'000;
  constexpr int kValues = 800;
  StepLoop loop;
  Folder folder;
  auto storage = LmdbStorage::Open(loop, folder.Options(200U << 20));
  BOOST_REQUIRE(storage);
  for (int number = 0; number < kValues; ++number) {
    Batch batch;
    batch.Put("key" + std::to_string(number), std::string(kValue, 'v'));
    storage.value()->Apply(batch);
    storage.value()->Sync([](const Result<void>&) {});
    loop.Run();
  }
  const std::size_t before = ResidentBytes();
  std::size_t read = 0;
  storage.value()->Scan("", "", [&](std::string_view, std::string_view value) {
    read += value.size();
    return true;
  });
  BOOST_TEST(read == kValue * kValues);
  BOOST_TEST(ResidentBytes() < before + (30U << 20));
}

BOOST_AUTO_TEST_CASE(a_large_file_can_be_read_through_while_something_is_being_written) {
  constexpr std::size_t kValue = 100'000;
  constexpr int kValues = 800;
  StepLoop loop;
  Folder folder;
  auto storage = LmdbStorage::Open(loop, folder.Options(200U << 20));
  BOOST_REQUIRE(storage);
  for (int number = 0; number < kValues; ++number) {
    storage.value()->Apply(Batch().Put("key" + std::to_string(number), std::string(kValue, 'v')));
    storage.value()->Sync([](const Result<void>&) {});
    loop.Run();
  }
  storage.value()->Apply(Batch().Put("unsynced", "value"));
  const std::size_t before = ResidentBytes();
  int read = 0;
  storage.value()->Scan("", "", [&](std::string_view, std::string_view) {
    ++read;
    return true;
  });
  BOOST_TEST(read == kValues + 1);
  BOOST_TEST(ResidentBytes() < before + (40U << 20));
  bool synced = false;
  storage.value()->Sync([&](const Result<void>& result) { synced = result.has_value(); });
  loop.Run();
  BOOST_TEST(synced);
  BOOST_TEST(storage.value()->Get("unsynced").value_or("") == "value");
}

BOOST_AUTO_TEST_CASE(room_of_removed_values_counts_as_free) {
  StepLoop loop;
  Folder folder;
  auto storage = LmdbStorage::Open(loop, folder.Options(20U << 20));
  BOOST_REQUIRE(storage);
  const auto commit = [&](const Batch& batch) {
    storage.value()->Apply(batch);
    storage.value()->Sync([](const Result<void>&) {});
    loop.Run();
  };
  commit(Batch().Put("large", std::string(10U << 20, 'v')));
  const std::uint64_t full = storage.value()->usage().bytes_used;
  commit(Batch().Remove("large"));
  for (int number = 0; number < 40; ++number) commit(Batch().Put("small", std::to_string(number)));
  BOOST_TEST(full > (10U << 20));
  BOOST_TEST(storage.value()->usage().bytes_used < (1U << 20));
}

// ---- Long values, and what free pages are good for.

bool Stores(StepLoop& loop, Storage& storage, const Batch& batch) {
  bool stored = false;
  storage.Apply(batch);
  storage.Sync([&](const Result<void>& result) { stored = result.has_value(); });
  loop.Run();
  return stored;
}

// Another byte at each place, so that pieces in another order are another value.
std::string LongText(std::size_t size, unsigned seed) {
  std::string text(size, '\0');
  for (std::size_t at = 0; at < size; ++at) {
    text[at] = static_cast<char>('a' + (at / 7 + at % 13 + seed) % 26);
  }
  return text;
}

// Around one page, around several, and none at all.
constexpr std::size_t kLengths[] = {0,    1,    24,   4071, 4072,  4073,    4080,
                                    4081, 8159, 8160, 8161, 65536, 200'000, 1U << 20};

BOOST_AUTO_TEST_CASE(values_of_any_length_replace_each_other_and_last) {
  const Folder folder;
  StepLoop loop;
  for (const std::size_t before : kLengths) {
    for (const std::size_t after : kLengths) {
      const std::string text = LongText(after, 2);
      {
        const auto opened = LmdbStorage::Open(loop, folder.Options(16U << 20));
        BOOST_REQUIRE(opened.has_value());
        Storage& storage = *opened.value();
        BOOST_TEST(Stores(loop, storage, Batch().Put("key", LongText(before, 1)).Put("key2", "")));
        storage.Apply(Batch().Put("key", text));
        BOOST_TEST((storage.Get("key") == text));
        BOOST_TEST(Stores(loop, storage, {}));
      }
      const auto opened = LmdbStorage::Open(loop, folder.Options(16U << 20));
      BOOST_REQUIRE(opened.has_value());
      BOOST_TEST((opened.value()->Get("key") == text), before << " then " << after);
      BOOST_TEST((KeysOf(*opened.value(), "") == std::vector<std::string>{"key", "key2"}));
    }
  }
  BOOST_TEST(!std::filesystem::exists(folder.path / "core.damaged"));
}

BOOST_AUTO_TEST_CASE(a_removed_long_value_leaves_nothing) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options(16U << 20));
  BOOST_REQUIRE(opened.has_value());
  Storage& storage = *opened.value();
  BOOST_TEST(Stores(loop, storage, Batch().Put("kept", LongText(100'000, 1))));
  const std::uint64_t before = storage.usage().bytes_used;
  BOOST_TEST(Stores(loop, storage, Batch().Put("key", LongText(1U << 20, 2))));
  BOOST_TEST(storage.usage().bytes_used > before + (1U << 20));
  BOOST_TEST(Stores(loop, storage, Batch().Put("key", "1")));
  BOOST_TEST(storage.usage().bytes_used <= before + (8U << 10));
  BOOST_TEST(Stores(loop, storage, Batch().Put("key", LongText(1U << 20, 3))));
  BOOST_TEST(Stores(loop, storage, Batch().Remove("key").Remove("key")));
  BOOST_TEST(storage.usage().bytes_used <= before + (8U << 10));
  BOOST_TEST(!storage.Get("key").has_value());
  BOOST_TEST((storage.Get("kept") == LongText(100'000, 1)));
}

// Where files have lived for a while, hardly two free pages follow each other.
BOOST_AUTO_TEST_CASE(a_long_value_needs_no_free_pages_that_follow_each_other) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  Storage& storage = *opened.value();
  int stored = 0;
  while (storage.usage().bytes_used < (3U << 20)) {
    BOOST_REQUIRE(
        Stores(loop, storage, Batch().Put("key" + std::to_string(stored), std::string(3000, 'v'))));
    ++stored;
  }
  for (int number = 0; number < stored; number += 2) {
    BOOST_REQUIRE(Stores(loop, storage, Batch().Remove("key" + std::to_string(number))));
  }
  for (int number = 0; number < 4; ++number) {
    const std::string key = "long" + std::to_string(number);
    BOOST_TEST(Stores(loop, storage, Batch().Put(key, LongText(300'000, 1))), key);
  }
  BOOST_TEST(!storage.failed());
}

// Whoever has no room for what it is asked to keep stores nothing, so no commit brings a new count.
BOOST_AUTO_TEST_CASE(what_is_used_is_known_with_each_change) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options(64U << 20));
  BOOST_REQUIRE(opened.has_value());
  Storage& storage = *opened.value();
  const Batch large = Batch().Put("large", std::string(10U << 20, 'v'));
  for (int round = 0; round < 3; ++round) {
    BOOST_TEST(storage.usage().bytes_used < (1U << 20));
    storage.Apply(large);
    BOOST_TEST(storage.usage().bytes_used > (10U << 20));
    BOOST_TEST(Stores(loop, storage, {}));
    BOOST_TEST(storage.usage().bytes_used > (10U << 20));
    BOOST_TEST(Stores(loop, storage, Batch().Remove("large")));
  }
  BOOST_TEST(storage.usage().bytes_used < (1U << 20));
}

BOOST_AUTO_TEST_CASE(one_changed_byte_of_a_long_value_is_found) {
  for (const std::size_t changed : {std::size_t{10}, std::size_t{5000}, std::size_t{99'999}}) {
    const Folder folder;
    StepLoop loop;
    const std::string text = LongText(100'000, 1);
    {
      const auto opened = LmdbStorage::Open(loop, folder.Options());
      BOOST_REQUIRE(opened.has_value());
      BOOST_TEST(Stores(loop, *opened.value(), Batch().Put("key", text)));
    }
    const auto file = folder.path / "core" / "data.mdb";
    std::string bytes(std::filesystem::file_size(file), '\0');
    std::ifstream(file, std::ios::binary).read(bytes.data(), static_cast<long>(bytes.size()));
    const std::string near = text.substr(changed - changed % 4080, 1000);
    const auto at = bytes.find(near);
    BOOST_REQUIRE(at != std::string::npos);
    bytes[at + 10] = '!';
    std::ofstream(file, std::ios::binary).write(bytes.data(), static_cast<long>(bytes.size()));
    CheckSetAside(loop, folder);
  }
}

// Earlier programs kept each value in one record, however long.
void WriteAsBefore(const std::filesystem::path& file, const std::string& key,
                   const std::string& value) {
  const std::uint64_t checksum =
      gaugecart::Fnv1a(value, gaugecart::Fnv1a(key) * gaugecart::kFnvPrime);
  const std::string stored =
      std::string(reinterpret_cast<const char*>(&checksum), sizeof checksum) + value;
  MDB_env* environment = nullptr;
  MDB_txn* transaction = nullptr;
  MDB_dbi table = 0;
  BOOST_REQUIRE(mdb_env_create(&environment) == 0);
  BOOST_REQUIRE(mdb_env_set_mapsize(environment, 4U << 20) == 0);
  BOOST_REQUIRE(mdb_env_open(environment, file.c_str(), MDB_NOLOCK | MDB_NOSUBDIR, 0600) == 0);
  BOOST_REQUIRE(mdb_txn_begin(environment, nullptr, 0, &transaction) == 0);
  BOOST_REQUIRE(mdb_dbi_open(transaction, nullptr, 0, &table) == 0);
  MDB_val name{key.size(), const_cast<char*>(key.data())};
  MDB_val bytes{stored.size(), const_cast<char*>(stored.data())};
  BOOST_REQUIRE(mdb_put(transaction, table, &name, &bytes, 0) == 0);
  BOOST_REQUIRE(mdb_txn_commit(transaction) == 0);
  mdb_env_close(environment);
}

BOOST_AUTO_TEST_CASE(a_file_of_an_earlier_program_is_read_and_goes_on) {
  const Folder folder;
  StepLoop loop;
  std::filesystem::create_directory(folder.path / "core");
  const auto file = folder.path / "core" / "data.mdb";
  WriteAsBefore(file, "long", LongText(100'000, 1));
  WriteAsBefore(file, "short", "1");
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  Storage& storage = *opened.value();
  BOOST_TEST((storage.Get("long") == LongText(100'000, 1)));
  BOOST_TEST((storage.Get("short") == "1"));
  BOOST_TEST(Stores(loop, storage, Batch().Put("long", LongText(50'000, 2)).Remove("short")));
  BOOST_TEST((storage.Get("long") == LongText(50'000, 2)));
  BOOST_TEST((KeysOf(storage, "") == std::vector<std::string>{"long"}));
}

// It would be taken for a piece of a long value.
BOOST_AUTO_TEST_CASE(a_key_that_is_the_storages_own_is_refused) {
  const Folder folder;
  StepLoop loop;
  const auto opened = LmdbStorage::Open(loop, folder.Options());
  BOOST_REQUIRE(opened.has_value());
  BOOST_TEST(!Stores(loop, *opened.value(),
                     Batch().Put("\xff"
                                 "key",
                                 "1")));
  BOOST_TEST((opened.value()->failure() == Failure::kFatal));
}

}  // namespace
}  // namespace shelflink::storage
