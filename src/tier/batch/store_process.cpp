#include "tier/batch/store_process.h"

#include <utility>

namespace shelflink::batch {

StoreProcess::StoreProcess(net::Loop& loop, ProcessSettings settings, StoreDisk::Open open,
                           StoreNode::Random random)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(std::move(random)),
      disk_(loop, std::move(open), WorkOnDisk()) {}

void StoreProcess::SetSeeds(const std::vector<net::Address>& seeds) {
  settings_.seeds = seeds;
  if (node_) node_->SetSeeds(seeds);
}

StoreDisk::Work StoreProcess::WorkOnDisk() {
  StoreDisk::Work work;
  work.start = [this](storage::Storage& disk) {
    node_ = std::make_unique<StoreNode>(loop_, settings_, disk, random_);
  };
  work.leave = [this](std::function<void()> done) { node_->Leave(std::move(done)); };
  work.stop = [this] { node_.reset(); };
  return work;
}

}  // namespace shelflink::batch
