// When a proxy may send requests by a list of endpoints that is older than `drainMs` (RULES, DRAIN
// and "In touch"), and that in all other cases such a request is reported as a violation of the
// invariant: complete proxies on the virtual network.
#define BOOST_TEST_MODULE proxy_stale_list_tolerance
#include <boost/test/unit_test.hpp>

#include "proxy/stale_list_scene.h"

using proxy_test::milliseconds;
using stale_list::kDrain;
using stale_list::Proxy;
using stale_list::Scene;
using stale_list::TakeViolations;
using std::chrono::seconds;

namespace {

// Makes the only reader call once in 5 s: so seldom that the list becomes older than `drainMs`
// although the platform answers.
constexpr double kTooLowRatePerS = 0.5;
// Longest time from a new primary's first list of endpoints to its first list of members.
constexpr milliseconds kMaxMembersDelay{1250};
constexpr milliseconds kMaxAskDelay{200};  // To ask one reader, at the next check.

void StopCore(Scene& scene) {
  for (auto& core : scene.rig.cores) core->Stop();
}

// Starts a proxy while no core process is primary, so that it has no list yet.
void StartWithoutCore(Scene& scene, double rate_per_s) {
  for (auto& core : scene.rig.cores) scene.rig.platform.cut_off.insert(&core->process());
  scene.rig.map.Elect(nullptr);
  const auto index = static_cast<std::uint32_t>(scene.proxies.size());
  scene.proxies.push_back(std::make_unique<Proxy>(scene.rig, index, rate_per_s));
  scene.rig.Run(seconds(5));
}

// Whether the proxy's list of members says that the proxy is ready, as the other processes see it.
bool IsListedAsReady(const Proxy& proxy) {
  const std::vector<shelflink::cluster::Member>& all = proxy.program->view().members->all;
  return std::any_of(all.begin(), all.end(), [&](const shelflink::cluster::Member& member) {
    return member.address.V4Host() == proxy.host && member.ready;
  });
}

}  // namespace

// Each answer arrives before the timeout of its call, so that no call fails, but a walk of three
// pages takes 2.1 s.
BOOST_AUTO_TEST_CASE(the_drain_limit_is_suspended_while_the_platform_is_slow) {
  Scene scene;
  scene.rig.platform.page_size = 1;
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.rig.platform.list_takes = milliseconds(700);
  scene.Traffic(seconds(9));
  BOOST_TEST(TakeViolations().empty());
  BOOST_TEST(scene.TakeServedShare() > 0.99);
}

BOOST_AUTO_TEST_CASE(
    a_drain_takes_effect_soon_after_a_platform_that_was_slow_answers_at_once_again) {
  Scene scene;
  scene.rig.platform.page_size = 1;
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.rig.platform.list_takes = milliseconds(700);
  scene.Traffic(seconds(5));
  scene.rig.platform.list_takes = {};
  scene.CheckDrainTakesEffect();
}

// Each reader has already read a list, a little newer or older than those of the other readers.
BOOST_AUTO_TEST_CASE(
    the_drain_limit_is_suspended_for_proxies_that_ask_while_the_platform_is_silent) {
  for (const std::size_t others : {6U, 8U, 10U, 12U}) {
    for (const int later_ms : {0, 250, 500}) {
      BOOST_TEST_CONTEXT(others << " others, silent after " << later_ms << " ms") {
        Scene scene(5, others, 40);
        scene.AddOtherEndpoints(others);
        scene.rig.platform.page_size = 4;
        scene.Traffic(seconds(2));
        scene.rig.platform.cut_off = {&scene.rig.cores[0]->process()};
        scene.Traffic(milliseconds(2600));
        scene.rig.platform.cut_off = {};
        scene.Traffic(milliseconds(later_ms));
        scene.rig.platform.silent = true;
        scene.Traffic(seconds(6));
        for (const std::string& violation : TakeViolations()) BOOST_ERROR(violation);
      }
    }
  }
}

