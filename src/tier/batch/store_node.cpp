#include "tier/batch/store_node.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "tier/batch/store_identity.h"
#include "tier/cluster/messages.h"
#include "tier/foundation/invariants.h"

namespace shelflink::batch {
namespace {

// For the core to take the lease back before the node ends.
constexpr Milliseconds kLeaveSpan{1500};
constexpr Milliseconds kReportTimeout{1000};
// Of a result's text, for each token of its item, prompt and most out together.
constexpr std::uint64_t kResultBytesPerToken = 4;

ReplicaHost::Options HostOptions(const ProcessSettings& settings, const std::string& disk) {
  const FaultTolerance& tolerance = settings.tolerance;
  ReplicaHost::Options options;
  options.disk = disk;
  options.least_replicas = 1 + static_cast<std::size_t>(std::max(
                                   {tolerance.machines, tolerance.zones, tolerance.regions, 0}));
  return options;
}

}  // namespace

cluster::StoreFigures FiguresOfDisk(const storage::Storage& disk) {
  const storage::Usage usage = disk.usage();
  cluster::StoreFigures figures;
  figures.disk_refuses = disk.failed();
  figures.bytes_used = usage.bytes_used;
  figures.bytes_limit = usage.bytes_limit;
  return figures;
}

StoreNode::StoreNode(net::Loop& loop, const ProcessSettings& settings, storage::Storage& disk,
                     const Random& random, net::Time process_began)
    : loop_(loop),
      process_began_(process_began),
      disk_(disk),
      identity_(storage::ReadOrDrawIdentity(disk, random)),
      hub_(loop, StoreIdentityOf(settings, random()), {}),
      agent_(loop, hub_, settings, AgentChanges()),
      replicas_(loop, hub_, disk, HostOptions(settings, identity_.id), HostOutside()),
      service_(loop, hub_, replicas_,
               {settings.bounds, random(), [this] { return agent_.TrueMicros(); }}),
      leave_timer_(loop.NewTimer([this] { TellLeft(); })) {
  agent_.SetStoreReport([this] { return Report(); });
  agent_.SetStoreFigures([this] { return Figures(); });
  // The disk's identity must be there for good before anybody counts on it.
  disk_.Sync([this, alive = alive_](const Result<void>& synced) {
    if (*alive) agent_.SetReady(synced.has_value());
  });
}

StoreNode::~StoreNode() { *alive_ = false; }

void StoreNode::Leave(std::function<void()> done) {
  left_ = std::move(done);
  leave_timer_->ArmAt(loop_.Now() + kLeaveSpan);
  agent_.Leave([this, alive = alive_] {
    if (*alive) TellLeft();
  });
}

void StoreNode::TellLeft() {
  leave_timer_->Cancel();
  const std::function<void()> left = std::exchange(left_, nullptr);
  if (left) left();
}

cluster::Agent::Changes StoreNode::AgentChanges() {
  cluster::Agent::Changes changes;
  changes.placement = [this] {
    if (agent_.view().placement) replicas_.OnPlacement(*agent_.view().placement);
  };
  changes.configuration = [this] {
    if (agent_.view().configuration) service_.OnConfiguration(*agent_.view().configuration);
  };
  return changes;
}

ReplicaHost::Outside StoreNode::HostOutside() {
  ReplicaHost::Outside outside;
  outside.lease_until = [this] { return agent_.placement_lease_until(); };
  outside.report = [this](const cluster::BackupReport& report) {
    const std::optional<net::Address> core = agent_.primary();
    if (!core) return;
    hub_.Call(*core, cluster::kBackupReportKind, cluster::Encode(report), kReportTimeout,
              [](const Result<std::string>&) {});  // The next placement tells.
  };
  // Of what is led here and, as others lead about as much, of what is copied here.
  outside.reserved_bytes = [this] { return 2 * kResultBytesPerToken * service_.queued_tokens(); };
  return outside;
}

cluster::Agent::StoreReport StoreNode::Report() const {
  const storage::Usage usage = disk_.usage();
  cluster::Agent::StoreReport report;
  report.disk = identity_.id;
  report.bytes_used = usage.bytes_used;
  report.bytes_free = usage.bytes_limit - std::min(usage.bytes_used, usage.bytes_limit);
  report.tokens_queued = service_.queued_tokens();
  report.copying = replicas_.copying();
  return report;
}

cluster::StoreFigures StoreNode::Figures() const {
  cluster::StoreFigures figures = FiguresOfDisk(disk_);
  figures.uptime = SinceInMs(process_began_);
  const ReplicaHost::Copies copies = replicas_.copies();
  figures.primaries = copies.primaries;
  figures.backups = copies.backups;
  figures.incomplete = copies.incomplete;
  figures.left = copies.left;
  const StoreService::Counts counts = service_.counts();
  figures.jobs = counts.jobs;
  figures.items_waiting = counts.items_waiting;
  figures.items_overdue = counts.items_overdue;
  figures.items_leased = counts.items_leased;
  const JobCounters& counters = service_.counters();
  figures.jobs_accepted = counters.accepted;
  figures.jobs_over_quota = counters.over_quota;
  figures.jobs_without_room = counters.without_room;
  figures.jobs_refused_busy = counters.busy;
  figures.leases = counters.leases;
  figures.lease_wait = counters.lease_wait;
  figures.violations = ProcessInvariants().violations();
  const net::Time read_at = agent_.endpoints_read_at();
  if (read_at != net::Time()) figures.endpoints_age = SinceInMs(read_at);
  return figures;
}

Milliseconds StoreNode::SinceInMs(net::Time time) const {
  return std::chrono::duration_cast<Milliseconds>(loop_.Now() - time);
}

}  // namespace shelflink::batch
