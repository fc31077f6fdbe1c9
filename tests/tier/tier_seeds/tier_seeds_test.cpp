// The seeded days themselves: one seed is one day, and a day holds what it should. A tier that
// loses a store: what its primary tells of copies.
#define BOOST_TEST_MODULE tier_seeds
#include <boost/test/unit_test.hpp>
#include <set>

#include "tier_seeds/day.h"
#include "tier_seeds/repair_scene.h"

namespace shelflink::tier_seeds {
namespace {

BOOST_AUTO_TEST_CASE(one_seed_is_one_day) {
  const DayResult first = PlayDay(3, {});
  const DayResult other = PlayDay(4, {});
  const DayResult again = PlayDay(3, {});
  BOOST_TEST(first.hash == again.hash);
  BOOST_TEST(first.events == again.events);
  BOOST_TEST((first.counts == again.counts));
  BOOST_TEST(first.hash != other.hash);
}

// A day in which nothing is asked would find nothing.
BOOST_AUTO_TEST_CASE(a_day_asks_for_everything) {
  const DayResult day = PlayDay(1, {});
  for (const char* what :
       {"orders acknowledged", "orders repeated", "configurations read", "answers 200", "runs",
        "usage reports", "batch jobs accepted", "results completed", "streams broken off",
        "endpoints released", "requests at a leaving endpoint"}) {
    BOOST_TEST_CONTEXT(what) {
      const auto found = day.counts.find(what);
      BOOST_REQUIRE(found != day.counts.end());
      BOOST_TEST(found->second >= 3U);
    }
  }
}

// Each core disk is full for a while, then all at once; then the same of the stores.
BOOST_AUTO_TEST_CASE(a_day_on_which_every_disk_is_full) {
  DayOptions options;
  options.fills_all_disks = true;
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const DayResult day = PlayDay(seed, options);
    for (const Finding& finding : day.findings) BOOST_ERROR(TextOf(finding));
    const std::size_t disks = day.deployment.cores + day.deployment.stores;
    const auto count_of = [&](const char* what) {
      const auto found = day.counts.find(what);
      return found == day.counts.end() ? std::uint64_t{0} : found->second;
    };
    BOOST_TEST_CONTEXT(TextOf(day.deployment)) {
      BOOST_TEST(count_of("trouble: has a full disk") == 2 * disks);
      BOOST_TEST(count_of("all core disks are full") == 1U);
      BOOST_TEST(count_of("all disks of stores are full") == 1U);
      // Whoever stores nothing meanwhile cannot know: replicas do, once in turn and once with all.
      BOOST_TEST(count_of("full disks that were noticed by a core") >=
                 2 * (day.deployment.failures + 1));
      BOOST_TEST(count_of("full disks that were noticed by a store") >= day.deployment.stores);
      BOOST_TEST(count_of("orders acknowledged") >= 20U);
      BOOST_TEST(count_of("results completed") >= 20U);
    }
  }
}

// As many disks as the tolerance allows are lost, right after an acknowledgement, while all other
// machines lose power: nothing that was acknowledged is lost with them.
BOOST_AUTO_TEST_CASE(a_day_that_closes_with_lost_disks_and_power) {
  DayOptions options;
  options.closes_with_loss = true;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const DayResult day = PlayDay(seed, options);
    for (const Finding& finding : day.findings) BOOST_ERROR(seed << ": " << TextOf(finding));
    BOOST_TEST(day.counts.at("days that close with a loss") == 1U);
    BOOST_TEST(day.counts.at("disks lost while all others lose power") == day.deployment.failures);
  }
}

// Within a few of them each kind of their troubles is played.
BOOST_AUTO_TEST_CASE(days_of_disks_hold_all_of_their_troubles) {
  std::map<std::string, std::uint64_t> counts;
  std::size_t days = 0;
  for (std::uint64_t seed = 1; days < 3; ++seed) {
    if (!DrawDeployment(seed).of_disks) continue;
    ++days;
    const DayResult day = PlayDay(seed, {});
    for (const Finding& finding : day.findings) BOOST_ERROR(seed << ": " << TextOf(finding));
    for (const auto& [what, times] : day.counts) counts[what] += times;
  }
  for (const char* what :
       {"trouble: has a full disk", "trouble: has a disk that stands still",
        "trouble: has a slow disk", "trouble: loses its disk",
        "trouble: a core machine is replaced by an empty one",
        "trouble: a store is replaced by an empty one", "trouble: a core machine is retired",
        "trouble: a store is retired", "stores that were retired", "all core disks are full",
        "all disks of stores are full"}) {
    BOOST_TEST(counts[what] >= 1U, what << " was not played");
  }
}

