// When a proxy may send by a list of endpoints that is older than `drainMs` (RULES, DRAIN and "In
// touch"), and that the invariant tells of it in all other cases: whole proxies on the virtual
// network.
#define BOOST_TEST_MODULE proxy_stale_list_excuses
#include <boost/test/unit_test.hpp>

#include "proxy/stale_list_scene.h"

using proxy_test::milliseconds;
using stale_list::kDrain;
using stale_list::Proxy;
using stale_list::Scene;
using stale_list::TakeViolations;
using std::chrono::seconds;

namespace {

// One call in 5 s by the one proxy that reads: so seldom that the list grows older than `drainMs`
// although the platform answers.
constexpr double kTooSeldomPerS = 0.5;
// A primary's first list of members follows its list of endpoints within this.
constexpr milliseconds kMembersFollow{1250};
constexpr milliseconds kAsked{200};  // One reader, at the look that comes next.

void StopCore(Scene& scene) {
  for (auto& core : scene.rig.cores) core->Stop();
}

// A proxy that starts while no core process is primary, so that it knows no list yet.
void StartWithoutCore(Scene& scene, double rate_per_s) {
  for (auto& core : scene.rig.cores) scene.rig.platform.cut_off.insert(&core->process());
  scene.rig.map.Elect(nullptr);
  const auto index = static_cast<std::uint32_t>(scene.proxies.size());
  scene.proxies.push_back(std::make_unique<Proxy>(scene.rig, index, rate_per_s));
  scene.rig.Run(seconds(5));
}

// Whether the list of members that the proxy holds calls it ready, as others see it.
bool IsTellingReady(const Proxy& proxy) {
  const std::vector<shelflink::cluster::Member>& all = proxy.program->view().members->all;
  return std::any_of(all.begin(), all.end(), [&](const shelflink::cluster::Member& member) {
    return member.address.V4Host() == proxy.host && member.ready;
  });
}

}  // namespace

// Each answer comes within the time for which it is waited for, so that no call fails; a walk of
// three pages takes 2.1 s all the same.
BOOST_AUTO_TEST_CASE(the_time_stands_still_while_the_platform_is_slow) {
  Scene scene;
  scene.rig.platform.page_size = 1;
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.rig.platform.list_takes = milliseconds(700);
  scene.Traffic(seconds(9));
  BOOST_TEST(TakeViolations().empty());
  BOOST_TEST(scene.TakeServed() > 0.99);
}

BOOST_AUTO_TEST_CASE(a_drain_binds_soon_after_a_platform_that_was_slow_answers_at_once_again) {
  Scene scene;
  scene.rig.platform.page_size = 1;
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.rig.platform.list_takes = milliseconds(700);
  scene.Traffic(seconds(5));
  scene.rig.platform.list_takes = {};
  scene.CheckDrainBinds();
}

