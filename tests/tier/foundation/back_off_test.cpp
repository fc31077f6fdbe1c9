// Pauses between attempts that fail.
#define BOOST_TEST_MODULE back_off
#include "tier/foundation/back_off.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace shelflink {
namespace {

using std::chrono::milliseconds;

std::vector<long> PausesInMs(BackOff& back_off, int count) {
  std::vector<long> pauses(static_cast<std::size_t>(count));
  std::generate(pauses.begin(), pauses.end(),
                [&] { return back_off.NextPause() / milliseconds(1); });
  return pauses;
}

BOOST_AUTO_TEST_CASE(pauses_double_up_to_the_longest) {
  BackOff back_off({milliseconds(100), milliseconds(1000)});
  const std::vector<long> expected{100, 200, 400, 800, 1000, 1000};
  BOOST_TEST(PausesInMs(back_off, 6) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(after_a_reset_they_begin_with_the_shortest) {
  BackOff back_off({milliseconds(100), milliseconds(1000)});
  PausesInMs(back_off, 5);
  back_off.Reset();
  const std::vector<long> expected{100, 200};
  BOOST_TEST(PausesInMs(back_off, 2) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(bounds_that_are_equal_give_one_pause) {
  BackOff back_off({milliseconds(100), milliseconds(100)});
  const std::vector<long> expected{100, 100, 100};
  BOOST_TEST(PausesInMs(back_off, 3) == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace shelflink
