// Differences between configurations: applied they lead to the later one, they are as large as the
// change, and both forms come back from their CBOR or are refused.
#define BOOST_TEST_MODULE difference
#include "tier/configuration/difference.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "configuration/sample.h"
#include "tier/configuration/codec.h"

namespace shelflink::configuration {
namespace {

template <typename Item>
std::vector<Item> ByName(std::vector<Item> items) {
  std::sort(items.begin(), items.end(),
            [](const Item& left, const Item& right) { return left.name < right.name; });
  return items;
}

bool SameItems(const Configuration& left, const Configuration& right) {
  return left.version == right.version && ByName(left.routes) == ByName(right.routes) &&
         ByName(left.services) == ByName(right.services) &&
         ByName(left.tenants) == ByName(right.tenants) && left.limits == right.limits &&
         left.has_tenants == right.has_tenants;
}

Configuration Sample() { return Parse(kSample).value(); }

Route AnyRoute(std::mt19937_64& random) {
  Route route;
  route.name = "r" + std::to_string(random() % 12);
  route.hostname = "h" + std::to_string(random() % 3) + ".example";
  route.path_prefix = "/" + route.name + "/";
  route.timeout = milliseconds(random() % 4 + 1);
  route.split = {{"big", 1.0}};
  if (random() % 4 == 0) route.max_queued_tokens = random() % 100;
  return route;
}

Configuration AnyConfiguration(std::mt19937_64& random, std::uint64_t version) {
  Configuration configuration;
  configuration.version = version;
  for (std::uint64_t left = random() % 10; left > 0; --left) {
    const Route route = AnyRoute(random);
    const bool known = std::any_of(configuration.routes.begin(), configuration.routes.end(),
                                   [&](const Route& other) { return other.name == route.name; });
    if (!known) configuration.routes.push_back(route);
  }
  for (const char* name : {"big", "small"}) {
    if (random() % 2 == 0) continue;
    Service service;
    service.name = name;
    service.max_conns = static_cast<int>(random() % 3);
    if (random() % 2 == 0) service.engine = Engine{static_cast<int>(random() % 9), random() % 9};
    if (random() % 2 == 0) service.autoscale = Autoscale{1, 2, milliseconds(random() % 9)};
    configuration.services.push_back(service);
  }
  configuration.has_tenants = random() % 2 == 0;
  if (configuration.has_tenants) {
    configuration.tenants.push_back({"first", {"key-" + std::to_string(random() % 3)}, 1, 7});
  }
  configuration.limits.max_header_bytes = random() % 3 + 1;
  configuration.Index();
  return configuration;
}

BOOST_AUTO_TEST_CASE(what_is_applied_leads_to_the_later_one) {
  std::mt19937_64 random(7);
  Configuration before = AnyConfiguration(random, 1);
  for (std::uint64_t version = 2; version < 500; ++version) {
    const Configuration after = AnyConfiguration(random, version);
    const Difference difference = DifferenceOf(before, after);
    const auto again = DecodeDifference(Encode(difference));
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST((again.value() == difference));
    const Configuration reached = Applied(before, again.value());
    BOOST_REQUIRE(SameItems(reached, after));
    for (const Route& route : after.routes) {
      const Route* found = reached.FindRoute(route.hostname, route.path_prefix + "x");
      BOOST_REQUIRE(found != nullptr);
      BOOST_TEST((*found == route));
    }
    before = reached;
  }
}

BOOST_AUTO_TEST_CASE(what_has_not_changed_is_not_named) {
  const Configuration before = Sample();
  Configuration after = before;
  after.version = 8;
  after.tenants[1].api_keys.push_back("key-four");
  const Difference difference = DifferenceOf(before, after);
  BOOST_TEST(difference.base == 7U);
  BOOST_TEST(difference.routes.put.empty());
  BOOST_TEST(difference.routes.removed.empty());
  BOOST_TEST(difference.services.put.empty());
  BOOST_REQUIRE(difference.tenants.put.size() == 1U);
  BOOST_TEST(difference.tenants.put[0].name == "second");
  after.routes.erase(after.routes.begin());
  BOOST_TEST((DifferenceOf(before, after).routes.removed == std::vector<std::string>{"stream"}));
}

BOOST_AUTO_TEST_CASE(a_whole_configuration_comes_back) {
  const auto again = DecodeConfiguration(Encode(Sample()));
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((again.value().routes == Sample().routes));
  BOOST_TEST(SameItems(again.value(), Sample()));
  BOOST_TEST(again.value().TenantOfKey("key-three")->name == "second");
}

BOOST_AUTO_TEST_CASE(what_cannot_be_read_or_used_is_refused) {
  const std::string whole = Encode(Sample());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_REQUIRE(!DecodeConfiguration(std::string_view(whole).substr(0, size)));
  }
  BOOST_TEST(!DecodeConfiguration(whole + "x"));
  BOOST_TEST(!DecodeDifference(whole));
  Configuration unusable = Sample();
  unusable.routes[0].split.clear();  // Nowhere to send its requests.
  BOOST_TEST(!DecodeConfiguration(Encode(unusable)));
  unusable = Sample();
  unusable.routes[0].timeout = milliseconds(-1);
  BOOST_TEST(!DecodeConfiguration(Encode(unusable)));
  unusable.routes[0].timeout = milliseconds::max();  // No sum with it could be held.
  BOOST_TEST(!DecodeConfiguration(Encode(unusable)));
}

}  // namespace
}  // namespace shelflink::configuration
