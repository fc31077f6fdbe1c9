#include "tier_seeds/day.h"

#include <exception>
#include <memory>
#include <utility>

#include "emulator/random.h"
#include "tier_seeds/batch_clients.h"
#include "tier_seeds/endpoint_fleet.h"
#include "tier_seeds/http_caller.h"
#include "tier_seeds/live_clients.h"
#include "tier_seeds/machines.h"
#include "tier_seeds/operators.h"
#include "tier_seeds/platform_world.h"
#include "tier_seeds/troubles.h"

namespace shelflink::tier_seeds {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kDayStream = 8;
constexpr std::int64_t kEpochMicros = 1'800'000'000'000'000;
constexpr std::size_t kClientDescriptors = 100'000;
constexpr milliseconds kChangePauseOfLongDays{250};
// A disk that is full, its return and the time to catch up; and so often for all at once.
constexpr milliseconds kOneDiskTakes{8500};
constexpr std::size_t kAllDisksTake = 4;
// Since the start of all.
constexpr milliseconds kOperatorsBegin{500};
constexpr milliseconds kClientsBegin{2500};
constexpr milliseconds kTroubleBegins{4000};
// Before the end of all trouble, on days that close with a loss: from then on it may strike.
constexpr milliseconds kClosingBegins{4000};
// What other trouble there was has ended so long before that, besides the time to catch up.
constexpr milliseconds kQuietBeforeClosing{500};
// Since the end of all trouble.
constexpr milliseconds kCalmChange{6000};
constexpr milliseconds kCalmChangeDue{10000};
constexpr milliseconds kCalmCount{10500};
constexpr milliseconds kReadBack{11000};
constexpr milliseconds kCalmEnds{13000};
constexpr milliseconds kLastAnswers{3500};

ProcessSettings SettingsOf(const Deployment& deployment, const std::string& role,
                           std::size_t index) {
  ProcessSettings settings = deployment.base;
  settings.role = role;
  settings.node = role + "-" + std::to_string(index);
  settings.zone = deployment.ZoneOf(index);
  settings.counts_for_quorum = role != "proxy";
  return settings;
}

class Day {
 public:
  Day(const Deployment& deployment, bool trace)
      : deployment_(deployment),
        net_(deployment.seed, kEpochMicros),
        journal_(net_, trace),
        ledger_(net_, journal_),
        contact_(net_, deployment_.base.bounds.contact),
        platform_(net_, journal_, deployment_),
        endpoints_(net_, journal_, ledger_, platform_, contact_, deployment_),
        operators_(net_, journal_, cores_, deployment_),
        outside_(net_, kFirstClients, "clients", kClientDescriptors),
        callers_(outside_),
        random_(deployment.seed, kDayStream) {
    AddMachines();
    ingress_ = std::make_unique<Ingress>(callers_, proxies_, deployment_.seed);
    clients_ = std::make_unique<LiveClients>(net_, journal_, ledger_, operators_, proxies_,
                                             *ingress_, callers_, deployment_);
    batch_ = std::make_unique<BatchClients>(net_, journal_, ledger_, proxies_, *ingress_, callers_,
                                            deployment_);
    troubles_ = std::make_unique<Troubles>(
        net_, journal_, contact_,
        TierParts{cores_, stores_, proxies_, endpoints_, platform_, operators_}, deployment_);
  }
  ~Day() {
    for (auto& core : cores_) core->Kill();
    for (auto& store : stores_) store->Kill();
    for (auto& proxy : proxies_) proxy->Kill();
    outside_.Kill();
    net_.Clear();
  }

  void Play() {
    StartMachines();
    endpoints_.Start();
    const net::Time trouble_ends = net::Time() + kTroubleBegins + deployment_.trouble;
    const net::Time end = trouble_ends + kCalmEnds;
    ingress_->Start(net_, end);
    At(net::Time() + kOperatorsBegin,
       [this, trouble_ends] { operators_.Start(trouble_ends + milliseconds(2000)); });
    At(net::Time() + kClientsBegin, [this, trouble_ends, end] {
      clients_->Start(end);
      batch_->Start(trouble_ends, trouble_ends + kReadBack);
    });
    ScheduleTroubles(trouble_ends);
    At(trouble_ends + kCalmChange,
       [this, trouble_ends] { operators_.ChangeInCalm(trouble_ends + kCalmChangeDue); });
    At(trouble_ends + kCalmCount, [this] { clients_->CountFromNow(); });
    At(trouble_ends + kReadBack, [this, end] {
      operators_.ReadBack(end);
      batch_->ReadBack(end);
    });
    net_.RunUntil(end + kLastAnswers);
    clients_->JudgeCalm();
    operators_.JudgeHistory();
    batch_->Judge();
  }

