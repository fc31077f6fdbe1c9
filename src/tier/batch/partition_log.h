// What the primary of a partition needs of the place where the partition's records are kept: one
// ordered map, changed by transactions that are durable on every replica before they are told.
//
// The interface between the decisions (job_book.h) and replication (replicated_log.h).
#ifndef SHELFLINK_TIER_BATCH_PARTITION_LOG_H_
#define SHELFLINK_TIER_BATCH_PARTITION_LOG_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/coordination/replicator.h"
#include "tier/foundation/result.h"

namespace shelflink::batch {

class PartitionLog {
 public:
  using Done = std::function<void(Result<void>)>;
  using Visitor = std::function<bool(std::string_view key, std::string_view value)>;

  virtual ~PartitionLog() = default;
  // Whether this store decides for the partition at this very moment: it is the primary of the
  // newest row it knows, has every write in force, and its lease holds by the steady clock.
  virtual bool serving() const = 0;
  virtual std::uint64_t epoch() const = 0;
  // Whether the disks of all replicas take new jobs and have room behind them for their results.
  virtual bool has_room() const = 0;
  // Whether they take results of what was accepted before; else only what removes something, and
  // what little must be noted for it.
  virtual bool takes_results() const = 0;
  // All or nothing, in the order of the calls. `done` is never called from inside: success once
  // every replica of the row has it synced, kUnknown if that did not come about under this epoch;
  // whether the writes are in force is then decided by whoever is the primary next.
  virtual void Commit(std::vector<coordination::Write> writes, Done done) = 0;
  // Reads see all that was committed, and what is under way.
  virtual std::optional<std::string> Get(std::string_view key) const = 0;
  // Keys that begin with the prefix, in order, until the visitor returns false.
  virtual void Scan(std::string_view prefix, const Visitor& visitor) const = 0;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_PARTITION_LOG_H_
