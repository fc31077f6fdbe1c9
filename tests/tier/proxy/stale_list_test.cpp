// The rule DRAIN while the control plane is unavailable: complete proxies with core processes, a
// platform, endpoints and clients on the virtual network. Whatever interrupts the path of the
// platform's list over the core to a proxy, no request reaches an endpoint later than `drainMs`
// after the list showed it as draining, and the other endpoints serve requests meanwhile.
#define BOOST_TEST_MODULE proxy_stale_list
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "cluster/group_rig.h"
#include "emulator/random.h"
#include "proxy/stale_list_scene.h"
#include "tier/proxy/list_fallback_timing.h"
#include "tier/proxy/reading_plan.h"

using proxy_test::Endpoint;
using proxy_test::milliseconds;
using proxy_test::Request;
using shelflink::cluster::EndpointEntry;
using shelflink::cluster::GroupCore;
using shelflink::cluster::Rig;
using stale_list::kDrain;
using stale_list::kFirstEndpointHost;
using stale_list::Scene;
using stale_list::TakeViolations;
using std::chrono::seconds;

namespace {

enum class SlowDisk { kPrimary, kBackup, kAll };

// Core processes with disks of their own and regular changes of the configuration that make them
// commit. A process is blocked while it commits.
class DiskScene : public Scene {
 public:
  explicit DiskScene(std::uint64_t seed) : DiskScene(seed, seconds(3)) {
    rig.Run(seconds(1));
    ChangeConfiguration();
    rig.Run(seconds(1));
  }
  // `first_change_after`: time from the start to the first change. Returns once the proxies are
  // ready.
  DiskScene(std::uint64_t seed, net::Span first_change_after) : Scene(NotStarted(), 5, seed, 40) {
    for (const auto& core : rig.cores) {
      cores.push_back(
          std::make_unique<GroupCore>(rig.net, core->host(), core->settings(), rig.platform));
      cores.back()->commit_takes = [] { return kUsualCommit; };
      cores.back()->Start();
    }
    rig.Run(first_change_after);
    while (Primary() == nullptr) rig.Run(milliseconds(1));
    ChangeConfiguration();
    const auto is_ready = [](const auto& proxy) { return proxy->program->ready(); };
    BOOST_REQUIRE(rig.RunUntil(
        [&] { return std::all_of(proxies.begin(), proxies.end(), is_ready); }, seconds(2)));
  }

  // Sets how long commits take from now on. kPrimary and kBackup mean the current roles.
  void SlowDown(SlowDisk which, const std::function<net::Span()>& commit_takes) {
    GroupCore* primary = Primary();
    BOOST_REQUIRE(primary != nullptr);
    const auto& replicas = primary->group().member().record().replicas;
    for (const auto& core : cores) {
      const bool is_replica =
          std::any_of(replicas.begin(), replicas.end(),
                      [&](const auto& replica) { return replica.address == core->address(); });
      const bool is_primary = core.get() == primary;
      if (which == SlowDisk::kAll || (which == SlowDisk::kPrimary && is_primary) ||
          (which == SlowDisk::kBackup && is_replica && !is_primary)) {
        core->commit_takes = [this, commit_takes] {
          const net::Span takes = commit_takes();
          if (takes > kUsualCommit) ++slow_commits_;
          return takes;
        };
      }
    }
  }

  std::size_t slow_commits() const { return slow_commits_; }

 private:
  static constexpr milliseconds kUsualCommit{5};
  static constexpr milliseconds kChangeInterval{300};

