// Storage in a folder by LMDB. Every value carries a checksum of its key and itself; a file that
// LMDB or a checksum finds damaged is never served from.
#ifndef SHELFLINK_TIER_STORAGE_LMDB_STORAGE_H_
#define SHELFLINK_TIER_STORAGE_LMDB_STORAGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/storage/storage.h"

struct MDB_env;
struct MDB_txn;
struct MDB_val;

namespace shelflink::storage {

class LmdbStorage : public Storage {
 public:
  struct Options {
    std::string folder;             // Made where it is missing; its parent must exist.
    std::uint64_t bytes_limit = 0;  // Size of the map: the most that the file may grow to; its last
                                    // part is a reserve (reserve.h).
    bool verify = true;             // Read everything once when opening.
    bool log_failures = true;       // False: the owner tells the log why nothing is stored.
  };

  // A damaged file: one log line, its folder is renamed to `folder`.damaged (in place of an older
  // one) and an empty storage opened. Other errors (no room, no right) are returned.
  static Result<std::unique_ptr<LmdbStorage>> Open(net::Loop& loop, const Options& options);
  // As Open, but what cannot be opened is a storage that has failed: Recover() tries again.
  static std::unique_ptr<LmdbStorage> OpenOrFailed(net::Loop& loop, const Options& options);
  ~LmdbStorage() override;
  LmdbStorage(const LmdbStorage&) = delete;
  LmdbStorage& operator=(const LmdbStorage&) = delete;

  std::optional<std::string> Get(std::string_view key) const override;
  void Scan(std::string_view prefix, std::string_view from, const Visitor& visitor) const override;
  void Apply(const Batch& batch) override;
  void Sync(Synced done) override;
  Usage usage() const override;
  Failure failure() const override;
  std::string failure_text() const override;
  Result<void> Recover() override;

 private:
  LmdbStorage(net::Loop& loop, const Options& options) : loop_(loop), options_(options) {}

  // Opens the file, in place of a damaged one an empty one; what stands in the way is the failure
  // afterwards.
  void OpenOrSetAside();
  int OpenVerified();
  int OpenEnvironment();
  int CheckLength() const;
  int OpenTable();
  int Verify() const;
  int SetFileAside();
  void CloseEnvironment();
  Result<void> RecoverFromFullMap();
  void WriteProbe();
  // Tells those that wait for a sync that it will not come.
  void FailWaiting();
  // The write transaction where one is open, else the read transaction.
  MDB_txn* Reading() const;
  void DoneReading() const;
  void ApplyOrFail(const Batch& batch);
  int ApplyAll(const Batch& batch);
  void Commit();
  void Fail(int code) const;
  // One pass of a Scan; where it goes on once the map has been let go.
  std::optional<std::string> ScanPart(std::string_view prefix, const std::string& start,
                                      const Visitor& visitor) const;
  // Pages read through the map count as memory of the process, and the file may be larger than
  // that: the file is mapped anew after so many bytes. Not while a write is open.
  void EndWriting() const;
  int LikelyCause(int code) const;
  bool MustRemap() const;
  void Remap() const;

  net::Loop& loop_;
  Options options_;
  MDB_env* environment_ = nullptr;
  unsigned table_ = 0;
  mutable MDB_txn* writing_ = nullptr;
  mutable MDB_txn* reading_ = nullptr;
  mutable std::size_t bytes_read_ = 0;  // Since the map was let go.
  std::vector<Synced> waiting_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  mutable int error_ = 0;  // Code of the first error; nothing is stored since.
};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_LMDB_STORAGE_H_
