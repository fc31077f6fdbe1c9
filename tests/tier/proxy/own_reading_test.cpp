// The list that a proxy has read itself and its time are one value.
#define BOOST_TEST_MODULE proxy_own_reading
#include "tier/proxy/own_reading.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

using shelflink::cluster::EndpointEntry;
using shelflink::cluster::EndpointList;
using shelflink::proxy::OwnReading;
using std::chrono::milliseconds;

namespace {

constexpr net::Time kEarly{milliseconds(1000)};
constexpr net::Time kLate{milliseconds(2000)};

std::vector<EndpointEntry> Entries(bool draining) {
  return {{"i-0", "big", net::Address::V4(1, 80), "zone-0", 8, draining, milliseconds(0)}};
}

OwnReading::ListPointer CoreList(bool draining) {
  return std::make_shared<const EndpointList>(EndpointList{{1, 1}, Entries(draining)});
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_list_that_is_the_same_is_held_with_the_time_of_its_reading) {
  const auto core = CoreList(true);
  OwnReading reading;
  BOOST_TEST(!reading.Take(core, Entries(true), kLate));
  BOOST_TEST((reading.list() == core));
  BOOST_TEST((reading.read_at() == kLate));
}

BOOST_AUTO_TEST_CASE(another_list_is_held_under_the_version_of_the_one_that_it_replaces) {
  const auto core = CoreList(false);
  OwnReading reading;
  BOOST_TEST(reading.Take(core, Entries(true), kLate));
  BOOST_TEST(reading.list()->entries[0].draining);
  BOOST_TEST((reading.list()->version == core->version));
  BOOST_TEST(OwnReading().Take(nullptr, Entries(true), kLate));
}

BOOST_AUTO_TEST_CASE(list_and_time_are_dropped_together_once_the_core_has_a_newer_reading) {
  OwnReading reading;
  BOOST_TEST(!reading.DropOlderThan(kLate));
  reading.Take(CoreList(false), Entries(true), kEarly);
  BOOST_TEST(!reading.DropOlderThan(kEarly));
  BOOST_TEST((reading.list() != nullptr));
  BOOST_TEST(reading.DropOlderThan(kLate));
  BOOST_TEST((reading.list() == nullptr));
  BOOST_TEST((reading.read_at() == net::Time()));
}
