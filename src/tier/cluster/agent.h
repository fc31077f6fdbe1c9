// The cluster membership of a sidecar or store: finds the core from the seeds, renews its lease
// there, receives the parts of the view (from the core or through the relay tree), forwards them,
// and reports usage counts.
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
  struct Changes {  // Callbacks, which may be empty, called after the view holds the new part.
    std::function<void()> configuration;
    std::function<void()> endpoints;
    std::function<void()> placement;
    std::function<void()> members;
    std::function<void(bool in_touch)> contact;
  };
  // Sent by a store with each renewal, for placement.
  using StoreReport = StoreState;

  Agent(net::Loop& loop, transport::Hub& hub, const ProcessSettings& settings, Changes changes);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  const View& view() const;
  // Whether the lease is valid: the core's primary has accepted a renewal within it.
  bool in_touch() const;
  // When the lease ends; in the past if there is none.
  net::Time lease_until() const;
  // The same for leases under which the view holds the newest placement that the core had
  // announced: decisions must not be based on a placement that has been replaced.
  net::Time placement_lease_until() const;
  // The earliest time, on this process's clock, at which the platform reading behind the view's
  // endpoint list began; the clock's start if it is unknown.
  net::Time endpoints_read_at() const;
  // When the endpoint list in the view was received; undefined if there is none.
  net::Time endpoints_taken_at() const;
  // As requested by the core last.
  net::Span renewal_interval() const;
  // Core processes that have reported, since a renewal was last accepted, that their disks refuse
  // writes. Explains why there may be no primary.
  std::size_t refusing_cores() const;
  // True time in microseconds since 1970; the local time of day until the core has reported one.
  std::int64_t TrueMicros() const;
  // The core's primary, as far as known.
  std::optional<net::Address> primary() const;

  void SetReady(bool ready);
  // A request of the tenant has begun to run now: its first event has arrived.
  void CountUse(const std::string& tenant);
  // Tokens in flight and waiting of a service, for autoscaling; replaces earlier values.
  void SetLoad(const std::string& service, std::uint64_t tokens_running,
               std::uint64_t tokens_waiting);
  void SetStoreReport(std::function<StoreReport()> report);
  // Likewise for the metrics of the core.
  void SetStoreFigures(std::function<StoreFigures()> figures);
  // Reports a backup of a partition to the core's primary. kUnavailable: no primary is known or
  // reached; kConflict: the row has changed. The caller repeats it until the row shows the change.
  void ReportBackup(const BackupReport& report, std::function<void(Result<void>)> done);
  // The seeds in the settings file have changed.
  void SetSeeds(const std::vector<net::Address>& seeds);
  // Returns the lease, so that others learn at once that this process leaves.
  void Leave(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_AGENT_H_
