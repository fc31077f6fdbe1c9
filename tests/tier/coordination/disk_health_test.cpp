// When a disk that refuses is tried again.
#define BOOST_TEST_MODULE tier_disk_health
#include "tier/coordination/disk_health.h"

#include <boost/test/unit_test.hpp>

namespace shelflink::coordination {
namespace {

// It has room for the probes of a recovery and not for the next entry.
BOOST_AUTO_TEST_CASE(a_disk_that_fails_again_after_each_recovery_is_tried_about_once_a_second) {
  DiskHealth health;
  net::Time now{std::chrono::seconds(100)};
  const net::Time until = now + std::chrono::seconds(10);
  int recoveries = 0;
  while (now < until) {
    health.Refuses(now);
    BOOST_REQUIRE(health.next_attempt().has_value());
    now = *health.next_attempt();
    health.AttemptBegins();
    health.TakesWrites(now);
    ++recoveries;
    now += std::chrono::milliseconds(10);
  }
  BOOST_TEST(recoveries <= 15);
}

}  // namespace
}  // namespace shelflink::coordination