BOOST_AUTO_TEST_CASE(deployments_are_of_all_sizes) {
  std::set<std::size_t> zones;
  std::set<std::size_t> cores;
  std::set<std::size_t> stores;
  std::set<std::size_t> failures;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Deployment deployment = DrawDeployment(seed);
    zones.insert(deployment.zones);
    cores.insert(deployment.cores);
    stores.insert(deployment.stores);
    failures.insert(deployment.failures);
    BOOST_TEST(deployment.cores >= 2 * deployment.failures + 1);
    BOOST_TEST(deployment.stores >= deployment.failures + 2);
  }
  BOOST_TEST((zones == std::set<std::size_t>{2, 3, 4, 5}));
  BOOST_TEST((cores == std::set<std::size_t>{3, 4, 5, 6, 7}));
  BOOST_TEST((stores == std::set<std::size_t>{3, 4, 5, 6}));
  BOOST_TEST((failures == std::set<std::size_t>{1, 2}));
}

// --- A store is lost ---

using std::chrono::milliseconds;

constexpr milliseconds kStoreLease{1500};
// A commit of the rows, the way to the stores, a question and its answer.
constexpr milliseconds kCopiesWithin{60};

void CheckLoss(const RepairPlan& plan, const RepairOutcome& outcome) {
  BOOST_TEST(outcome.before.open.empty());
  BOOST_TEST(outcome.before.batch.begun == 0U);
  BOOST_TEST(outcome.before.partitions.whole == 64U);
  BOOST_TEST(outcome.rows_of_lost > 0U);
  // All that had a copy there lack one, and nothing else.
  BOOST_TEST(outcome.lacking.open.size() == outcome.rows_of_lost);
  BOOST_TEST(outcome.lacking.partitions.whole == 64U - outcome.rows_of_lost);
  for (const cluster::OpenLoss& loss : outcome.lacking.open) {
    BOOST_TEST((loss.subject.kind == cluster::CopyKind::kBatch));
    BOOST_TEST(loss.whole == plan.failures);
    BOOST_TEST(loss.wanted == plan.failures + 1);
    BOOST_TEST((loss.lasts >= outcome.known_after));  // Since it was last heard of.
    BOOST_TEST((loss.lasts <= outcome.known_after + milliseconds(700)));
  }
  BOOST_TEST((outcome.copies_after <= kCopiesWithin));
  const cluster::LossHistory& batch = outcome.after.batch;
  BOOST_TEST(batch.begun == outcome.rows_of_lost);
  BOOST_TEST(batch.ended == outcome.rows_of_lost);
  BOOST_TEST((batch.median <= batch.worst));
  BOOST_TEST((batch.worst >= outcome.whole_after));
  BOOST_TEST((batch.worst <= outcome.whole_after + milliseconds(700)));
  BOOST_TEST(batch.bytes_copied >= plan.bytes_each * outcome.rows_of_lost);
  BOOST_TEST(batch.bytes_copied <= 2 * plan.bytes_each * outcome.rows_of_lost + 100000);
  BOOST_TEST(outcome.after.control.begun == 0U);
}

BOOST_AUTO_TEST_CASE(a_store_that_stays_away_is_made_good_from_the_end_of_its_lease) {
  for (const std::size_t failures : {1U, 2U}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      RepairPlan plan;
      plan.seed = seed;
      plan.failures = failures;
      plan.cores = 2 * failures + 1;
      plan.stores = failures + 3;
      plan.bytes_each = 40000;
      BOOST_TEST_CONTEXT("seed " << seed << " tolerance " << failures) {
        const RepairOutcome outcome = PlayStoreLoss(plan);
        CheckLoss(plan, outcome);
        BOOST_TEST((outcome.known_after <= kStoreLease + milliseconds(2)));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_store_that_returns_without_its_disk_is_made_good_from_its_return) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    RepairPlan plan;
    plan.seed = seed;
    plan.bytes_each = 40000;
    plan.returns_after = milliseconds(300);
    BOOST_TEST_CONTEXT("seed " << seed) {
      const RepairOutcome outcome = PlayStoreLoss(plan);
      CheckLoss(plan, outcome);
      // Its connection comes up, its new identity is synced, and it renews.
      BOOST_TEST((outcome.known_after <= milliseconds(400)));
    }
  }
}

// Of two disks one is lost, and another copy is made in a few milliseconds: it counts all the same.
BOOST_AUTO_TEST_CASE(a_core_machine_that_returns_without_its_disk_is_made_good_from_its_return) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    RepairPlan plan;
    plan.seed = seed;
    plan.cores = 2;
    plan.bytes_each = 200000;
    plan.returns_after = milliseconds(300);
    BOOST_TEST_CONTEXT("seed " << seed) {
      const RepairOutcome outcome = PlayCoreLoss(plan);
      const cluster::LossHistory& control = outcome.after.control;
      BOOST_TEST(control.begun == 1U);
      BOOST_TEST(control.ended == 1U);
      BOOST_TEST((control.worst >= milliseconds(300)));
      BOOST_TEST((control.worst <= milliseconds(1000)));
      BOOST_TEST(control.bytes_copied >= plan.bytes_each);
      BOOST_TEST(outcome.after.batch.begun == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(one_lost_replica_of_three_leaves_enough) {
  RepairPlan plan;
  plan.returns_after = milliseconds(300);
  const RepairOutcome outcome = PlayCoreLoss(plan);
  BOOST_TEST(outcome.after.control.begun == 0U);
  BOOST_TEST(outcome.lacking.open.empty());
}

}  // namespace
}  // namespace shelflink::tier_seeds