  GroupCore* Primary() {
    for (const auto& core : cores) {
      if (!core->stands_still() && core->service().is_primary()) return core.get();
    }
    return nullptr;
  }
  void BetweenRequests() override {
    if (rig.net.Now() < next_change_) return;
    next_change_ = rig.net.Now() + kChangeInterval;
    ChangeConfiguration();
  }
  // Changes the newest configuration that the primary knows; the result does not matter.
  void ChangeConfiguration() {
    GroupCore* primary = Primary();
    if (primary == nullptr) return;
    const auto newest = shelflink::configuration::CurrentConfiguration(primary->group().contents());
    const std::uint64_t base = newest ? newest->version : 0;
    primary->service().ChangeConfiguration({shelflink::configuration::ChangeMethod::kPut, base,
                                            shelflink::cluster::RigConfiguration(base + 1)},
                                           [](const auto&) {});
  }

  std::vector<std::unique_ptr<GroupCore>> cores;
  net::Time next_change_{};
  std::size_t slow_commits_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_while_the_core_works) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_without_any_core_process) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(4, seed);
      scene.Traffic(seconds(1));
      for (auto& core : scene.rig.cores) core->Stop();
      scene.Traffic(seconds(1));
      scene.CheckDrainTakesEffect();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_while_no_core_process_is_primary) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.map.Elect(nullptr);
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_while_the_primary_does_not_reach_the_platform) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.platform.cut_off = {&scene.rig.cores[0]->process()};
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_while_the_core_is_paused) {
  Scene scene;
  scene.Traffic(seconds(1));
  for (auto& core : scene.rig.cores) core->process().SetPaused(true);
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

// A commit blocks its process, which delays the lists that the process reads and publishes.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_while_disks_of_the_core_take_seconds_to_sync) {
  for (const SlowDisk which : {SlowDisk::kPrimary, SlowDisk::kBackup, SlowDisk::kAll}) {
    for (const int takes_ms : {1000, 2000, 3000, 4000}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        BOOST_TEST_CONTEXT("disk " << int(which) << ", " << takes_ms << " ms, seed " << seed) {
          DiskScene scene(seed);
          scene.Traffic(milliseconds(1000 + 170 * seed));
          scene.SlowDown(which, [takes_ms] { return milliseconds(takes_ms); });
          scene.Traffic(milliseconds(250 * (seed - 1)));
          scene.CheckDrainTakesEffect();
          BOOST_TEST(scene.slow_commits() > 0U);
        }
      }
    }
  }
}

// The same soon after the first start of all processes.
BOOST_AUTO_TEST_CASE(
    a_drain_takes_effect_while_disks_of_a_core_that_has_just_started_take_seconds_to_sync) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DiskScene scene(seed, net::Span());
      scene.Traffic(milliseconds(100 * seed));
      scene.SlowDown(SlowDisk::kAll, [] { return seconds(4); });
      scene.CheckDrainTakesEffect();
      BOOST_TEST(scene.slow_commits() > 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(
    a_drain_takes_effect_with_small_pages_while_some_commits_of_the_core_take_seconds) {
  constexpr std::uint64_t kSlowCommitPercent = 30;
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      shelflab::Random random(seed, 0x736c6f77);
      DiskScene scene(seed);
      scene.AddOtherEndpoints(17);
      scene.rig.platform.page_size = 4;
      scene.Traffic(milliseconds(2000 + 70 * seed));
      scene.SlowDown(SlowDisk::kAll, [&random] {
        const bool slow = random.Below(100) < kSlowCommitPercent;
        return milliseconds(slow ? 1000 + random.Below(3000) : 5);
      });
      scene.Traffic(milliseconds(100 * seed));
      scene.CheckDrainTakesEffect();
      BOOST_TEST(scene.slow_commits() > 0U);
    }
  }
}

// Pauses one proxy of each zone at a time, each of them once, and so also the one that relays parts
// of the view to the others of its zone.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_while_a_relay_is_paused) {
  for (std::size_t paused = 0; paused < 6; paused += 2) {
    BOOST_TEST_CONTEXT("paused from " << paused) {
      Scene scene(6);
      scene.Traffic(seconds(1));
      scene.proxies[paused]->SetPaused(true);
      scene.proxies[paused + 1]->SetPaused(true);
      scene.Traffic(seconds(1));
      scene.CheckDrainTakesEffect();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_soon_after_a_platform_that_was_silent_answers_again) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.platform.silent = true;
  scene.Traffic(milliseconds(5500));
  scene.rig.platform.silent = false;
  scene.CheckDrainTakesEffect();
}

