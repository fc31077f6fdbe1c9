#define BOOST_TEST_MODULE flood_gate
#include "tier/foundation/flood_gate.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace shelflink {
namespace {

constexpr std::int64_t kMinute = FloodGate::kSpanMicros;

BOOST_AUTO_TEST_CASE(one_a_minute_passes_and_tells_how_many_were_held_back) {
  FloodGate gate;
  BOOST_TEST((gate.Pass("a", 5) == 0U));
  for (int i = 0; i < 1000; ++i) BOOST_TEST(!gate.Pass("a", 6 + i));
  BOOST_TEST(!gate.Pass("a", kMinute + 4));
  BOOST_TEST((gate.Pass("a", kMinute + 5) == 1001U));
  BOOST_TEST((gate.Pass("a", 2 * kMinute + 5) == 0U));
}

BOOST_AUTO_TEST_CASE(keys_do_not_hold_each_other_back) {
  FloodGate gate;
  BOOST_TEST(gate.Pass("a", 0).has_value());
  BOOST_TEST(gate.Pass("b", 0).has_value());
}

BOOST_AUTO_TEST_CASE(keys_beyond_the_most_share_one_place) {
  FloodGate gate;
  for (std::size_t i = 0; i < FloodGate::kMostKeys; ++i) {
    BOOST_TEST(gate.Pass(std::to_string(i), 0).has_value());
  }
  BOOST_TEST(gate.Pass("one more", 0).has_value());
  BOOST_TEST(!gate.Pass("yet another", 0));
}

}  // namespace
}  // namespace shelflink
