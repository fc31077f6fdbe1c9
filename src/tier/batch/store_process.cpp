#include "tier/batch/store_process.h"

#include <utility>

#include "tier/foundation/invariants.h"

namespace shelflink::batch {

StoreProcess::StoreProcess(net::Loop& loop, ProcessSettings settings, StoreDisk::Open open,
                           StoreNode::Random random)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(std::move(random)),
      began_(loop.Now()),
      disk_(loop, std::move(open), WorkOnDisk()) {}

void StoreProcess::SetSeeds(const std::vector<net::Address>& seeds) {
  settings_.seeds = seeds;
  if (node_) node_->SetSeeds(seeds);
  if (waiting_) waiting_->SetSeeds(seeds);
}

StoreDisk::Work StoreProcess::WorkOnDisk() {
  StoreDisk::Work work;
  work.start = [this](storage::Storage& disk) {
    node_ = std::make_unique<StoreNode>(loop_, settings_, disk, random_, began_);
  };
  work.leave = [this](std::function<void()> done) { node_->Leave(std::move(done)); };
  work.stop = [this] { node_.reset(); };
  work.wait = [this](const storage::Storage& disk) { Wait(disk); };
  work.end_wait = [this] { waiting_.reset(); };
  return work;
}

void StoreProcess::Wait(const storage::Storage& disk) {
  waiting_ = std::make_unique<StoreWaiting>(loop_, settings_, random_(), [this, &disk] {
    cluster::StoreFigures figures = FiguresOfDisk(disk);
    figures.disk_refuses = true;  // Also while it proves that it takes writes again.
    figures.uptime = std::chrono::duration_cast<Milliseconds>(loop_.Now() - began_);
    figures.violations = ProcessInvariants().violations();
    return figures;
  });
}

}  // namespace shelflink::batch
