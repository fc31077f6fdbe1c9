// What a sidecar remembers: whole or not at all, whatever befalls its file, and nothing beyond its
// age.
#include "state/store.h"

#include <gtest/gtest.h>
#include <sqlite3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <limits>
#include <mutex>
#include <vector>

#include "recovery/recall.h"
#include "state/keeper.h"

namespace state {
namespace {

namespace fs = std::filesystem;

class Folder {
 public:
  Folder() {
    path_ = (fs::temp_directory_path() / "state.XXXXXX").string();
    if (::mkdtemp(path_.data()) == nullptr) std::abort();
  }
  ~Folder() { fs::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }
  std::string file() const { return path_ + "/state.sqlite"; }

 private:
  std::string path_;
};

Snapshot Of(std::int64_t version, std::size_t size = 200) {
  return {version,
          "list " + std::to_string(version) + std::string(size, '.'),
          {"boot-1", 1000 + version, 2000 + version}};
}

TEST(Store, KeepsALessonBesideTheListAndChecksItToo) {
  const Folder folder;
  Snapshot with = Of(3);
  with.lesson = "limit 12";
  with.lesson_learned = {"boot-1", 77, 88};
  {
    Store store(folder.path(), "s1");
    ASSERT_EQ(store.Save(with), "");
  }
  {
    Store store(folder.path(), "s1");
    EXPECT_EQ(store.Load()->lesson, "limit 12");
    EXPECT_EQ(store.Load()->lesson_learned.uptime, 77);
  }
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(folder.file().c_str(), &db), SQLITE_OK);
  sqlite3_exec(db, "UPDATE snapshot SET lesson = 'limit 13'", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  Store store(folder.path(), "s1");
  EXPECT_NE(store.set_aside().find("torn"), std::string::npos);
}

TEST(Store, KeepsAFenceAndNobodyElsesIsTaken) {
  const Folder folder;
  {
    Store store(folder.path(), "s1");
    Snapshot with = Of(3);
    with.fence = 812;
    ASSERT_EQ(store.Save(with), "");
  }
  EXPECT_EQ(Store(folder.path(), "s1").Load()->fence, 812);
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(folder.file().c_str(), &db), SQLITE_OK);
  sqlite3_exec(db, "UPDATE snapshot SET fence = 7", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  Store store(folder.path(), "s1");
  EXPECT_NE(store.set_aside().find("torn"), std::string::npos);
}

// As the program before fences left it.
TEST(Store, TakesOverWhatTheProgramBeforeFencesKept) {
  const Folder folder;
  {
    Store store(folder.path(), "s1");
    ASSERT_EQ(store.Save(Of(3)), "");
  }
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(folder.file().c_str(), &db), SQLITE_OK);
  ASSERT_EQ(sqlite3_exec(db, "ALTER TABLE snapshot DROP COLUMN fence; PRAGMA user_version = 2",
                         nullptr, nullptr, nullptr),
            SQLITE_OK);
  sqlite3_close(db);
  Store store(folder.path(), "s1");
  EXPECT_EQ(store.set_aside(), "");
  ASSERT_TRUE(store.Load());
  EXPECT_EQ(store.Load()->list, Of(3).list);
  EXPECT_EQ(store.Load()->fence, 0);
}

// As the program before lessons left it.
TEST(Store, TakesOverWhatAnOlderProgramKept) {
  const Folder folder;
  {
    Store store(folder.path(), "s1");
    ASSERT_EQ(store.Save(Of(3)), "");
  }
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(folder.file().c_str(), &db), SQLITE_OK);
  for (const char* step :
       {"ALTER TABLE snapshot DROP COLUMN fence", "ALTER TABLE snapshot DROP COLUMN lesson",
        "ALTER TABLE snapshot DROP COLUMN lesson_boot",
        "ALTER TABLE snapshot DROP COLUMN lesson_uptime",
        "ALTER TABLE snapshot DROP COLUMN lesson_wall", "PRAGMA user_version = 1"}) {
    ASSERT_EQ(sqlite3_exec(db, step, nullptr, nullptr, nullptr), SQLITE_OK) << step;
  }
  sqlite3_close(db);
  Store store(folder.path(), "s1");
  EXPECT_EQ(store.set_aside(), "");
  ASSERT_TRUE(store.Load());
  EXPECT_EQ(store.Load()->list, Of(3).list);
  Snapshot with = Of(4);
  with.lesson = "limit 12";
  EXPECT_EQ(store.Save(with), "");
  EXPECT_EQ(store.Load()->lesson, "limit 12");
}

