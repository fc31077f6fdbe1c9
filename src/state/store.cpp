#include "state/store.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "mix.h"
#include "state/sqlite.h"

namespace state {
namespace {

// Marks the file as a sidecar's store ("klsp"); the schema's number is what `user_version` holds.
constexpr int kApplication = 0x6b6c7370;
constexpr int kSchema = 3;  // 1 had no lesson, 2 no fence.
constexpr int kBusyMs = 100;
// Copies kept of what was set aside for one reason; a further one replaces the last.
constexpr int kMostAside = 3;

constexpr const char* kMake =
    "CREATE TABLE IF NOT EXISTS snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), owner TEXT NOT "
    "NULL, version INTEGER NOT NULL, list TEXT NOT NULL, boot TEXT NOT NULL, uptime INTEGER NOT "
    "NULL, wall INTEGER NOT NULL, checksum INTEGER NOT NULL, lesson TEXT NOT NULL DEFAULT '', "
    "lesson_boot TEXT NOT NULL DEFAULT '', lesson_uptime INTEGER NOT NULL DEFAULT 0, lesson_wall "
    "INTEGER NOT NULL DEFAULT 0, fence INTEGER NOT NULL DEFAULT 0)";
constexpr const char* kFromFirst =
    "ALTER TABLE snapshot ADD COLUMN lesson TEXT NOT NULL DEFAULT '';"
    "ALTER TABLE snapshot ADD COLUMN lesson_boot TEXT NOT NULL DEFAULT '';"
    "ALTER TABLE snapshot ADD COLUMN lesson_uptime INTEGER NOT NULL DEFAULT 0;"
    "ALTER TABLE snapshot ADD COLUMN lesson_wall INTEGER NOT NULL DEFAULT 0;"
    "PRAGMA user_version = 2;";
constexpr const char* kFromSecond =
    "ALTER TABLE snapshot ADD COLUMN fence INTEGER NOT NULL DEFAULT 0; PRAGMA user_version = 3;";
constexpr const char* kRead =
    "SELECT owner, version, list, boot, uptime, wall, checksum, lesson, lesson_boot, "
    "lesson_uptime, lesson_wall, fence FROM snapshot WHERE one = 1";
constexpr const char* kWrite =
    "INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)";

// FNV-1a over all that a row says: SQLite checks its own pages only for their form.
std::int64_t ChecksumOf(const std::string& owner, const Snapshot& s) {
  std::uint64_t h = gaugecart::kFnvBasis;
  const auto add = [&h](std::string_view bytes) {
    h = gaugecart::Fnv1a(bytes, h);
    h = (h ^ 0xffU) * gaugecart::kFnvPrime;  // Between parts.
  };
  add(owner);
  add(s.list);
  add(s.learned.boot);
  for (const Micros n : {s.version, s.learned.uptime, s.learned.wall}) add(std::to_string(n));
  if (!s.lesson.empty()) {
    add(s.lesson);
    add(s.lesson_learned.boot);
    for (const Micros n : {s.lesson_learned.uptime, s.lesson_learned.wall}) add(std::to_string(n));
  }
  if (s.fence != 0) add(std::to_string(s.fence));
  return static_cast<std::int64_t>(h);
}

Snapshot SnapshotOf(Statement& row) {
  return {row.Number(1),
          row.Text(2),
          {row.Text(3), row.Number(4), row.Number(5)},
          row.Text(7),
          {row.Text(8), row.Number(9), row.Number(10)},
          row.Number(11)};
}

bool Run(sqlite3* db, const char* text) {
  return sqlite3_exec(db, text, nullptr, nullptr, nullptr) == SQLITE_OK;
}

std::int64_t Pragma(sqlite3* db, const char* text) {
  Statement s(db, text);
  return s.Step() == SQLITE_ROW ? s.Number(0) : -1;
}

}  // namespace

void CheckFolder(const std::string& folder) {
  struct stat info {};
  if (::lstat(folder.c_str(), &info) != 0) {
    throw BadFolder(folder + ": expected a folder: " + std::strerror(errno));
  }
  if (S_ISLNK(info.st_mode)) throw BadFolder(folder + ": expected a folder, got a link");
  if (!S_ISDIR(info.st_mode)) throw BadFolder(folder + ": expected a folder, got a file");
  if (::access(folder.c_str(), W_OK | X_OK) != 0) {
    throw BadFolder(folder + ": expected a folder that can be written: " + std::strerror(errno));
  }
}

void Store::Close::operator()(sqlite3* db) const { sqlite3_close(db); }

Store::Store(const std::string& folder, std::string owner)
    : folder_(folder), owner_(std::move(owner)) {
  CheckFolder(folder_);
  const std::string path = folder_ + "/state.lock";
  lock_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (lock_ < 0) throw BadFolder(path + ": expected a file to lock: " + std::strerror(errno));
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    ::close(std::exchange(lock_, -1));
    return;
  }
  const std::string why = Open();
  if (!why.empty()) SetAside(why);
}