// Answers take longer than the timeout after which the next call is made.
BOOST_AUTO_TEST_CASE(the_list_of_a_slow_platform_is_read) {
  Scene scene;
  scene.rig.platform.list_takes = seconds(2);
  scene.rig.Run(seconds(3));
  scene.Traffic(seconds(1));
  const net::Time drain_shown_at = scene.DrainFirstEndpoint();
  scene.Traffic(seconds(6));
  BOOST_TEST(scene.servers[0]->ArrivalsAfter(drain_shown_at + seconds(4)) == 0U);
}

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_in_a_larger_fleet_with_a_list_of_three_pages) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(20, seed, 44);
      scene.AddOtherEndpoints(140);
      scene.Traffic(milliseconds(2000 + 150 * seed));
      for (auto& core : scene.rig.cores) core->Stop();
      // With the first seed, the drain is shown immediately after the core has stopped.
      scene.Traffic(milliseconds(300 * (seed - 1)));
      scene.CheckDrainTakesEffect();
      // 0.4 of the rate limit, and one more call of each reader.
      BOOST_TEST(scene.CountListCalls(seconds(10)) <= 176U + 4U);
    }
  }
}

// Only some of the proxies read. The others ask them, and ask the next reader if one is gone.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_at_proxies_that_ask_the_readers) {
  for (const bool first_reader_ends : {false, true}) {
    BOOST_TEST_CONTEXT("first reader ends: " << first_reader_ends) {
      Scene scene(6, 1, 9);
      scene.Traffic(seconds(1));
      for (auto& core : scene.rig.cores) core->Stop();
      if (first_reader_ends) {
        scene.proxies[0]->process.Kill();
        scene.proxies[0]->program.reset();
      }
      scene.Traffic(seconds(1));
      scene.CheckDrainTakesEffect();
      BOOST_TEST(scene.CountListCalls(seconds(10)) <= 36U);  // 0.4 of the rate limit.
    }
  }
}

// Only one proxy may read at this rate, and there is no primary: once that proxy has ended, another
// one reads instead.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_after_the_only_reader_has_ended) {
  Scene scene(6, 1, 5);
  scene.Traffic(seconds(1));
  scene.rig.map.Elect(nullptr);
  scene.proxies[0]->process.Kill();
  scene.proxies[0]->program.reset();
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

// The reader works, but cannot reach the platform.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_while_the_only_reader_cannot_reach_the_platform) {
  Scene scene(6, 1, 5);
  scene.Traffic(seconds(1));
  scene.rig.map.Elect(nullptr);
  scene.rig.platform.cut_off = {&scene.proxies[0]->process};
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

// The drain is shown at the same time as the primary is lost and the only reader ends, or loses the
// platform, at different times of a walk.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_that_is_shown_as_the_only_reader_ends) {
  for (const int later_ms : {0, 190, 380, 570}) {
    for (const bool ends : {false, true}) {
      BOOST_TEST_CONTEXT("later by " << later_ms << " ms, ends: " << ends) {
        Scene scene(6, 1, 5);
        scene.Traffic(milliseconds(1000 + later_ms));
        scene.rig.map.Elect(nullptr);
        if (ends) {
          scene.proxies[0]->process.Kill();
          scene.proxies[0]->program.reset();
        } else {
          scene.rig.platform.cut_off = {&scene.proxies[0]->process};
        }
        scene.CheckDrainTakesEffect();
      }
    }
  }
}

