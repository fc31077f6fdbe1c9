// Points of the steady clock as microseconds.
#define BOOST_TEST_MODULE steady_time
#include "tier/foundation/steady_time.h"

#include <boost/test/unit_test.hpp>

namespace shelflink {
namespace {

using std::chrono::microseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(the_start_of_the_clock_is_zero) { BOOST_TEST(SteadyMicros(net::Time{}) == 0); }

BOOST_AUTO_TEST_CASE(whole_microseconds_are_kept) {
  BOOST_TEST(SteadyMicros(net::Time(seconds(100) + microseconds(7))) == 100'000'007);
}

BOOST_AUTO_TEST_CASE(parts_of_a_microsecond_are_cut_off) {
  BOOST_TEST(SteadyMicros(net::Time(nanoseconds(1999))) == 1);
  BOOST_TEST(SteadyMicros(net::Time(nanoseconds(-1999))) == -1);
}

}  // namespace
}  // namespace shelflink
