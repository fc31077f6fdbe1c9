// The rule DRAIN while control stands still: whole proxies beside core processes, a platform,
// endpoints and clients on the virtual network. Whatever stops the way from the platform's list
// over the core to a proxy, no request reaches an endpoint later than `drainMs` after the list
// showed it as draining, and requests are served by the other endpoints meanwhile.
#define BOOST_TEST_MODULE proxy_stale_list
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "cluster/group_rig.h"
#include "emulator/random.h"
#include "proxy/stale_list_scene.h"
#include "tier/proxy/list_times.h"
#include "tier/proxy/reading_plan.h"

using shelflink::cluster::EndpointEntry;
using shelflink::cluster::GroupCore;
using shelflink::cluster::Rig;
using stale_list::kDrain;
using stale_list::kFirstEndpointHost;
using stale_list::Scene;
using stale_list::TakeViolations;
using stand_in::Endpoint;
using stand_in::milliseconds;
using stand_in::Request;
using std::chrono::seconds;

namespace {

enum class SlowDisk { kPrimary, kBackup, kAll };

// Core processes on disks of their own, and an operator whose orders make them commit. A process
// stands still while it commits.
class DiskScene : public Scene {
 public:
  explicit DiskScene(std::uint64_t seed) : DiskScene(seed, seconds(3)) {
    rig.Run(seconds(1));
    Order();
    rig.Run(seconds(1));
  }
  // The first order comes so long after the start; the proxies are ready.
  DiskScene(std::uint64_t seed, net::Span first_order) : Scene(NotStarted(), 5, seed, 40) {
    for (const auto& core : rig.cores) {
      cores.push_back(
          std::make_unique<GroupCore>(rig.net, core->host(), core->settings(), rig.platform));
      cores.back()->commit_takes = [] { return kUsualCommit; };
      cores.back()->Start();
    }
    rig.Run(first_order);
    while (Primary() == nullptr) rig.Run(milliseconds(1));
    Order();
    const auto is_ready = [](const auto& proxy) { return proxy->program->ready(); };
    BOOST_REQUIRE(rig.RunUntil(
        [&] { return std::all_of(proxies.begin(), proxies.end(), is_ready); }, seconds(2)));
  }

  // From now on; where the primary or a backup is to be slow, who is that now.
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
  static constexpr milliseconds kBetweenOrders{300};

  GroupCore* Primary() {
    for (const auto& core : cores) {
      if (!core->stands_still() && core->service().is_primary()) return core.get();
    }
    return nullptr;
  }
  void Beside() override {
    if (rig.net.Now() < next_order_) return;
    next_order_ = rig.net.Now() + kBetweenOrders;
    Order();
  }
  // A change of the newest configuration that the primary knows; whether it is taken is not asked.
  void Order() {
    GroupCore* primary = Primary();
    if (primary == nullptr) return;
    const auto newest = shelflink::configuration::CurrentConfiguration(primary->group().contents());
    const std::uint64_t base = newest ? newest->version : 0;
    primary->service().ChangeConfiguration({shelflink::configuration::ChangeMethod::kPut, base,
                                            shelflink::cluster::RigConfiguration(base + 1)},
                                           [](const shelflink::Result<void>&) {});
  }