// A standby reader stops once the first reader is back; neither exceeds the share of the rate
// limit.
BOOST_AUTO_TEST_CASE(a_standby_reader_keeps_within_the_rate_and_stops_once_the_reader_is_back) {
  constexpr std::uint64_t kMaxCalls = 20 + 1;  // 0.4 of the rate limit, and one more.
  Scene scene(6, 1, 5);
  for (auto& core : scene.rig.cores) core->Stop();
  scene.proxies[0]->SetPaused(true);
  scene.rig.Run(seconds(5));
  const std::uint64_t calls = scene.CountListCalls(seconds(10));
  BOOST_TEST(calls >= 10U);
  BOOST_TEST(calls <= kMaxCalls);
  scene.proxies[0]->SetPaused(false);
  scene.rig.Run(seconds(3));
  BOOST_TEST(scene.CountListCalls(seconds(10)) <= kMaxCalls);
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

// A platform that fails is asked by the readers and one group of standby readers, not by the fleet.
BOOST_AUTO_TEST_CASE(a_platform_that_fails_is_not_asked_by_the_whole_fleet) {
  Scene scene(8, 1, 5);
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.platform.up = false;
  scene.rig.Run(seconds(5));
  BOOST_TEST(scene.CountListCalls(seconds(10)) <= 2U * (20U + 1U));  // Twice 0.4 of the rate limit.
}

// The proxies have started between two lists of members, and the core has stopped since.
BOOST_AUTO_TEST_CASE(proxies_missing_from_the_list_of_members_ask_those_that_it_names) {
  Scene scene(1);
  scene.AddOtherEndpoints(8);
  scene.rig.platform.page_size = 4;
  scene.rig.Run(seconds(2));
  for (std::uint32_t index = 1; index < 8; ++index) {
    scene.proxies.push_back(std::make_unique<stale_list::Proxy>(scene.rig, index, 40));
  }
  scene.rig.Run(milliseconds(100));
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.Run(seconds(4));
  // 0.4 of the rate limit, and one more call of each proxy.
  BOOST_TEST(scene.CountListCalls(seconds(10)) <= 160U + 8U);
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

// Six pages: two readers, whose walks take as long as the reading plan allows.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_with_a_list_of_six_pages) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(8, seed, 44);
      scene.AddOtherEndpoints(290);
      scene.Traffic(milliseconds(2000 + 130 * seed));
      for (auto& core : scene.rig.cores) core->Stop();
      scene.CheckDrainTakesEffect();
    }
  }
}

// The protocol does not say how many entries a page has; with four, the list has five pages.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_with_a_list_of_small_pages) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(5, seed, 40);
      scene.AddOtherEndpoints(17);
      scene.rig.platform.page_size = 4;
      scene.Traffic(milliseconds(2000 + 130 * seed));
      scene.rig.map.Elect(nullptr);
      scene.CheckDrainTakesEffect();
    }
  }
}

BOOST_AUTO_TEST_CASE(no_proxy_reads_while_the_core_does) {
  Scene scene;
  BOOST_TEST(scene.CountListCalls(seconds(9)) <= 13U);  // The primary makes one call each 750 ms.
  const net::Time now = scene.rig.net.Now();
  for (const auto& proxy : scene.proxies) {
    BOOST_TEST((proxy->program->endpoints_read_at() + kDrain / 2 >= now));
  }
}

BOOST_AUTO_TEST_CASE(proxies_stop_reading_once_the_core_reads) {
  Scene scene;
  scene.rig.map.Elect(nullptr);
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.CountListCalls(seconds(9)) > 26U);
  scene.rig.Elect(1);
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.CountListCalls(seconds(9)) <= 13U);
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
}

BOOST_AUTO_TEST_CASE(proxies_keep_within_their_share_of_the_rate) {
  Scene scene(11, 1, 10);
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.CountListCalls(seconds(10)) <=
             43U);  // 0.4 of the rate limit, and one more call of each reader.
}

