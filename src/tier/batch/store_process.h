// All of a store process above its loop: a StoreNode for as long as the disk takes writes, another
// one each time that it does so again, a StoreWaiting in between. Runs on any net::Loop.
#ifndef SHELFLINK_TIER_BATCH_STORE_PROCESS_H_
#define SHELFLINK_TIER_BATCH_STORE_PROCESS_H_

#include <functional>
#include <memory>
#include <vector>

#include "net/loop.h"
#include "tier/batch/store_disk.h"
#include "tier/batch/store_node.h"
#include "tier/batch/store_waiting.h"
#include "tier/foundation/settings.h"

namespace shelflink::batch {

class StoreProcess {
 public:
  StoreProcess(net::Loop& loop, ProcessSettings settings, StoreDisk::Open open,
               StoreNode::Random random);
  StoreProcess(const StoreProcess&) = delete;
  StoreProcess& operator=(const StoreProcess&) = delete;

  // Gives the lease back; nothing works here when `done` is called.
  void Leave(std::function<void()> done) { disk_.Leave(std::move(done)); }
  // The settings file has changed: other seeds, also of the nodes to come.
  void SetSeeds(const std::vector<net::Address>& seeds);
  const StoreDisk& disk() const { return disk_; }
  // The copies that it makes for others, of partitions that it leads.
  std::vector<cluster::CopyUnderWay> copying() const {
    return node_ ? node_->copying() : std::vector<cluster::CopyUnderWay>();
  }

 private:
  StoreDisk::Work WorkOnDisk();
  void Wait(const storage::Storage& disk);

  net::Loop& loop_;
  ProcessSettings settings_;
  StoreNode::Random random_;
  net::Time began_;
  std::unique_ptr<StoreNode> node_;
  std::unique_ptr<StoreWaiting> waiting_;
  StoreDisk disk_;  // Ends the node's work when it is destroyed.
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_PROCESS_H_
