// How configurations travel in steps: who holds what, what each is sent, and what is refused.
#define BOOST_TEST_MODULE configuration_history
#include "tier/cluster/configuration_history.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "net/virtual.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/view_publisher.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {
namespace {

using configuration::Configuration;

constexpr std::size_t kRoutes = 200;

ConfigurationHistory::Pointer ConfigurationOf(std::uint64_t version) {
  Configuration configuration;
  configuration.version = version;
  for (std::size_t number = 0; number < kRoutes; ++number) {
    configuration::Route route;
    route.name = "r" + std::to_string(number);
    route.hostname = "h" + std::to_string(number * 7919) + ".example";
    route.path_prefix = "/p/";
    // One of them is another in each version.
    const bool changes = number == version % kRoutes;
    route.timeout = configuration::milliseconds(changes ? version : 1);
    route.split = {{"big", 1.0}};
    configuration.routes.push_back(route);
  }
  configuration.Index();
  return std::make_shared<const Configuration>(std::move(configuration));
}

ConfigurationHistory At(std::uint64_t version) {
  ConfigurationHistory history;
  history.Advance(ConfigurationOf(version));
  return history;
}

void CheckHolds(const ConfigurationHistory& history, std::uint64_t version) {
  BOOST_TEST(history.version() == version);
  BOOST_TEST((history.current()->routes == ConfigurationOf(version)->routes));
}

BOOST_AUTO_TEST_CASE(a_step_is_as_small_as_the_change) {
  ConfigurationHistory core = At(1);
  ConfigurationHistory proxy;
  BOOST_REQUIRE(proxy.Take(1, core.BodySince(0)));
  CheckHolds(proxy, 1);
  core.Advance(ConfigurationOf(2));
  const std::string update = core.UpdateSince(1);
  BOOST_TEST(update.size() * 10 < core.BodySince(0).size());
  BOOST_REQUIRE(proxy.Take(2, update));
  CheckHolds(proxy, 2);
  // And on, as it came.
  ConfigurationHistory child;
  BOOST_REQUIRE(child.Take(1, At(1).BodySince(0)));
  BOOST_REQUIRE(child.Take(2, proxy.UpdateSince(1)));
  CheckHolds(child, 2);
}

BOOST_AUTO_TEST_CASE(who_lacks_the_base_is_told_so_and_gets_what_lies_between) {
  ConfigurationHistory core = At(1);
  ConfigurationHistory proxy = At(1);
  for (std::uint64_t version = 2; version <= 6; ++version) core.Advance(ConfigurationOf(version));
  const Result<void> refused = proxy.Take(6, core.UpdateSince(5));
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().code == ErrorCode::kConflict));
  CheckHolds(proxy, 1);
  const std::string between = core.BodySince(1);
  BOOST_TEST(between.size() * 3 < core.BodySince(0).size());
  BOOST_REQUIRE(proxy.Take(6, between));
  CheckHolds(proxy, 6);
  // Steps that are known already are passed over.
  ConfigurationHistory late = At(4);
  BOOST_REQUIRE(late.Take(6, between));
  CheckHolds(late, 6);
}

BOOST_AUTO_TEST_CASE(the_whole_goes_to_whom_no_remembered_step_leads_on_from) {
  ConfigurationHistory core = At(1);
  const std::uint64_t last = 2 * ConfigurationHistory::kMostSteps;
  for (std::uint64_t version = 2; version <= last; ++version)
    core.Advance(ConfigurationOf(version));
  ConfigurationHistory proxy = At(1);
  BOOST_REQUIRE(proxy.Take(last, core.BodySince(1)));
  CheckHolds(proxy, last);
  // It knows no steps: whom it passes on to is told of the version alone.
  BOOST_TEST((proxy.UpdateSince(1) == ConfigurationHistory::Announcement()));
  const Result<void> announced = At(1).Take(last, ConfigurationHistory::Announcement());
  BOOST_REQUIRE(!announced);
  BOOST_TEST((announced.error().code == ErrorCode::kConflict));
}

BOOST_AUTO_TEST_CASE(what_is_remembered_is_bounded) {
  ConfigurationHistory core = At(1);
  std::mt19937_64 random(3);
  for (std::uint64_t version = 2; version < 40; ++version) {
    Configuration next = *ConfigurationOf(version);
    std::string& prefix = next.routes[0].path_prefix;
    while (prefix.size() < ConfigurationHistory::kMostStepBytes / 8) {
      prefix += static_cast<char>('0' + random() % 64);
    }
    core.Advance(std::make_shared<const Configuration>(next));
    BOOST_TEST(core.BodySince(2).size() <= ConfigurationHistory::kMostStepBytes + 4096);
    // Too much for those who have not asked.
    BOOST_TEST((core.UpdateSince(version - 1) == ConfigurationHistory::Announcement()));
  }
}

BOOST_AUTO_TEST_CASE(what_leads_elsewhere_or_cannot_be_read_changes_nothing) {
  ConfigurationHistory core = At(1);
  core.Advance(ConfigurationOf(2));
  core.Advance(ConfigurationOf(3));
  ConfigurationHistory proxy = At(1);
  const std::string body = core.BodySince(1);
  for (std::size_t size = 0; size < body.size(); ++size) {
    const Result<void> taken = proxy.Take(3, std::string_view(body).substr(0, size));
    BOOST_REQUIRE(!taken);
    BOOST_TEST((taken.error().code == ErrorCode::kInvalid));
  }
  BOOST_TEST(!proxy.Take(2, body));
  BOOST_TEST(!proxy.Take(4, body));
  BOOST_TEST(!proxy.Take(4, core.BodySince(0)));
  CheckHolds(proxy, 1);
  BOOST_TEST(proxy.Take(3, body).has_value());
}

// Beside much that waits to leave a core process, what is large is put off; the rest is answered.
BOOST_AUTO_TEST_CASE(a_core_process_holds_a_bounded_number_of_large_answers) {
  net::VirtualNet net(1);
  net::VirtualProcess process(net, 0x0a010001, "core", 64);
  transport::Hub hub(process, {"core", "core", "zone", net::Address::V4(0x0a010001, 7361), 1}, {});
  ViewPublisher publisher(hub);
  std::mt19937_64 random(5);
  Configuration large = *ConfigurationOf(1);
  std::string& prefix = large.routes[0].path_prefix;
  while (prefix.size() < 4 * ViewPublisher::kLargeAnswer) {
    prefix += static_cast<char>('0' + random() % 64);
  }
  publisher.Publish(std::make_shared<const Configuration>(large), {});
  publisher.Publish({Part::kMembers, {1, 1}, "small"}, {});
  const std::string fetch = Encode(Fetch{Part::kConfiguration, {0, 1}});
  BOOST_TEST(publisher.Answer(fetch).has_value());
  const net::Address silent = net::Address::V4(0x0a020001, 7360);
  hub.Send(silent, kPushKind, std::string(ViewPublisher::kMostWaiting, 'x'));
  const Result<std::string> put_off = publisher.Answer(fetch);
  BOOST_REQUIRE(!put_off);
  BOOST_TEST((put_off.error().code == ErrorCode::kExhausted));
  BOOST_TEST(publisher.Answer(Encode(Fetch{Part::kMembers, {1, 1}})).has_value());
  net.RunUntil(net.Now() + std::chrono::seconds(5));  // Nobody is there: it is dropped.
  BOOST_TEST(publisher.Answer(fetch).has_value());
  process.Kill();
}

}  // namespace
}  // namespace shelflink::cluster
