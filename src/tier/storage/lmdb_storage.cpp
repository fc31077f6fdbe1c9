#include "tier/storage/lmdb_storage.h"

#include <lmdb.h>
#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "tier/foundation/log.h"
#include "tier/storage/lmdb_file.h"
#include "tier/storage/lmdb_pages.h"
#include "tier/storage/lmdb_records.h"
#include "tier/storage/reserve.h"

namespace shelflink::storage {

namespace {

constexpr char kModule[] = "storage";
constexpr mode_t kFileMode = 0600;
// Read through the map before it is let go.
constexpr std::size_t kMostBytesRead = 24U << 20;
// What finding one key touches besides its value, about: pages of the way there that few others
// share. Mapping anew costs the pages that all share, so it must stay seldom.
constexpr std::size_t kReachOfGet = 16U << 10;
constexpr std::size_t kReachOfChange = 4U << 10;
constexpr std::size_t kReachOfNext = 512;
constexpr std::uint64_t kMetaPages = 2;  // In front of all others.
// Written and removed again before a storage that failed is trusted.
constexpr char kProbeKey[] = "probe";
constexpr std::size_t kProbeBytes = 16U << 10;

MDB_val ToVal(std::string_view bytes) {
  return {bytes.size(), const_cast<char*>(bytes.data())};  // LMDB does not write through it.
}
std::string_view ToView(const MDB_val& val) {
  return {static_cast<const char*>(val.mv_data), val.mv_size};
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
}

// ---- After a failure.

Failure LmdbStorage::failure() const { return FailureOfCode(error_); }

std::string LmdbStorage::failure_text() const { return failed() ? mdb_strerror(error_) : ""; }

Result<void> LmdbStorage::Recover() {
  if (!failed()) return BOOST_OUTCOME_V2_NAMESPACE::success();
  FailWaiting();
  if (error_ == MDB_MAP_FULL) return RecoverFromFullMap();
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

// The disk has done nothing wrong: what is stored is not in doubt, and need not be read anew.
Result<void> LmdbStorage::RecoverFromFullMap() {
  if (writing_ != nullptr) mdb_txn_abort(writing_);
  writing_ = nullptr;
  error_ = 0;
  WriteProbe();
  if (failed()) return MakeError(ErrorCode::kStorage, failure_text());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void LmdbStorage::WriteProbe() {
  ApplyOrFail(Batch().Put(kProbeKey, std::string(kProbeBytes, 'p')));
  if (!failed()) EndWriting();
  ApplyOrFail(Batch().Remove(kProbeKey));
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
  int code = mdb_get(transaction, table_, &name, &found);
  if (code == 0) {
    std::string whole;
    std::string_view value;
    code = ReadRecord({transaction, table_}, key, ToView(found), whole, value);
    bytes_read_ += value.size() + kReachOfGet;
    if (code == 0) result.emplace(value);
  }
  if (code != 0 && code != MDB_NOTFOUND) Fail(code);
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
  std::string whole;
  MDB_val key = ToVal(start);
  MDB_val found{};
  int code = mdb_cursor_get(cursor, &key, &found, start.empty() ? MDB_FIRST : MDB_SET_RANGE);
  while (code == 0 && ToView(key).substr(0, prefix.size()) == prefix && !IsPiece(ToView(key))) {
    if (MustRemap()) {
      next.emplace(ToView(key));
      break;
    }
    std::string_view value;
    code = ReadRecord({transaction, table_}, ToView(key), ToView(found), whole, value);
    bytes_read_ += value.size() + kReachOfNext;
    if (code != 0 || !visitor(ToView(key), value)) break;
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
  if (HasRoomFor(batch, usage())) {
    ApplyOrFail(batch);
  } else {
    Fail(MDB_MAP_FULL);
  }
}

void LmdbStorage::ApplyOrFail(const Batch& batch) {
  if (failed()) return;
  if (const int code = ApplyAll(batch); code != 0) Fail(code);
}

int LmdbStorage::ApplyAll(const Batch& batch) {
  if (writing_ == nullptr) {
    const int code = mdb_txn_begin(environment_, nullptr, 0, &writing_);
    if (code != 0) return code;
  }
  bytes_read_ += batch.changes().size() * kReachOfChange;
  const RecordTable records{writing_, table_};
  for (const Batch::Change& change : batch.changes()) {
    if (IsPiece(change.key)) return EINVAL;
    const int code = change.value ? PutRecord(records, change.key, *change.value)
                                  : RemoveRecord(records, change.key);
    if (code != 0) return code;
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
  if (!failed() && writing_ != nullptr) EndWriting();
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

// What is not yet committed counts too. Without LMDB's own list of free pages, which takes a page
// for each 500 of them.
Usage LmdbStorage::usage() const {
  if (environment_ == nullptr) return {0, options_.bytes_limit};
  MDB_stat stat{};
  if (failed() || writing_ == nullptr || mdb_stat(writing_, table_, &stat) != 0) {
    mdb_env_stat(environment_, &stat);
  }
  const std::uint64_t pages =
      kMetaPages + stat.ms_branch_pages + stat.ms_leaf_pages + stat.ms_overflow_pages;
  return {pages * stat.ms_psize, options_.bytes_limit};
}

void LmdbStorage::Fail(int code) const {
  if (failed()) return;
  error_ = code;
  if (!options_.log_failures) return;
  log::Line(log::Level::kError, kModule,
            std::string("nothing more is stored (") + NameOf(failure()) + "): " + failure_text());
}

}  // namespace shelflink::storage