// The first page shows that pages are smaller and the readers therefore fewer. A proxy that stops
// reading for this reason must still remember that it has seen the platform fail.
BOOST_AUTO_TEST_CASE(
    the_drain_limit_is_suspended_for_a_former_reader_as_a_silent_platform_answers_again) {
  for (const std::size_t others : {6U, 8U, 10U, 12U}) {
    BOOST_TEST_CONTEXT(others << " others") {
      Scene scene(5, others, 40);
      scene.AddOtherEndpoints(others);
      scene.rig.platform.page_size = 4;
      scene.Traffic(seconds(2));
      scene.rig.platform.silent = true;
      scene.Traffic(seconds(5));
      scene.rig.platform.silent = false;
      scene.Traffic(seconds(3));
      for (const std::string& violation : TakeViolations()) BOOST_ERROR(violation);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stale_list_is_a_violation_if_the_proxy_reads_too_seldom) {
  Scene scene(2, 1, kTooLowRatePerS);
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.Traffic(seconds(8));
  BOOST_TEST(!TakeViolations().empty());
}

// An answer of a reader that it has nothing newer does not show that the platform fails.
BOOST_AUTO_TEST_CASE(a_stale_list_is_a_violation_if_the_reader_that_was_asked_has_nothing_newer) {
  Scene scene(2, 1, kTooLowRatePerS);
  scene.proxies[0]->paused = true;  // Runs, but gets no traffic.
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.Traffic(seconds(8));
  BOOST_TEST(!TakeViolations().empty());
}

// A proxy needs at most half of `drainMs` to read the list once the platform answers again.
BOOST_AUTO_TEST_CASE(a_stale_list_is_a_violation_some_time_after_the_platform_was_slow) {
  Scene scene(2, 1, kTooLowRatePerS);
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.rig.platform.list_takes = milliseconds(700);
  scene.Traffic(milliseconds(3500));
  BOOST_TEST(TakeViolations().empty());
  scene.rig.platform.list_takes = {};
  scene.Traffic(seconds(4));
  BOOST_TEST(!TakeViolations().empty());
}

// At whatever time between two checks of the core's list the first list arrives.
BOOST_AUTO_TEST_CASE(a_proxy_whose_first_list_is_old_reads_at_once) {
  for (const milliseconds later : {milliseconds(0), milliseconds(600), milliseconds(1200)}) {
    BOOST_TEST_CONTEXT("later by " << later.count() << " ms") {
      Scene scene;
      StartWithoutCore(scene, 40);
      scene.DrainFirstEndpoint();
      scene.rig.Run(later);
      scene.rig.Elect(1);
      while (scene.proxies.back()->program->view().endpoints == nullptr) {
        scene.rig.Run(milliseconds(10));
      }
      const net::Time listed = scene.rig.net.Now();
      while (!scene.proxies.back()->program->ready()) scene.rig.Run(milliseconds(10));
      BOOST_TEST((scene.rig.net.Now() - listed <= kMaxMembersDelay + kMaxAskDelay));
      scene.Traffic(milliseconds(1100));
      const net::Time read_by = scene.rig.net.Now();
      scene.Traffic(seconds(4));
      BOOST_TEST(scene.servers[0]->ArrivalsAfter(read_by) == 0U);
      BOOST_TEST(TakeViolations().empty());
      const net::Time read_at = scene.proxies.back()->program->endpoints_read_at();
      BOOST_TEST((read_at + kDrain >= scene.rig.net.Now()));
    }
  }
}

// A new primary sends the list that it has adopted, of unknown age, before the list of members.
BOOST_AUTO_TEST_CASE(no_request_uses_a_first_list_before_a_newer_one_was_requested) {
  for (const milliseconds later : {milliseconds(3000), milliseconds(3600), milliseconds(4200)}) {
    BOOST_TEST_CONTEXT("later by " << later.count() << " ms") {
      Scene scene;
      StartWithoutCore(scene, 40);
      scene.DrainFirstEndpoint();
      scene.rig.Run(later + kDrain);
      const net::Time elected = scene.rig.net.Now();
      scene.rig.Elect(1);
      scene.Traffic(seconds(4));
      BOOST_TEST(scene.servers[0]->ArrivalsAfter(elected) == 0U);
      scene.TakeServedShare();
      scene.Traffic(seconds(2));
      BOOST_TEST(scene.TakeServedShare() > 0.99);
    }
  }
}

// The list that the proxy then reads may equal the one that it has, so that no other event makes it
// report its readiness.
BOOST_AUTO_TEST_CASE(a_proxy_whose_first_list_turns_out_fresh_reports_ready) {
  Scene scene;
  StartWithoutCore(scene, 40);
  scene.rig.Run(kDrain);
  scene.rig.Elect(1);
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.proxies.back()->program->ready());
  BOOST_TEST(IsListedAsReady(*scene.proxies.back()));
}

BOOST_AUTO_TEST_CASE(requests_use_an_old_first_list_while_the_platform_does_not_answer) {
  Scene scene;
  StartWithoutCore(scene, 40);
  scene.rig.platform.up = false;
  scene.rig.Run(kDrain);
  scene.rig.Elect(1);
  scene.Traffic(seconds(4));
  scene.TakeServedShare();
  scene.Traffic(seconds(2));
  BOOST_TEST(scene.TakeServedShare() > 0.99);
}

BOOST_AUTO_TEST_CASE(
    a_stale_first_list_is_a_violation_once_the_proxy_has_been_in_touch_long_enough) {
  Scene scene(0);
  StartWithoutCore(scene, kTooLowRatePerS);
  scene.rig.Elect(0);  // No other core process knows a list.
  scene.Traffic(seconds(3));
  BOOST_TEST(TakeViolations().empty());
  scene.Traffic(seconds(5));
  BOOST_TEST(!TakeViolations().empty());
}

// At the rate of five readers, four pages would take longer than the last reader has time for.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_with_pages_that_are_small) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(5, seed);
      scene.AddOtherEndpoints(12);
      scene.rig.platform.page_size = 4;
      scene.Traffic(milliseconds(2000 + 150 * seed));
      StopCore(scene);
      scene.Traffic(milliseconds(300 * (seed - 1)));
      scene.CheckDrainTakesEffect();
      // 0.4 of the rate limit, and one more call of each reader.
      BOOST_TEST(scene.CountListCalls(seconds(10)) <= 160U + 5U);
    }
  }
}

// Neither of the two readers answers, as in a network partition.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_at_proxies_whose_readers_are_all_cut_off) {
  Scene scene(6, 1, 9);
  scene.Traffic(seconds(1));
  StopCore(scene);
  for (std::size_t index = 0; index < 2; ++index) scene.proxies[index]->SetPaused(true);
  scene.Traffic(seconds(1));
  scene.CheckDrainTakesEffect();
  BOOST_TEST(scene.CountListCalls(seconds(10)) <= 36U);  // 0.4 of the rate limit.
}