  std::vector<std::unique_ptr<GroupCore>> cores;
  net::Time next_order_{};
  std::size_t slow_commits_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_drain_binds_while_control_works) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(a_drain_binds_without_any_core_process) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(4, seed);
      scene.Traffic(seconds(1));
      for (auto& core : scene.rig.cores) core->Stop();
      scene.Traffic(seconds(1));
      scene.CheckDrainBinds();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_drain_binds_while_no_core_process_is_primary) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.map.Elect(nullptr);
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(a_drain_binds_while_the_primary_does_not_reach_the_platform) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.platform.cut_off = {&scene.rig.cores[0]->process()};
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(a_drain_binds_while_the_core_stands_still) {
  Scene scene;
  scene.Traffic(seconds(1));
  for (auto& core : scene.rig.cores) core->process().SetPaused(true);
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

// A commit holds up its process, and with it the lists that this one reads and publishes.
BOOST_AUTO_TEST_CASE(a_drain_binds_while_disks_of_the_core_take_seconds_to_sync) {
  for (const SlowDisk which : {SlowDisk::kPrimary, SlowDisk::kBackup, SlowDisk::kAll}) {
    for (const int takes_ms : {1000, 2000, 3000, 4000}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        BOOST_TEST_CONTEXT("disk " << int(which) << ", " << takes_ms << " ms, seed " << seed) {
          DiskScene scene(seed);
          scene.Traffic(milliseconds(1000 + 170 * seed));
          scene.SlowDown(which, [takes_ms] { return milliseconds(takes_ms); });
          scene.Traffic(milliseconds(250 * (seed - 1)));
          scene.CheckDrainBinds();
          BOOST_TEST(scene.slow_commits() > 0U);
        }
      }
    }
  }
}

// Soon after the first start of all processes, too.
BOOST_AUTO_TEST_CASE(a_drain_binds_while_disks_of_a_core_that_has_just_begun_take_seconds_to_sync) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DiskScene scene(seed, net::Span());
      scene.Traffic(milliseconds(100 * seed));
      scene.SlowDown(SlowDisk::kAll, [] { return seconds(4); });
      scene.CheckDrainBinds();
      BOOST_TEST(scene.slow_commits() > 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_drain_binds_with_small_pages_while_some_commits_of_the_core_take_seconds) {
  constexpr std::uint64_t kSlowInHundred = 30;
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      shelflab::Random random(seed, 0x736c6f77);
      DiskScene scene(seed);
      scene.AddOthers(17);
      scene.rig.platform.page_size = 4;
      scene.Traffic(milliseconds(2000 + 70 * seed));
      scene.SlowDown(SlowDisk::kAll, [&random] {
        const bool slow = random.Below(100) < kSlowInHundred;
        return milliseconds(slow ? 1000 + random.Below(3000) : 5);
      });
      scene.Traffic(milliseconds(100 * seed));
      scene.CheckDrainBinds();
      BOOST_TEST(scene.slow_commits() > 0U);
    }
  }
}

// In turn each proxy of a zone, and so the one that passes parts of the view on to the others.
BOOST_AUTO_TEST_CASE(a_drain_binds_while_a_relay_stands_still) {
  for (std::size_t paused = 0; paused < 6; paused += 2) {
    BOOST_TEST_CONTEXT("paused from " << paused) {
      Scene scene(6);
      scene.Traffic(seconds(1));
      scene.proxies[paused]->SetPaused(true);
      scene.proxies[paused + 1]->SetPaused(true);
      scene.Traffic(seconds(1));
      scene.CheckDrainBinds();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_drain_binds_soon_after_a_platform_that_was_silent_answers_again) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.platform.silent = true;
  scene.Traffic(milliseconds(5500));
  scene.rig.platform.silent = false;
  scene.CheckDrainBinds();
}

// Slower than an answer is waited for before the next call.
BOOST_AUTO_TEST_CASE(the_list_of_a_slow_platform_is_read) {
  Scene scene;
  scene.rig.platform.list_takes = seconds(2);
  scene.rig.Run(seconds(3));
  scene.Traffic(seconds(1));
  const net::Time shown = scene.DrainFirst();
  scene.Traffic(seconds(6));
  BOOST_TEST(scene.servers[0]->ArrivalsAfter(shown + seconds(4)) == 0U);
}

BOOST_AUTO_TEST_CASE(a_drain_binds_in_a_larger_fleet_with_a_list_of_three_pages) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(20, seed, 44);
      scene.AddOthers(140);
      scene.Traffic(milliseconds(2000 + 150 * seed));
      for (auto& core : scene.rig.cores) core->Stop();
      scene.Traffic(milliseconds(300 * (seed - 1)));  // At first none: the drain is shown at once.
      scene.CheckDrainBinds();
      BOOST_TEST(scene.ListCalls(seconds(10)) <= 176U + 4U);  // 0.4 of the rate; one begun of each.
    }
  }
}