// The time limit of drains is suspended then, and requests use the last known list.
BOOST_AUTO_TEST_CASE(requests_go_on_while_neither_core_nor_platform_answers) {
  Scene scene;
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.platform.up = false;
  scene.rig.Run(seconds(5));
  scene.Traffic(seconds(5));
  BOOST_TEST(scene.TakeServedShare() > 0.99);
  scene.rig.platform.up = true;
  scene.CheckDrainTakesEffect();
}

BOOST_AUTO_TEST_CASE(a_drain_takes_effect_soon_after_a_paused_proxy_resumes) {
  Scene scene;
  scene.Traffic(seconds(1));
  for (const auto& proxy : scene.proxies) proxy->SetPaused(true);
  scene.DrainFirstEndpoint();
  scene.rig.Run(seconds(8));
  for (const auto& proxy : scene.proxies) proxy->SetPaused(false);
  const net::Time resumed = scene.rig.net.Now();
  scene.Traffic(seconds(3));
  BOOST_TEST(scene.servers[0]->ArrivalsAfter(resumed + milliseconds(500)) == 0U);
}

// A request sent by a list older than `drainMs` without a permitted reason is reported as a
// violation. After a process has resumed, its requests are permitted and its batch items wait.
BOOST_AUTO_TEST_CASE(a_send_by_a_stale_list_is_a_violation_and_items_wait_for_a_renewal) {
  proxy_test::ProxyFixture world;
  auto state = shelflink::proxy::ListState::kStale;
  shelflink::proxy::EndpointCalls calls(world.process, world.log, world.budget,
                                        {"proxy", "zone", 1, 100, [&state] { return state; }});
  TakeViolations();
  Endpoint& endpoint = world.Add(proxy_test::RespondWith("x"));
  calls.OnView(world.view);
  struct User : shelflink::proxy::CallUser {
    void OnHead(int, const shelflink::proxy::HeaderList&, std::optional<std::uint64_t>) override {}
    bool OnBody(std::string_view) override { return true; }
    void OnEnd(const shelflink::proxy::CallSummary& summary) override {
      ends.push_back(summary.end);
    }
    std::vector<shelflink::proxy::CallEnd> ends;
  };
  User user;
  const auto start = [&](bool batch) {
    shelflink::proxy::CallRequest request;
    request.request_id = "0" + std::to_string(endpoint.requests.size()) + (batch ? "b" : "l");
    request.target = "/get/a";
    request.headers = {{"Host", "a.example"}};
    request.configuration = world.view.configuration;
    request.route = &world.view.configuration->routes[batch ? 5 : 0];
    request.batch = batch;
    calls.Start(std::move(request), user);
    world.Run(milliseconds(300));
  };
  for (const bool batch : {false, true}) {
    start(batch);
    BOOST_TEST(endpoint.requests.size() == (batch ? 2U : 1U));
    BOOST_TEST(TakeViolations().size() == 1U);
  }
  for (const auto harmless :
       {shelflink::proxy::ListState::kFresh, shelflink::proxy::ListState::kPlatformUnavailable}) {
    state = harmless;
    start(true);
    start(false);
    BOOST_TEST(TakeViolations().empty());
  }
  BOOST_TEST(endpoint.requests.size() == 6U);
  state = shelflink::proxy::ListState::kResumed;
  start(true);
  BOOST_TEST(endpoint.requests.size() == 6U);
  start(false);
  BOOST_TEST(endpoint.requests.size() == 7U);
  state = shelflink::proxy::ListState::kUnverified;
  start(true);
  start(false);
  BOOST_TEST(endpoint.requests.size() == 7U);
  BOOST_TEST(user.ends.size() == 10U);
  BOOST_TEST((user.ends.back() == shelflink::proxy::CallEnd::kRefused));
  BOOST_TEST(TakeViolations().empty());
}