// Each reader has read a list of its own before, a little newer or older than those of the others.
BOOST_AUTO_TEST_CASE(the_time_stands_still_for_those_that_ask_while_the_platform_is_silent) {
  for (const std::size_t others : {6U, 8U, 10U, 12U}) {
    for (const int later_ms : {0, 250, 500}) {
      BOOST_TEST_CONTEXT(others << " others, silent after " << later_ms << " ms") {
        Scene scene(5, others, 40);
        scene.AddOthers(others);
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

// The first page tells that its readers are fewer: who stops to read has seen the trouble all the
// same.
BOOST_AUTO_TEST_CASE(
    the_time_stands_still_for_who_stops_to_read_as_a_silent_platform_answers_again) {
  for (const std::size_t others : {6U, 8U, 10U, 12U}) {
    BOOST_TEST_CONTEXT(others << " others") {
      Scene scene(5, others, 40);
      scene.AddOthers(others);
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

BOOST_AUTO_TEST_CASE(a_platform_that_answers_is_no_excuse_for_a_proxy_that_reads_too_seldom) {
  Scene scene(2, 1, kTooSeldomPerS);
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.Traffic(seconds(8));
  BOOST_TEST(!TakeViolations().empty());
}

// Nor for one that asks it: that it has nothing newer says nothing of the platform.
BOOST_AUTO_TEST_CASE(a_reader_without_anything_newer_is_no_excuse_for_a_proxy_that_asks_it) {
  Scene scene(2, 1, kTooSeldomPerS);
  scene.proxies[0]->paused = true;  // It runs, and has no traffic.
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.Traffic(seconds(8));
  BOOST_TEST(!TakeViolations().empty());
}

// Half of `drainMs` is what a proxy takes at most to read the list once the platform answers again.
BOOST_AUTO_TEST_CASE(a_platform_that_was_slow_some_time_ago_is_no_excuse) {
  Scene scene(2, 1, kTooSeldomPerS);
  scene.Traffic(seconds(1));
  StopCore(scene);
  scene.rig.platform.list_takes = milliseconds(700);
  scene.Traffic(milliseconds(3500));
  BOOST_TEST(TakeViolations().empty());
  scene.rig.platform.list_takes = {};
  scene.Traffic(seconds(4));
  BOOST_TEST(!TakeViolations().empty());
}

// Whenever that list comes between two of the looks at the core.
BOOST_AUTO_TEST_CASE(a_proxy_whose_first_list_is_old_reads_at_once) {
  for (const milliseconds later : {milliseconds(0), milliseconds(600), milliseconds(1200)}) {
    BOOST_TEST_CONTEXT("later by " << later.count() << " ms") {
      Scene scene;
      StartWithoutCore(scene, 40);
      scene.DrainFirst();
      scene.rig.Run(later);
      scene.rig.Elect(1);
      while (scene.proxies.back()->program->view().endpoints == nullptr) {
        scene.rig.Run(milliseconds(10));
      }
      const net::Time listed = scene.rig.net.Now();
      while (!scene.proxies.back()->program->ready()) scene.rig.Run(milliseconds(10));
      BOOST_TEST((scene.rig.net.Now() - listed <= kMembersFollow + kAsked));
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

// A new primary gives the list that it adopted, of unknown age, before the list of members.
BOOST_AUTO_TEST_CASE(no_request_goes_by_a_first_list_before_a_newer_one_was_asked_for) {
  for (const milliseconds later : {milliseconds(3000), milliseconds(3600), milliseconds(4200)}) {
    BOOST_TEST_CONTEXT("later by " << later.count() << " ms") {
      Scene scene;
      StartWithoutCore(scene, 40);
      scene.DrainFirst();
      scene.rig.Run(later + kDrain);
      const net::Time elected = scene.rig.net.Now();
      scene.rig.Elect(1);
      scene.Traffic(seconds(4));
      BOOST_TEST(scene.servers[0]->ArrivalsAfter(elected) == 0U);
      scene.TakeServed();
      scene.Traffic(seconds(2));
      BOOST_TEST(scene.TakeServed() > 0.99);
    }
  }
}

// What it then reads may be the very list that it had: no other event tells of it.
BOOST_AUTO_TEST_CASE(a_proxy_whose_first_list_turns_out_fresh_tells_that_it_is_ready) {
  Scene scene;
  StartWithoutCore(scene, 40);
  scene.rig.Run(kDrain);
  scene.rig.Elect(1);
  scene.rig.Run(seconds(4));
  BOOST_TEST(scene.proxies.back()->program->ready());
  BOOST_TEST(IsTellingReady(*scene.proxies.back()));
}

BOOST_AUTO_TEST_CASE(requests_go_by_an_old_first_list_while_the_platform_does_not_answer) {
  Scene scene;
  StartWithoutCore(scene, 40);
  scene.rig.platform.up = false;
  scene.rig.Run(kDrain);
  scene.rig.Elect(1);
  scene.Traffic(seconds(4));
  scene.TakeServed();
  scene.Traffic(seconds(2));
  BOOST_TEST(scene.TakeServed() > 0.99);
}

BOOST_AUTO_TEST_CASE(a_first_list_is_no_excuse_once_the_proxy_has_been_in_touch_for_long_enough) {
  Scene scene(0);
  StartWithoutCore(scene, kTooSeldomPerS);
  scene.rig.Elect(0);  // No other core process knows a list.
  scene.Traffic(seconds(3));
  BOOST_TEST(TakeViolations().empty());
  scene.Traffic(seconds(5));
  BOOST_TEST(!TakeViolations().empty());
}

// At the pace of five readers, four pages would take longer than the last of them has.
BOOST_AUTO_TEST_CASE(a_drain_binds_with_pages_that_are_small) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(5, seed);
      scene.AddOthers(12);
      scene.rig.platform.page_size = 4;
      scene.Traffic(milliseconds(2000 + 150 * seed));
      StopCore(scene);
      scene.Traffic(milliseconds(300 * (seed - 1)));
      scene.CheckDrainBinds();
      BOOST_TEST(scene.ListCalls(seconds(10)) <= 160U + 5U);  // 0.4 of the rate; one begun of each.
    }
  }
}

// Silence, as of a cut: neither of the two that read answers those that ask.
BOOST_AUTO_TEST_CASE(a_drain_binds_at_proxies_whose_readers_are_all_cut_off) {
  Scene scene(6, 1, 9);
  scene.Traffic(seconds(1));
  StopCore(scene);
  for (std::size_t index = 0; index < 2; ++index) scene.proxies[index]->SetPaused(true);
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
  BOOST_TEST(scene.ListCalls(seconds(10)) <= 36U);  // 0.4 of the rate.
}
