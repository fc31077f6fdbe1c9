// A sidecar's or store's part in the cluster: finds the core from the seeds, renews its lease
// there, receives the parts of the view (from the core or through the relay tree) and passes them
// on, and carries counts of use upwards.
#ifndef SHELFLINK_TIER_CLUSTER_AGENT_H_
#define SHELFLINK_TIER_CLUSTER_AGENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/view.h"
#include "tier/foundation/settings.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class Agent {
 public:
  struct Changes {  // Each may be empty. Called after the view has taken the new part.
    std::function<void()> configuration;
    std::function<void()> endpoints;
    std::function<void()> placement;
    std::function<void()> members;
    std::function<void(bool in_touch)> contact;
  };
  // What a store tells with each renewal, for placement.
  using StoreReport = StoreState;

  Agent(net::Loop& loop, transport::Hub& hub, const ProcessSettings& settings, Changes changes);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  const View& view() const;
  // The lease is valid: the core's primary has heard of this process within it.
  bool in_touch() const;
  // When the lease ends; in the past where there is none.
  net::Time lease_until() const;
  // The same, of those leases alone under which the view has the newest placement that the core had
  // told: whoever decides by the placement must not decide by one that has been replaced.
  net::Time placement_lease_until() const;
  // The reading of the platform's list that the view's endpoints stand for began then or later, on
  // this process's clock; the clock's start where nothing is known of it.
  net::Time endpoints_read_at() const;
  // When the list of endpoints in the view was taken; of no meaning where there is none.
  net::Time endpoints_taken_at() const;
  // As the core asked for last.
  net::Span renewal_interval() const;
  // Core processes that have said, since one last accepted a renewal, that their disks refuse
  // writes: why there may be no primary.
  std::size_t refusing_cores() const;
  // Time of day as most processes have it, in microseconds since 1970; this machine's own before
  // the core has told.
  std::int64_t TrueMicros() const;
  // The core's primary, as far as known.
  std::optional<net::Address> primary() const;

  void SetReady(bool ready);
  // A request of that tenant has begun to run (its first event came) now.
  void CountUse(const std::string& tenant);
  // Tokens in flight and waiting of a service, for orders of endpoints; the newest value holds.
  void SetLoad(const std::string& service, std::uint64_t tokens_running,
               std::uint64_t tokens_waiting);
  void SetStoreReport(std::function<StoreReport()> report);
  // The same for the metrics of the core.
  void SetStoreFigures(std::function<StoreFigures()> figures);
  // Tells the core's primary of a backup of a partition. kUnavailable: no primary known or reached;
  // kConflict: the row has changed. Whoever reports repeats until the row says so.
  void ReportBackup(const BackupReport& report, std::function<void(Result<void>)> done);
  // The settings file has changed: other seeds.
  void SetSeeds(const std::vector<net::Address>& seeds);
  // Gives the lease back: others learn at once that this process leaves.
  void Leave(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_AGENT_H_
