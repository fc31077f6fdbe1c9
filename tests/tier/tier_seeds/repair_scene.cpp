#include "tier_seeds/repair_scene.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "tier/batch/messages.h"
#include "tier/cluster/agent.h"
#include "tier/cluster/control_state.h"
#include "tier/cluster/placement.h"
#include "tier_seeds/machines.h"

namespace shelflink::tier_seeds {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kLoaderHost = 0x0a0b0001;
constexpr std::size_t kLoaderDescriptors = 1000;
constexpr milliseconds kCallTimeout{5000};
constexpr std::size_t kMostBodyBytes = 256U << 10;
constexpr milliseconds kRunAim{10000};
constexpr milliseconds kKeep{100000};
constexpr net::Span kStep = milliseconds(1);
constexpr net::Span kSettles = seconds(3);
constexpr net::Span kLooks = seconds(2);
constexpr std::size_t kMostValueBytes = 64U << 10;
constexpr net::Span kMostWait = seconds(60);
constexpr std::size_t kLost = 1;  // Index of the store.

Deployment DeploymentOf(const RepairPlan& plan) {
  Deployment deployment = DrawDeployment(plan.seed);
  deployment.zones = 3;
  deployment.cores = plan.cores;
  deployment.stores = plan.stores;
  deployment.failures = plan.failures;
  deployment.base.tolerance.machines = static_cast<int>(plan.failures);
  deployment.base.seeds.clear();
  for (std::size_t index = 0; index < plan.cores; ++index) {
    deployment.base.seeds.push_back(
        net::Address::V4(kFirstCore + static_cast<std::uint32_t>(index), kControlPort));
  }
  return deployment;
}

ProcessSettings SettingsOf(const Deployment& deployment, const std::string& role,
                           std::size_t index) {
  ProcessSettings settings = deployment.base;
  settings.role = role;
  settings.node = role + "-" + std::to_string(index);
  settings.zone = deployment.ZoneOf(index);
  return settings;
}

// Puts batch jobs that nobody runs into each partition.
class Loader {
 public:
  Loader(net::VirtualNet& net, const Deployment& deployment)
      : process_(net, kLoaderHost, "loader", kLoaderDescriptors),
        hub_(process_, Identity(deployment), transport::Hub::Options{}),
        agent_(process_, hub_, SettingsOf(deployment, "proxy", 0), {}) {}
  ~Loader() { process_.Kill(); }
  Loader(const Loader&) = delete;
  Loader& operator=(const Loader&) = delete;

  bool HasPlacement() const {
    const auto& placement = agent_.view().placement;
    return placement && placement->rows.size() == cluster::kPartitions;
  }
  void Fill(std::uint64_t bytes_each) {
    for (std::uint32_t partition = 0; partition < cluster::kPartitions; ++partition) {
      for (std::uint64_t at = 0; at < bytes_each; at += kMostBodyBytes) {
        const std::uint64_t size = std::min<std::uint64_t>(kMostBodyBytes, bytes_each - at);
        ++under_way_;
        Send(std::make_shared<batch::Submit>(JobOf(partition, size)));
      }
    }
  }
  bool done() const { return under_way_ == 0; }

 private:
  static transport::PeerIdentity Identity(const Deployment& deployment) {
    return {"loader", "proxy", deployment.ZoneOf(0),
            net::Address::V4(kLoaderHost, deployment.base.port_first), 1};
  }

  batch::Submit JobOf(std::uint32_t partition, std::uint64_t size) {
    batch::Submit submit;
    submit.job.tenant = "tenant";
    submit.job.job = "job-" + std::to_string(++jobs_);
    submit.job.partition = partition;
    submit.route = "route";
    submit.run_aim = kRunAim;
    submit.keep = kKeep;
    batch::Item item;
    item.id = submit.job.job + "-0";
    item.path = "/batch/";
    item.body = std::string(size, 'b');
    submit.items.push_back(std::move(item));
    return submit;
  }

  void Send(const std::shared_ptr<batch::Submit>& submit) {
    const net::Address primary = agent_.view().placement->rows[submit->job.partition].primary;
    hub_.Call(primary, batch::kSubmit, Encode(*submit), kCallTimeout,
              [this, submit](const Result<std::string>& result) {
                if (result) {
                  --under_way_;
                } else {
                  Send(submit);
                }
              });
  }

  net::VirtualProcess process_;
  transport::Hub hub_;
  cluster::Agent agent_;
  std::uint64_t jobs_ = 0;
  std::uint64_t under_way_ = 0;
};

class Scene {
 public:
  explicit Scene(const RepairPlan& plan)
      : plan_(plan),
        deployment_(DeploymentOf(plan)),
        net_(plan.seed),
        journal_(net_, false),
        platform_(net_, journal_, deployment_) {
    for (std::size_t index = 0; index < plan.cores; ++index) {
      cores_.push_back(
          std::make_unique<CoreMachine>(net_, kFirstCore + static_cast<std::uint32_t>(index),
                                        SettingsOf(deployment_, "core", index), platform_));
    }
    for (std::size_t index = 0; index < plan.stores; ++index) {
      stores_.push_back(
          std::make_unique<StoreMachine>(net_, kFirstStore + static_cast<std::uint32_t>(index),
                                         SettingsOf(deployment_, "store", index)));
    }
    for (auto& core : cores_) core->Start();
    for (auto& store : stores_) store->Start();
    loader_ = std::make_unique<Loader>(net_, deployment_);
  }
  ~Scene() {
    loader_.reset();
    for (auto& core : cores_) core->Kill();
    for (auto& store : stores_) store->Kill();
    net_.Clear();
  }
  Scene(const Scene&) = delete;
  Scene& operator=(const Scene&) = delete;

