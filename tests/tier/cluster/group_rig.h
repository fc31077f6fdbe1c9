// The tier of rig.h with its core as it runs: groups over crash-faithful disks.
#ifndef SHELFLINK_TESTS_TIER_CLUSTER_GROUP_RIG_H_
#define SHELFLINK_TESTS_TIER_CLUSTER_GROUP_RIG_H_

#include <boost/test/unit_test.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/rig.h"
#include "tier/coordination/group.h"
#include "tier/storage/crash_storage.h"

namespace shelflink::cluster {

constexpr milliseconds kSyncTakes{4};
constexpr milliseconds kConfigApply{2000};

class GroupCore : public RigMachine {
 public:
  GroupCore(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings,
            PlatformWorld& platform)
      : RigMachine(net, host, std::move(settings)), platform_world_(platform) {}
  ~GroupCore() override { Stop(); }

  CoreService& service() { return *service_; }
  coordination::Group& group() { return *group_; }
  void Wipe() {
    Stop();
    disk_.Wipe();
  }
  // The process stands still while it commits, as with LMDB.
  bool stands_still() const { return stands_still_; }
  bool bootstrap = true;
  std::size_t kept_batches = 0;  // Of what no sync covers, at the next end.
  // Draws how long a commit takes. Empty: each sync takes kSyncTakes and the process goes on.
  std::function<net::Span()> commit_takes;

 protected:
  void Open() override {
    coordination::Group::Options options = coordination::Group::OptionsOf(settings_);
    options.member.found = bootstrap;
    auto storage = std::make_unique<storage::CrashStorage>(
        disk_, [this](std::function<void()> step) { Schedule(std::move(step)); });
    group_ = std::make_unique<coordination::Group>(
        *process_, *hub_, std::move(storage), options,
        [this] { return std::uint64_t{host_} * 1000003 + ++drawn_; });
    platform_ = std::make_unique<FakePlatform>(platform_world_, *process_);
    service_ = std::make_unique<CoreService>(*process_, *hub_, *group_, platform_.get(), settings_);
  }
  void Close() override {
    syncs_.clear();
    waiting_.clear();
    service_.reset();
    platform_.reset();
    group_.reset();
    disk_.LosePower(std::exchange(kept_batches, 0));
    bootstrap = false;
  }

 private:
  struct Pending {
    net::TimerPtr timer;
    bool done = false;
  };
  void Schedule(std::function<void()> step) {
    if (!commit_takes) return RunAt(process_->Now() + kSyncTakes, std::move(step));
    waiting_.push_back(std::move(step));
    if (waiting_.size() == 1) process_->Post([this] { Commit(); });
  }
  // The steps that wait for it are the first that run after it.
  void Commit() {
    RunAt(process_->Now(), [steps = std::exchange(waiting_, {})] {
      for (const auto& step : steps) step();
    });
    const net::Span takes = disk_.unsynced() > 0 ? commit_takes() : net::Span();
    if (takes == net::Span()) return;
    stands_still_ = true;
    process_->SetPaused(true);
    net_.At(net_.Now() + takes, [this, process = process_.get()] {
      stands_still_ = false;
      process->SetPaused(false);
    });
  }
  void RunAt(net::Time at, std::function<void()> step) {
    syncs_.remove_if([](const Pending& pending) { return pending.done; });
    Pending& pending = syncs_.emplace_back();
    pending.timer = process_->NewTimer([&pending, step = std::move(step)] {
      pending.done = true;
      const auto run = step;  // Scheduling again may free this.
      run();
    });
    pending.timer->ArmAt(at);
  }

  PlatformWorld& platform_world_;
  storage::CrashDisk disk_;
  std::uint64_t drawn_ = 0;
  std::list<Pending> syncs_;
  std::vector<std::function<void()>> waiting_;  // For the next commit.
  bool stands_still_ = false;
  std::unique_ptr<FakePlatform> platform_;
  std::unique_ptr<coordination::Group> group_;
  std::unique_ptr<CoreService> service_;
};

// Four core processes, eleven proxies and four stores, as small deployments have them.
class Tier {
 public:
  explicit Tier(std::uint64_t seed) : rig_(4, 11, 4, seed) {
    for (std::size_t index = 0; index < 4; ++index) {
      cores.push_back(std::make_unique<GroupCore>(rig_.net, rig_.cores[index]->host(),
                                                  rig_.cores[index]->settings(), rig_.platform));
    }
    for (auto& core : cores) core->Start();
    for (auto& proxy : rig_.proxies) proxy->Start();
    for (auto& store : rig_.stores) store->Start();
    BOOST_REQUIRE(rig_.RunUntil([&] { return AllFollowOnePrimary(); }, seconds(5)));
    rig_.Run(seconds(2));
  }
  ~Tier() { cores.clear(); }

  GroupCore* Primary() {
    for (auto& core : cores) {
      if (core->up() && core->service().is_primary()) return core.get();
    }
    return nullptr;
  }
  bool AllFollowOnePrimary() {
    const GroupCore* primary = Primary();
    return primary != nullptr &&
           std::all_of(rig_.proxies.begin(), rig_.proxies.end(), [&](const auto& proxy) {
             return proxy->agent().in_touch() && proxy->agent().primary() == primary->address();
           });
  }
  bool AnyLostTouch() const {
    return std::any_of(rig_.proxies.begin(), rig_.proxies.end(),
                       [](const auto& proxy) { return proxy->contacts.size() > 1; });
  }
  // As the operator does: again until it is acknowledged.
  void Put(std::uint64_t version, std::uint64_t base) {
    const net::Time end = rig_.net.Now() + seconds(6);
    bool taken = false;
    while (!taken && rig_.net.Now() < end) {
      GroupCore* primary = Primary();
      if (primary == nullptr) {
        rig_.Run(milliseconds(50));
        continue;
      }
      auto outcome = std::make_shared<std::optional<Result<void>>>();
      primary->service().ChangeConfiguration(
          {configuration::ChangeMethod::kPut, base, RigConfiguration(version)},
          [outcome](const auto& told) { *outcome = operator_api::AcceptedAtOnce(told); });
      rig_.RunUntil([&] { return outcome->has_value(); }, milliseconds(500));
      taken = outcome->has_value() && (*outcome)->has_value();
    }
    BOOST_REQUIRE_MESSAGE(taken, "version " << version << " was not acknowledged");
  }
  void CheckAllFollow(std::uint64_t version) {
    BOOST_TEST(rig_.RunUntil([&] { return rig_.AllHave(version); }, kConfigApply));
    for (const auto& proxy : rig_.proxies) BOOST_TEST(!proxy->stepped_back);
  }
  void Run(net::Span span) { rig_.Run(span); }
  template <typename Condition>
  bool RunUntil(Condition condition, net::Span within) {
    return rig_.RunUntil(condition, within);
  }
  net::VirtualNet& net() { return rig_.net; }

  std::vector<std::unique_ptr<RigAgent>>& proxies() { return rig_.proxies; }
  std::vector<std::unique_ptr<RigAgent>>& stores() { return rig_.stores; }
  PlatformWorld& platform() { return rig_.platform; }

 private:
  Rig rig_;

 public:
  std::vector<std::unique_ptr<GroupCore>> cores;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TESTS_TIER_CLUSTER_GROUP_RIG_H_
