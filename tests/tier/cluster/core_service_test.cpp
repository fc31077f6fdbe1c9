// The core service with stores and the operator: placement over losses, reports on backups,
// retirement, orders; each on the virtual network.
#define BOOST_TEST_MODULE core_service
#include "tier/cluster/core_service.h"

#include <boost/test/unit_test.hpp>

#include "cluster/rig.h"
#include "tier/cluster/control_state.h"
#include "tier/cluster/placement.h"

namespace shelflink::cluster {
namespace {

using operator_api::RetireState;

std::vector<PartitionRow> Rows(const Rig& rig) { return RowsOf(rig.map.contents); }

Version PlacementVersion(const Rig& rig) {
  return {0, NumberAt(rig.map.contents, kPlacementCountKey)};
}

bool AllComplete(const std::vector<PartitionRow>& rows, std::size_t copies) {
  return !rows.empty() && std::all_of(rows.begin(), rows.end(), [&](const PartitionRow& row) {
    return row.backups.size() + 1 == copies &&
           std::find(row.complete.begin(), row.complete.end(), false) == row.complete.end();
  });
}

bool AnyNames(const std::vector<PartitionRow>& rows, const std::string& disk) {
  return std::any_of(rows.begin(), rows.end(),
                     [&](const PartitionRow& row) { return Names(row, disk); });
}

// Each store that is primary of a row says of its joiners that they are complete, as a store does
// that copies fast.
void CompleteJoiners(Rig& rig) {
  for (auto& store : rig.stores) {
    if (!store->up() || !store->agent().view().placement) continue;
    const auto placement = store->agent().view().placement;
    for (std::size_t partition = 0; partition < placement->rows.size(); ++partition) {
      const PartitionRow& row = placement->rows[partition];
      if (row.primary_disk != store->disk) continue;
      for (std::size_t index = 0; index < row.backups.size(); ++index) {
        if (row.complete[index]) continue;
        store->agent().ReportBackup({static_cast<std::uint32_t>(partition), row.epoch,
                                     row.backup_disks[index], BackupCondition::kComplete},
                                    [](const Result<void>&) {});
      }
    }
  }
}

// Every row that named the lost disk before is led by another copy and copies to another store;
// until that one is whole the lost copy, which has everything, stays named.
bool IsBeingReplaced(const Rig& rig, const std::vector<PartitionRow>& before,
                     const std::string& lost) {
  const auto after = Rows(rig);
  for (std::size_t partition = 0; partition < after.size(); ++partition) {
    if (!Names(before[partition], lost)) continue;
    const PartitionRow& row = after[partition];
    if (row.primary_disk == lost || !Names(row, lost)) return false;
    if (!Names(before[partition], row.primary_disk)) return false;
    if (std::count(row.complete.begin(), row.complete.end(), false) != 1) return false;
  }
  return AnyNames(before, lost);
}

// Lets joiners complete until the placement is whole and lies still.
bool Settles(Rig& rig, std::size_t copies, net::Span within) {
  const net::Time end = rig.net.Now() + within;
  std::uint64_t count = 0;
  while (rig.net.Now() < end) {
    CompleteJoiners(rig);
    rig.Run(milliseconds(300));
    const std::uint64_t now = NumberAt(rig.map.contents, kPlacementCountKey);
    if (now == count && AllComplete(Rows(rig), copies)) return true;
    count = now;
  }
  return false;
}

using Outcome = Result<operator_api::OrderOutcome>;

std::optional<Outcome> SendRetirement(Rig& rig, const std::string& node,
                                      std::uint64_t refusals_seen = 0) {
  std::optional<Outcome> result;
  rig.Primary().service().Retire({node, seconds(10), refusals_seen},
                                 [&](Outcome told) { result = std::move(told); });
  rig.RunUntil([&] { return result.has_value(); }, seconds(1));
  return result;
}

std::optional<Result<void>> Retire(Rig& rig, const std::string& node) {
  const std::optional<Outcome> outcome = SendRetirement(rig, node);
  if (!outcome) return std::nullopt;
  return operator_api::AcceptedAtOnce(*outcome);
}

std::optional<Result<RetireState>> StateOf(Rig& rig, const std::string& node) {
  std::optional<Result<RetireState>> result;
  rig.Primary().service().ReadRetireState(
      node, [&](Result<RetireState> told) { result = std::move(told); });
  rig.RunUntil([&] { return result.has_value(); }, seconds(1));
  return result;
}

BOOST_AUTO_TEST_CASE(partitions_are_placed_when_the_stores_are_there) {
  Rig rig(3, 2, 4);
  rig.Start();
  BOOST_TEST(rig.RunUntil([&] { return Rows(rig).size() == kPartitions; }, seconds(3)));
  rig.Run(milliseconds(200));
  for (auto* group : {&rig.proxies, &rig.stores}) {
    for (const auto& machine : *group) {
      BOOST_REQUIRE(machine->agent().view().placement);
      BOOST_TEST(machine->agent().view().placement->rows.size() == kPartitions);
    }
  }
}

// Its lease runs out 1.5 s after its last renewal; the loss is acted upon then, not with the next
// look at all leases, and the joiners are told then, not with their next renewals.
BOOST_AUTO_TEST_CASE(a_lost_store_is_replaced_at_the_end_of_its_lease) {
  constexpr milliseconds kStoreLease{1500};
  constexpr milliseconds kCommitAndPush{25};
  for (int phase = 0; phase < 8; ++phase) {
    Rig rig(3, 2, 4);
    rig.Start();
    BOOST_REQUIRE(rig.RunUntil([&] { return !Rows(rig).empty(); }, seconds(3)));
    rig.Run(seconds(2) + milliseconds(31 * phase));
    const std::vector<PartitionRow> before = Rows(rig);
    RigAgent& lost = *rig.stores[1];
    lost.Stop();
    const net::Time from = rig.net.Now();
    const auto all_told = [&] {
      return IsBeingReplaced(rig, before, lost.disk) &&
             std::all_of(rig.stores.begin(), rig.stores.end(), [&](const auto& store) {
               const auto& placement = store->up() ? store->agent().view().placement : nullptr;
               return !store->up() || placement->version == PlacementVersion(rig);
             });
    };
    BOOST_TEST(rig.RunUntil(all_told, kStoreLease + kCommitAndPush), "phase " << phase);
    BOOST_TEST((rig.net.Now() - from > milliseconds(500)));  // Not before the lease is over.
    const RedundancyFigures figures = rig.Primary().service().figures().redundancy;
    BOOST_TEST(figures.partitions.partitions == kPartitions);
    BOOST_TEST(figures.partitions.whole < kPartitions);
    BOOST_TEST(figures.open.size() == kPartitions - figures.partitions.whole);
    for (const OpenLoss& loss : figures.open) {
      BOOST_TEST(!loss.at_least);
      BOOST_TEST((loss.lasts >= rig.net.Now() - from));
      BOOST_TEST((loss.lasts <= kStoreLease + kCommitAndPush));
    }
  }
}

// The row that names its old disk no more comes a commit later; the loss began before.
BOOST_AUTO_TEST_CASE(a_store_that_returns_with_another_disk_is_a_loss) {
  Rig rig(3, 2, 4);
  rig.Start();
  BOOST_REQUIRE(rig.RunUntil([&] { return !Rows(rig).empty(); }, seconds(3)));
  rig.Run(seconds(2));
  RigAgent& lost = *rig.stores[1];
  const std::string former = lost.disk;
  const net::Time from = rig.net.Now();
  lost.Stop();
  rig.Run(milliseconds(400));
  lost.disk = "another-disk";
  lost.Start();
  const auto figures = [&] { return rig.Primary().service().figures().redundancy; };
  BOOST_REQUIRE(rig.RunUntil([&] { return !AnyNames(Rows(rig), former); }, milliseconds(200)));
  BOOST_REQUIRE(!figures().open.empty());
  for (const OpenLoss& loss : figures().open) {
    BOOST_TEST(!loss.at_least);
    BOOST_TEST((loss.lasts >= rig.net.Now() - from));
    BOOST_TEST((loss.lasts <= rig.net.Now() - from + milliseconds(700)));
  }
}

BOOST_AUTO_TEST_CASE(the_time_without_redundancy_is_told_once_the_copies_are_whole) {
  Rig rig(3, 2, 4);
  rig.Start();
  BOOST_REQUIRE(rig.RunUntil([&] { return !Rows(rig).empty(); }, seconds(3)));
  rig.Run(seconds(2));
  const auto figures = [&] { return rig.Primary().service().figures().redundancy; };
  BOOST_TEST(figures().open.empty());
  BOOST_TEST(figures().batch.begun == 0U);
  BOOST_TEST(figures().partitions.whole == kPartitions);
  const net::Time from = rig.net.Now();
  rig.stores[1]->Stop();
  BOOST_REQUIRE(rig.RunUntil([&] { return !figures().open.empty(); }, seconds(2)));
  const std::size_t lacking = figures().open.size();
  BOOST_REQUIRE(Settles(rig, 2, seconds(10)));
  BOOST_TEST(figures().open.empty());
  const LossHistory batch = figures().batch;
  BOOST_TEST(batch.begun == lacking);
  BOOST_TEST(batch.ended == lacking);
  BOOST_TEST((batch.median >= milliseconds(1000)));
  BOOST_TEST((batch.worst <= rig.net.Now() - from + milliseconds(600)));
  // Another primary has not seen it; this one still tells it.
  RigCore& former = rig.Primary();
  rig.Elect(1);
  rig.Run(seconds(3));
  BOOST_TEST(figures().batch.begun == 0U);
  BOOST_TEST(figures().partitions.whole == kPartitions);
  BOOST_TEST(former.service().figures().redundancy.batch.ended == lacking);
  BOOST_TEST(!former.service().figures().redundancy.leads);
}

BOOST_AUTO_TEST_CASE(the_first_placement_waits_for_stores_that_start_together) {
  Rig rig(3, 1, 4);
  for (auto& core : rig.cores) core->Start();
  rig.Elect(0);
  rig.stores[0]->Start();
  rig.stores[1]->Start();
  rig.Run(milliseconds(600));
  rig.stores[2]->Start();
  rig.stores[3]->Start();
  BOOST_TEST(rig.RunUntil([&] { return !Rows(rig).empty(); }, seconds(3)));
  BOOST_TEST(NumberAt(rig.map.contents, kPlacementCountKey) == 1U);
  for (const auto& store : rig.stores) BOOST_TEST(AnyNames(Rows(rig), store->disk));
}

BOOST_AUTO_TEST_CASE(a_lost_store_is_replaced_after_its_lease_and_not_before) {
  Rig rig(3, 2, 4);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  const auto before = Rows(rig);
  rig.stores[1]->Stop();
  const std::string disk = rig.stores[1]->disk;
  rig.Run(milliseconds(900));
  BOOST_TEST(AnyNames(Rows(rig), disk));
  for (std::size_t partition = 0; partition < before.size(); ++partition) {
    BOOST_TEST(Rows(rig)[partition].epoch == before[partition].epoch);
  }
  BOOST_TEST(rig.RunUntil([&] { return IsBeingReplaced(rig, before, disk); }, milliseconds(1200)));
  BOOST_TEST(Settles(rig, 2, seconds(5)));
  BOOST_TEST(!AnyNames(Rows(rig), disk));
  rig.stores[1]->Start();
  BOOST_TEST(Settles(rig, 2, seconds(30)));
  BOOST_TEST(AnyNames(Rows(rig), disk));
}

BOOST_AUTO_TEST_CASE(a_store_restarted_within_its_lease_costs_no_change) {
  Rig rig(3, 1, 4);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  const std::uint64_t count = NumberAt(rig.map.contents, kPlacementCountKey);
  rig.stores[2]->Stop();
  rig.Run(milliseconds(500));
  rig.stores[2]->Start();
  rig.Run(seconds(4));
  BOOST_TEST(NumberAt(rig.map.contents, kPlacementCountKey) == count);
}

BOOST_AUTO_TEST_CASE(a_store_whose_disk_was_wiped_is_replaced_at_once) {
  Rig rig(3, 1, 4);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  const std::string old_disk = rig.stores[0]->disk;
  rig.stores[0]->Stop();
  rig.stores[0]->disk = "drawn anew";
  rig.stores[0]->Start();
  BOOST_TEST(rig.RunUntil([&] { return !AnyNames(Rows(rig), old_disk); }, milliseconds(500)));
  for (const PartitionRow& row : Rows(rig)) BOOST_TEST(row.primary_disk != "drawn anew");
  BOOST_TEST(Settles(rig, 2, seconds(30)));
}

BOOST_AUTO_TEST_CASE(a_new_primary_loses_no_store_that_lives) {
  Rig rig(3, 1, 4);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  const auto before = Rows(rig);
  rig.cores[0]->Stop();
  rig.Run(seconds(2));
  rig.Elect(1);
  rig.Run(seconds(4));
  const auto after = Rows(rig);
  for (std::size_t partition = 0; partition < after.size(); ++partition) {
    BOOST_TEST(after[partition].epoch == before[partition].epoch);
  }
  // And one that went at the same time is found.
  rig.cores[0]->Start();
  rig.stores[3]->Stop();
  rig.Elect(2);
  BOOST_TEST(
      rig.RunUntil([&] { return IsBeingReplaced(rig, before, rig.stores[3]->disk); }, seconds(3)));
  BOOST_TEST(Settles(rig, 2, seconds(5)));
  BOOST_TEST(!AnyNames(Rows(rig), rig.stores[3]->disk));
}

BOOST_AUTO_TEST_CASE(a_primary_under_a_later_epoch_forgets_no_lease) {
  Rig rig(3, 2, 4);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  const auto before = Rows(rig);
  rig.stores[1]->Stop();
  for (int step = 0; step < 4; ++step) {
    rig.Run(milliseconds(300));
    rig.map.RaiseEpoch();
  }
  // Its lease ran on over all the changes.
  BOOST_TEST(rig.RunUntil([&] { return IsBeingReplaced(rig, before, rig.stores[1]->disk); },
                          milliseconds(800)));
  for (const auto& proxy : rig.proxies) {
    BOOST_TEST(proxy->agent().in_touch());
    BOOST_TEST(proxy->contacts.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_primary_that_stood_still_blames_nobody_for_it) {
  Rig rig(3, 1, 4);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  const std::uint64_t count = NumberAt(rig.map.contents, kPlacementCountKey);
  // One store is heard as soon as the primary goes on, the others a little later.
  const auto cut_others = [&](bool cut) {
    for (std::size_t index = 1; index < rig.stores.size(); ++index) {
      rig.net.SetCut(rig.cores[0]->host(), rig.stores[index]->host(), cut);
    }
  };
  cut_others(true);
  rig.cores[0]->process().SetPaused(true);
  rig.Run(milliseconds(1600));
  rig.cores[0]->process().SetPaused(false);
  rig.Run(milliseconds(300));
  cut_others(false);
  rig.Run(seconds(3));
  BOOST_TEST(NumberAt(rig.map.contents, kPlacementCountKey) == count);
}

BOOST_AUTO_TEST_CASE(reports_count_only_for_the_row_as_it_is) {
  Rig rig(3, 1, 3);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  const PartitionRow row = Rows(rig)[3];
  const auto report = [&](std::uint64_t epoch, const std::string& disk, BackupCondition condition) {
    std::optional<Result<void>> result;
    rig.stores[0]->agent().ReportBackup({3, epoch, disk, condition},
                                        [&](Result<void> told) { result = std::move(told); });
    rig.RunUntil([&] { return result.has_value(); }, seconds(1));
    return *result;
  };
  const std::string backup = row.backup_disks[0];
  BOOST_TEST((report(row.epoch - 1, backup, BackupCondition::kStalled).error().code ==
              ErrorCode::kConflict));
  BOOST_TEST((report(row.epoch, "stranger", BackupCondition::kStalled).error().code ==
              ErrorCode::kConflict));
  BOOST_TEST(Rows(rig)[3].epoch == row.epoch);
  BOOST_TEST(report(row.epoch, backup, BackupCondition::kComplete).has_value());
  BOOST_TEST(Rows(rig)[3].epoch == row.epoch);
  BOOST_TEST(report(row.epoch, backup, BackupCondition::kStalled).has_value());
  BOOST_TEST(Rows(rig)[3].epoch == row.epoch + 1);
  BOOST_TEST(Rows(rig)[3].primary_disk == row.primary_disk);
  // The stalled copy has everything: it stays until the joiner is whole, then it goes.
  BOOST_TEST(Names(Rows(rig)[3], backup));
  BOOST_REQUIRE_EQUAL(Rows(rig)[3].backup_disks.size(), 2U);
  BOOST_TEST(!Rows(rig)[3].complete[1]);
  // The row's primary reports on the row that it knows.
  const auto knows_the_row = [&] {
    return std::any_of(rig.stores.begin(), rig.stores.end(), [&](const auto& store) {
      const auto& placement = store->agent().view().placement;
      return store->disk == row.primary_disk && placement &&
             placement->rows[3].epoch == row.epoch + 1;
    });
  };
  BOOST_REQUIRE(rig.RunUntil(knows_the_row, milliseconds(100)));
  CompleteJoiners(rig);
  BOOST_TEST(rig.RunUntil([&] { return !Names(Rows(rig)[3], backup); }, seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_retiring_store_is_emptied_over_a_failover) {
  Rig rig(3, 1, 4);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  BOOST_TEST((StateOf(rig, "store-1")->error().code == ErrorCode::kNotFound));
  BOOST_TEST((Retire(rig, "store-77")->error().code == ErrorCode::kNotFound));
  BOOST_REQUIRE(Retire(rig, "store-1")->has_value());
  BOOST_TEST(Retire(rig, "store-1")->has_value());
  BOOST_TEST((StateOf(rig, "store-1")->value() == RetireState::kRunning));
  rig.Elect(2);
  BOOST_TEST(Settles(rig, 2, seconds(30)));
  BOOST_TEST(!AnyNames(Rows(rig), rig.stores[1]->disk));
  BOOST_TEST((StateOf(rig, "store-1")->value() == RetireState::kCompleted));
  BOOST_TEST(Retire(rig, "store-1")->has_value());
}

BOOST_AUTO_TEST_CASE(retirement_is_refused_where_too_few_would_be_left) {
  Rig rig(3, 1, 3);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  BOOST_REQUIRE(Retire(rig, "store-1")->has_value());
  BOOST_TEST((Retire(rig, "store-2")->error().code == ErrorCode::kConflict));
}

// What a caller is told of an order that was refused and could be accepted now.
std::uint64_t RefusalsToConfirm(const std::optional<Outcome>& outcome) {
  BOOST_REQUIRE(outcome && outcome->has_value());
  const auto* required = std::get_if<operator_api::ConfirmationRequired>(&outcome->value());
  BOOST_REQUIRE(required != nullptr);
  return required->refusals_seen;
}

// Guards against a copy of a refused retirement, held up by a process that stood still, which
// empties the store once enough others are there.
BOOST_AUTO_TEST_CASE(a_refused_retirement_is_not_executed_unless_it_is_confirmed) {
  Rig rig(3, 1, 4);
  for (auto& core : rig.cores) core->Start();
  for (std::size_t store = 0; store < 3; ++store) rig.stores[store]->Start();
  rig.Elect(0);
  rig.Run(seconds(3));
  BOOST_TEST((Retire(rig, "store-3")->error().code == ErrorCode::kNotFound));
  BOOST_REQUIRE(Retire(rig, "store-1")->has_value());
  BOOST_TEST((Retire(rig, "store-2")->error().code == ErrorCode::kConflict));
  rig.stores[3]->Start();
  rig.Run(seconds(3));
  // The copies that were held up.
  const std::uint64_t refusals = RefusalsToConfirm(SendRetirement(rig, "store-2"));
  BOOST_TEST((StateOf(rig, "store-2")->error().code == ErrorCode::kNotFound));
  rig.Elect(2);
  rig.Run(seconds(3));
  BOOST_TEST(RefusalsToConfirm(SendRetirement(rig, "store-2")) == refusals);
  BOOST_TEST(RefusalsToConfirm(SendRetirement(rig, "store-3")) < refusals);
  // Whoever still wants it.
  const auto confirmed = SendRetirement(rig, "store-2", refusals);
  BOOST_REQUIRE(confirmed->has_value());
  BOOST_TEST(std::holds_alternative<operator_api::Acknowledged>(confirmed->value()));
  BOOST_TEST((StateOf(rig, "store-2")->value() == RetireState::kRunning));
}

// 404 and 409 are refusals: a primary that has not had the time to hear of every store gives none.
BOOST_AUTO_TEST_CASE(a_new_primary_refuses_no_retirement_before_it_knows) {
  Rig rig(3, 1, 3);
  rig.Start();
  BOOST_REQUIRE(Settles(rig, 2, seconds(5)));
  BOOST_REQUIRE(Retire(rig, "store-1")->has_value());
  rig.Elect(2);
  BOOST_TEST((Retire(rig, "store-77")->error().code == ErrorCode::kUnavailable));
  BOOST_TEST((Retire(rig, "store-2")->error().code == ErrorCode::kUnavailable));
  BOOST_TEST(Retire(rig, "store-1")->has_value());
  rig.Run(seconds(3));
  BOOST_TEST((Retire(rig, "store-77")->error().code == ErrorCode::kNotFound));
  BOOST_TEST((Retire(rig, "store-2")->error().code == ErrorCode::kConflict));
  BOOST_TEST(Retire(rig, "store-1")->has_value());
}

BOOST_AUTO_TEST_CASE(a_configuration_is_read_back_as_it_was_sent) {
  Rig rig;
  rig.Start();
  std::optional<Result<std::string>> read;
  const auto read_back = [&] {
    read.reset();
    rig.Primary().service().ReadConfiguration(
        [&](const Result<std::string>& told) { read = told; });
    rig.RunUntil([&] { return read.has_value(); }, seconds(1));
    return *read;
  };
  BOOST_TEST((read_back().error().code == ErrorCode::kNotFound));
  BOOST_REQUIRE(rig.Put(4, 0));
  rig.Elect(1);
  BOOST_TEST(read_back().value() == RigConfiguration(4));
  BOOST_TEST((rig.Put(9, 3).error().code == ErrorCode::kConflict));
  BOOST_TEST(rig.Put(4, 0).has_value());
}

// A lease can lapse and be renewed without another primary in between: the epoch is the same.
BOOST_AUTO_TEST_CASE(a_lease_that_lapsed_for_a_moment_holds_up_no_part_of_the_view) {
  Rig rig(3, 2);
  const auto set_endpoints = [&](int round) {
    rig.platform.list = {{"i-" + std::to_string(round), "big", net::Address::V4(0x0a640001, 80),
                          "zone-0", 8, false, milliseconds(0)}};
  };
  const auto all_have = [&](int round) {
    return std::all_of(rig.proxies.begin(), rig.proxies.end(), [&](const auto& proxy) {
      const auto& endpoints = proxy->agent().view().endpoints;
      return endpoints && endpoints->entries[0].id == "i-" + std::to_string(round);
    });
  };
  int round = 0;
  set_endpoints(round);
  rig.Start();
  for (; round < 8; ++round) {
    set_endpoints(round);
    BOOST_REQUIRE(rig.RunUntil([&] { return all_have(round); }, seconds(3)));
  }
  MemoryReplicator* const primary = std::exchange(rig.map.primary, nullptr);
  primary->TellRole(false);
  rig.Run(milliseconds(300));
  rig.map.primary = primary;
  primary->TellRole(true);
  for (; round < 12; ++round) {
    set_endpoints(round);
    BOOST_TEST(rig.RunUntil([&] { return all_have(round); }, seconds(3)));
  }
  for (const auto& proxy : rig.proxies) BOOST_TEST(!proxy->stepped_back);
}

BOOST_AUTO_TEST_CASE(figures_tell_lists_that_were_published_and_that_were_not) {
  Rig rig(3, 2);
  rig.platform.list = {{"i-0", "big", net::Address::V4(0x0a640001, 80), "zone-0", 8, false, {}},
                       {"i-1", "big", net::Address::V4(0x0a640002, 80), "zone-0", 8, true, {}}};
  rig.Start();
  rig.Run(seconds(2));
  const CoreService& service = rig.Primary().service();
  const ClusterFigures before = service.figures();
  BOOST_TEST(before.leases.at("proxy") == 2U);
  BOOST_REQUIRE(before.published_list.has_value());
  BOOST_TEST(before.published_list->entries == 2U);
  BOOST_TEST(before.published_list->draining == 1U);
  BOOST_TEST(before.lists_published == 1U);
  BOOST_TEST(before.lists_not_published == 0U);
  BOOST_REQUIRE(before.list_age.has_value());
  BOOST_TEST((*before.list_age < seconds(2)));
  MemoryReplicator* const primary = std::exchange(rig.map.primary, nullptr);  // Its lease lapses.
  rig.platform.list.pop_back();
  rig.Run(seconds(2));
  const ClusterFigures after = service.figures();
  BOOST_TEST(after.leases.empty());
  BOOST_TEST(after.lists_published == 1U);
  BOOST_TEST(after.lists_not_published == 1U);
  BOOST_TEST(after.published_list->entries == 2U);
  rig.map.primary = primary;
}

BOOST_AUTO_TEST_CASE(a_process_that_is_not_the_primary_changes_nothing) {
  Rig rig;
  rig.Start();
  std::optional<Outcome> result;
  rig.cores[1]->service().ChangeConfiguration(
      {configuration::ChangeMethod::kPut, 0, RigConfiguration(1)},
      [&](Outcome told) { result = std::move(told); });
  BOOST_REQUIRE(rig.RunUntil([&] { return result.has_value(); }, seconds(1)));
  BOOST_TEST((result->error().code == ErrorCode::kUnavailable));
  BOOST_TEST(rig.map.contents.empty());
}

}  // namespace
}  // namespace shelflink::cluster