// Fewer proxies read than there are: the others ask them, and go on to the next where one is gone.
BOOST_AUTO_TEST_CASE(a_drain_binds_at_proxies_that_ask_those_that_read) {
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
      scene.CheckDrainBinds();
      BOOST_TEST(scene.ListCalls(seconds(10)) <= 36U);  // 0.4 of the rate.
    }
  }
}

// Only one proxy may read at this rate, and control stands still: once that one is gone, another
// takes its place.
BOOST_AUTO_TEST_CASE(a_drain_binds_after_the_only_proxy_that_reads_has_ended) {
  Scene scene(6, 1, 5);
  scene.Traffic(seconds(1));
  scene.rig.map.Elect(nullptr);
  scene.proxies[0]->process.Kill();
  scene.proxies[0]->program.reset();
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

// The reader itself is well and does not reach the platform.
BOOST_AUTO_TEST_CASE(a_drain_binds_while_the_only_proxy_that_reads_does_not_reach_the_platform) {
  Scene scene(6, 1, 5);
  scene.Traffic(seconds(1));
  scene.rig.map.Elect(nullptr);
  scene.rig.platform.cut_off = {&scene.proxies[0]->process};
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

// The drain is shown in the moment in which control and the only reader end, at any time of a walk.
BOOST_AUTO_TEST_CASE(a_drain_binds_that_is_shown_as_the_only_proxy_that_reads_ends) {
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
        scene.CheckDrainBinds();
      }
    }
  }
}

// Who stands in stops once the first reader is back; none of them reads beyond the share.
BOOST_AUTO_TEST_CASE(who_stands_in_for_a_reader_keeps_within_the_rate_and_stops_once_it_is_back) {
  constexpr std::uint64_t kMostCalls = 20 + 1;  // 0.4 of the rate, and one begun.
  Scene scene(6, 1, 5);
  for (auto& core : scene.rig.cores) core->Stop();
  scene.proxies[0]->SetPaused(true);
  scene.rig.Run(seconds(5));
  const std::uint64_t calls = scene.ListCalls(seconds(10));
  BOOST_TEST(calls >= 10U);
  BOOST_TEST(calls <= kMostCalls);
  scene.proxies[0]->SetPaused(false);
  scene.rig.Run(seconds(3));
  BOOST_TEST(scene.ListCalls(seconds(10)) <= kMostCalls);
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

// A platform that fails is asked by the readers and those that stand in once, not by the fleet.
BOOST_AUTO_TEST_CASE(a_platform_that_fails_is_not_asked_by_the_whole_fleet) {
  Scene scene(8, 1, 5);
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.platform.up = false;
  scene.rig.Run(seconds(5));
  BOOST_TEST(scene.ListCalls(seconds(10)) <= 2U * (20U + 1U));  // Twice 0.4 of the rate.
}

// They have come within the moment between two lists of members, and control stands still since.
BOOST_AUTO_TEST_CASE(proxies_that_the_list_of_members_does_not_name_ask_those_that_it_names) {
  Scene scene(1);
  scene.AddOthers(8);
  scene.rig.platform.page_size = 4;
  scene.rig.Run(seconds(2));
  for (std::uint32_t index = 1; index < 8; ++index) {
    scene.proxies.push_back(std::make_unique<stale_list::Proxy>(scene.rig, index, 40));
  }
  scene.rig.Run(milliseconds(100));
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.ListCalls(seconds(10)) <= 160U + 8U);  // 0.4 of the rate; one begun of each.
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

// Six pages: two readers, whose walks take as long as the plan allows.
BOOST_AUTO_TEST_CASE(a_drain_binds_with_a_list_of_six_pages) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(8, seed, 44);
      scene.AddOthers(290);
      scene.Traffic(milliseconds(2000 + 130 * seed));
      for (auto& core : scene.rig.cores) core->Stop();
      scene.CheckDrainBinds();
    }
  }
}

