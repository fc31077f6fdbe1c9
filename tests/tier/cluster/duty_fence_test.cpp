// A duty's holder that the platform refuses, since another holder has called with a higher fence:
// it does not call again with the fence that was refused.
#define BOOST_TEST_MODULE cluster_duty_fence
#include <boost/test/unit_test.hpp>
#include <set>

#include "cluster/rig.h"

namespace shelflink::cluster {
namespace {

constexpr seconds kManyWindows{30};  // Six windows of use.

// Proxies that count requests and tell a load that the endpoints that stand cannot carry.
class Scene {
 public:
  Scene() : rig(3, 4) {
    for (int index = 0; index < 2; ++index) {
      rig.platform.list.push_back({"i-" + std::to_string(index), "big",
                                   net::Address::V4(0x0a640001 + index, 8080), "zone-0", 8, false,
                                   milliseconds(0)});
    }
    rig.Start();
    rig.Run(seconds(1));
    BOOST_REQUIRE(rig.Put(5, 0));
  }
  void Run(net::Span span) {
    const net::Time end = rig.net.Now() + span;
    while (rig.net.Now() < end) {
      for (auto& proxy : rig.proxies) {
        proxy->agent().CountUse("tenant");
        proxy->agent().SetLoad("big", kTokens, kTokens);
      }
      rig.Run(milliseconds(50));
    }
  }
  // Another holder has called with the next fence, which nobody here knows of.
  void RefuseThisEpoch() { rig.platform.highest_fence = rig.map.epoch + 1; }
  std::set<std::string> RefusedSubjects() const {
    std::set<std::string> subjects;
    for (const auto& call : rig.platform.refused) subjects.insert(call.subject);
    return subjects;
  }

  Rig rig;

 private:
  static constexpr std::uint64_t kTokens = 1'000'000;
};

BOOST_AUTO_TEST_CASE(a_refused_fence_is_not_used_again_for_that_duty) {
  Scene scene;
  scene.Run(seconds(12));
  BOOST_TEST(scene.rig.platform.usage.size() > 0U);
  scene.RefuseThisEpoch();
  scene.Run(kManyWindows);
  BOOST_TEST(scene.RefusedSubjects().contains("usage"));
  std::size_t usage_calls = 0;
  std::size_t scale_calls = 0;
  for (const auto& call : scene.rig.platform.refused) {
    ++(call.subject == "usage" ? usage_calls : scale_calls);
  }
  BOOST_TEST(usage_calls == 1U);
  BOOST_TEST(scale_calls <= 1U);
}

BOOST_AUTO_TEST_CASE(an_order_that_was_refused_is_not_repeated_with_its_fence) {
  Scene scene;
  scene.RefuseThisEpoch();
  scene.Run(kManyWindows);
  std::size_t orders = 0;
  for (const auto& call : scene.rig.platform.refused) orders += call.subject == "usage" ? 0 : 1;
  BOOST_TEST(orders == 1U);
  BOOST_TEST(scene.rig.platform.orders.empty());
}

BOOST_AUTO_TEST_CASE(the_duties_go_on_under_the_next_epoch) {
  Scene scene;
  scene.RefuseThisEpoch();
  scene.Run(seconds(12));
  BOOST_TEST(scene.rig.platform.usage.empty());
  scene.rig.Elect(1);
  scene.Run(kManyWindows);
  BOOST_TEST(scene.rig.platform.usage.size() >= 5U);
  BOOST_TEST(scene.rig.platform.orders.size() >= 1U);
  for (const auto& call : scene.rig.platform.usage) {
    BOOST_TEST(call.fence >= scene.rig.platform.highest_fence);
  }
}

// The same holder under a later epoch: an answer to the earlier fence stops nothing.
BOOST_AUTO_TEST_CASE(a_raised_epoch_is_a_fence_of_its_own) {
  Scene scene;
  scene.Run(seconds(12));
  scene.RefuseThisEpoch();
  scene.rig.map.RaiseEpoch();
  scene.Run(kManyWindows);
  std::set<std::pair<std::string, std::uint64_t>> seen;
  for (const auto& call : scene.rig.platform.refused) {
    BOOST_TEST(seen.insert({call.subject, call.fence}).second);
  }
  BOOST_TEST(scene.rig.platform.usage.back().fence == scene.rig.map.epoch);
}

}  // namespace
}  // namespace shelflink::cluster
