// The core as it runs, groups over crash-faithful disks, with agents on the virtual network: what a
// sidecar sees of a core process that is killed, cut off, frozen, wiped or told to end.
#define BOOST_TEST_MODULE cluster_failover
#include <boost/test/unit_test.hpp>

#include "cluster/group_rig.h"

namespace shelflink::cluster {
namespace {

BOOST_AUTO_TEST_CASE(a_killed_primary_costs_no_sidecar_its_lease) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Tier tier(seed);
      tier.Put(3, 0);
      GroupCore* killed = tier.Primary();
      killed->Stop();
      tier.Put(5, 3);
      tier.CheckAllFollow(5);
      BOOST_TEST(tier.RunUntil([&] { return tier.AllFollowOnePrimary(); }, seconds(2)));
      BOOST_TEST(!tier.AnyLostTouch());
      killed->Start();
      tier.Run(seconds(3));
      tier.Put(7, 5);
      tier.CheckAllFollow(7);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_primary_cut_off_or_frozen_is_left_and_takes_nothing_back) {
  for (const bool frozen : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      BOOST_TEST_CONTEXT("seed " << seed << " frozen " << frozen) {
        Tier tier(seed);
        tier.Put(3, 0);
        GroupCore* former = tier.Primary();
        if (frozen) {
          former->process().SetPaused(true);
        } else {
          tier.net().SetCutOff(former->host(), true);
        }
        tier.Run(milliseconds(1500));
        BOOST_TEST(tier.RunUntil(
            [&] { return tier.Primary() != nullptr && tier.Primary() != former; }, seconds(3)));
        tier.Put(5, 3);
        tier.CheckAllFollow(5);
        former->process().SetPaused(false);
        tier.net().SetCutOff(former->host(), false);
        tier.Run(seconds(3));
        tier.Put(8, 5);
        tier.CheckAllFollow(8);
        BOOST_TEST(tier.AllFollowOnePrimary());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_primary_wiped_after_its_acknowledgement_loses_nothing) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Tier tier(seed);
      std::uint64_t version = 0;
      for (int round = 0; round < 3; ++round) {
        tier.Put(version + 2, version);
        version += 2;
        GroupCore* wiped = tier.Primary();
        wiped->Wipe();
        tier.Run(milliseconds(200));
        wiped->Start();
        tier.CheckAllFollow(version);
        tier.Run(seconds(6));
      }
      tier.Put(version + 1, version);
      tier.CheckAllFollow(version + 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(all_core_processes_killed_at_once_come_back_with_everything) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Tier tier(seed);
      tier.Put(3, 0);
      for (auto& core : tier.cores) core->Stop();
      tier.Run(milliseconds(700));
      for (auto& core : tier.cores) core->Start();
      tier.Put(5, 3);
      tier.CheckAllFollow(5);
      BOOST_TEST(tier.RunUntil([&] { return tier.AllFollowOnePrimary(); }, seconds(2)));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_planned_transfer_is_hardly_seen) {
  Tier tier(5);
  tier.Put(3, 0);
  for (int round = 0; round < 3; ++round) {
    GroupCore* primary = tier.Primary();
    bool moved = false;
    primary->group().Transfer([&](bool told) { moved = told; });
    BOOST_TEST(tier.RunUntil(
        [&] { return moved && tier.Primary() != nullptr && tier.Primary() != primary; },
        milliseconds(500)));
    BOOST_TEST(tier.RunUntil([&] { return tier.AllFollowOnePrimary(); }, milliseconds(1500)));
  }
  BOOST_TEST(!tier.AnyLostTouch());
}

}  // namespace
}  // namespace shelflink::cluster
