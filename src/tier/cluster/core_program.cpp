#include "tier/cluster/core_program.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>

#include "tier/cluster/core_service.h"
#include "tier/coordination/group.h"
#include "tier/foundation/log.h"
#include "tier/operator_api/forwarder.h"
#include "tier/operator_api/server.h"
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

std::unique_ptr<platform::Platform> PlatformOf(const ProcessSettings& settings) {
  if (!settings.cloud.address) return nullptr;
  return std::make_unique<platform::SoupPlatform>(*settings.cloud.address);
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
    if (settings.listen_control) {
      server_ = std::make_unique<operator_api::Server>(loop, forwarder_, *settings.listen_control);
      service_.WatchConfiguration(
          [this](const std::shared_ptr<const configuration::Configuration>& configuration) {
            server_->SetLimits(configuration->limits);
          });
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
  std::unique_ptr<platform::Platform> platform_;
  CoreService service_;
  operator_api::Forwarder forwarder_;
  std::unique_ptr<operator_api::Server> server_;
  net::TimerPtr leave_timer_;
  net::TimerPtr hand_over_timer_;
  bool leaving_ = false;
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
