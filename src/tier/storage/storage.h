// Durable key-value storage with atomic batches: what replicas, witnesses and the batch store keep.
//
// A batch is visible to reads at once and durable after a Sync that was asked for later has been
// told. Batches become durable in their order, each whole or not at all.
//
// After a failure nothing more is stored and every later Sync fails, until Recover() succeeds: the
// owner must stop vouching for this disk at once. What it remembers of batches that no sync has
// covered is void from then on, since any number of the oldest of them may have become durable.
#ifndef SHELFLINK_TIER_STORAGE_STORAGE_H_
#define SHELFLINK_TIER_STORAGE_STORAGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/foundation/result.h"
#include "tier/storage/failure.h"

namespace shelflink::storage {

constexpr std::size_t kLongestKey = 480;

// Changes that become durable together or not at all, in the order of the calls.
class Batch {
 public:
  struct Change {
    std::string key;
    std::optional<std::string> value;  // None: removed.
  };

  Batch& Put(std::string key, std::string value) {
    changes_.push_back({std::move(key), std::move(value)});
    return *this;
  }
  Batch& Remove(std::string key) {
    changes_.push_back({std::move(key), std::nullopt});
    return *this;
  }
  bool empty() const { return changes_.empty(); }
  const std::vector<Change>& changes() const { return changes_; }

 private:
  std::vector<Change> changes_;
};

struct Usage {
  std::uint64_t bytes_used = 0;
  std::uint64_t bytes_limit = 0;
};

class Storage {
 public:
  // Returns false to stop.
  using Visitor = std::function<bool(std::string_view key, std::string_view value)>;
  using Synced = std::function<void(Result<void>)>;

  virtual ~Storage() = default;
  virtual std::optional<std::string> Get(std::string_view key) const = 0;
  // Keys that begin with `prefix` and are not below `from`, in order. The visitor must not change
  // the storage.
  virtual void Scan(std::string_view prefix, std::string_view from,
                    const Visitor& visitor) const = 0;
  // Keys are 1 to kLongestKey bytes long; the byte 0xff, in front, is the storage's own.
  virtual void Apply(const Batch& batch) = 0;
  // Makes all batches applied so far durable; never calls back from inside. Several that are asked
  // for in one turn of the loop share one sync.
  virtual void Sync(Synced done) = 0;
  virtual Usage usage() const = 0;

  // Why nothing is stored now; kNone: it takes writes as far as is known.
  virtual Failure failure() const = 0;
  virtual std::string failure_text() const = 0;  // One line; empty without a failure.
  bool failed() const { return failure() != Failure::kNone; }
  // Drops what is not durable, proves by real writes that the disk takes them again, and reads anew
  // what it holds. A damaged one is set aside: the storage is empty then, another disk than before.
  // An error: it has still failed, and may be tried again at any time. Blocks. No effect where
  // nothing has failed.
  virtual Result<void> Recover() = 0;
};

// The identity of this disk: read, or drawn from `random` and applied (not yet synced) when the
// storage holds none, in one batch with what is `beside` it. `is_new` tells which.
struct DiskIdentity {
  std::string id;
  bool is_new = false;
};
DiskIdentity ReadOrDrawIdentity(Storage& storage, const std::function<std::uint64_t()>& random,
                                Batch beside = {});

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_STORAGE_H_
