// The list that a proxy has got without the core and the time of its reading change together.
#define BOOST_TEST_MODULE proxy_local_endpoint_list
#include "tier/proxy/local_endpoint_list.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

using shelflink::cluster::EndpointEntry;
using shelflink::cluster::EndpointList;
using shelflink::proxy::LocalEndpointList;
using std::chrono::milliseconds;

namespace {

constexpr net::Time kEarly{milliseconds(1000)};
constexpr net::Time kLate{milliseconds(2000)};

std::vector<EndpointEntry> Entries(bool draining) {
  return {{"i-0", "big", net::Address::V4(1, 80), "zone-0", 8, draining, milliseconds(0)}};
}

LocalEndpointList::ListPointer CoreList(bool draining) {
  return std::make_shared<const EndpointList>(EndpointList{{1, 1}, Entries(draining)});
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_list_with_the_same_entries_is_stored_with_the_time_of_its_reading) {
  const auto core = CoreList(true);
  LocalEndpointList local;
  BOOST_TEST(!local.Store(core, Entries(true), kLate));
  BOOST_TEST((local.list() == core));
  BOOST_TEST((local.read_at() == kLate));
}

BOOST_AUTO_TEST_CASE(another_list_is_stored_under_the_version_of_the_one_that_it_replaces) {
  const auto core = CoreList(false);
  LocalEndpointList local;
  BOOST_TEST(local.Store(core, Entries(true), kLate));
  BOOST_TEST(local.list()->entries[0].draining);
  BOOST_TEST((local.list()->version == core->version));
  BOOST_TEST(LocalEndpointList().Store(nullptr, Entries(true), kLate));
}

BOOST_AUTO_TEST_CASE(list_and_time_are_dropped_together_once_the_core_has_a_newer_reading) {
  LocalEndpointList local;
  BOOST_TEST(!local.DropIfOlderThan(kLate));
  local.Store(CoreList(false), Entries(true), kEarly);
  BOOST_TEST(!local.DropIfOlderThan(kEarly));
  BOOST_TEST((local.list() != nullptr));
  BOOST_TEST(local.DropIfOlderThan(kLate));
  BOOST_TEST((local.list() == nullptr));
  BOOST_TEST((local.read_at() == net::Time()));
}
