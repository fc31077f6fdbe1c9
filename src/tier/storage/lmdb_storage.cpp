#include "tier/storage/lmdb_storage.h"

#include <lmdb.h>
#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "mix.h"
#include "tier/foundation/log.h"
#include "tier/storage/lmdb_file.h"
#include "tier/storage/lmdb_pages.h"

namespace shelflink::storage {

namespace {

constexpr char kModule[] = "storage";
constexpr std::size_t kChecksumSize = 8;
constexpr mode_t kFileMode = 0600;
// Read through the map before it is let go.
constexpr std::size_t kMostBytesRead = 24U << 20;
// What finding one key touches besides its value, about: pages of the way there that few others
// share. Mapping anew costs the pages that all share, so it must stay seldom.
constexpr std::size_t kReachOfGet = 16U << 10;
constexpr std::size_t kReachOfChange = 4U << 10;
constexpr std::size_t kReachOfNext = 512;
// Commits after which free pages are counted anew.
constexpr std::size_t kCommitsPerCount = 32;
constexpr MDB_dbi kFreePagesTable = 0;  // LMDB's own: lists of page numbers, the count in front.
// Written and removed again before a storage that failed is trusted.
constexpr char kProbeKey[] = "probe";
constexpr std::size_t kProbeBytes = 16U << 10;

// It guards against damage, not against people.
std::uint64_t Checksum(std::string_view key, std::string_view value) {
  return gaugecart::Fnv1a(value, gaugecart::Fnv1a(key) * gaugecart::kFnvPrime);
}

MDB_val ToVal(std::string_view bytes) {
  return {bytes.size(), const_cast<char*>(bytes.data())};  // LMDB does not write through it.
}
std::string_view ToView(const MDB_val& val) {
  return {static_cast<const char*>(val.mv_data), val.mv_size};
}

// The value without its checksum; none where it does not fit.
std::optional<std::string_view> Checked(std::string_view key, std::string_view stored) {
  if (stored.size() < kChecksumSize) return std::nullopt;
  const std::string_view value = stored.substr(kChecksumSize);
  std::uint64_t told = 0;
  std::memcpy(&told, stored.data(), kChecksumSize);
  if (told != Checksum(key, value)) return std::nullopt;
  return value;
}

}  // namespace

Result<std::unique_ptr<LmdbStorage>> LmdbStorage::Open(net::Loop& loop, const Options& options) {
  std::unique_ptr<LmdbStorage> storage = OpenOrFailed(loop, options);
  if (storage->failed()) {
    return MakeError(ErrorCode::kStorage, options.folder + ": " + storage->failure_text());
  }
  return storage;
}

std::unique_ptr<LmdbStorage> LmdbStorage::OpenOrFailed(net::Loop& loop, const Options& options) {
  std::unique_ptr<LmdbStorage> storage(new LmdbStorage(loop, options));
  storage->OpenOrSetAside();
  return storage;
}

LmdbStorage::~LmdbStorage() {
  *alive_ = false;
  CloseEnvironment();
}

// ---- Opening and closing.

void LmdbStorage::OpenOrSetAside() {
  error_ = 0;
  int code = OpenVerified();
  if (FailureOfCode(code) == Failure::kDamaged) {
    code = SetFileAside();
    if (code == 0) code = OpenVerified();
  }
  if (code != 0) CloseEnvironment();
  error_ = code;
}

int LmdbStorage::OpenVerified() {
  if (const int code = MakeFile(options_.folder, options_.bytes_limit); code != 0) return code;
  if (const int code = OpenEnvironment(); code != 0) return code;
  return options_.verify ? Verify() : 0;
}

int LmdbStorage::OpenEnvironment() {
  if (const int code = mdb_env_create(&environment_); code != 0) return code;
  if (const int code = mdb_env_set_mapsize(environment_, options_.bytes_limit); code != 0) {
    return code;
  }
  if (const int code = mdb_env_open(environment_, options_.folder.c_str(), MDB_NOLOCK, kFileMode);
      code != 0) {
    return code;
  }
  if (const int code = CheckLength(); code != 0) return code;
  return OpenTable();
}

// A read beyond the end of the file would end the process: a file that is shorter than LMDB counts
// is opened only if it has each page that is in use.
int LmdbStorage::CheckLength() const {
  MDB_envinfo info{};
  MDB_stat stat{};
  struct stat file {};
  mdb_env_info(environment_, &info);
  mdb_env_stat(environment_, &stat);
  const std::string path = options_.folder + "/data.mdb";
  const std::uint64_t counted = (std::uint64_t{info.me_last_pgno} + 1) * stat.ms_psize;
  if (::stat(path.c_str(), &file) != 0) return errno;
  if (static_cast<std::uint64_t>(file.st_size) >= counted) return 0;
  return CheckPagesInUse(path, stat.ms_psize, info.me_last_txnid);
}

int LmdbStorage::OpenTable() {
  MDB_txn* transaction = nullptr;
  if (const int code = mdb_txn_begin(environment_, nullptr, 0, &transaction); code != 0) {
    return code;
  }
  if (const int code = mdb_dbi_open(transaction, nullptr, 0, &table_); code != 0) {
    mdb_txn_abort(transaction);
    return code;
  }
  return mdb_txn_commit(transaction);
}

int LmdbStorage::Verify() const {
  Scan("", "", [](std::string_view, std::string_view) { return true; });
  return std::exchange(error_, 0);
}

int LmdbStorage::SetFileAside() {
  CloseEnvironment();
  log::Line(log::Level::kError, kModule,
            options_.folder + " is damaged and set aside; this disk counts as a new one");
  return SetAside(options_.folder);
}

void LmdbStorage::CloseEnvironment() {
  if (reading_ != nullptr) mdb_txn_abort(reading_);
  if (writing_ != nullptr) mdb_txn_abort(writing_);
  if (environment_ != nullptr) mdb_env_close(environment_);
  reading_ = nullptr;
  writing_ = nullptr;
  environment_ = nullptr;
  bytes_read_ = 0;
  free_pages_.reset();
}

// ---- After a failure.

Failure LmdbStorage::failure() const { return FailureOfCode(error_); }

std::string LmdbStorage::failure_text() const { return failed() ? mdb_strerror(error_) : ""; }

Result<void> LmdbStorage::Recover() {
  if (!failed()) return BOOST_OUTCOME_V2_NAMESPACE::success();
  FailWaiting();
  if (const int code = ProveRoom(options_.folder); code != 0) {
    return MakeError(ErrorCode::kStorage, mdb_strerror(code));
  }
  CloseEnvironment();
  DropCachedPages(options_.folder);
  if (failure() == Failure::kDamaged) {
    error_ = SetFileAside();
    if (failed()) return MakeError(ErrorCode::kStorage, failure_text());
  }
  OpenOrSetAside();
  if (!failed()) WriteProbe();
  if (failed()) return MakeError(ErrorCode::kStorage, failure_text());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void LmdbStorage::WriteProbe() {
  Apply(Batch().Put(kProbeKey, std::string(kProbeBytes, 'p')));
  if (!failed()) EndWriting();
  Apply(Batch().Remove(kProbeKey));
  if (!failed()) EndWriting();
}

void LmdbStorage::FailWaiting() {
  const Error error = MakeError(ErrorCode::kStorage, failure_text());
  loop_.Post([told = std::exchange(waiting_, {}), error, alive = alive_] {
    for (const Synced& done : told) {
      if (*alive) done(error);
    }
  });
}

// ---- Reading.

MDB_txn* LmdbStorage::Reading() const {
  if (writing_ != nullptr) return writing_;
  const int code = reading_ == nullptr ? mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &reading_)
                                       : mdb_txn_renew(reading_);
  if (code == 0) return reading_;
  Fail(code);
  return nullptr;
}

void LmdbStorage::DoneReading() const {
  if (writing_ != nullptr || reading_ == nullptr) return;
  mdb_txn_reset(reading_);
  if (writing_ == nullptr && MustRemap()) Remap();
}

std::optional<std::string> LmdbStorage::Get(std::string_view key) const {
  if (failed()) return std::nullopt;
  MDB_txn* const transaction = Reading();
  if (transaction == nullptr) return std::nullopt;
  MDB_val name = ToVal(key);
  MDB_val found{};
  std::optional<std::string> result;
  const int code = mdb_get(transaction, table_, &name, &found);
  if (code == 0) {
    const auto value = Checked(key, ToView(found));
    if (value) {
      bytes_read_ += found.mv_size + kReachOfGet;
      result.emplace(*value);
    } else {
      Fail(MDB_CORRUPTED);
    }
  } else if (code != MDB_NOTFOUND) {
    Fail(code);
  }
  DoneReading();
  return result;
}

void LmdbStorage::Scan(std::string_view prefix, std::string_view from,
                       const Visitor& visitor) const {
  std::optional<std::string> next(from < prefix ? prefix : from);
  while (next && !failed()) {
    next = ScanPart(prefix, *next, visitor);
    // What is being written is made durable before its time, so that the map can be let go.
    if (next && writing_ != nullptr) EndWriting();
    if (next && MustRemap()) Remap();
  }
}

std::optional<std::string> LmdbStorage::ScanPart(std::string_view prefix, const std::string& start,
                                                 const Visitor& visitor) const {
  MDB_txn* const transaction = Reading();
  if (transaction == nullptr) return std::nullopt;
  MDB_cursor* cursor = nullptr;
  if (const int code = mdb_cursor_open(transaction, table_, &cursor); code != 0) {
    Fail(code);
    return std::nullopt;
  }
  std::optional<std::string> next;
  MDB_val key = ToVal(start);
  MDB_val found{};
  int code = mdb_cursor_get(cursor, &key, &found, start.empty() ? MDB_FIRST : MDB_SET_RANGE);
  while (code == 0 && ToView(key).substr(0, prefix.size()) == prefix) {
    if (MustRemap()) {
      next.emplace(ToView(key));
      break;
    }
    const auto value = Checked(ToView(key), ToView(found));
    bytes_read_ += found.mv_size + kReachOfNext;
    if (!value) code = MDB_CORRUPTED;
    if (!value || !visitor(ToView(key), *value)) break;
    code = mdb_cursor_get(cursor, &key, &found, MDB_NEXT);
  }
  mdb_cursor_close(cursor);
  if (code != 0 && code != MDB_NOTFOUND) Fail(code);
  DoneReading();
  return next;
}

// ---- Writing.

void LmdbStorage::Apply(const Batch& batch) {
  if (failed()) return;
  if (const int code = ApplyAll(batch); code != 0) Fail(code);
}

int LmdbStorage::ApplyAll(const Batch& batch) {
  if (writing_ == nullptr) {
    const int code = mdb_txn_begin(environment_, nullptr, 0, &writing_);
    if (code != 0) return code;
  }
  bytes_read_ += batch.changes().size() * kReachOfChange;
  for (const Batch::Change& change : batch.changes()) {
    MDB_val key = ToVal(change.key);
    if (!change.value) {
      const int code = mdb_del(writing_, table_, &key, nullptr);
      if (code != 0 && code != MDB_NOTFOUND) return code;
      continue;
    }
    const std::uint64_t checksum = Checksum(change.key, *change.value);
    MDB_val room{kChecksumSize + change.value->size(), nullptr};
    const int code = mdb_put(writing_, table_, &key, &room, MDB_RESERVE);
    if (code != 0) return code;
    char* const to = static_cast<char*>(room.mv_data);
    std::memcpy(to, &checksum, kChecksumSize);
    std::copy(change.value->begin(), change.value->end(), to + kChecksumSize);
  }
  return 0;
}

void LmdbStorage::Sync(Synced done) {
  waiting_.push_back(std::move(done));
  if (waiting_.size() > 1) return;
  loop_.Post([this, alive = alive_] {
    if (*alive) Commit();
  });
}

void LmdbStorage::Commit() {
  if (!failed() && writing_ != nullptr) {
    EndWriting();
    if (++commits_since_counted_ >= kCommitsPerCount) {
      commits_since_counted_ = 0;
      free_pages_.reset();
    }
  }
  const std::vector<Synced> told = std::move(waiting_);
  waiting_.clear();
  const std::shared_ptr<bool> alive = alive_;
  for (const Synced& done : told) {
    if (!*alive) return;
    if (failed()) {
      done(MakeError(ErrorCode::kStorage, failure_text()));
    } else {
      done(BOOST_OUTCOME_V2_NAMESPACE::success());
    }
  }
}

int LmdbStorage::LikelyCause(int code) const {
  const int room = ProveRoom(options_.folder);
  return FailureOfCode(room) == Failure::kFull ? room : code;
}

bool LmdbStorage::MustRemap() const { return bytes_read_ >= kMostBytesRead; }

void LmdbStorage::EndWriting() const {
  int code = mdb_txn_commit(writing_);
  writing_ = nullptr;
  // What LMDB makes of a write that was cut short, as by a disk that has become full.
  if (code == EIO) code = LikelyCause(code);
  if (code != 0) Fail(code);
}

void LmdbStorage::Remap() const {
  bytes_read_ = 0;
  // Setting the size maps the file anew; nothing may point into the old map.
  if (const int code = mdb_env_set_mapsize(environment_, options_.bytes_limit); code != 0)
    Fail(code);
}

std::uint64_t LmdbStorage::FreePages() const {
  if (free_pages_) return *free_pages_;
  std::uint64_t pages = 0;
  MDB_txn* const transaction = Reading();
  MDB_cursor* cursor = nullptr;
  if (transaction != nullptr && mdb_cursor_open(transaction, kFreePagesTable, &cursor) == 0) {
    MDB_val key{};
    MDB_val list{};
    while (mdb_cursor_get(cursor, &key, &list, MDB_NEXT) == 0) {
      std::size_t count = 0;
      std::memcpy(&count, list.mv_data, sizeof count);
      pages += count;
    }
    mdb_cursor_close(cursor);
  }
  if (transaction != nullptr) DoneReading();
  free_pages_ = pages;
  return pages;
}

Usage LmdbStorage::usage() const {
  if (environment_ == nullptr) return {0, options_.bytes_limit};
  MDB_envinfo info{};
  MDB_stat stat{};
  mdb_env_info(environment_, &info);
  mdb_env_stat(environment_, &stat);
  const std::uint64_t pages = std::uint64_t{info.me_last_pgno} + 1;
  return {(pages - std::min(pages, FreePages())) * stat.ms_psize, options_.bytes_limit};
}

void LmdbStorage::Fail(int code) const {
  if (failed()) return;
  error_ = code;
  if (!options_.log_failures) return;
  log::Line(log::Level::kError, kModule,
            std::string("nothing more is stored (") + NameOf(failure()) + "): " + failure_text());
}

}  // namespace shelflink::storage