  RepairOutcome Play() {
    WaitFor("a whole placement", [this] {
      return loader_->HasPlacement() && Figures().partitions.whole == cluster::kPartitions;
    });
    loader_->Fill(plan_.bytes_each);
    WaitFor("the jobs", [this] { return loader_->done(); });
    net_.RunUntil(net_.Now() + kSettles);
    RepairOutcome outcome;
    outcome.before = Figures();
    outcome.rows_of_lost = RowsOfLost();
    Lose();
    const net::Time lost_at = net_.Now();
    WaitFor("the loss to be known", [this] { return !Figures().open.empty(); });
    const net::Time known_at = net_.Now();
    outcome.known_after = known_at - lost_at;
    outcome.lacking = Figures();
    if (plan_.bytes_each > 0) {
      WaitFor("the first bytes", [this] { return AnyBytesCopied(); });
      outcome.copies_after = net_.Now() - known_at;
    }
    WaitFor("whole copies", [this] { return IsWhole(); });
    outcome.whole_after = net_.Now() - lost_at;
    outcome.after = Figures();
    return outcome;
  }

  RepairOutcome PlayCore() {
    WaitFor("a primary that has heard of its stores",
            [this] { return Figures().stores_heard && Figures().partitions.whole > 0; });
    FillControlState();
    net_.RunUntil(net_.Now() + kSettles);
    RepairOutcome outcome;
    outcome.before = Figures();
    CoreMachine* lost = cores_[0]->is_primary() ? cores_[1].get() : cores_[0].get();
    lost->Wipe();
    const net::Time lost_at = net_.Now();
    if (plan_.returns_after) net_.At(lost_at + *plan_.returns_after, [lost] { lost->Start(); });
    // Where more replicas are left than are wanted there is nothing to be known.
    const net::Time looks_until = lost_at + kLooks;
    while (Figures().open.empty() && net_.Now() < looks_until) net_.RunUntil(net_.Now() + kStep);
    outcome.known_after = net_.Now() - lost_at;
    outcome.lacking = Figures();
    WaitFor("whole copies", [this] { return IsWhole(); });
    outcome.whole_after = net_.Now() - lost_at;
    outcome.after = Figures();
    return outcome;
  }

 private:
  void FillControlState() {
    for (std::uint64_t at = 0; at < plan_.bytes_each; at += kMostValueBytes) {
      const std::uint64_t size = std::min<std::uint64_t>(kMostValueBytes, plan_.bytes_each - at);
      bool done = false;
      Primary()->group().Submit(
          [at, size](const coordination::Contents&) -> Result<std::vector<coordination::Write>> {
            return std::vector<coordination::Write>{
                {"padding/" + std::to_string(at), std::string(size, 'p')}};
          },
          [&done](const Result<void>& result) { done = result.has_value(); });
      WaitFor("the control state to be filled", [&done] { return done; });
    }
  }

  void WaitFor(const std::string& what, const std::function<bool()>& condition) {
    const net::Time until = net_.Now() + kMostWait;
    while (!condition()) {
      if (net_.Now() >= until) throw std::runtime_error("waited in vain for " + what);
      net_.RunUntil(net_.Now() + kStep);
    }
  }

  CoreMachine* Primary() {
    for (auto& core : cores_) {
      if (core->up() && core->is_primary()) return core.get();
    }
    return nullptr;
  }
  cluster::RedundancyFigures Figures() {
    CoreMachine* primary = Primary();
    if (primary == nullptr) return {};
    return primary->service().figures().redundancy;
  }
  bool IsWhole() {
    const cluster::RedundancyFigures figures = Figures();
    return figures.leads && figures.open.empty() &&
           figures.partitions.whole == cluster::kPartitions;
  }

  std::size_t RowsOfLost() {
    const coordination::Contents& contents = Primary()->group().contents();
    const std::string disk = cluster::StoresOf(contents).at(stores_[kLost]->node()).disk;
    const std::vector<cluster::PartitionRow> rows = cluster::RowsOf(contents);
    return static_cast<std::size_t>(
        std::count_if(rows.begin(), rows.end(),
                      [&](const cluster::PartitionRow& row) { return cluster::Names(row, disk); }));
  }

  void Lose() {
    StoreMachine* lost = stores_[kLost].get();
    lost->Wipe();
    if (plan_.returns_after) net_.At(net_.Now() + *plan_.returns_after, [lost] { lost->Start(); });
  }

  bool AnyBytesCopied() const {
    return std::any_of(stores_.begin(), stores_.end(), [](const auto& store) {
      const std::vector<cluster::CopyUnderWay> copies = store->copying();
      return std::any_of(copies.begin(), copies.end(),
                         [](const auto& copy) { return copy.bytes_copied > 0; });
    });
  }

  RepairPlan plan_;
  Deployment deployment_;
  net::VirtualNet net_;
  Journal journal_;
  PlatformWorld platform_;
  std::vector<std::unique_ptr<CoreMachine>> cores_;
  std::vector<std::unique_ptr<StoreMachine>> stores_;
  std::unique_ptr<Loader> loader_;
};

}  // namespace

RepairOutcome PlayStoreLoss(const RepairPlan& plan) { return Scene(plan).Play(); }

RepairOutcome PlayCoreLoss(const RepairPlan& plan) { return Scene(plan).PlayCore(); }

}  // namespace shelflink::tier_seeds