// The protocol does not say how many entries a page holds: with four, five pages are walked here.
BOOST_AUTO_TEST_CASE(a_drain_binds_with_a_list_of_small_pages) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(5, seed, 40);
      scene.AddOthers(17);
      scene.rig.platform.page_size = 4;
      scene.Traffic(milliseconds(2000 + 130 * seed));
      scene.rig.map.Elect(nullptr);
      scene.CheckDrainBinds();
    }
  }
}

BOOST_AUTO_TEST_CASE(no_proxy_reads_while_the_core_does) {
  Scene scene;
  BOOST_TEST(scene.ListCalls(seconds(9)) <= 13U);  // One each 750 ms, by the primary.
  const net::Time now = scene.rig.net.Now();
  for (const auto& proxy : scene.proxies) {
    BOOST_TEST((proxy->program->endpoints_read_at() + kDrain / 2 >= now));
  }
}

BOOST_AUTO_TEST_CASE(proxies_stop_to_read_once_the_core_does) {
  Scene scene;
  scene.rig.map.Elect(nullptr);
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.ListCalls(seconds(9)) > 26U);
  scene.rig.Elect(1);
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.ListCalls(seconds(9)) <= 13U);
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(proxies_keep_within_their_share_of_the_rate) {
  Scene scene(11, 1, 10);
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.ListCalls(seconds(10)) <=
             43U);  // 0.4 of the rate, and one begun of each reader.
}