  DayResult Result() const {
    return {deployment_, journal_.findings(), journal_.counts(), net_.hash(), net_.events()};
  }
  Journal& journal() { return journal_; }

 private:
  void At(net::Time at, std::function<void()> step) { net_.At(at, std::move(step)); }

  void ScheduleTroubles(net::Time trouble_ends) {
    At(trouble_ends, [this] { troubles_->HealAll(); });
    net::Time others_end = trouble_ends;
    if (deployment_.closes_with_loss) {
      const net::Time closing = trouble_ends - kClosingBegins;
      others_end = closing - kQuietBeforeClosing - deployment_.base.bounds.catch_up;
      At(others_end, [this] { troubles_->HealAll(); });
      At(closing, [this] { troubles_->CloseWithLoss(); });
    }
    At(net::Time() + kTroubleBegins, [this, others_end] { troubles_->Start(others_end); });
  }

  void AddMachines() {
    for (std::size_t index = 0; index < deployment_.cores; ++index) {
      cores_.push_back(
          std::make_unique<CoreMachine>(net_, kFirstCore + static_cast<std::uint32_t>(index),
                                        SettingsOf(deployment_, "core", index), platform_));
    }
    for (std::size_t index = 0; index < deployment_.stores; ++index) {
      stores_.push_back(
          std::make_unique<StoreMachine>(net_, kFirstStore + static_cast<std::uint32_t>(index),
                                         SettingsOf(deployment_, "store", index)));
    }
    for (std::size_t index = 0; index < deployment_.proxies; ++index) {
      const std::uint32_t host = kFirstProxy + static_cast<std::uint32_t>(index);
      ProcessSettings settings = SettingsOf(deployment_, "proxy", index);
      settings.listen_front = net::Address::V4(host, kFrontPort);
      settings.listen_ready = net::Address::V4(host, kReadyPort);
      proxies_.push_back(std::make_unique<ProxyMachine>(net_, host, settings, platform_));
    }
  }

  // Within 0.3 s of one another, in any order.
  void StartMachines() {
    const auto start_soon = [this](Machine& machine) {
      At(net::Time() + milliseconds(random_.Below(300)), [&machine] { machine.Start(); });
    };
    for (auto& core : cores_) start_soon(*core);
    for (auto& store : stores_) start_soon(*store);
    for (auto& proxy : proxies_) start_soon(*proxy);
  }

  Deployment deployment_;
  net::VirtualNet net_;
  Journal journal_;
  Ledger ledger_;
  ContactRecord contact_;
  PlatformWorld platform_;
  std::vector<std::unique_ptr<CoreMachine>> cores_;
  std::vector<std::unique_ptr<StoreMachine>> stores_;
  std::vector<std::unique_ptr<ProxyMachine>> proxies_;
  EndpointFleet endpoints_;
  Operators operators_;
  net::VirtualProcess outside_;
  HttpCallers callers_;
  shelflab::Random random_;
  std::unique_ptr<Ingress> ingress_;
  std::unique_ptr<LiveClients> clients_;
  std::unique_ptr<BatchClients> batch_;
  std::unique_ptr<Troubles> troubles_;
};

}  // namespace

DayResult PlayDay(std::uint64_t seed, const DayOptions& options) {
  Deployment deployment = DrawDeployment(seed);
  if (options.length) {
    deployment.trouble = *options.length;
    deployment.change_pause = kChangePauseOfLongDays;
  }
  if (options.fills_all_disks) {
    deployment.of_disks = false;
    deployment.fills_all_disks = true;
    deployment.trouble =
        kOneDiskTakes * static_cast<int>(deployment.cores + deployment.stores + kAllDisksTake);
    // Results that were complete for so long may be forgotten: not on this day, as on any other.
    deployment.base.bounds.status =
        std::chrono::ceil<std::chrono::milliseconds>(deployment.trouble) +
        deployment.base.bounds.status;
  }
  if (options.closes_with_loss) {
    deployment.of_disks = false;
    deployment.closes_with_loss = true;
    deployment.trouble += kClosingBegins + kQuietBeforeClosing + deployment.base.bounds.catch_up;
  }
  Day day(deployment, options.trace);
  try {
    day.Play();
  } catch (const std::exception& error) {
    day.journal().Report("EXCEPTION", error.what());
  }
  return day.Result();
}

}  // namespace shelflink::tier_seeds
