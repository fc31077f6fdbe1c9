// Reports of use: exact over repeats, losses of answers, failovers and clocks that are stepped.
#define BOOST_TEST_MODULE cluster_usage
#include <boost/test/unit_test.hpp>

#include "cluster/rig.h"
#include "tier/cluster/control_state.h"
#include "tier/cluster/usage_duty.h"
#include "tier/cluster/usage_ledger.h"
#include "tier/cluster/use_counts.h"

namespace shelflink::cluster {
namespace {

constexpr seconds kWindow{5};

// Every sidecar counts requests of two tenants at a steady pace, none within 5 ms of the end of a
// window: sidecars know true time only as well as a message's way lets them.
class Traffic {
 public:
  explicit Traffic(Rig& rig) : rig_(rig) { rig_.Run(milliseconds(5)); }
  void Run(net::Span span) {
    const net::Time end = rig_.net.Now() + span;
    while (rig_.net.Now() < end) {
      for (auto& proxy : rig_.proxies) {
        if (!proxy->up()) continue;
        Count(*proxy, "first");
        if (++turn_ % 3 == 0) Count(*proxy, "second");
      }
      rig_.Run(milliseconds(10));
    }
  }
  // Of windows of true time, as the requests really began.
  const std::map<std::uint64_t, std::map<std::string, std::uint64_t>>& truth() const {
    return truth_;
  }

