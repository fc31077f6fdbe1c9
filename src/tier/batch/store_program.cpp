#include "tier/batch/store_program.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "tier/batch/replica_host.h"
#include "tier/batch/store_service.h"
#include "tier/cluster/agent.h"
#include "tier/cluster/messages.h"
#include "tier/foundation/log.h"
#include "tier/storage/lmdb_storage.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {
namespace {

constexpr std::string_view kLogName = "batch.store";
constexpr std::uint64_t kBytesPerMegabyte = 1U << 20;
// What the file system itself needs of the disk.
constexpr double kMapShare = 0.95;
// For the core to take the lease back before the process ends.
constexpr Milliseconds kLeaveSpan{1500};
constexpr Milliseconds kReportTimeout{1000};
constexpr Milliseconds kDiskCheck{500};
constexpr Milliseconds kDiskPause{500};  // Until a disk that failed is opened anew; doubles.
constexpr Milliseconds kLongestDiskPause{8000};
constexpr Milliseconds kSteady{10000};
// Of a result's text, for each token of its item, prompt and most out together.
constexpr std::uint64_t kResultBytesPerToken = 4;

std::uint64_t Draw() {
  static std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

transport::PeerIdentity IdentityOf(const ProcessSettings& settings) {
  transport::PeerIdentity self;
  self.node = settings.node;
  self.role = "store";
  self.zone = settings.zone;
  self.address = InternalAddress(settings, ProcessKind::kStore);
  self.incarnation = Draw();
  return self;
}

Result<std::unique_ptr<storage::LmdbStorage>> OpenDisk(net::Loop& loop,
                                                       const ProcessSettings& settings) {
  if (settings.data_dir.empty()) {
    return MakeError(ErrorCode::kInvalid, "a store needs dataDir");
  }
  storage::LmdbStorage::Options options;
  options.folder = settings.data_dir + "/batch";
  options.bytes_limit = static_cast<std::uint64_t>(
      kMapShare * static_cast<double>(settings.limits.disk_mb * kBytesPerMegabyte));
  return storage::LmdbStorage::Open(loop, options);
}

ReplicaHost::Options HostOptions(const ProcessSettings& settings, const std::string& disk) {
  const FaultTolerance& tolerance = settings.tolerance;
  ReplicaHost::Options options;
  options.disk = disk;
  options.least_replicas = 1 + static_cast<std::size_t>(std::max(
                                   {tolerance.machines, tolerance.zones, tolerance.regions, 0}));
  return options;
}

void RunFor(net::GlibLoop& loop, Milliseconds span) {
  const net::TimerPtr timer = loop.NewTimer([&loop] { loop.Stop(); });
  timer->ArmAt(loop.Now() + span);
  loop.Run();
}

// Whether the disk takes writes now; one that is full may be emptied later.
bool CanWrite(net::GlibLoop& loop, storage::Storage& disk) {
  bool can = false;
  storage::Batch probe;
  probe.Put("probe", "");
  disk.Apply(probe);
  disk.Sync([&](const Result<void>& synced) {
    can = synced.has_value();
    loop.Stop();
  });
  loop.Run();
  return can;
}

// All of a start on a disk that takes writes, wired together.
class StoreProcess {
 public:
  StoreProcess(const ProcessSettings& settings, net::GlibLoop& loop, storage::Storage& disk)
      : loop_(loop),
        disk_(disk),
        identity_(storage::ReadOrDrawIdentity(disk, Draw)),
        hub_(loop, IdentityOf(settings), {}),
        agent_(loop, hub_, settings, AgentChanges()),
        replicas_(loop, hub_, disk, HostOptions(settings, identity_.id), HostOutside()),
        service_(loop, hub_, replicas_,
                 {settings.bounds, Draw(), [this] { return agent_.TrueMicros(); }}),
        leave_timer_(loop.NewTimer([this] { loop_.Stop(); })),
        disk_timer_(loop.NewTimer([this] { WatchDisk(); })) {
    agent_.SetStoreReport([this] { return Report(); });
    WatchDisk();
    // The disk's identity must be there for good before anybody counts on it.
    disk_.Sync([this](const Result<void>& synced) { agent_.SetReady(synced.has_value()); });
  }

  // Stops the loop when the core has taken the lease back.
  void Leave() {
    if (leaving_) return;
    leaving_ = true;
    leave_timer_->ArmAt(loop_.Now() + kLeaveSpan);
    agent_.Leave([this] { loop_.Stop(); });
  }

  void ReloadSettings() {
    const char* path = std::getenv("SHELFLINK_CONFIG");
    if (path == nullptr) return;
    const auto settings = ReadSettings(path);
    if (settings) {
      agent_.SetSeeds(settings.value().seeds);
    } else {
      log::Warning(kLogName, "settings not taken: " + TextOf(settings.error()));
    }
  }

 private:
  // A disk that failed is vouched for no more: the lease goes back, so that others take over.
  void WatchDisk() {
    if (disk_.failed()) {
      Leave();
      return;
    }
    disk_timer_->ArmAt(loop_.Now() + kDiskCheck);
  }

  cluster::Agent::Changes AgentChanges() {
    cluster::Agent::Changes changes;
    changes.placement = [this] {
      if (agent_.view().placement) replicas_.OnPlacement(*agent_.view().placement);
    };
    changes.configuration = [this] {
      if (agent_.view().configuration) service_.OnConfiguration(*agent_.view().configuration);
    };
    return changes;
  }

  ReplicaHost::Outside HostOutside() {
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

  cluster::Agent::StoreReport Report() const {
    const storage::Usage usage = disk_.usage();
    cluster::Agent::StoreReport report;
    report.disk = identity_.id;
    report.bytes_used = usage.bytes_used;
    report.bytes_free = usage.bytes_limit - std::min(usage.bytes_used, usage.bytes_limit);
    report.tokens_queued = service_.queued_tokens();
    return report;
  }

  net::GlibLoop& loop_;
  storage::Storage& disk_;
  storage::DiskIdentity identity_;
  transport::Hub hub_;
  cluster::Agent agent_;
  ReplicaHost replicas_;
  StoreService service_;
  net::TimerPtr leave_timer_;
  net::TimerPtr disk_timer_;
  bool leaving_ = false;
};

}  // namespace

int RunStore(const ProcessSettings& settings, net::GlibLoop& loop) {
  StoreProcess* current = nullptr;
  bool told_to_end = false;
  Milliseconds pause = kDiskPause;
  loop.OnSignal(SIGTERM, [&] {
    told_to_end = true;
    if (current != nullptr) {
      current->Leave();
    } else {
      loop.Stop();
    }
  });
  loop.OnSignal(SIGHUP, [&] {
    if (current != nullptr) current->ReloadSettings();
  });
  while (!told_to_end) {
    auto disk = OpenDisk(loop, settings);
    if (!disk) {
      log::Line(log::Level::kError, kLogName, "cannot open the disk: " + disk.error().text);
      return EXIT_FAILURE;
    }
    const net::Time started = loop.Now();
    if (CanWrite(loop, *disk.value())) {
      StoreProcess process(settings, loop, *disk.value());
      current = &process;
      loop.Run();
      current = nullptr;
    }
    if (told_to_end) break;
    // A disk that fails again soon is tried ever more seldom: each return moves partitions.
    pause = loop.Now() - started < kSteady ? std::min(pause * 2, kLongestDiskPause) : kDiskPause;
    RunFor(loop, pause);
  }
  return EXIT_SUCCESS;
}

}  // namespace shelflink::batch
