// The cluster's services on a core process. Where it is the primary: takes renewals, makes and
// pushes the parts of the view, keeps the placement, performs the duties, and executes the
// operator's orders. Elsewhere it says who the primary is, and keeps what it hears committed.
//
// Nothing here lasts beyond a change of primary save what is in the replicated map; leases and
// loads come back with the next renewals, within one interval.
#ifndef SHELFLINK_TIER_CLUSTER_CORE_SERVICE_H_
#define SHELFLINK_TIER_CLUSTER_CORE_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/cluster/cluster_figures.h"
#include "tier/configuration/model.h"
#include "tier/coordination/replicator.h"
#include "tier/foundation/settings.h"
#include "tier/operator_api/service.h"
#include "tier/platform/platform.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class CoreService : public operator_api::OperatorService {
 public:
  // `platform` null: there is none. All of them outlive it. Becomes the replicator's watcher.
  CoreService(net::Loop& loop, transport::Hub& hub, coordination::Replicator& replicator,
              platform::Platform* platform, const ProcessSettings& settings);
  ~CoreService() override;
  CoreService(const CoreService&) = delete;
  CoreService& operator=(const CoreService&) = delete;

  // Told of each configuration that comes into force here.
  void WatchConfiguration(
      std::function<void(const std::shared_ptr<const configuration::Configuration>&)> watcher);

  // Whether this process's disk refuses writes; members whose renewals are declined are told.
  void SetDiskCheck(std::function<bool()> disk_refuses);

  // For metrics.
  ClusterFigures figures() const;

  bool is_primary() const override;
  std::optional<net::Address> primary() const override;
  void ChangeConfiguration(configuration::ChangeOrder order, ChangeDone done) override;
  void ReadConfiguration(DocumentDone done) override;
  void Retire(operator_api::RetireOrder order, RetireDone done) override;
  void ReadRetireState(std::string node, RetireStateDone done) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// How often an agent renews, from the operators' bounds; longer in a large cluster.
std::chrono::milliseconds RenewalInterval(const ProcessSettings& settings, std::size_t members);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_SERVICE_H_
