#include "tier/cluster/core_program.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>

#include "tier/cluster/core_metrics.h"
#include "tier/cluster/core_service.h"
#include "tier/cluster/core_status.h"
#include "tier/coordination/group.h"
#include "tier/foundation/log.h"
#include "tier/operator_api/forwarder.h"
#include "tier/operator_api/server.h"
#include "tier/platform/counted_platform.h"
#include "tier/platform/soup_platform.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {
namespace {

constexpr const char* kModule = "core";
// Where nobody can take the primary's place yet, it is offered again.
constexpr Milliseconds kOfferAgain{200};
// For the answers of orders that were under way.
constexpr Milliseconds kAnswerSpan{200};

std::uint64_t DrawIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

transport::PeerIdentity IdentityOf(const ProcessSettings& settings) {
  return {settings.node, "core", settings.zone, InternalAddress(settings, ProcessKind::kCore),
          DrawIncarnation()};
}

std::unique_ptr<platform::CountedPlatform> PlatformOf(const ProcessSettings& settings) {
  if (!settings.cloud.address) return nullptr;
  return std::make_unique<platform::CountedPlatform>(
      std::make_unique<platform::SoupPlatform>(*settings.cloud.address));
}

std::vector<std::string> NodesOf(const std::vector<coordination::CoreMember>& members) {
  std::vector<std::string> nodes;
  nodes.reserve(members.size());
  for (const coordination::CoreMember& member : members) nodes.push_back(member.node);
  return nodes;
}

// Where a core process serves the operator: only what the settings tell of it is known.
std::optional<net::Address> ControlAddressOf(const ProcessSettings& settings,
                                             const net::Address& internal) {
  std::vector<net::Address> controls = settings.seeds;
  if (settings.listen_control) controls.push_back(*settings.listen_control);
  for (const net::Address& control : controls) {
    if (CoreAddressOf(settings, control) == internal) return control;
  }
  return std::nullopt;
}

void AddPrimary(const coordination::Record& record, const ProcessSettings& settings,
                GroupFigures& figures) {
  const coordination::CoreMember* primary = FindDisk(record.replicas, record.primary);
  if (primary == nullptr) return;
  figures.primary = primary->node;
  figures.primary_control = ControlAddressOf(settings, primary->address);
}

// Whoever is not the primary does not know how the others stand.
std::vector<coordination::MemberStatus> StandingsOf(const coordination::Group& group) {
  if (std::optional<coordination::ReplicationStatus> copies = group.replication_status()) {
    return std::move(copies->members);
  }
  const coordination::Record& record = group.member().record();
  std::vector<coordination::MemberStatus> standings;
  for (const coordination::CoreMember& member : MembersOf(record)) {
    const bool is_replica = FindDisk(record.replicas, member.disk) != nullptr;
    const bool is_witness = FindDisk(record.witnesses, member.disk) != nullptr;
    standings.push_back({member, is_replica, is_witness, {}, {}});
  }
  return standings;
}

GroupFigures FiguresOf(const coordination::Group& group, const ProcessSettings& settings) {
  const coordination::Record& record = group.member().record();
  GroupFigures figures;
  figures.is_primary = group.is_primary();
  figures.knows_primary = group.primary().has_value();
  figures.epoch = record.epoch;
  figures.replicas = NodesOf(record.replicas);
  figures.witnesses = NodesOf(record.witnesses);
  AddPrimary(record, settings, figures);
  figures.wanted_replicas = group.member().options().failures + 1;
  figures.members = StandingsOf(group);
  figures.contents_entries = group.contents().size();
  const storage::Usage usage = group.disk_usage();
  if (usage.bytes_limit > 0) {
    figures.disk = {usage.bytes_used, usage.bytes_limit, group.failed()};
  }
  return figures;
}

// All of the process, wired together.
class CoreProcess {
 public:
  CoreProcess(const ProcessSettings& settings, net::GlibLoop& loop,
              std::unique_ptr<storage::Storage> disk)
      : settings_(settings),
        loop_(loop),
        hub_(loop, IdentityOf(settings), {}),
        group_(loop, hub_, settings, std::move(disk)),
        platform_(PlatformOf(settings)),
        service_(loop, hub_, group_, platform_.get(), settings),
        forwarder_(loop, hub_, service_, {}),
        leave_timer_(loop.NewTimer([this] { loop_.Stop(); })),
        hand_over_timer_(loop.NewTimer([this] { HandOver(); })) {
    service_.SetDiskCheck([this] { return group_.failed(); });
    if (settings.listen_control) {
      server_ = std::make_unique<operator_api::Server>(loop, forwarder_, *settings.listen_control);
      service_.WatchConfiguration(
          [this](const std::shared_ptr<const configuration::Configuration>& configuration) {
            server_->SetLimits(configuration->limits);
          });
      server_->SetMetrics([this] { return MetricsOf(Figures(), ProcessInvariants()); });
      server_->SetStatus([this] { return StatusOf(Figures()); });
    }
    loop_.OnSignal(SIGTERM, [this] { Leave(); });
    loop_.OnSignal(SIGHUP, [this] { ReloadSettings(); });
  }

 private:
  void Leave() {
    if (leaving_) return;
    leaving_ = true;
    log::Info(kModule, "told to end: handing over");
    if (server_) server_->StopListening();
    // Others take over what this one alone may hold: that may take a copy of the map.
    leave_timer_->ArmAt(loop_.Now() + settings_.bounds.grace / 2);
    HandOver();
  }

  void HandOver() {
    group_.Transfer([this](bool moved) {
      if (moved) {
        leave_timer_->ArmAt(loop_.Now() + kAnswerSpan);
      } else {
        hand_over_timer_->ArmAt(loop_.Now() + kOfferAgain);
      }
    });
  }

  CoreFigures Figures() const {
    CoreFigures figures;
    figures.process = {settings_.node, "core", loop_.Now() - started_at_};
    figures.group = FiguresOf(group_, settings_);
    figures.cluster = service_.figures();
    if (platform_) figures.platform_calls = platform_->counts();
    figures.operator_answers = server_->counters().answers;
    return figures;
  }

  void ReloadSettings() {
    const char* path = std::getenv("SHELFLINK_CONFIG");
    if (path == nullptr) return;
    const auto settings = ReadSettings(path);
    if (settings) {
      group_.SetSeeds(settings.value().seeds, settings_);
      log::Info(kModule, "settings read again");
    } else {
      log::Warning(kModule, "the old settings stay in force: " + TextOf(settings.error()));
    }
  }

  ProcessSettings settings_;
  net::GlibLoop& loop_;
  transport::Hub hub_;
  coordination::Group group_;
  std::unique_ptr<platform::CountedPlatform> platform_;
  CoreService service_;
  operator_api::Forwarder forwarder_;
  std::unique_ptr<operator_api::Server> server_;
  net::TimerPtr leave_timer_;
  net::TimerPtr hand_over_timer_;
  bool leaving_ = false;
  net::Time started_at_ = loop_.Now();
};

}  // namespace

int RunCore(const ProcessSettings& settings, net::GlibLoop& loop) {
  auto disk = coordination::Group::OpenStorage(loop, settings);
  if (!disk) {
    log::Line(log::Level::kError, kModule, "cannot open the disk: " + disk.error().text);
    return EXIT_FAILURE;
  }
  try {
    CoreProcess process(settings, loop, std::move(disk.value()));
    loop.Run();
  } catch (const net::Error& error) {
    log::Line(log::Level::kError, kModule, error.what());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace shelflink::cluster
