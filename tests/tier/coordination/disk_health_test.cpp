// Schedule of recovery attempts for a disk that refuses writes.
#define BOOST_TEST_MODULE tier_disk_health
#include "tier/coordination/disk_health.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The pauses before each of the next `count` attempts, all of which fail.
std::vector<long> PausesInMs(DiskHealth& health, net::Time now, int count) {
  std::vector<long> pauses;
  for (int i = 0; i < count; ++i) {
    BOOST_REQUIRE(health.next_attempt().has_value());
    pauses.push_back((*health.next_attempt() - now) / milliseconds(1));
    now = *health.next_attempt();
    health.OnAttemptStarted();
    BOOST_TEST(!health.next_attempt().has_value());
    health.OnAttemptFailed(now);
  }
  return pauses;
}

BOOST_AUTO_TEST_CASE(the_back_off_doubles_up_to_one_second) {
  DiskHealth health;
  const net::Time now{seconds(100)};
  health.OnFailure(now);
  const std::vector<long> expected{100, 200, 400, 800, 1000, 1000};
  BOOST_TEST(PausesInMs(health, now, 6) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_failure_soon_after_a_recovery_continues_the_back_off) {
  DiskHealth health;
  net::Time now{seconds(100)};
  health.OnFailure(now);
  PausesInMs(health, now, 2);
  health.OnRecovered(now);
  now += milliseconds(9999);
  health.OnFailure(now);
  const std::vector<long> expected{800, 1000};
  BOOST_TEST(PausesInMs(health, now, 2) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_back_off_restarts_after_ten_seconds_of_accepted_writes) {
  DiskHealth health;
  net::Time now{seconds(100)};
  health.OnFailure(now);
  PausesInMs(health, now, 4);
  health.OnRecovered(now);
  now += seconds(10);
  health.OnFailure(now);
  const std::vector<long> expected{100, 200};
  BOOST_TEST(PausesInMs(health, now, 2) == expected, boost::test_tools::per_element());
}

// The disk has space for the probe writes of a recovery but not for the next entry.
BOOST_AUTO_TEST_CASE(a_disk_that_fails_after_each_recovery_is_retried_about_once_a_second) {
  DiskHealth health;
  net::Time now{std::chrono::seconds(100)};
  const net::Time until = now + std::chrono::seconds(10);
  int recoveries = 0;
  while (now < until) {
    health.OnFailure(now);
    BOOST_REQUIRE(health.next_attempt().has_value());
    now = *health.next_attempt();
    health.OnAttemptStarted();
    health.OnRecovered(now);
    ++recoveries;
    now += std::chrono::milliseconds(10);
  }
  BOOST_TEST(recoveries <= 15);
}

}  // namespace
}  // namespace shelflink::coordination
