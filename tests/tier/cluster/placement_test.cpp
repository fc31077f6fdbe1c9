// Placement of partitions: what the rows promise, under random losses, wipes, stalls and
// retirement.
#define BOOST_TEST_MODULE placement
#include "tier/cluster/placement.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace shelflink::cluster {
namespace {

net::Address At(std::uint32_t host) { return net::Address::V4(0x0a000000 + host, 7002); }

StoreCandidate Store(std::uint32_t host, const std::string& zone) {
  const std::string name = "storage-" + std::to_string(host);
  return {name, zone, At(host), name + "-disk", true, false, 0};
}

std::vector<StoreCandidate> Stores(std::size_t count) {
  std::vector<StoreCandidate> stores;
  for (std::size_t index = 0; index < count; ++index) {
    stores.push_back(Store(static_cast<std::uint32_t>(index + 1), "zone-" + std::to_string(index)));
  }
  return stores;
}

bool IsComplete(const PartitionRow& row, const std::string& disk) {
  if (row.primary_disk == disk) return true;
  for (std::size_t index = 0; index < row.backup_disks.size(); ++index) {
    if (row.backup_disks[index] == disk) return row.complete[index];
  }
  return false;
}

void Apply(std::vector<PartitionRow>& rows, const std::vector<RowChange>& changes) {
  for (const RowChange& change : changes) rows[change.partition] = change.row;
}

// Plans until nothing is left to do, every joiner complete in between.
void Settle(std::vector<PartitionRow>& rows, const std::vector<StoreCandidate>& stores,
            const PlacementRules& rules) {
  for (int step = 0; step < 500; ++step) {
    const auto changes = NextChanges(rows, stores, {}, rules);
    Apply(rows, changes);
    bool joined = false;
    for (PartitionRow& row : rows) {
      for (std::size_t index = 0; index < row.complete.size(); ++index) {
        if (row.complete[index]) continue;
        row = WithComplete(row, row.backup_disks[index]);
        joined = true;
      }
    }
    if (changes.empty() && !joined) return;
  }
  BOOST_ERROR("the placement does not come to rest");
}

std::map<std::string, std::size_t> CopiesByDisk(const std::vector<PartitionRow>& rows) {
  std::map<std::string, std::size_t> copies;
  for (const PartitionRow& row : rows) {
    ++copies[row.primary_disk];
    for (const std::string& disk : row.backup_disks) ++copies[disk];
  }
  return copies;
}

std::map<std::string, std::size_t> PrimariesByDisk(const std::vector<PartitionRow>& rows) {
  std::map<std::string, std::size_t> primaries;
  for (const PartitionRow& row : rows) ++primaries[row.primary_disk];
  return primaries;
}

BOOST_AUTO_TEST_CASE(first_placement_is_even_complete_and_over_zones) {
  const auto stores = Stores(4);
  const auto rows = FirstPlacement(stores, {2, false, 4});
  BOOST_REQUIRE_EQUAL(rows.size(), kPartitions);
  for (const auto& [disk, copies] : CopiesByDisk(rows)) BOOST_TEST(copies == kPartitions * 2 / 4);
  for (const auto& [disk, primaries] : PrimariesByDisk(rows)) {
    BOOST_TEST(primaries >= 12U);
    BOOST_TEST(primaries <= 20U);
  }
  for (const PartitionRow& row : rows) {
    BOOST_TEST(row.epoch == 1U);
    BOOST_REQUIRE_EQUAL(row.backups.size(), 1U);
    BOOST_TEST(row.complete[0]);
    BOOST_TEST(row.primary_disk != row.backup_disks[0]);
  }
}

BOOST_AUTO_TEST_CASE(too_few_stores_make_no_placement) {
  BOOST_TEST(FirstPlacement(Stores(1), {2, false, 4}).empty());
  auto stores = Stores(2);
  stores[1].zone = stores[0].zone;
  BOOST_TEST(FirstPlacement(stores, {2, true, 4}).empty());
  BOOST_TEST(FirstPlacement(stores, {2, false, 4}).size() == kPartitions);
}

BOOST_AUTO_TEST_CASE(a_placement_at_rest_is_not_changed) {
  const auto stores = Stores(4);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  Settle(rows, stores, rules);
  BOOST_TEST(NextChanges(rows, stores, {}, rules).empty());
}

BOOST_AUTO_TEST_CASE(complete_backups_follow_a_lost_primary_at_once) {
  auto stores = Stores(4);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  const auto before = rows;
  stores[0].live = false;
  Apply(rows, NextChanges(rows, stores, {}, rules));
  for (std::size_t partition = 0; partition < rows.size(); ++partition) {
    const PartitionRow& row = rows[partition];
    BOOST_TEST(row.primary_disk != stores[0].disk);
    if (!Names(before[partition], stores[0].disk)) {
      BOOST_TEST(row.epoch == before[partition].epoch);
      continue;
    }
    BOOST_TEST(row.epoch > before[partition].epoch);
    BOOST_TEST(IsComplete(before[partition], row.primary_disk));
    // The lost one may return with all it had; a joiner is on its way to take its place.
    BOOST_TEST(IsComplete(row, stores[0].disk));
    BOOST_REQUIRE_EQUAL(row.backups.size(), 2U);
    BOOST_TEST(!row.complete[1]);
  }
  Settle(rows, stores, rules);
  for (const PartitionRow& row : rows) {
    BOOST_TEST(!Names(row, stores[0].disk));
    BOOST_TEST(row.backups.size() == 1U);
  }
}

std::size_t CompleteCopies(const PartitionRow& row) {
  return 1 + static_cast<std::size_t>(std::count(row.complete.begin(), row.complete.end(), true));
}

// A loss of power is no loss of a disk: of a partition's three copies two are switched off, and
// then the third loses its disk.
BOOST_AUTO_TEST_CASE(copies_that_lost_power_stay_named_until_others_are_whole) {
  auto stores = Stores(6);
  const PlacementRules rules{3, false, 8};
  auto rows = FirstPlacement(stores, rules);
  const PartitionRow first = rows[0];
  const auto store_of = [&](const std::string& disk) {
    return std::find_if(stores.begin(), stores.end(),
                        [&](const StoreCandidate& store) { return store.disk == disk; });
  };
  store_of(first.primary_disk)->live = false;
  store_of(first.backup_disks[0])->live = false;
  Apply(rows, NextChanges(rows, stores, {}, rules));
  BOOST_TEST(CompleteCopies(rows[0]) == 3U);
  BOOST_TEST(rows[0].primary_disk == first.backup_disks[1]);
  store_of(first.backup_disks[1])->disk = "drawn anew";
  for (const RowChange& change : NextChanges(rows, stores, {}, rules)) {
    BOOST_TEST(!change.data_lost);
  }
  store_of(first.primary_disk)->live = true;
  const auto changes = NextChanges(rows, stores, {}, rules);
  Apply(rows, changes);
  BOOST_TEST(rows[0].primary_disk == first.primary_disk);
}

// Found by reading: the words of a primary that is lost left its partition without any for 10 s.
BOOST_AUTO_TEST_CASE(a_backup_that_only_the_lost_primary_called_stalled_follows_it) {
  auto stores = Stores(4);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  const PartitionRow before = rows[5];
  for (StoreCandidate& store : stores) store.live = store.disk != before.primary_disk;
  Apply(rows, NextChanges(rows, stores, {{5, before.backup_disks[0]}}, rules));
  BOOST_TEST(rows[5].primary_disk == before.backup_disks[0]);
}

BOOST_AUTO_TEST_CASE(a_partition_waits_for_its_only_complete_copy) {
  auto stores = Stores(4);
  PartitionRow row{7,      stores[0].address, stores[0].disk, {stores[1].address}, {stores[1].disk},
                   {false}};
  stores[0].live = false;
  const auto changes = NextChanges({row}, stores, {}, PlacementRules());
  BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(a_primary_with_another_disk_is_beyond_the_tolerance_and_said_so) {
  auto stores = Stores(3);
  PartitionRow row{7,      stores[0].address, stores[0].disk, {stores[1].address}, {stores[1].disk},
                   {false}};
  stores[0].disk = "drawn anew";
  const auto changes = NextChanges({row}, stores, {}, PlacementRules());
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(changes[0].data_lost);
  BOOST_TEST(changes[0].row.epoch == 8U);
}

BOOST_AUTO_TEST_CASE(a_store_back_with_another_disk_is_a_newcomer) {
  auto stores = Stores(4);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  const std::string old_disk = stores[2].disk;
  stores[2].disk = "drawn anew";
  Apply(rows, NextChanges(rows, stores, {}, rules));
  for (const PartitionRow& row : rows) {
    BOOST_TEST(!Names(row, old_disk));
    BOOST_TEST(row.primary_disk != stores[2].disk);
    for (std::size_t index = 0; index < row.backups.size(); ++index) {
      if (row.backup_disks[index] == stores[2].disk) BOOST_TEST(!row.complete[index]);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_store_at_another_address_keeps_its_part) {
  auto stores = Stores(4);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  stores[1].address = At(77);
  Apply(rows, NextChanges(rows, stores, {}, rules));
  for (const PartitionRow& row : rows) {
    if (row.primary_disk == stores[1].disk) BOOST_TEST((row.primary == At(77)));
    if (row.backup_disks[0] == stores[1].disk) {
      BOOST_TEST((row.backups[0] == At(77)));
      BOOST_TEST(row.complete[0]);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_lost_backup_without_a_successor_stays_named) {
  auto stores = Stores(2);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  const auto before = rows;
  stores[1].live = false;
  Apply(rows, NextChanges(rows, stores, {}, rules));
  for (std::size_t partition = 0; partition < rows.size(); ++partition) {
    BOOST_TEST(rows[partition].primary_disk == stores[0].disk);
    if (before[partition].primary_disk != stores[0].disk) continue;
    BOOST_TEST(Names(rows[partition], stores[1].disk));
    BOOST_TEST(IsComplete(rows[partition], stores[1].disk));
  }
}

BOOST_AUTO_TEST_CASE(a_stalled_backup_is_replaced_by_another_store) {
  auto stores = Stores(4);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  const std::string stalled_disk = rows[5].backup_disks[0];
  const auto changes = NextChanges(rows, stores, {{5, stalled_disk}}, rules);
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(changes[0].partition == 5U);
  BOOST_TEST(changes[0].row.primary_disk == rows[5].primary_disk);
  // Not before the other is whole: the stalled one has everything.
  BOOST_TEST(IsComplete(changes[0].row, stalled_disk));
  BOOST_REQUIRE_EQUAL(changes[0].row.backups.size(), 2U);
  BOOST_TEST(!changes[0].row.complete[1]);
  rows[5] = WithComplete(changes[0].row, changes[0].row.backup_disks[1]);
  const auto dropped = NextChanges(rows, stores, {{5, stalled_disk}}, rules);
  BOOST_REQUIRE_EQUAL(dropped.size(), 1U);
  BOOST_TEST(!Names(dropped[0].row, stalled_disk));
  BOOST_TEST(dropped[0].row.backups.size() == 1U);
}

// With as many zones as copies the joiner must lie in the zone of the lost one, which stays named.
BOOST_AUTO_TEST_CASE(a_lost_copy_does_not_bar_its_zone) {
  auto stores = Stores(6);
  for (std::size_t index = 3; index < 6; ++index) stores[index].zone = stores[index - 3].zone;
  const PlacementRules rules{3, true, 8};
  auto rows = FirstPlacement(stores, rules);
  stores[0].live = false;
  Settle(rows, stores, rules);
  for (const PartitionRow& row : rows) {
    BOOST_TEST(!Names(row, stores[0].disk));
    BOOST_TEST(row.backups.size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(a_joiner_that_is_lost_makes_way_for_another) {
  auto stores = Stores(5);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  stores[0].live = false;
  Apply(rows, NextChanges(rows, stores, {}, rules));
  const auto joins = std::find_if(rows.begin(), rows.end(), [](const PartitionRow& row) {
    return std::count(row.complete.begin(), row.complete.end(), false) == 1;
  });
  const auto index = static_cast<std::size_t>(joins - rows.begin());
  const std::string joiner = joins->backup_disks.back();
  for (StoreCandidate& store : stores) {
    if (store.disk == joiner) store.live = false;
  }
  Apply(rows, NextChanges(rows, stores, {}, rules));
  BOOST_TEST(!Names(rows[index], joiner));
  BOOST_TEST(std::count(rows[index].complete.begin(), rows[index].complete.end(), false) == 1);
}

BOOST_AUTO_TEST_CASE(a_new_store_takes_its_share_few_at_a_time) {
  auto stores = Stores(3);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  stores.push_back(Store(9, "zone-9"));
  const auto changes = NextChanges(rows, stores, {}, rules);
  BOOST_TEST(changes.size() <= rules.most_moves);
  BOOST_TEST(!changes.empty());
  Settle(rows, stores, rules);
  auto copies = CopiesByDisk(rows);
  BOOST_TEST(copies[stores[3].disk] + 4 >= kPartitions * 2 / 4);
  auto primaries = PrimariesByDisk(rows);
  BOOST_TEST(primaries[stores[3].disk] + 4 >= kPartitions / 4);
}

// Found by the store's fault histories: the joiner of a move was taken for the surplus copy.
BOOST_AUTO_TEST_CASE(a_joiner_under_way_is_neither_dropped_nor_joined_by_more) {
  auto stores = Stores(3);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  stores.push_back(Store(9, "zone-9"));
  Apply(rows, NextChanges(rows, stores, {}, rules));
  BOOST_TEST(NextChanges(rows, stores, {}, rules).empty());
}

BOOST_AUTO_TEST_CASE(a_retiring_store_is_emptied_without_a_loss_of_copies) {
  auto stores = Stores(4);
  const PlacementRules rules;
  auto rows = FirstPlacement(stores, rules);
  stores[3].retiring = true;
  for (int step = 0; step < 200; ++step) {
    const auto changes = NextChanges(rows, stores, {}, rules);
    Apply(rows, changes);
    for (PartitionRow& row : rows) {
      std::size_t complete = 1;
      for (const bool is_complete : row.complete) complete += is_complete ? 1 : 0;
      BOOST_REQUIRE_GE(complete, 2U);
    }
    bool joined = false;
    for (PartitionRow& row : rows) {
      for (std::size_t index = 0; index < row.complete.size() && !joined; ++index) {
        if (row.complete[index]) continue;
        row = WithComplete(row, row.backup_disks[index]);
        joined = true;
      }
    }
    if (changes.empty() && !joined) break;
  }
  for (const PartitionRow& row : rows) {
    BOOST_TEST(!Names(row, stores[3].disk));
    BOOST_TEST(row.backups.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(retirement_needs_enough_others) {
  auto stores = Stores(3);
  const PlacementRules rules;
  BOOST_TEST(MayRetire(stores, stores[0].node, rules));
  stores[1].live = false;
  BOOST_TEST(!MayRetire(stores, stores[0].node, rules));
  stores[1].live = true;
  stores[1].retiring = true;
  BOOST_TEST(!MayRetire(stores, stores[0].node, rules));
}

// Stores that hold numbered writes: what the rows promise is checked against the data itself.
class World {
 public:
  World(std::uint64_t seed, std::size_t copies, std::size_t count)
      : random_(seed), rules_{copies, false, 8}, stores_(Stores(count)) {
    rows_ = FirstPlacement(stores_, rules_);
    rows_.resize(kRows);
    for (std::size_t partition = 0; partition < rows_.size(); ++partition) Witness(partition);
  }

  void Step() {
    WriteSomewhere();
    switch (Draw(9)) {
      case 0:
        LosePower();
        break;
      case 8:
        LoseDisks();
        break;
      case 1:
        Return();
        break;
      case 2:
      case 3:
      case 4:
        CompleteAJoiner();
        break;
      case 5:
        ReportStalled();
        break;
      case 6:
        AddStore();
        break;
      default:
        break;
    }
    Plan();
  }

  void Rest() {
    Return();
    stalled_.clear();
    Settle(rows_, stores_, rules_);
    for (const PartitionRow& row : rows_) {
      BOOST_REQUIRE_EQUAL(row.backups.size() + 1, rules_.copies);
      for (const bool complete : row.complete) BOOST_REQUIRE(complete);
    }
  }

 private:
  using Data = std::set<int>;
  static constexpr std::size_t kRows = 10;  // Fewer than a real placement has, for speed.

  std::size_t Draw(std::size_t below) { return random_() % below; }
  const StoreCandidate* Find(const std::string& disk) const {
    for (const StoreCandidate& store : stores_) {
      if (store.disk == disk) return &store;
    }
    return nullptr;
  }
  bool Live(const std::string& disk) const {
    const StoreCandidate* store = Find(disk);
    return store != nullptr && store->live;
  }

  // Acknowledged once every complete copy of the row has it, and they are enough.
  void WriteSomewhere() {
    const std::size_t partition = Draw(rows_.size());
    const PartitionRow& row = rows_[partition];
    if (!Live(row.primary_disk)) return;
    const int write = ++writes_;
    bool all = CompleteCopies(row) >= rules_.copies;
    data_[row.primary_disk][partition].insert(write);
    for (std::size_t index = 0; index < row.backup_disks.size(); ++index) {
      const std::string& disk = row.backup_disks[index];
      if (Live(disk)) {
        data_[disk][partition].insert(write);
      } else if (row.complete[index]) {
        all = false;
      }
    }
    if (all) acknowledged_[partition].insert(write);
  }

  // Any number of stores at a time, their disks stay.
  void LosePower() {
    for (StoreCandidate& store : stores_) {
      if (Draw(3) == 0) store.live = false;
    }
  }

  // As many disks as the deployment bears, at one instant, also while others are switched off; no
  // more before every row is whole again.
  void LoseDisks() {
    if (AllWhole()) disks_lost_ = 0;
    while (disks_lost_ + 1 < rules_.copies && Draw(3) > 0) {
      StoreCandidate& store = stores_[Draw(stores_.size())];
      data_.erase(store.disk);
      store.disk += "+";
      store.live = false;
      ++disks_lost_;
    }
  }

  bool AllWhole() const {
    return std::all_of(rows_.begin(), rows_.end(), [&](const PartitionRow& row) {
      std::size_t whole = 0;
      if (Find(row.primary_disk) != nullptr) ++whole;
      for (std::size_t index = 0; index < row.complete.size(); ++index) {
        if (row.complete[index] && Find(row.backup_disks[index]) != nullptr) ++whole;
      }
      return whole >= rules_.copies;
    });
  }

  void Return() {
    for (StoreCandidate& store : stores_) store.live = true;
  }

  void CompleteAJoiner() {
    for (std::size_t tries = 0; tries < 8; ++tries) {
      const std::size_t partition = Draw(rows_.size());
      PartitionRow& row = rows_[partition];
      if (!Live(row.primary_disk)) continue;
      for (std::size_t index = 0; index < row.complete.size(); ++index) {
        const std::string disk = row.backup_disks[index];
        if (row.complete[index] || !Live(disk)) continue;
        data_[disk][partition] = data_[row.primary_disk][partition];
        row = WithComplete(row, disk);
      }
    }
  }

  void ReportStalled() {
    stalled_.clear();
    const std::size_t partition = Draw(rows_.size());
    const auto& backups = rows_[partition].backup_disks;
    if (!backups.empty()) stalled_.insert({partition, backups[Draw(backups.size())]});
  }

  void AddStore() {
    if (stores_.size() >= 7) return;
    const auto host = static_cast<std::uint32_t>(stores_.size() + 1);
    stores_.push_back(Store(host, "zone-" + std::to_string(host % 4)));
  }

  void Plan() {
    for (const RowChange& change : NextChanges(rows_, stores_, stalled_, rules_)) {
      BOOST_REQUIRE(!change.data_lost);
      BOOST_REQUIRE_GT(change.row.epoch, rows_[change.partition].epoch);
      BOOST_REQUIRE(IsComplete(rows_[change.partition], change.row.primary_disk));
      rows_[change.partition] = change.row;
      Witness(change.partition);
    }
  }

  // One epoch has one primary, and it has all that was acknowledged.
  void Witness(std::size_t partition) {
    const PartitionRow& row = rows_[partition];
    const auto [entry, is_new] = primaries_.insert({{partition, row.epoch}, row.primary_disk});
    BOOST_REQUIRE_EQUAL(entry->second, row.primary_disk);
    const Data& held = data_[row.primary_disk][partition];
    const Data& acknowledged = acknowledged_[partition];
    BOOST_REQUIRE(
        std::includes(held.begin(), held.end(), acknowledged.begin(), acknowledged.end()));
  }

  std::mt19937_64 random_;
  PlacementRules rules_;
  std::vector<StoreCandidate> stores_;
  std::vector<PartitionRow> rows_;
  Stalled stalled_;
  std::map<std::string, std::map<std::size_t, Data>> data_;
  std::map<std::size_t, Data> acknowledged_;
  std::map<std::pair<std::size_t, std::uint64_t>, std::string> primaries_;
  int writes_ = 0;
  std::size_t disks_lost_ = 0;  // Since all rows were whole.
};

BOOST_AUTO_TEST_CASE(random_losses_cost_nothing_acknowledged_and_come_to_rest) {
  constexpr std::uint64_t kSeeds = 2000;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const std::size_t copies = 2 + seed % 2;
      World world(seed, copies, copies + 1 + seed / 2 % 2);
      for (int step = 0; step < 40; ++step) world.Step();
      world.Rest();
    }
  }
}

}  // namespace
}  // namespace shelflink::cluster
