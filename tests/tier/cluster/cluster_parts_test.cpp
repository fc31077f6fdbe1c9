// The small pure parts: finder of the core, relay tree, clock estimate, true time, time of a
// reading, leases, orders of endpoints, summaries of lists, time without redundancy.
#define BOOST_TEST_MODULE cluster_parts
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <set>

#include "tier/cluster/clock_estimate.h"
#include "tier/cluster/core_finder.h"
#include "tier/cluster/core_service.h"
#include "tier/cluster/endpoint_summary.h"
#include "tier/cluster/list_reading_time.h"
#include "tier/cluster/member_table.h"
#include "tier/cluster/redundancy.h"
#include "tier/cluster/redundancy_watch.h"
#include "tier/cluster/relay_tree.h"
#include "tier/cluster/scale_planner.h"
#include "tier/cluster/true_time.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

net::Address At(std::uint32_t host) { return net::Address::V4(host, 7360); }
net::Time After(net::Span span) { return net::Time{} + span; }

// --- Finder ---

BOOST_AUTO_TEST_CASE(finder_asks_each_seed_in_turn_until_one_accepts) {
  CoreFinder finder;
  BOOST_TEST(!finder.Target().has_value());
  finder.SetSeeds({At(1), At(2), At(3)});
  std::set<net::Address> asked;
  for (int turn = 0; turn < 3; ++turn) {
    asked.insert(*finder.Target());
    finder.Failed(*finder.Target());
  }
  BOOST_TEST(asked.size() == 3U);
  finder.Accepted(At(2));
  BOOST_TEST((finder.Target() == At(2)));
}

BOOST_AUTO_TEST_CASE(finder_follows_a_hint_but_not_to_who_has_just_been_silent) {
  CoreFinder finder;
  finder.SetSeeds({At(1), At(2)});
  BOOST_TEST(finder.Declined(At(1), At(9)));
  BOOST_TEST((finder.Target() == At(9)));
  finder.Failed(At(9));
  const net::Address asked = *finder.Target();
  BOOST_TEST(!finder.Declined(asked, At(9)));
  BOOST_TEST((finder.Target() != At(9)));
  BOOST_TEST(finder.Declined(*finder.Target(), At(9)));  // Said again: worth another try.
}

BOOST_AUTO_TEST_CASE(finder_ends_a_circle_of_hints) {
  CoreFinder finder;
  finder.SetSeeds({At(1), At(2)});
  int at_once = 0;
  for (int step = 0; step < 12; ++step) {
    const net::Address asked = *finder.Target();
    at_once += finder.Declined(asked, asked == At(1) ? At(2) : At(1)) ? 1 : 0;
  }
  BOOST_TEST(at_once <= 9);
}

BOOST_AUTO_TEST_CASE(finder_knows_learned_cores_when_all_seeds_are_gone) {
  CoreFinder finder;
  finder.SetSeeds({At(1)});
  finder.Learn({At(5), At(6)});
  finder.SetSeeds({At(7)});
  std::set<net::Address> asked;
  for (int turn = 0; turn < 6; ++turn) {
    asked.insert(*finder.Target());
    finder.Failed(*finder.Target());
  }
  BOOST_TEST((asked == std::set<net::Address>{At(5), At(6), At(7)}));
}

// --- Relay tree ---

std::size_t DepthOf(const RelayTree& tree, net::Address member) {
  std::size_t depth = 0;
  while (const auto parent = tree.ParentOf(member)) {
    member = *parent;
    BOOST_REQUIRE_LT(++depth, 10U);
  }
  return depth;
}

BOOST_AUTO_TEST_CASE(tree_reaches_everybody_once_within_its_bounds) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    RelayTree tree;
    std::set<net::Address> members;
    for (int step = 0; step < 150; ++step) {
      const net::Address member = At(static_cast<std::uint32_t>(random() % 100 + 1));
      switch (random() % 4) {
        case 0:
          tree.Remove(member);
          members.erase(member);
          break;
        case 1:
          tree.Distrust(member);
          break;
        default:
          tree.Add(member, "zone-" + std::to_string(member.V4Host() % 3));
          members.insert(member);
          break;
      }
    }
    std::set<net::Address> reached;
    for (const net::Address& member : members) {
      BOOST_REQUIRE_LE(DepthOf(tree, member), 3U);
      const auto children = tree.ChildrenOf(member);
      BOOST_REQUIRE_LE(children.size(), kRelayFanOut);
      for (const net::Address& child : children) {
        BOOST_REQUIRE(reached.insert(child).second);
        BOOST_REQUIRE((tree.ParentOf(child) == member));
      }
      if (!tree.ParentOf(member)) BOOST_REQUIRE(reached.insert(member).second);
    }
    BOOST_REQUIRE((reached == members));
  }
}

