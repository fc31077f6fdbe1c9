// The cluster services of a core process. On the primary: answers renewals, creates and publishes
// the parts of the view, maintains the placement, performs the duties, and executes operator
// orders. On other core processes: names the primary and applies what is committed.
//
// Only the replicated map survives a change of primary. Leases and loads are restored by the next
// renewals, within one renewal interval.
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
  // `platform` may be null. The arguments must outlive this object, which becomes the replicator's
  // watcher.
  CoreService(net::Loop& loop, transport::Hub& hub, coordination::Replicator& replicator,
              platform::Platform* platform, const ProcessSettings& settings);
  ~CoreService() override;
  CoreService(const CoreService&) = delete;
  CoreService& operator=(const CoreService&) = delete;

  // `watcher` is called with each configuration that comes into force here.
  void WatchConfiguration(
      std::function<void(const std::shared_ptr<const configuration::Configuration>&)> watcher);

  // `disk_refuses` returns whether this process's disk refuses writes. The answer to a declined
  // renewal says so.
  void SetDiskCheck(std::function<bool()> disk_refuses);

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

// The interval between two renewals of an agent, derived from the configured bounds; longer in a
// large cluster.
std::chrono::milliseconds RenewalInterval(const ProcessSettings& settings, std::size_t members);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_SERVICE_H_