BOOST_AUTO_TEST_CASE(readers_and_their_shares_follow_from_the_rate) {
  const auto plan = [](double rate, std::size_t endpoints, std::size_t proxies) {
    return shelflink::proxy::PlanReading(rate, kDrain, endpoints, proxies);
  };
  BOOST_TEST(plan(44, 40, 11).readers == 11U);
  BOOST_TEST(plan(44, 200, 11).readers == 3U);
  BOOST_TEST(plan(44, 0, 1).readers == 1U);
  BOOST_TEST(plan(44, 100000, 400).readers == 1U);
  BOOST_TEST(plan(0, 40, 11).readers == 1U);
  BOOST_TEST(plan(1e9, 40, 11).readers == 11U);
  for (const std::size_t proxies : {1U, 3U, 11U, 400U}) {
    const auto made = plan(44, 120, proxies);
    BOOST_TEST(made.share_of_rate * static_cast<double>(made.readers) <= 0.4000001);
  }
}

// Renewal intervals grow with the fleet; the rest of `drainMs` must still suffice for a walk.
BOOST_AUTO_TEST_CASE(a_late_list_is_read_within_a_drain_whatever_the_renewals_interval) {
  for (const milliseconds drain : {milliseconds(600), kDrain, milliseconds(30000)}) {
    for (const milliseconds interval : {drain / 6, drain / 3, drain}) {
      const net::Span late = shelflink::proxy::LateThreshold(drain, interval);
      const net::Span slots = drain / shelflink::proxy::kStartSpreadDivisor;
      const net::Span walk = drain / shelflink::proxy::kWalkDivisor;
      const net::Span fetch = drain / shelflink::proxy::kFetchTimeoutDivisor;
      BOOST_TEST((late + slots + walk + fetch < drain));
      BOOST_TEST((late >= drain / 2));
    }
  }
  BOOST_TEST((shelflink::proxy::LateThreshold(kDrain, milliseconds(500)) == milliseconds(1750)));
}

// The list that shows the drain is read while the primary's lease has lapsed. The lease is valid
// again before the primary is notified of a change of its role.
BOOST_AUTO_TEST_CASE(a_list_that_was_read_while_the_lease_had_lapsed_is_published) {
  Rig rig(3, 1);
  rig.platform.list = {{"i-0", "big", net::Address::V4(kFirstEndpointHost, 8080), "zone-0", 8,
                        false, milliseconds(0)}};
  rig.Start();
  rig.Run(seconds(3));
  BOOST_REQUIRE(rig.proxies[0]->agent().view().endpoints);
  rig.platform.list[0].draining = true;
  const auto primary = std::exchange(rig.map.primary, nullptr);
  rig.Run(milliseconds(800));  // One walk at least.
  rig.map.primary = primary;
  rig.Run(kDrain - milliseconds(800));
  BOOST_TEST(rig.proxies[0]->agent().view().endpoints->entries[0].draining);
}

// The primary is paused between two checks of its lease while it handles a renewal, and the lease
// lapses meanwhile.
BOOST_AUTO_TEST_CASE(no_age_is_reported_of_a_list_that_the_lease_ended_too_early_to_publish) {
  TakeViolations();
  Rig rig(3, 2);
  rig.platform.list = {{"i-0", "big", net::Address::V4(kFirstEndpointHost, 8080), "zone-0", 8,
                        false, milliseconds(0)}};
  rig.Start();
  rig.Run(seconds(3));
  const auto primary = std::exchange(rig.map.primary, nullptr);
  rig.platform.list[0].draining = true;
  const net::Time drain_shown_at = rig.net.Now();
  rig.Run(milliseconds(800));  // One walk at least.
  rig.map.primary = primary;
  for (int asked = 2; asked <= 12; ++asked) {
    rig.map.asked_until_lapse = asked;
    rig.Run(milliseconds(150));
    for (const auto& proxy : rig.proxies) {
      const bool held = proxy->agent().view().endpoints->entries[0].draining;
      BOOST_TEST((held || proxy->agent().endpoints_read_at() <= drain_shown_at));
    }
  }
  rig.map.asked_until_lapse = -1;
  rig.Run(seconds(2));
  BOOST_TEST(rig.proxies[0]->agent().view().endpoints->entries[0].draining);
  BOOST_TEST(TakeViolations().empty());
}