// The rule's time stands still then: requests go on by what is known.
BOOST_AUTO_TEST_CASE(requests_go_on_while_neither_core_nor_platform_answers) {
  Scene scene;
  for (auto& core : scene.rig.cores) core->Stop();
  scene.rig.platform.up = false;
  scene.rig.Run(seconds(5));
  scene.Traffic(seconds(5));
  BOOST_TEST(scene.TakeServed() > 0.99);
  scene.rig.platform.up = true;
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(a_proxy_that_stood_still_binds_by_the_list_soon) {
  Scene scene;
  scene.Traffic(seconds(1));
  for (const auto& proxy : scene.proxies) proxy->SetPaused(true);
  scene.DrainFirst();
  scene.rig.Run(seconds(8));
  for (const auto& proxy : scene.proxies) proxy->SetPaused(false);
  const net::Time resumed = scene.rig.net.Now();
  scene.Traffic(seconds(3));
  BOOST_TEST(scene.servers[0]->ArrivalsAfter(resumed + milliseconds(500)) == 0U);
}

// A list older than a drain without an excuse is told at the send that goes by it.
// A process that stood still a moment ago is excused, and its items wait.
BOOST_AUTO_TEST_CASE(a_send_by_a_stale_list_is_a_violation_and_items_wait_for_a_renewal) {
  stand_in::World world;
  auto state = shelflink::proxy::ListState::kStale;
  shelflink::proxy::EndpointCalls calls(world.process, world.log, world.budget,
                                        {"proxy", "zone", 1, 100, [&state] { return state; }});
  TakeViolations();
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
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

BOOST_AUTO_TEST_CASE(readers_and_their_pace_follow_from_the_rate) {
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

// Renewals become rarer in large fleets; what is left of a drain must do for the walk all the same.
BOOST_AUTO_TEST_CASE(a_late_list_is_read_within_a_drain_whatever_the_renewals_interval) {
  for (const milliseconds drain : {milliseconds(600), kDrain, milliseconds(30000)}) {
    for (const milliseconds interval : {drain / 6, drain / 3, drain}) {
      const net::Span late = shelflink::proxy::LateAfter(drain, interval);
      const net::Span slots = drain / shelflink::proxy::kSlotsPart;
      const net::Span walk = drain / shelflink::proxy::kWalkPart;
      const net::Span fetch = drain / shelflink::proxy::kFetchPart;
      BOOST_TEST((late + slots + walk + fetch < drain));
      BOOST_TEST((late >= drain / 2));
    }
  }
  BOOST_TEST((shelflink::proxy::LateAfter(kDrain, milliseconds(500)) == milliseconds(1750)));
}

// The list that shows the drain is read while the primary's lease has lapsed; the lease is back
// before the primary is told of another role.
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

// The primary stands still between two looks at its lease while it handles a renewal.
BOOST_AUTO_TEST_CASE(no_age_is_told_of_a_list_that_the_lease_ended_too_early_to_publish) {
  TakeViolations();
  Rig rig(3, 2);
  rig.platform.list = {{"i-0", "big", net::Address::V4(kFirstEndpointHost, 8080), "zone-0", 8,
                        false, milliseconds(0)}};
  rig.Start();
  rig.Run(seconds(3));
  const auto primary = std::exchange(rig.map.primary, nullptr);
  rig.platform.list[0].draining = true;
  const net::Time shown = rig.net.Now();
  rig.Run(milliseconds(800));  // One walk at least.
  rig.map.primary = primary;
  for (int asked = 2; asked <= 12; ++asked) {
    rig.map.asked_until_lapse = asked;
    rig.Run(milliseconds(150));
    for (const auto& proxy : rig.proxies) {
      const bool held = proxy->agent().view().endpoints->entries[0].draining;
      BOOST_TEST((held || proxy->agent().endpoints_read_at() <= shown));
    }
  }
  rig.map.asked_until_lapse = -1;
  rig.Run(seconds(2));
  BOOST_TEST(rig.proxies[0]->agent().view().endpoints->entries[0].draining);
  BOOST_TEST(TakeViolations().empty());
}

// Lists come by more than one way: what shows an endpoint as ready may have been read earlier.
BOOST_AUTO_TEST_CASE(what_was_seen_draining_stays_draining) {
  stand_in::World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  endpoint.draining = true;
  world.Tell();
  endpoint.draining = false;
  world.Tell();
  auto client = world.Ask(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}

// Also where a list between had it no more.
BOOST_AUTO_TEST_CASE(what_was_seen_draining_stays_draining_beyond_its_end) {
  stand_in::World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  endpoint.draining = true;
  world.Tell();
  endpoint.crashed = true;  // Not listed; its process goes on.
  world.Tell();
  endpoint.crashed = false;
  endpoint.draining = false;
  world.Tell();
  auto client = world.Ask(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}

namespace {

// Tells the world's list with so many others in it, all of them draining.
void TellWithOthers(stand_in::World& world, std::uint32_t others) {
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

// Whoever leaves meanwhile: one that is listed again is not among the departed any more.
BOOST_AUTO_TEST_CASE(
    what_was_seen_draining_and_is_listed_again_is_not_forgotten_with_the_departed) {
  constexpr std::uint32_t kMoreThanAreRemembered = 4097;
  stand_in::World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  endpoint.draining = true;
  world.Tell();
  endpoint.crashed = true;  // Not listed; its process goes on.
  world.Tell();
  endpoint.crashed = false;
  endpoint.draining = false;
  world.Tell();
  TellWithOthers(world, kMoreThanAreRemembered);
  world.Tell();  // The others have left.
  world.Tell();
  auto client = world.Ask(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}

// What checks itself: a connection comes up after the drain, and would carry the request.
BOOST_AUTO_TEST_CASE(a_send_to_what_was_seen_draining_is_a_violation) {
  TakeViolations();
  stand_in::World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  net::Weather slow;
  slow.latency_low = milliseconds(50);
  slow.latency_high = milliseconds(50);
  world.network.SetWeather(endpoint.process.host(), world.process.host(), slow);
  auto client = world.Ask(Request("/get/a", "01"));
  while (world.calls.dials() == 0) world.Run(milliseconds(1));
  endpoint.draining = true;
  world.Tell();
  world.Run(milliseconds(500));
  BOOST_TEST(TakeViolations().empty());
}