 private:
  void Count(RigAgent& proxy, const std::string& tenant) {
    proxy.agent().CountUse(tenant);
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(rig_.net.Now().time_since_epoch())
            .count() +
        kNetStart;
    ++truth_[static_cast<std::uint64_t>(micros) / 5'000'000][tenant];
  }
  static constexpr std::int64_t kNetStart = 1'700'000'000'000'000;
  Rig& rig_;
  std::uint64_t turn_ = 0;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> truth_;
};

// One set of counts a window, whatever happened; the last fence that a window came with.
std::map<std::uint64_t, std::map<std::string, std::uint64_t>> Reported(const Rig& rig) {
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> windows;
  for (const PlatformWorld::UsageCall& call : rig.platform.usage) {
    const auto [entry, is_new] = windows.insert({call.window, call.counts});
    BOOST_TEST((entry->second == call.counts), "window " << call.window << " came with two counts");
  }
  return windows;
}

void CheckNear(const Rig& rig, const Traffic& traffic, double tolerance, std::size_t least) {
  const auto windows = Reported(rig);
  BOOST_TEST(windows.size() >= least);
  std::size_t checked = 0;
  for (const auto& [window, counts] : windows) {
    const auto truth = traffic.truth().find(window);
    // The first and the last window of the traffic are cut by its beginning and end.
    if (truth == traffic.truth().end() || truth == traffic.truth().begin()) continue;
    if (std::next(truth) == traffic.truth().end()) continue;
    for (const auto& [tenant, count] : truth->second) {
      const auto told = counts.find(tenant);
      BOOST_REQUIRE_MESSAGE(told != counts.end(), "window " << window << " lacks " << tenant);
      const double off = std::abs(static_cast<double>(told->second) - static_cast<double>(count));
      BOOST_TEST(off <= tolerance * static_cast<double>(count),
                 "window " << window << " " << tenant << ": " << told->second << " of " << count);
    }
    ++checked;
  }
  BOOST_TEST(checked + 2 >= least);
}

BOOST_AUTO_TEST_CASE(each_window_is_reported_once_exactly_and_in_time) {
  Rig rig(3, 6);
  rig.Start();
  Traffic traffic(rig);
  traffic.Run(seconds(31));
  const auto windows = Reported(rig);
  BOOST_TEST(rig.platform.usage.size() == windows.size());
  CheckNear(rig, traffic, 0.0, 5);
  // The newest one due has come long before it is late.
  const std::uint64_t now = static_cast<std::uint64_t>(rig.cores[0]->process().WallMicros());
  BOOST_TEST(windows.rbegin()->first + 1 >= now / 5'000'000 - 1);
}

BOOST_AUTO_TEST_CASE(a_report_whose_answer_was_lost_is_repeated_as_it_was) {
  Rig rig(3, 4);
  rig.Start();
  Traffic traffic(rig);
  traffic.Run(seconds(8));
  rig.platform.lose_next_answer = true;
  traffic.Run(seconds(14));
  BOOST_TEST(rig.platform.usage.size() > Reported(rig).size());
  CheckNear(rig, traffic, 0.0, 3);
}

BOOST_AUTO_TEST_CASE(another_holder_sends_the_very_same_counts) {
  for (const int moment_ms : {0, 100, 300, 700, 1500, 2500, 4000}) {
    BOOST_TEST_CONTEXT("moment " << moment_ms) {
      Rig rig(3, 6);
      rig.Start();
      Traffic traffic(rig);
      traffic.Run(seconds(10) + milliseconds(moment_ms));
      rig.platform.lose_next_answer = true;
      std::size_t next = 1;
      for (int round = 0; round < 4; ++round) {
        const std::size_t before = next;
        next = (next + 1) % 3;
        rig.cores[before == 0 ? 2 : before - 1]->Stop();
        rig.cores[before == 0 ? 2 : before - 1]->Start();
        traffic.Run(milliseconds(1200));
        rig.Elect(before);
        traffic.Run(seconds(5));
      }
      traffic.Run(seconds(12));
      CheckNear(rig, traffic, 0.0, 7);
      std::uint64_t fence = 0;
      std::map<std::uint64_t, std::string> holders;
      for (const PlatformWorld::UsageCall& call : rig.platform.usage) {
        BOOST_TEST(call.fence >= fence);
        fence = call.fence;
        const auto [entry, is_new] = holders.insert({call.fence, call.holder});
        BOOST_TEST(entry->second == call.holder);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_platform_that_was_down_gets_the_windows_afterwards) {
  Rig rig(3, 3);
  rig.Start();
  Traffic traffic(rig);
  traffic.Run(seconds(8));
  rig.platform.up = false;
  traffic.Run(seconds(12));
  rig.platform.up = true;
  traffic.Run(seconds(8));
  CheckNear(rig, traffic, 0.0, 4);
}

BOOST_AUTO_TEST_CASE(a_stepped_clock_moves_no_counts) {
  for (const bool primary_too : {false, true}) {
    Rig rig(3, 7);
    rig.Start();
    Traffic traffic(rig);
    traffic.Run(seconds(7));
    rig.proxies[2]->process().StepWall(4'800'000);
    rig.proxies[5]->process().StepWall(-3'000'000);
    if (primary_too) rig.cores[0]->process().StepWall(5'000'000);
    traffic.Run(seconds(25));
    CheckNear(rig, traffic, 0.05, 4);
  }
}

BOOST_AUTO_TEST_CASE(sidecars_on_the_far_side_of_a_cut_are_waited_for) {
  for (const bool new_primary : {false, true}) {
    Rig rig(3, 9);
    rig.Start();
    Traffic traffic(rig);
    traffic.Run(seconds(13));
    for (std::size_t index = 0; index < 4; ++index) {
      rig.net.SetCutOff(rig.proxies[index]->host(), true);
    }
    if (new_primary) rig.Elect(1);
    traffic.Run(seconds(5));
    for (const auto& proxy : rig.proxies) rig.net.SetCutOff(proxy->host(), false);
    traffic.Run(seconds(18));
    CheckNear(rig, traffic, 0.0, 5);
  }
}

// As when the machine of the core's primary is cut off from the other core machines and stores, but
// not from the rest.
BOOST_AUTO_TEST_CASE(a_sidecar_cut_off_from_the_core_tells_its_counts_by_another) {
  for (const bool new_primary : {false, true}) {
    Rig rig(3, 9);
    rig.Start();
    Traffic traffic(rig);
    traffic.Run(seconds(13));
    for (const auto& core : rig.cores) {
      rig.net.SetCut(rig.proxies[0]->host(), core->host(), true);
      rig.net.SetCut(rig.proxies[1]->host(), core->host(), true);
    }
    rig.net.SetCut(rig.proxies[0]->host(), rig.proxies[1]->host(), true);
    if (new_primary) rig.Elect(1);
    traffic.Run(seconds(30));
    BOOST_TEST(!rig.proxies[0]->agent().in_touch());
    CheckNear(rig, traffic, 0.0, 7);
    // Versions come the same way.
    BOOST_REQUIRE(rig.Put(3, 0));
    BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(3); }, milliseconds(2000)));
  }
}

BOOST_AUTO_TEST_CASE(a_farewell_brings_the_last_counts) {
  Rig rig(3, 3);
  rig.Start();
  Traffic traffic(rig);
  for (int round = 0; round < 3; ++round) {
    traffic.Run(milliseconds(6230));
    rig.proxies[1]->agent().Leave([] {});
    rig.Run(milliseconds(20));
    rig.proxies[1]->Stop();
    traffic.Run(seconds(1));
    rig.proxies[1]->Start();
  }
  traffic.Run(seconds(14));
  CheckNear(rig, traffic, 0.0, 5);
}

BOOST_AUTO_TEST_CASE(a_dead_sidecar_delays_a_window_but_does_not_stop_it) {
  Rig rig(3, 6);
  rig.Start();
  Traffic traffic(rig);
  traffic.Run(seconds(9));
  rig.proxies[4]->Stop();
  traffic.Run(seconds(14));
  CheckNear(rig, traffic, 0.05, 3);
}

// A replicator whose plans run when the test says so.
class SlowReplicator : public coordination::Replicator {
 public:
  void SetWatcher(Watcher) override {}
  void Submit(Plan plan, Done done) override {
    plan_ = std::move(plan);
    done_ = std::move(done);
  }
  const coordination::Contents& contents() const override { return map; }
  bool is_primary() const override { return true; }
  std::uint64_t epoch() const override { return 1; }
  std::optional<net::Address> primary() const override { return std::nullopt; }
  std::vector<coordination::CoreMember> members() const override { return {}; }
  void Transfer(std::function<void(bool)> done) override { done(false); }

