// Groups over real hubs on the virtual network: the ordinary path and what it costs in time.
#define BOOST_TEST_MODULE coordination_group
#include "tier/coordination/group.h"

#include <boost/test/unit_test.hpp>

#include "coordination/cluster.h"

namespace shelflink::coordination {
namespace {

BOOST_AUTO_TEST_CASE(groups_of_any_size_elect_a_primary_and_acknowledge) {
  for (std::size_t machines = 1; machines <= 5; ++machines) {
    Cluster cluster(machines, machines, machines == 1 ? 0 : 1);
    cluster.StartAll();
    BOOST_TEST(cluster.RunUntil([&] { return cluster.Primary() != nullptr; }, seconds(2)));
    const net::Time before = cluster.net.Now();
    BOOST_TEST(cluster.Put("a", "1", seconds(1)));
    BOOST_TEST((cluster.net.Now() - before < milliseconds(100)));
    BOOST_TEST(cluster.Primary()->group().contents().at("a") == "1");
    BOOST_TEST(cluster.Primary()->group().epoch() >= 1U);
  }
}

}  // namespace
}  // namespace shelflink::coordination
