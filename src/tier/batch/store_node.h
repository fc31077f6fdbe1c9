// A store at work on a disk that takes writes: hub, agent, replicas and the service of batch jobs,
// wired together. Lives from one opening of the disk to the next.
#ifndef SHELFLINK_TIER_BATCH_STORE_NODE_H_
#define SHELFLINK_TIER_BATCH_STORE_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "net/loop.h"
#include "tier/batch/replica_host.h"
#include "tier/batch/store_service.h"
#include "tier/cluster/agent.h"
#include "tier/foundation/settings.h"
#include "tier/storage/storage.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

// What the figures tell of the disk; all else is left open.
cluster::StoreFigures FiguresOfDisk(const storage::Storage& disk);

class StoreNode {
 public:
  using Random = std::function<std::uint64_t()>;

  StoreNode(net::Loop& loop, const ProcessSettings& settings, storage::Storage& disk,
            const Random& random, net::Time process_began);
  ~StoreNode();
  StoreNode(const StoreNode&) = delete;
  StoreNode& operator=(const StoreNode&) = delete;

  // `done` is called once: when the core has taken the lease back, or was given time enough to.
  void Leave(std::function<void()> done);
  void SetSeeds(const std::vector<net::Address>& seeds) { agent_.SetSeeds(seeds); }
  std::vector<cluster::CopyUnderWay> copying() const { return replicas_.copying(); }

 private:
  cluster::Agent::Changes AgentChanges();
  ReplicaHost::Outside HostOutside();
  cluster::Agent::StoreReport Report() const;
  cluster::StoreFigures Figures() const;
  Milliseconds SinceInMs(net::Time time) const;
  void TellLeft();

  net::Loop& loop_;
  net::Time process_began_;
  storage::Storage& disk_;
  storage::DiskIdentity identity_;
  transport::Hub hub_;
  cluster::Agent agent_;
  ReplicaHost replicas_;
  StoreService service_;
  net::TimerPtr leave_timer_;
  std::function<void()> left_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_NODE_H_