  bool waiting() const { return static_cast<bool>(plan_); }
  std::vector<coordination::Write> RunPlan() {
    const auto writes = std::exchange(plan_, nullptr)(map);
    BOOST_REQUIRE(writes.has_value());
    return writes.value();
  }
  coordination::Contents map;

 private:
  Plan plan_;
  Done done_;
};

BOOST_AUTO_TEST_CASE(counts_that_came_into_force_meanwhile_are_not_replaced) {
  net::VirtualNet net(1);
  net::VirtualProcess process(net, 0x0a010001, "core", 16);
  SlowReplicator replicator;
  PlatformWorld world;
  FakePlatform platform(world, process);
  UsageLedger ledger;
  DutyPace pace(50);
  UsageDuty duty(
      {process, replicator, platform, ledger, pace, [&] { return process.WallMicros(); }},
      ProcessSettings());
  duty.Start(1);
  for (int step = 0; step < 100 && !replicator.waiting(); ++step) {
    net.RunUntil(net.Now() + milliseconds(250));
    duty.Tick();
  }
  BOOST_REQUIRE(replicator.waiting());
  // An earlier commit of which no answer had come: the same window, other counts.
  const std::uint64_t window = 1'700'000'000 / 5;
  for (std::uint64_t near = window; near < window + 4; ++near) {
    replicator.map[UsageKey(near)] = EncodeUsage({{"t", 5}});
  }
  for (const coordination::Write& write : replicator.RunPlan()) {
    BOOST_TEST((!write.value || replicator.map.count(write.key) == 0));
  }
}

BOOST_AUTO_TEST_CASE(ledger_takes_repeats_and_overtaken_counts_for_what_they_are) {
  UsageLedger ledger;
  const net::Address a = net::Address::V4(1, 1);
  ledger.Hear(a, 1, {{7, "t", 5}});
  ledger.Hear(a, 1, {{7, "t", 9}});
  ledger.Hear(a, 1, {{7, "t", 5}});
  ledger.Hear(a, 2, {{7, "t", 2}});  // Another life counts from nothing.
  BOOST_TEST(ledger.Total(7).at("t") == 11U);
  ledger.Settle(7);
  ledger.Hear(a, 2, {{7, "t", 4}});
  BOOST_TEST(ledger.Total(7).empty());
  for (std::uint64_t window = 8; window < 8 + kMostOpenWindows + 3; ++window) {
    ledger.Hear(a, 2, {{window, "t", 1}});
  }
  BOOST_TEST(ledger.dropped() == 3U);
}

BOOST_AUTO_TEST_CASE(counts_are_told_again_to_a_core_process_that_was_not_told) {
  UseCounts counts;
  counts.Count(3, "t");
  counts.Count(3, "t");
  const auto told = counts.Unacknowledged();
  BOOST_REQUIRE_EQUAL(told.size(), 1U);
  BOOST_TEST(told[0].count == 2U);
  counts.Acknowledge(100, told);
  BOOST_TEST(counts.Unacknowledged().empty());
  counts.Count(3, "t");
  counts.Acknowledge(200, {});  // Another process, which has heard nothing.
  BOOST_REQUIRE_EQUAL(counts.Unacknowledged().size(), 1U);
  BOOST_TEST(counts.Unacknowledged()[0].count == 3U);
  counts.Settle(4);
  BOOST_TEST(counts.Unacknowledged().empty());
}

}  // namespace
}  // namespace shelflink::cluster