// Lists arrive by several paths: one that shows an endpoint as ready may have been read earlier
// than one that showed it as draining.
BOOST_AUTO_TEST_CASE(an_endpoint_seen_draining_stays_draining) {
  proxy_test::ProxyFixture world;
  Endpoint& endpoint = world.Add(proxy_test::RespondWith("x"));
  endpoint.draining = true;
  world.PublishEndpoints();
  endpoint.draining = false;
  world.PublishEndpoints();
  auto client = world.SendRequest(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}

// The same if a list in between does not contain the endpoint.
BOOST_AUTO_TEST_CASE(an_endpoint_seen_draining_stays_draining_after_its_removal) {
  proxy_test::ProxyFixture world;
  Endpoint& endpoint = world.Add(proxy_test::RespondWith("x"));
  endpoint.draining = true;
  world.PublishEndpoints();
  endpoint.crashed = true;  // Not listed; its process goes on.
  world.PublishEndpoints();
  endpoint.crashed = false;
  endpoint.draining = false;
  world.PublishEndpoints();
  auto client = world.SendRequest(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}

namespace {

// Publishes the world's list with `others` additional endpoints, all of them draining.
void PublishWithOthers(proxy_test::ProxyFixture& world, std::uint32_t others) {
  auto list = std::make_shared<shelflink::cluster::EndpointList>(*world.view.endpoints);
  for (std::uint32_t index = 0; index < others; ++index) {
    EndpointEntry entry;
    entry.id = "other-" + std::to_string(index);
    entry.service = "svc";
    entry.address = net::Address::V4(0x0a900001 + index, 8080);
    entry.draining = true;
    list->entries.push_back(entry);
  }
  world.view.endpoints = list;
  world.calls.OnView(world.view);
}

}  // namespace

// An endpoint that is listed again is not among the removed ones any more, however many others are
// removed.
BOOST_AUTO_TEST_CASE(
    a_draining_endpoint_that_is_listed_again_is_not_forgotten_with_the_removed_ones) {
  constexpr std::uint32_t kMoreThanRememberedRemoved = 4097;
  proxy_test::ProxyFixture world;
  Endpoint& endpoint = world.Add(proxy_test::RespondWith("x"));
  endpoint.draining = true;
  world.PublishEndpoints();
  endpoint.crashed = true;  // Not listed; its process goes on.
  world.PublishEndpoints();
  endpoint.crashed = false;
  endpoint.draining = false;
  world.PublishEndpoints();
  PublishWithOthers(world, kMoreThanRememberedRemoved);
  world.PublishEndpoints();  // The others are removed.
  world.PublishEndpoints();
  auto client = world.SendRequest(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}

// A connection is being opened when the drain is shown and would carry the request once it is open.
// Sending it would be a violation of the invariant that draining endpoints stay draining.
BOOST_AUTO_TEST_CASE(a_connection_that_opens_after_the_drain_carries_no_request) {
  TakeViolations();
  proxy_test::ProxyFixture world;
  Endpoint& endpoint = world.Add(proxy_test::RespondWith("x"));
  net::Weather slow;
  slow.latency_low = milliseconds(50);
  slow.latency_high = milliseconds(50);
  world.network.SetWeather(endpoint.process.host(), world.process.host(), slow);
  auto client = world.SendRequest(Request("/get/a", "01"));
  while (world.calls.dials() == 0) world.Run(milliseconds(1));
  endpoint.draining = true;
  world.PublishEndpoints();
  world.Run(milliseconds(500));
  BOOST_TEST(TakeViolations().empty());
}
