// Partitions with one copy, on this store's own disk: for deployments that tolerate no loss, and
// for tests of what lies above. Deployments with a tolerance use replicated_log.h.
#ifndef SHELFLINK_TIER_BATCH_LOCAL_REPLICAS_H_
#define SHELFLINK_TIER_BATCH_LOCAL_REPLICAS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/loop.h"
#include "tier/batch/partition_replicas.h"
#include "tier/storage/storage.h"

namespace shelflink::batch {

class LocalReplicas : public PartitionReplicas {
 public:
  // `lease_until`: of the process at the core.
  LocalReplicas(net::Loop& loop, storage::Storage& storage, std::string disk,
                std::function<net::Time()> lease_until);
  ~LocalReplicas() override;

  void SetEvents(Events events) override { events_ = std::move(events); }
  void OnPlacement(const cluster::Placement& placement) override;
  bool has_room() const override;

 private:
  class Log;

  net::Loop& loop_;
  storage::Storage& storage_;
  std::string disk_;
  std::function<net::Time()> lease_until_;
  Events events_;
  std::map<std::uint32_t, std::unique_ptr<Log>> logs_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_LOCAL_REPLICAS_H_
