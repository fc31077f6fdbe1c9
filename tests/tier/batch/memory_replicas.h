// Partitions of batch jobs that the stores of a test share in memory, as if replication were
// perfect: what the holder of the newest row has committed is in force, and nobody else commits.
#ifndef SHELFLINK_TESTS_TIER_BATCH_MEMORY_REPLICAS_H_
#define SHELFLINK_TESTS_TIER_BATCH_MEMORY_REPLICAS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/batch/partition_replicas.h"
#include "tier/coordination/apply_writes.h"

namespace shelflink::batch {

using Records = std::map<std::string, std::string, std::less<>>;

struct SharedPartitions {
  struct Partition {
    Records records;          // In force.
    std::uint64_t epoch = 0;  // Of the newest row.
  };
  std::vector<Partition> all;
};

class MemoryReplicas : public PartitionReplicas {
 public:
  MemoryReplicas(net::Loop& loop, SharedPartitions& shared, net::Address self)
      : loop_(loop), shared_(shared), self_(self) {}

  void SetEvents(Events events) override { events_ = std::move(events); }
  void OnPlacement(const cluster::Placement& placement) override {
    for (std::uint32_t partition = 0; partition < placement.rows.size(); ++partition) {
      const cluster::PartitionRow& row = placement.rows[partition];
      const auto held = logs_.find(partition);
      if (held != logs_.end() && held->second->epoch() == row.epoch) continue;
      if (held != logs_.end()) {
        if (events_.lost) events_.lost(partition);
        logs_.erase(partition);
      }
      if (row.primary != self_ || row.epoch != shared_.all[partition].epoch) continue;
      auto& log = logs_[partition];
      log = std::make_unique<Log>(loop_, shared_.all[partition], row.epoch);
      if (events_.primary) events_.primary(partition, *log);
    }
  }
  // Only a newer row lets a commit fail here; the next placement brings it.
  void LeadAnew(std::uint32_t partition) override {
    if (logs_.count(partition) == 0) return;
    if (events_.lost) events_.lost(partition);
    logs_.erase(partition);
  }

 private:
  class Log : public PartitionLog {
   public:
    Log(net::Loop& loop, SharedPartitions::Partition& shared, std::uint64_t epoch)
        : loop_(loop), shared_(shared), epoch_(epoch), seen_(shared.records) {
      timer_ = loop.NewTimer([this] { Synced(); });
    }
    bool serving() const override { return shared_.epoch == epoch_; }
    std::uint64_t epoch() const override { return epoch_; }
    bool has_room() const override { return true; }
    bool takes_results() const override { return true; }
    void Commit(std::vector<coordination::Write> writes, Done done) override {
      coordination::Apply(seen_, writes);
      pending_.push_back({std::move(writes), std::move(done)});
      if (pending_.size() == 1) timer_->ArmAt(loop_.Now() + kSync);
    }
    std::optional<std::string> Get(std::string_view key) const override {
      const auto found = seen_.find(key);
      if (found == seen_.end()) return std::nullopt;
      return found->second;
    }
    void Scan(std::string_view prefix, const Visitor& visitor) const override {
      for (auto at = seen_.lower_bound(prefix); at != seen_.end(); ++at) {
        if (!std::string_view(at->first).starts_with(prefix)) return;
        if (!visitor(at->first, at->second)) return;
      }
    }

   private:
    static constexpr std::chrono::milliseconds kSync{3};
    struct Pending {
      std::vector<coordination::Write> writes;
      Done done;
    };
    void Synced() {
      Pending pending = std::move(pending_.front());
      pending_.pop_front();
      if (!pending_.empty()) timer_->ArmAt(loop_.Now() + kSync);
      if (!serving()) {
        pending.done(MakeError(ErrorCode::kUnknown, "another row is in force"));
        return;
      }
      coordination::Apply(shared_.records, pending.writes);
      pending.done(BOOST_OUTCOME_V2_NAMESPACE::success());
    }

    net::Loop& loop_;
    SharedPartitions::Partition& shared_;
    std::uint64_t epoch_;
    Records seen_;
    std::deque<Pending> pending_;
    net::TimerPtr timer_;
  };

  net::Loop& loop_;
  SharedPartitions& shared_;
  net::Address self_;
  Events events_;
  std::map<std::uint32_t, std::unique_ptr<Log>> logs_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TESTS_TIER_BATCH_MEMORY_REPLICAS_H_