BOOST_AUTO_TEST_CASE(tree_puts_a_distrusted_leader_last) {
  RelayTree tree;
  for (std::uint32_t host = 1; host <= 4; ++host) tree.Add(At(host), "zone");
  BOOST_TEST((tree.ParentOf(At(2)) == At(1)));
  tree.Distrust(At(1));
  BOOST_TEST(tree.ChildrenOf(At(1)).empty());
  BOOST_TEST(!tree.ParentOf(At(4)).has_value());
  BOOST_TEST((tree.ParentOf(At(2)) == At(4)));
}

BOOST_AUTO_TEST_CASE(tree_lets_the_primary_tell_whom_no_parent_knows) {
  RelayTree tree;
  for (std::uint32_t host = 1; host <= 3; ++host) tree.Add(At(host), "zone");
  BOOST_TEST(tree.PushTargets().size() == 3U);
  tree.MarkTold(At(1), tree.ChildrenOf(At(1)));
  BOOST_TEST((tree.PushTargets() == std::vector<net::Address>{At(1)}));
  tree.Add(At(4), "zone");
  BOOST_TEST((tree.PushTargets() == std::vector<net::Address>{At(1), At(4)}));
  tree.Remove(At(1));
  BOOST_TEST(tree.PushTargets().size() == 3U);
}

// --- Clock ---

BOOST_AUTO_TEST_CASE(estimate_is_what_most_clocks_say) {
  ClockEstimate estimate;
  const std::int64_t truth = 1'700'000'000'000'000;
  for (std::uint32_t host = 1; host <= 4; ++host) estimate.Hear(net::Time{}, At(host), truth);
  estimate.Hear(net::Time{}, At(5), truth + 5'000'000);
  BOOST_TEST(estimate.TrueMicros(net::Time{}, truth - 4'000'000) == truth);
  BOOST_TEST(estimate.TrueMicros(After(seconds(2)), truth + 9'000'000) == truth + 2'000'000);
}

// --- What the primary tells of time ---

BOOST_AUTO_TEST_CASE(true_time_goes_on_from_the_middle_of_a_call) {
  TrueTime time;
  BOOST_TEST(time.Micros(After(seconds(5)), 77) == 77);
  time.Take(After(seconds(1)), After(seconds(3)), 500'000'000);
  BOOST_TEST(time.Micros(After(seconds(2)), 77) == 500'000'000);
  BOOST_TEST(time.Micros(After(seconds(5)), 77) == 503'000'000);
}

BOOST_AUTO_TEST_CASE(a_reading_counts_once_its_list_is_held) {
  ListReadingTime reading;
  BOOST_TEST(!reading.known());
  reading.OnTold({3, 7}, After(seconds(2)), {3, 6});
  BOOST_TEST(!reading.known());
  reading.OnHeld({3, 7});
  BOOST_TEST((reading.read_at() == After(seconds(2))));
}

BOOST_AUTO_TEST_CASE(an_older_reading_told_late_changes_nothing) {
  ListReadingTime reading;
  reading.OnTold({3, 7}, After(seconds(2)), {3, 7});
  reading.OnTold({3, 7}, After(seconds(1)), {3, 8});
  BOOST_TEST((reading.read_at() == After(seconds(2))));
}

// --- Leases ---

transport::PeerIdentity Who(std::uint32_t host, const std::string& role, std::uint64_t life) {
  return {role + std::to_string(host), role, "zone", At(host), life};
}