Store::~Store() {
  db_.reset();
  if (lock_ >= 0) ::close(lock_);
}

std::string Store::Open() {
  sqlite3* db = nullptr;
  // One thread at a time uses it; the library need not lock.
  const int opened =
      sqlite3_open_v2(Path().c_str(), &db,
                      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  db_.reset(db);
  if (opened != SQLITE_OK) return "unreadable";
  sqlite3_busy_timeout(db, kBusyMs);
  return Fault();
}

std::string Store::Fault() {
  sqlite3* db = db_.get();
  const std::int64_t application = Pragma(db, "PRAGMA application_id");
  if (application < 0) return "torn";
  const bool fresh = application == 0 && Pragma(db, "PRAGMA schema_version") == 0;
  if (fresh) {
    const bool made =
        Run(db, "PRAGMA synchronous = FULL") && Run(db, "BEGIN IMMEDIATE") && Run(db, kMake) &&
        Run(db, ("PRAGMA application_id = " + std::to_string(kApplication)).c_str()) &&
        Run(db, ("PRAGMA user_version = " + std::to_string(kSchema)).c_str()) && Run(db, "COMMIT");
    // A full disk is no fault of the file: what is not made now is made with the first snapshot.
    if (!made) Run(db, "ROLLBACK");
    return {};
  }
  if (application != kApplication) return "foreign";
  if (Pragma(db, "PRAGMA user_version") > kSchema) return "newer";
  Statement check(db, "PRAGMA quick_check(1)");
  if (check.Step() != SQLITE_ROW || check.Text(0) != "ok") return "torn";
  if (const std::int64_t had = Pragma(db, "PRAGMA user_version"); had < kSchema) {
    const bool moved = Run(db, "BEGIN IMMEDIATE") && (had > 1 || Run(db, kFromFirst)) &&
                       Run(db, kFromSecond) && Run(db, "COMMIT");
    if (!moved) {
      Run(db, "ROLLBACK");
      return "unreadable";
    }
  }
  Statement row(db, kRead);
  const int step = row.Step();
  if (step == SQLITE_DONE) return {};
  if (step != SQLITE_ROW) return "torn";
  if (row.Text(0) != owner_) return "foreign";
  return row.Number(6) == ChecksumOf(owner_, SnapshotOf(row)) ? "" : "torn";
}

// What belongs to the database goes with it, so that no journal of it meets the next one.
void Store::SetAside(const std::string& why) {
  db_.reset();
  std::string to;
  for (int i = 1; i <= kMostAside; ++i) {
    to = Path();
    to.append(".").append(why);
    if (i > 1) to.append("-").append(std::to_string(i));
    if (!std::filesystem::exists(to)) break;
  }
  std::error_code ec;
  for (const char* part : {"", "-journal", "-wal", "-shm"}) {
    const std::string from = Path() + part;
    if (std::filesystem::exists(from, ec)) std::filesystem::rename(from, to + part, ec);
  }
  set_aside_ = "stored state is " + why + ": set aside as " + to;
  if (ec) set_aside_ = "stored state is " + why + " and cannot be set aside: " + ec.message();
  const std::string again = ec ? why : Open();
  if (!again.empty()) db_.reset();  // Nothing is remembered then.
}

std::optional<Snapshot> Store::Load() {
  if (!db_) return std::nullopt;
  Statement row(db_.get(), kRead);
  if (row.Step() != SQLITE_ROW) return std::nullopt;
  return SnapshotOf(row);
}

std::string Store::Save(const Snapshot& snapshot) {
  if (!db_) return "no store is open";
  if (const std::size_t size = snapshot.list.size() + snapshot.lesson.size(); size > kMostBytes) {
    return "expected at most " + std::to_string(kMostBytes) + " bytes, got " + std::to_string(size);
  }
  // Where the disk was full at the start, nothing is made yet.
  if (!Run(db_.get(), kMake)) return sqlite3_errmsg(db_.get());
  Statement row(db_.get(), kWrite);
  if (!row.ok()) return sqlite3_errmsg(db_.get());
  row.Bind(1, owner_);
  row.Bind(2, snapshot.version);
  row.Bind(3, snapshot.list);
  row.Bind(4, snapshot.learned.boot);
  row.Bind(5, snapshot.learned.uptime);
  row.Bind(6, snapshot.learned.wall);
  row.Bind(7, ChecksumOf(owner_, snapshot));
  row.Bind(8, snapshot.lesson);
  row.Bind(9, snapshot.lesson_learned.boot);
  row.Bind(10, snapshot.lesson_learned.uptime);
  row.Bind(11, snapshot.lesson_learned.wall);
  row.Bind(12, snapshot.fence);
  return row.Step() == SQLITE_DONE ? std::string() : sqlite3_errmsg(db_.get());
}

}  // namespace state
