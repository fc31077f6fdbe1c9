// When a proxy may send by a list of endpoints that is older than `drainMs` (RULES, DRAIN and "In
// touch"), and that the invariant tells of it in all other cases: whole proxies on the virtual
// network.
#define BOOST_TEST_MODULE proxy_stale_list_excuses
#include <boost/test/unit_test.hpp>

#include "proxy/stale_list_scene.h"

using stale_list::Scene;
using stale_list::TakeViolations;
using stand_in::milliseconds;
using std::chrono::seconds;

namespace {

// One call in 5 s by the one proxy that reads: so seldom that the list grows older than `drainMs`
// although the platform answers.
constexpr double kTooSeldomPerS = 0.5;

void StopCore(Scene& scene) {
  for (auto& core : scene.rig.cores) core->Stop();
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