BOOST_AUTO_TEST_CASE(leases_end_by_role_and_only_without_renewal) {
  MemberTable table({seconds(3), milliseconds(1500)});
  table.Renew(net::Time{}, Who(1, "proxy", 1), Renewal());
  table.Renew(net::Time{}, Who(2, "store", 1), Renewal());
  BOOST_TEST(table.Expire(After(milliseconds(1499))).empty());
  const auto ended = table.Expire(After(milliseconds(1500)));
  BOOST_REQUIRE_EQUAL(ended.size(), 1U);
  BOOST_TEST(ended[0].member.role == "store");
  table.Renew(After(seconds(2)), Who(1, "proxy", 1), Renewal());
  BOOST_TEST(table.Expire(After(seconds(4))).empty());
  BOOST_TEST(table.Expire(After(seconds(5))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(leases_outlast_a_standstill_of_this_process) {
  MemberTable table({seconds(3), milliseconds(1500)});
  table.Renew(net::Time{}, Who(2, "store", 1), Renewal());
  table.Extend(seconds(2));
  BOOST_TEST(table.Expire(After(milliseconds(3499))).empty());
  BOOST_TEST(table.Expire(After(milliseconds(3500))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(only_what_others_see_counts_as_a_change) {
  MemberTable table({seconds(3), milliseconds(1500)});
  using Renewed = MemberTable::Renewed;
  Renewal renewal;
  BOOST_TEST((table.Renew(net::Time{}, Who(1, "store", 1), renewal) == Renewed::kChanged));
  renewal.window_open = 8;
  BOOST_TEST((table.Renew(net::Time{}, Who(1, "store", 1), renewal) == Renewed::kKnown));
  renewal.store = StoreState{"disk", 0, 0, 0};
  BOOST_TEST((table.Renew(net::Time{}, Who(1, "store", 1), renewal) == Renewed::kChanged));
  renewal.store->bytes_used = 5;
  BOOST_TEST((table.Renew(net::Time{}, Who(1, "store", 1), renewal) == Renewed::kKnown));
  renewal.ready = true;
  BOOST_TEST((table.Renew(net::Time{}, Who(1, "store", 1), renewal) == Renewed::kChanged));
  BOOST_TEST((table.Renew(net::Time{}, Who(1, "store", 2), renewal) == Renewed::kChanged));
  BOOST_TEST(!table.Leave(At(1), 1));  // Of the life before.
  BOOST_TEST(table.Leave(At(1), 2));
}

BOOST_AUTO_TEST_CASE(a_full_table_refuses_newcomers_and_keeps_its_members) {
  MemberTable table({seconds(3), seconds(3)});
  for (std::uint32_t host = 1; host <= kMostMembers; ++host) {
    table.Renew(net::Time{}, Who(host, "proxy", 1), Renewal());
  }
  BOOST_TEST((table.Renew(net::Time{}, Who(99999, "proxy", 1), Renewal()) ==
              MemberTable::Renewed::kRefused));
  BOOST_TEST(
      (table.Renew(net::Time{}, Who(5, "proxy", 1), Renewal()) == MemberTable::Renewed::kKnown));
}

BOOST_AUTO_TEST_CASE(renewals_are_rarer_in_a_large_cluster_but_within_the_bounds) {
  ProcessSettings settings;
  BOOST_TEST((RenewalInterval(settings, 20) == milliseconds(500)));
  BOOST_TEST((RenewalInterval(settings, 400) == milliseconds(1000)));
  BOOST_TEST((RenewalInterval(settings, 4000) == milliseconds(1000)));
}

// --- Orders of endpoints ---

configuration::Service Scaled() {
  configuration::Service service;
  service.name = "big";
  service.engine = configuration::Engine{32, 100000};
  service.autoscale = configuration::Autoscale{2, 6, milliseconds(4000)};
  return service;
}

ScaleLoad Load(std::uint64_t running, std::uint64_t waiting) {
  return {true, running, waiting, {{"a", 3}, {"b", 3}}};
}

BOOST_AUTO_TEST_CASE(nothing_is_ordered_before_a_load_is_known) {
  ScalePlanner planner{ScaleTuning()};
  ScaleLoad load = Load(0, 0);
  load.known = false;
  BOOST_TEST(planner.Plan(net::Time{}, Scaled(), load).empty());
}

BOOST_AUTO_TEST_CASE(orders_rise_at_once_within_the_bounds) {
  ScalePlanner planner{ScaleTuning()};
  const auto orders = planner.Plan(net::Time{}, Scaled(), Load(300000, 150000));
  BOOST_REQUIRE_EQUAL(orders.size(), 2U);  // 450,000 tokens at 50,000 an endpoint, in two zones.
  BOOST_TEST(orders[0].desired == 5);
  BOOST_TEST(planner.Plan(net::Time{}, Scaled(), Load(300000, 150000)).empty());
  const auto most = planner.Plan(net::Time{}, Scaled(), Load(90000000, 0));
  BOOST_REQUIRE_EQUAL(most.size(), 2U);
  BOOST_TEST(most[1].desired == 6);
}

BOOST_AUTO_TEST_CASE(orders_fall_slowly_and_not_below_the_least) {
  const ScaleTuning tuning;
  ScalePlanner planner{tuning};
  int desired = 3;
  net::Time last{};
  for (int step = 0; step <= 400; ++step) {
    const net::Time now = After(milliseconds(250) * step);
    for (const platform::ScaleOrder& order : planner.Plan(now, Scaled(), Load(0, 0))) {
      if (order.zone != "a") continue;
      BOOST_TEST(order.desired == desired - 1);
      BOOST_TEST((now - net::Time{} >= tuning.fall_after));
      if (desired < 3) BOOST_TEST((now - last >= tuning.fall_step));
      desired = order.desired;
      last = now;
    }
  }
  BOOST_TEST(desired == 2);
}

BOOST_AUTO_TEST_CASE(a_load_that_comes_back_stops_the_fall) {
  ScalePlanner planner{ScaleTuning()};
  planner.Plan(net::Time{}, Scaled(), Load(0, 0));
  planner.Plan(After(seconds(14)), Scaled(), Load(300000, 0));
  BOOST_TEST(planner.Plan(After(seconds(16)), Scaled(), Load(0, 0)).empty());
}

// --- Summaries ---

BOOST_AUTO_TEST_CASE(a_summary_counts_the_endpoints_that_drain) {
  std::vector<EndpointEntry> entries(3);
  entries[1].draining = true;
  const EndpointSummary summary = SummaryOf({3, 7}, entries);
  BOOST_TEST(summary.entries == 3U);
  BOOST_TEST(summary.draining == 1U);
  BOOST_TEST(TextOf(summary) == "version 3.7, 3 endpoints, 1 of them draining");
  BOOST_TEST(TextOf(SummaryOf({}, {})) == "version 0.0, 0 endpoints, 0 of them draining");
}

// --- Time without redundancy ---

constexpr CopySubject kControl{CopyKind::kControl, 0};
constexpr CopySubject PartitionOf(std::uint32_t number) { return {CopyKind::kBatch, number}; }

RedundancyBook::Copies Seen(const CopySubject& subject, std::size_t whole, net::Time since) {
  return {subject, whole, 2, since, false};
}

// Lost from `from` on, seen `seen_after` later, whole again `lasts` after `from`.
void PlayLoss(RedundancyBook& book, const CopySubject& subject, net::Time from,
              milliseconds seen_after, milliseconds lasts, std::uint64_t bytes) {
  book.Observe(from + seen_after, Seen(subject, 1, from));
  book.OnCopied(subject, bytes);
  book.Observe(from + lasts, Seen(subject, 2, from));
}

BOOST_AUTO_TEST_CASE(a_loss_counts_from_when_the_copy_was_last_heard_of) {
  RedundancyBook book;
  book.Observe(After(seconds(10)), Seen(kControl, 2, After(seconds(10))));
  BOOST_TEST(book.open(After(seconds(10))).empty());
  book.Observe(After(milliseconds(12500)), Seen(kControl, 1, After(seconds(11))));
  book.OnLeft(kControl, 700);
  book.OnCopied(kControl, 300);
  const std::vector<OpenLoss> open = book.open(After(seconds(13)));
  BOOST_REQUIRE(open.size() == 1U);
  BOOST_TEST((open[0].lasts == seconds(2)));
  BOOST_TEST(open[0].whole == 1U);
  BOOST_TEST(open[0].wanted == 2U);
  BOOST_TEST(open[0].bytes_copied == 300U);
  BOOST_TEST(open[0].bytes_left.value() == 700U);
  BOOST_TEST(!open[0].at_least);
  book.Observe(After(milliseconds(13250)), Seen(kControl, 2, {}));
  BOOST_TEST(book.open(After(seconds(14))).empty());
  const LossHistory history = book.history(CopyKind::kControl);
  BOOST_TEST(history.begun == 1U);
  BOOST_TEST(history.ended == 1U);
  BOOST_TEST((history.median == milliseconds(2250)));
  BOOST_TEST((history.worst == milliseconds(2250)));
  BOOST_TEST(history.bytes_copied == 300U);
  BOOST_TEST(book.history(CopyKind::kBatch).begun == 0U);
}

BOOST_AUTO_TEST_CASE(a_further_loss_prolongs_the_one_that_is_open) {
  RedundancyBook book;
  book.Observe(After(seconds(2)), Seen(PartitionOf(3), 1, After(seconds(1))));
  book.Observe(After(seconds(4)), Seen(PartitionOf(3), 0, After(seconds(3))));
  BOOST_TEST(book.open(After(seconds(5)))[0].whole == 0U);
  book.Observe(After(seconds(6)), Seen(PartitionOf(3), 1, After(seconds(3))));
  book.Observe(After(seconds(7)), Seen(PartitionOf(3), 2, {}));
  const LossHistory history = book.history(CopyKind::kBatch);
  BOOST_TEST(history.begun == 1U);
  BOOST_TEST((history.worst == seconds(6)));
}

// The missing copy of the second loss was missing in the first one already.
BOOST_AUTO_TEST_CASE(no_moment_counts_twice) {
  RedundancyBook book;
  PlayLoss(book, kControl, After(seconds(1)), milliseconds(500), seconds(4), 0);
  book.Observe(After(seconds(6)), Seen(kControl, 1, After(seconds(1))));
  BOOST_TEST((book.open(After(seconds(8)))[0].lasts == seconds(3)));
}

BOOST_AUTO_TEST_CASE(what_is_copied_without_a_loss_is_not_counted) {
  RedundancyBook book;
  book.OnCopied(PartitionOf(1), 1000);
  book.OnLeft(PartitionOf(1), 1000);
  PlayLoss(book, PartitionOf(1), After(seconds(1)), milliseconds(0), seconds(1), 5);
  BOOST_TEST(book.history(CopyKind::kBatch).bytes_copied == 5U);
}

BOOST_AUTO_TEST_CASE(median_and_worst_are_told_by_the_bytes_copied) {
  RedundancyBook book;
  const std::vector<std::pair<std::uint64_t, int>> losses = {
      {0, 100}, {0, 300}, {1, 400}, {64U << 10, 800}, {(64U << 10) + 1, 900}, {1U << 30, 5000}};
  for (std::size_t index = 0; index < losses.size(); ++index) {
    PlayLoss(book, PartitionOf(static_cast<std::uint32_t>(index)), After(seconds(1)),
             milliseconds(50), milliseconds(losses[index].second), losses[index].first);
  }
  const LossHistory history = book.history(CopyKind::kBatch);
  BOOST_TEST((history.median == milliseconds(800)));  // The upper of the two in the middle.
  BOOST_TEST((history.worst == seconds(5)));
  BOOST_REQUIRE(history.by_size.size() == 4U);
  BOOST_TEST(history.by_size[0].most_bytes.value() == 0U);
  BOOST_TEST(history.by_size[0].losses == 2U);
  BOOST_TEST((history.by_size[0].median == milliseconds(300)));
  BOOST_TEST(history.by_size[1].most_bytes.value() == 64U << 10);
  BOOST_TEST(history.by_size[1].losses == 2U);
  BOOST_TEST((history.by_size[1].worst == milliseconds(800)));
  BOOST_TEST(history.by_size[2].most_bytes.value() == 1U << 20);
  BOOST_TEST(history.by_size[2].losses == 1U);
  BOOST_TEST(!history.by_size[3].most_bytes.has_value());
  BOOST_TEST((history.by_size[3].worst == seconds(5)));
}

BOOST_AUTO_TEST_CASE(memory_stays_bounded_and_the_worst_is_kept) {
  RedundancyBook book;
  PlayLoss(book, kControl, After(seconds(1)), milliseconds(0), seconds(60), 0);
  for (std::size_t loss = 0; loss < kMostRememberedLosses + 10; ++loss) {
    PlayLoss(book, kControl, After(seconds(100 + 2 * static_cast<int>(loss))), milliseconds(0),
             seconds(1), 0);
  }
  const LossHistory history = book.history(CopyKind::kControl);
  BOOST_TEST(history.ended == kMostRememberedLosses + 11);
  BOOST_TEST(history.by_size[0].losses == kMostRememberedLosses);
  BOOST_TEST((history.by_size[0].worst == seconds(1)));
  BOOST_TEST((history.worst == seconds(60)));
}

BOOST_AUTO_TEST_CASE(what_is_open_when_another_leads_is_handed_on_without_a_time) {
  RedundancyBook book;
  book.Observe(After(seconds(2)), Seen(kControl, 1, After(seconds(1))));
  book.HandOn();
  BOOST_TEST(book.open(After(seconds(3))).empty());
  book.Observe(After(seconds(9)), Seen(kControl, 2, {}));
  const LossHistory history = book.history(CopyKind::kControl);
  BOOST_TEST(history.begun == 1U);
  BOOST_TEST(history.ended == 0U);
  BOOST_TEST(history.handed_on == 1U);
}

// --- Redundancy from rows, leases and standings ---

PartitionRow RowOfDisks(std::vector<std::string> disks, bool last_is_complete) {
  PartitionRow row;
  row.epoch = 1;
  row.primary = At(1);
  row.primary_disk = disks[0];
  for (std::size_t index = 1; index < disks.size(); ++index) {
    row.backups.push_back(At(static_cast<std::uint32_t>(index + 1)));
    row.backup_disks.push_back(disks[index]);
    row.complete.push_back(index + 1 < disks.size() || last_is_complete);
  }
  return row;
}

StoreState StoreWith(const std::string& disk, std::vector<CopyUnderWay> copying = {}) {
  return {disk, 0, 0, 0, std::move(copying)};
}

BOOST_AUTO_TEST_CASE(
    a_partition_lacks_a_copy_from_the_last_renewal_of_its_store_until_another_is_whole) {
  RedundancyWatch watch(2);
  watch.Begin(After(seconds(1)));
  watch.OnRows({RowOfDisks({"a", "b"}, true), RowOfDisks({"a", "c"}, true)});
  watch.OnStore(After(seconds(3)), StoreWith("a"));
  watch.OnStore(After(seconds(4)), StoreWith("b"));
  watch.ObservePartitions(After(seconds(5)), {"a", "b", "c"});
  BOOST_TEST(watch.partitions().whole == 2U);
  watch.ObservePartitions(After(milliseconds(5500)), {"a", "c"});
  BOOST_TEST(watch.partitions().whole == 1U);
  BOOST_REQUIRE(watch.book().open(After(seconds(6))).size() == 1U);
  BOOST_TEST((watch.book().open(After(seconds(6)))[0].lasts == seconds(2)));
  // A joiner is named: the row has three copies, two of them whole, one of these lost.
  watch.OnRows({RowOfDisks({"a", "b", "c"}, false), RowOfDisks({"a", "c"}, true)});
  watch.OnStore(After(seconds(6)), StoreWith("a", {{0, "c", 100, 900}}));
  watch.OnStore(After(seconds(7)), StoreWith("a", {{0, "c", 600, 400}}));
  watch.ObservePartitions(After(seconds(7)), {"a", "c"});
  const OpenLoss open = watch.book().open(After(seconds(7)))[0];
  BOOST_TEST(open.bytes_copied == 600U);
  BOOST_TEST(open.bytes_left.value() == 400U);
  // Its session begins anew, and it comes to an end.
  watch.OnStore(After(seconds(8)), StoreWith("a", {{0, "c", 50, 400}}));
  watch.OnReport({0, 1, "c", BackupCondition::kComplete, 450});
  watch.OnRows({RowOfDisks({"a", "b", "c"}, true), RowOfDisks({"a", "c"}, true)});
  watch.ObservePartitions(After(seconds(9)), {"a", "c"});
  const LossHistory history = watch.book().history(CopyKind::kBatch);
  BOOST_TEST(history.ended == 1U);
  BOOST_TEST((history.worst == seconds(5)));
  BOOST_TEST(history.bytes_copied == 600U + 450U);
}

// A disk that another one replaced is named no more, though its store is there.
BOOST_AUTO_TEST_CASE(a_loss_that_a_new_primary_finds_is_told_as_a_least) {
  RedundancyWatch watch(2);
  watch.OnRows({RowOfDisks({"a"}, true)});
  watch.Begin(After(seconds(1)));
  watch.OnStore(After(seconds(2)), StoreWith("a"));
  watch.ObservePartitions(After(seconds(3)), {"a"});
  BOOST_REQUIRE(watch.book().open(After(seconds(3))).size() == 1U);
  BOOST_TEST(watch.book().open(After(seconds(3)))[0].at_least);
  BOOST_TEST((watch.book().open(After(seconds(3)))[0].lasts == seconds(2)));
  watch.End();
  BOOST_TEST(watch.book().open(After(seconds(4))).empty());
}

coordination::MemberStatus Standing(const std::string& disk, coordination::DiskState standing,
                                    net::Time heard_at) {
  return {{"node", "zone", disk, At(1)}, true, true, standing, heard_at};
}

BOOST_AUTO_TEST_CASE(the_control_state_lacks_copies_where_too_few_replicas_stand) {
  using coordination::DiskState;
  RedundancyWatch watch(2);
  watch.Begin(After(seconds(1)));
  coordination::ReplicationStatus copies;
  copies.wanted = 2;
  copies.bytes_copied = 5000;  // Before this process led.
  copies.members = {Standing("a", DiskState::kTakesWrites, After(seconds(2))),
                    Standing("b", DiskState::kTakesWrites, After(seconds(2))),
                    Standing("c", DiskState::kSilent, After(seconds(1)))};
  const auto map_bytes = [] { return std::uint64_t{777}; };
  watch.ObserveControl(After(seconds(2)), copies, map_bytes);
  BOOST_TEST(watch.book().open(After(seconds(2))).empty());  // Two are enough.
  copies.members[1] = Standing("b", DiskState::kRefusesWrites, After(seconds(3)));
  copies.members.pop_back();
  watch.ObserveControl(After(seconds(4)), copies, map_bytes);
  BOOST_REQUIRE(watch.book().open(After(seconds(5))).size() == 1U);
  BOOST_TEST((watch.book().open(After(seconds(5)))[0].lasts == seconds(2)));
  BOOST_TEST(watch.book().open(After(seconds(5)))[0].bytes_left.value() == 777U);
  copies.bytes_copied = 5600;
  copies.bytes_left = 177;
  watch.ObserveControl(After(seconds(5)), copies, map_bytes);
  BOOST_TEST(watch.book().open(After(seconds(5)))[0].bytes_left.value() == 177U);
  copies.members[1] = Standing("c", DiskState::kTakesWrites, After(seconds(6)));
  watch.ObserveControl(After(seconds(6)), copies, map_bytes);
  const LossHistory history = watch.book().history(CopyKind::kControl);
  BOOST_TEST((history.worst == seconds(3)));
  BOOST_TEST(history.bytes_copied == 600U);
}

BOOST_AUTO_TEST_CASE(what_was_copied_before_the_loss_was_seen_counts_as_well) {
  using coordination::DiskState;
  RedundancyWatch watch(2);
  watch.Begin(After(seconds(1)));
  coordination::ReplicationStatus copies;
  copies.wanted = 2;
  copies.members = {Standing("a", DiskState::kTakesWrites, After(seconds(2))),
                    Standing("b", DiskState::kTakesWrites, After(seconds(2)))};
  const auto map_bytes = [] { return std::uint64_t{0}; };
  watch.ObserveControl(After(seconds(2)), copies, map_bytes);
  copies.members[1].disk_state = DiskState::kReplaced;
  copies.bytes_copied = 900;
  watch.ObserveControl(After(seconds(3)), copies, map_bytes);
  copies.members[1] = Standing("c", DiskState::kTakesWrites, After(seconds(4)));
  copies.bytes_copied = 1000;
  watch.ObserveControl(After(seconds(4)), copies, map_bytes);
  BOOST_TEST(watch.book().history(CopyKind::kControl).bytes_copied == 1000U);
}

}  // namespace
}  // namespace shelflink::cluster
