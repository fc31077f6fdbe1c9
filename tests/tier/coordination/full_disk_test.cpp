// Disks of core members that are full for some seconds: whoever stored nothing meanwhile takes part
// again once there is room, without a restart, however often it happens and on whichever disks.
#define BOOST_TEST_MODULE coordination_full_disk
#include <boost/test/unit_test.hpp>

#include "coordination/cluster.h"

namespace shelflink::coordination {
namespace {

constexpr net::Span kFullFor = seconds(4);
// From the return of the room until the member has its part again.
constexpr net::Span kRecovery = seconds(12);

// Three disks and two members without, as the small deployments have them.
struct Core {
  Core() : cluster(5) {
    for (std::size_t i = 0; i < 5; ++i) cluster.At(i).Start(true, i < 3);
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Primary() != nullptr; }, seconds(3)));
    BOOST_REQUIRE(cluster.Put("first", "1", seconds(1)));
    cluster.Run(seconds(1));
  }
  void FillFor(std::size_t index, net::Span span) {
    cluster.At(index).disk.SetFull(true);
    // Something is to be stored meanwhile.
    cluster.Put("while-full-" + std::to_string(index), "x", span);
    cluster.Run(span);
    cluster.At(index).disk.SetFull(false);
  }
  std::size_t IndexOfPrimary() {
    for (std::size_t i = 0; i < 3; ++i) {
      if (&cluster.At(i) == cluster.Primary()) return i;
    }
    return 0;
  }
  Cluster cluster;
};

BOOST_AUTO_TEST_CASE(a_member_whose_disk_was_full_stores_again) {
  Core core;
  const std::size_t full = core.IndexOfPrimary();
  core.FillFor(full, kFullFor);
  BOOST_REQUIRE(core.cluster.Put("second", "2", seconds(4)));
  Group& group = core.cluster.At(full).group();
  BOOST_TEST(core.cluster.RunUntil(
      [&] { return !group.failed() && group.contents().count("second") == 1; }, kRecovery));
}

BOOST_AUTO_TEST_CASE(disks_that_are_full_one_after_the_other_do_not_end_the_core) {
  Core core;
  for (int round = 0; round < 5; ++round) {
    core.FillFor(core.IndexOfPrimary(), kFullFor);
    core.cluster.Run(kRecovery);
    BOOST_REQUIRE_MESSAGE(core.cluster.Put("after-" + std::to_string(round), "x", seconds(4)),
                          "nothing is acknowledged after " << round + 1 << " full disks");
  }
}

BOOST_AUTO_TEST_CASE(all_disks_full_at_once_rest_the_core_until_there_is_room) {
  Core core;
  for (std::size_t i = 0; i < 3; ++i) core.cluster.At(i).disk.SetFull(true);
  BOOST_TEST(!core.cluster.Put("while-full", "x", kFullFor));
  for (std::size_t i = 0; i < 3; ++i) core.cluster.At(i).disk.SetFull(false);
  BOOST_TEST(core.cluster.Put("second", "2", kRecovery));
  BOOST_TEST(core.cluster.ThePrimary().group().contents().at("first") == "1");
}

}  // namespace
}  // namespace shelflink::coordination
