// The core as it runs, groups over crash-faithful disks, with agents on the virtual network: what a
// sidecar sees of a core process that is killed, cut off, frozen, wiped or told to end.
#define BOOST_TEST_MODULE cluster_failover
#include <boost/test/unit_test.hpp>
#include <list>

#include "cluster/rig.h"
#include "tier/coordination/group.h"
#include "tier/storage/crash_storage.h"

namespace shelflink::cluster {
namespace {

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
  bool bootstrap = true;

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
    service_.reset();
    platform_.reset();
    group_.reset();
    disk_.LosePower(0);
    bootstrap = false;
  }

 private:
  struct Pending {
    net::TimerPtr timer;
    bool done = false;
  };
  void Schedule(std::function<void()> step) {
    syncs_.remove_if([](const Pending& pending) { return pending.done; });
    Pending& pending = syncs_.emplace_back();
    pending.timer = process_->NewTimer([&pending, step = std::move(step)] {
      pending.done = true;
      const auto run = step;  // Scheduling again may free this.
      run();
    });
    pending.timer->ArmAt(process_->Now() + kSyncTakes);
  }

  PlatformWorld& platform_world_;
  storage::CrashDisk disk_;
  std::uint64_t drawn_ = 0;
  std::list<Pending> syncs_;
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
          [outcome](Result<void> told) { *outcome = std::move(told); });
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

 private:
  Rig rig_;

 public:
  std::vector<std::unique_ptr<GroupCore>> cores;
};

BOOST_AUTO_TEST_CASE(a_killed_primary_costs_no_sidecar_its_lease) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Tier tier(seed);
      tier.Put(3, 0);
      GroupCore* killed = tier.Primary();
      killed->Stop();
      tier.Put(5, 3);
      tier.CheckAllFollow(5);
      BOOST_TEST(tier.RunUntil([&] { return tier.AllFollowOnePrimary(); }, seconds(2)));
      BOOST_TEST(!tier.AnyLostTouch());
      killed->Start();
      tier.Run(seconds(3));
      tier.Put(7, 5);
      tier.CheckAllFollow(7);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_primary_cut_off_or_frozen_is_left_and_takes_nothing_back) {
  for (const bool frozen : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      BOOST_TEST_CONTEXT("seed " << seed << " frozen " << frozen) {
        Tier tier(seed);
        tier.Put(3, 0);
        GroupCore* former = tier.Primary();
        if (frozen) {
          former->process().SetPaused(true);
        } else {
          tier.net().SetCutOff(former->host(), true);
        }
        tier.Run(milliseconds(1500));
        BOOST_TEST(tier.RunUntil(
            [&] { return tier.Primary() != nullptr && tier.Primary() != former; }, seconds(3)));
        tier.Put(5, 3);
        tier.CheckAllFollow(5);
        former->process().SetPaused(false);
        tier.net().SetCutOff(former->host(), false);
        tier.Run(seconds(3));
        tier.Put(8, 5);
        tier.CheckAllFollow(8);
        BOOST_TEST(tier.AllFollowOnePrimary());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_primary_wiped_after_its_acknowledgement_loses_nothing) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Tier tier(seed);
      std::uint64_t version = 0;
      for (int round = 0; round < 3; ++round) {
        tier.Put(version + 2, version);
        version += 2;
        GroupCore* wiped = tier.Primary();
        wiped->Wipe();
        tier.Run(milliseconds(200));
        wiped->Start();
        tier.CheckAllFollow(version);
        tier.Run(seconds(6));
      }
      tier.Put(version + 1, version);
      tier.CheckAllFollow(version + 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(all_core_processes_killed_at_once_come_back_with_everything) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Tier tier(seed);
      tier.Put(3, 0);
      for (auto& core : tier.cores) core->Stop();
      tier.Run(milliseconds(700));
      for (auto& core : tier.cores) core->Start();
      tier.Put(5, 3);
      tier.CheckAllFollow(5);
      BOOST_TEST(tier.RunUntil([&] { return tier.AllFollowOnePrimary(); }, seconds(2)));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_planned_transfer_is_hardly_seen) {
  Tier tier(5);
  tier.Put(3, 0);
  for (int round = 0; round < 3; ++round) {
    GroupCore* primary = tier.Primary();
    bool moved = false;
    primary->group().Transfer([&](bool told) { moved = told; });
    BOOST_TEST(tier.RunUntil(
        [&] { return moved && tier.Primary() != nullptr && tier.Primary() != primary; },
        milliseconds(500)));
    BOOST_TEST(tier.RunUntil([&] { return tier.AllFollowOnePrimary(); }, milliseconds(1500)));
  }
  BOOST_TEST(!tier.AnyLostTouch());
}

}  // namespace
}  // namespace shelflink::cluster
