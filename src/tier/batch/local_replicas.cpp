#include "tier/batch/local_replicas.h"

#include <utility>

namespace shelflink::batch {
namespace {

// The rest of a disk is kept for results of what has been accepted.
constexpr double kRoomShare = 0.8;

std::string PrefixOf(std::uint32_t partition) {
  return {'P', static_cast<char>(partition >> 8U), static_cast<char>(partition)};
}

}  // namespace

class LocalReplicas::Log : public PartitionLog {
 public:
  Log(LocalReplicas& owner, std::uint32_t partition, std::uint64_t epoch)
      : owner_(owner), prefix_(PrefixOf(partition)), epoch_(epoch) {}

  bool serving() const override {
    return !owner_.storage_.failed() && owner_.loop_.Now() < owner_.lease_until_();
  }
  std::uint64_t epoch() const override { return epoch_; }
  void SetEpoch(std::uint64_t epoch) { epoch_ = epoch; }

  void Commit(std::vector<coordination::Write> writes, Done done) override {
    storage::Batch batch;
    for (coordination::Write& write : writes) {
      if (write.value) {
        batch.Put(prefix_ + write.key, std::move(*write.value));
      } else {
        batch.Remove(prefix_ + write.key);
      }
    }
    owner_.storage_.Apply(batch);
    owner_.storage_.Sync(std::move(done));
  }

  std::optional<std::string> Get(std::string_view key) const override {
    return owner_.storage_.Get(prefix_ + std::string(key));
  }

  void Scan(std::string_view prefix, const Visitor& visitor) const override {
    const std::string whole = prefix_ + std::string(prefix);
    owner_.storage_.Scan(whole, whole, [&](std::string_view key, std::string_view value) {
      return visitor(key.substr(prefix_.size()), value);
    });
  }

 private:
  LocalReplicas& owner_;
  std::string prefix_;
  std::uint64_t epoch_;
};

LocalReplicas::LocalReplicas(net::Loop& loop, storage::Storage& storage, std::string disk,
                             std::function<net::Time()> lease_until)
    : loop_(loop),
      storage_(storage),
      disk_(std::move(disk)),
      lease_until_(std::move(lease_until)) {}

LocalReplicas::~LocalReplicas() { *alive_ = false; }

void LocalReplicas::OnPlacement(const cluster::Placement& placement) {
  for (std::uint32_t partition = 0; partition < placement.rows.size(); ++partition) {
    const cluster::PartitionRow& row = placement.rows[partition];
    const auto found = logs_.find(partition);
    const bool mine = row.primary_disk == disk_;
    if (mine && found != logs_.end()) {
      found->second->SetEpoch(row.epoch);
    } else if (mine) {
      Log& log = *logs_.emplace(partition, std::make_unique<Log>(*this, partition, row.epoch))
                      .first->second;
      loop_.Post([this, partition, &log, alive = alive_] {
        if (*alive && events_.primary) events_.primary(partition, log);
      });
    } else if (found != logs_.end()) {
      std::shared_ptr<Log> log = std::move(found->second);
      logs_.erase(found);
      // Kept until the server above has been told.
      loop_.Post([this, partition, log, alive = alive_] {
        if (*alive && events_.lost) events_.lost(partition);
      });
    }
  }
}

bool LocalReplicas::has_room() const {
  const storage::Usage usage = storage_.usage();
  return static_cast<double>(usage.bytes_used) <
         kRoomShare * static_cast<double>(usage.bytes_limit);
}

}  // namespace shelflink::batch
