// The seeded days themselves: one seed is one day, and a day holds what it should.
#define BOOST_TEST_MODULE tier_seeds
#include <boost/test/unit_test.hpp>
#include <set>

#include "tier_seeds/day.h"

namespace shelflink::tier_seeds {
namespace {

BOOST_AUTO_TEST_CASE(one_seed_is_one_day) {
  const DayResult first = PlayDay(3, {});
  const DayResult other = PlayDay(4, {});
  const DayResult again = PlayDay(3, {});
  BOOST_TEST(first.hash == again.hash);
  BOOST_TEST(first.events == again.events);
  BOOST_TEST((first.counts == again.counts));
  BOOST_TEST(first.hash != other.hash);
}

// A day in which nothing is asked would find nothing.
BOOST_AUTO_TEST_CASE(a_day_asks_for_everything) {
  const DayResult day = PlayDay(1, {});
  for (const char* what :
       {"orders acknowledged", "orders repeated", "configurations read", "answers 200", "runs",
        "usage reports", "batch jobs accepted", "results completed", "streams broken off",
        "endpoints released", "requests at a leaving endpoint"}) {
    BOOST_TEST_CONTEXT(what) {
      const auto found = day.counts.find(what);
      BOOST_REQUIRE(found != day.counts.end());
      BOOST_TEST(found->second >= 3U);
    }
  }
}

BOOST_AUTO_TEST_CASE(deployments_are_of_all_sizes) {
  std::set<std::size_t> zones;
  std::set<std::size_t> cores;
  std::set<std::size_t> stores;
  std::set<std::size_t> failures;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Deployment deployment = DrawDeployment(seed);
    zones.insert(deployment.zones);
    cores.insert(deployment.cores);
    stores.insert(deployment.stores);
    failures.insert(deployment.failures);
    BOOST_TEST(deployment.cores >= 2 * deployment.failures + 1);
    BOOST_TEST(deployment.stores >= deployment.failures + 2);
  }
  BOOST_TEST((zones == std::set<std::size_t>{2, 3, 4, 5}));
  BOOST_TEST((cores == std::set<std::size_t>{3, 4, 5, 6, 7}));
  BOOST_TEST((stores == std::set<std::size_t>{3, 4, 5, 6}));
  BOOST_TEST((failures == std::set<std::size_t>{1, 2}));
}

}  // namespace
}  // namespace shelflink::tier_seeds