TEST(Store, GivesBackWhatWasSavedLast) {
  const Folder folder;
  {
    Store store(folder.path(), "s1");
    EXPECT_FALSE(store.Load());
    EXPECT_EQ(store.Save(Of(1)), "");
    EXPECT_EQ(store.Save(Of(2, 5000)), "");
  }
  Store store(folder.path(), "s1");
  EXPECT_EQ(store.set_aside(), "");
  const auto snapshot = store.Load();
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->version, 2);
  EXPECT_EQ(snapshot->list, Of(2, 5000).list);
  EXPECT_EQ(snapshot->learned.boot, "boot-1");
  EXPECT_EQ(snapshot->learned.uptime, 1002);
  EXPECT_EQ(snapshot->learned.wall, 2002);
}

TEST(Store, IsSetAsideUnderANameThatSaysWhy) {
  const auto check = [](const std::string& why, const std::function<void(const Folder&)>& spoil) {
    const Folder folder;
    {
      Store store(folder.path(), "s1");
      ASSERT_EQ(store.Save(Of(1, 20'000)), "");
    }
    spoil(folder);
    Store store(folder.path(), "s1");
    EXPECT_EQ(store.set_aside(),
              "stored state is " + why + ": set aside as " + folder.file() + "." + why);
    EXPECT_TRUE(fs::exists(folder.file() + "." + why));
    EXPECT_FALSE(store.Load());
    EXPECT_EQ(store.Save(Of(2)), "");  // It goes on with a store of its own.
    EXPECT_EQ(store.Load()->version, 2);
  };
  const auto sql = [](const Folder& folder, const char* text) {
    sqlite3* db = nullptr;
    sqlite3_open(folder.file().c_str(), &db);
    EXPECT_EQ(sqlite3_exec(db, text, nullptr, nullptr, nullptr), SQLITE_OK);
    sqlite3_close(db);
  };
  check("torn", [](const Folder& f) { fs::resize_file(f.file(), 9000); });
  check("torn", [](const Folder& f) { std::ofstream(f.file()) << "this is no database at all"; });
  check("torn", [&](const Folder& f) { sql(f, "UPDATE snapshot SET version = 7"); });
  check("foreign", [&](const Folder& f) { sql(f, "PRAGMA application_id = 5"); });
  check("newer", [&](const Folder& f) { sql(f, "PRAGMA user_version = 99"); });
  check("foreign", [](const Folder& f) {
    fs::remove(f.file());
    Store other(f.path(), "s2");
    ASSERT_EQ(other.Save(Of(1)), "");
  });
}

TEST(Store, KeepsAFewOfWhatItSetAside) {
  const Folder folder;
  for (int i = 0; i < 6; ++i) {
    std::ofstream(folder.file()) << "no database, number " << i;
    const Store store(folder.path(), "s1");
    EXPECT_NE(store.set_aside(), "");
  }
  std::size_t aside = 0;
  for (const auto& entry : fs::directory_iterator(folder.path())) {
    aside += entry.path().string().find(".torn") != std::string::npos ? 1 : 0;
  }
  EXPECT_EQ(aside, 3U);
}

TEST(Store, ASecondProcessGoesWithoutIt) {
  const Folder folder;
  Store first(folder.path(), "s1");
  ASSERT_EQ(first.Save(Of(1)), "");
  Store second(folder.path(), "s1");
  EXPECT_TRUE(second.in_use());
  EXPECT_FALSE(second.Load());
  EXPECT_NE(second.Save(Of(2)), "");
  EXPECT_EQ(first.Load()->version, 1);
}

TEST(Store, NamesAFolderThatCannotBeUsed) {
  const Folder folder;
  const auto fault = [](const std::string& path) {
    try {
      const Store store(path, "s1");
    } catch (const BadFolder& e) {
      return std::string(e.what());
    }
    return std::string("accepted");
  };
  std::ofstream(folder.path() + "/file") << "x";
  fs::create_symlink(folder.path(), folder.path() + "/link");
  EXPECT_EQ(fault(folder.path() + "/none"),
            folder.path() + "/none: expected a folder: No such file or directory");
  EXPECT_EQ(fault(folder.path() + "/file"), folder.path() + "/file: expected a folder, got a file");
  EXPECT_EQ(fault(folder.path() + "/link"), folder.path() + "/link: expected a folder, got a link");
}

TEST(Store, RefusesMoreThanItsLimit) {
  const Folder folder;
  Store store(folder.path(), "s1");
  ASSERT_EQ(store.Save(Of(1)), "");
  EXPECT_EQ(store.Save(Of(2, kMostBytes + 1)).rfind("expected at most 4194304 bytes", 0), 0U);
  EXPECT_EQ(store.Load()->version, 1);
}

// ---- A process that dies while it writes ----

// The machine's files, until a number of bytes has been written; the write that crosses it stays
// half done, and from then on nothing gets through.
std::int64_t bytes_left = std::numeric_limits<std::int64_t>::max();

struct Dying {
  sqlite3_file base;
  sqlite3_file* real;
};
sqlite3_file* Real(sqlite3_file* f) { return reinterpret_cast<Dying*>(f)->real; }

int Write(sqlite3_file* f, const void* bytes, int n, sqlite3_int64 at) {
  const auto through = static_cast<int>(std::clamp<std::int64_t>(bytes_left, 0, n));
  bytes_left -= n;
  if (through > 0) {
    const int rc = Real(f)->pMethods->xWrite(Real(f), bytes, through, at);
    if (rc != SQLITE_OK) return rc;
  }
  return through == n ? SQLITE_OK : SQLITE_IOERR_WRITE;
}
bool Dead() { return bytes_left < 0; }
int Truncate(sqlite3_file* f, sqlite3_int64 n) {
  return Dead() ? SQLITE_IOERR_TRUNCATE : Real(f)->pMethods->xTruncate(Real(f), n);
}
int Close(sqlite3_file* f) { return Real(f)->pMethods->xClose(Real(f)); }
int Read(sqlite3_file* f, void* to, int n, sqlite3_int64 at) {
  return Real(f)->pMethods->xRead(Real(f), to, n, at);
}
int Sync(sqlite3_file*, int) { return Dead() ? SQLITE_IOERR_FSYNC : SQLITE_OK; }
int Size(sqlite3_file* f, sqlite3_int64* n) { return Real(f)->pMethods->xFileSize(Real(f), n); }
int Lock(sqlite3_file* f, int l) { return Real(f)->pMethods->xLock(Real(f), l); }
int Unlock(sqlite3_file* f, int l) { return Real(f)->pMethods->xUnlock(Real(f), l); }
int Reserved(sqlite3_file* f, int* l) { return Real(f)->pMethods->xCheckReservedLock(Real(f), l); }
int Control(sqlite3_file* f, int op, void* a) {
  return Real(f)->pMethods->xFileControl(Real(f), op, a);
}
int Sector(sqlite3_file* f) { return Real(f)->pMethods->xSectorSize(Real(f)); }
int Device(sqlite3_file* f) { return Real(f)->pMethods->xDeviceCharacteristics(Real(f)); }

// Without shared memory or mapped files: version 1 of the interface.
const sqlite3_io_methods kMethods = {1,       Close,   Read,     Write,   Truncate, Sync,   Size,
                                     Lock,    Unlock,  Reserved, Control, Sector,   Device, nullptr,
                                     nullptr, nullptr, nullptr,  nullptr, nullptr};

sqlite3_vfs* machine = nullptr;
int Open(sqlite3_vfs*, const char* name, sqlite3_file* f, int flags, int* out) {
  auto* dying = reinterpret_cast<Dying*>(f);
  dying->real = reinterpret_cast<sqlite3_file*>(dying + 1);
  const int rc = machine->xOpen(machine, name, dying->real, flags, out);
  f->pMethods = rc == SQLITE_OK ? &kMethods : nullptr;
  return rc;
}
int Delete(sqlite3_vfs*, const char* name, int sync) {
  return Dead() ? SQLITE_IOERR_DELETE : machine->xDelete(machine, name, sync);
}

// Installed once, as the one that every store opens its file by.
void InstallDyingFiles() {
  static sqlite3_vfs dying = [] {
    machine = sqlite3_vfs_find(nullptr);
    sqlite3_vfs vfs = *machine;
    vfs.zName = "dying";
    vfs.szOsFile = static_cast<int>(sizeof(Dying)) + machine->szOsFile;
    vfs.xOpen = Open;
    vfs.xDelete = Delete;
    vfs.pNext = nullptr;
    return vfs;
  }();
  sqlite3_vfs_register(&dying, 1);
}

TEST(Crash, AtEveryByteOfAWriteTheOldSnapshotOrTheNewIsThere) {
  InstallDyingFiles();
  const Folder model;
  {
    Store store(model.path(), "s1");
    ASSERT_EQ(store.Save(Of(1)), "");
  }
  std::int64_t most = 0;
  {
    const Folder folder;
    fs::copy_file(model.file(), folder.file());
    Store store(folder.path(), "s1");
    bytes_left = 1 << 30;
    ASSERT_EQ(store.Save(Of(2)), "");
    most = (1 << 30) - bytes_left;
  }
  ASSERT_GT(most, 1000);
  std::size_t old_ones = 0;
  std::size_t new_ones = 0;
  const Folder folder;
  for (std::int64_t bytes = 0; bytes <= most; ++bytes) {
    fs::remove_all(folder.path());
    fs::create_directory(folder.path());
    fs::copy_file(model.file(), folder.file());
    {
      Store store(folder.path(), "s1");
      bytes_left = bytes;
      store.Save(Of(2));
    }
    bytes_left = std::numeric_limits<std::int64_t>::max();
    Store store(folder.path(), "s1");
    ASSERT_EQ(store.set_aside(), "") << "after byte " << bytes;
    const auto snapshot = store.Load();
    ASSERT_TRUE(snapshot) << "after byte " << bytes;
    ASSERT_EQ(snapshot->list, Of(snapshot->version).list) << "after byte " << bytes;
    ++(snapshot->version == 1 ? old_ones : new_ones);
  }
  EXPECT_GT(old_ones, 100U);
  EXPECT_GE(new_ones, 1U);
}

TEST(Crash, AFullDiskCostsTheSnapshotAndNothingElse) {
  InstallDyingFiles();
  const Folder folder;
  std::mutex mutex;
  std::vector<std::string> faults;
  {
    Store store(folder.path(), "s1");
    ASSERT_EQ(store.Save(Of(1)), "");
    bytes_left = 10;
    Keeper keeper(store, std::chrono::milliseconds(0), [&](const std::string& fault) {
      const std::lock_guard lock(mutex);
      faults.push_back(fault);
    });
    keeper.Put(Of(2));
  }
  bytes_left = std::numeric_limits<std::int64_t>::max();
  EXPECT_EQ(faults.size(), 1U);
  Store store(folder.path(), "s1");
  EXPECT_EQ(store.Load()->version, 1);
}

TEST(Keeper, TheNewestIsThereAtTheEnd) {
  const Folder folder;
  {
    Store store(folder.path(), "s1");
    Keeper keeper(store, std::chrono::hours(1), [](const std::string& f) { ADD_FAILURE() << f; });
    for (int i = 1; i <= 100; ++i) keeper.Put(Of(i));
  }
  EXPECT_EQ(Store(folder.path(), "s1").Load()->version, 100);
}

// ---- Ages ----

TEST(Age, GoesByTheTimeSinceBootWhateverTheWallClockDoes) {
  const Moment then{"b", 1'000, 9'000'000'000};
  EXPECT_EQ(AgeOf(then, {"b", 6'000, 5'000}), 5'000);
  EXPECT_EQ(AgeOf(then, {"b", 500, 10'000'000'000}), std::nullopt);
}

TEST(Age, BetweenTwoBootsTheWallClockTellsUnlessItWentBack) {
  const Moment then{"b", 1'000, 9'000};
  EXPECT_EQ(AgeOf(then, {"c", 10, 9'500}), 500);
  EXPECT_EQ(AgeOf(then, {"c", 10, 8'000}), std::nullopt);
  EXPECT_EQ(AgeOf({"", 1'000, 9'000}, {"", 9'000, 9'500}), 500);
}

TEST(Age, HereGoesOn) {
  const Moment a = Here();
  const Moment b = Here();
  EXPECT_GT(a.uptime, 0);
  EXPECT_GE(AgeOf(a, b).value_or(-1), 0);
}

TEST(Recall, ALaterListOfKnownAgeAlone) {
  using recovery::MayRecall;
  using recovery::Recall;
  EXPECT_EQ(MayRecall(5, 10, 7, std::nullopt), Recall::kTake);
  EXPECT_EQ(MayRecall(11, 10, 7, std::nullopt), Recall::kTooOld);
  EXPECT_EQ(MayRecall(std::nullopt, 10, 7, std::nullopt), Recall::kAgeUnknown);
  EXPECT_EQ(MayRecall(5, 10, 7, 7), Recall::kNotNewer);
  EXPECT_EQ(MayRecall(5, 10, 8, 7), Recall::kTake);
}

}  // namespace
}  // namespace state
