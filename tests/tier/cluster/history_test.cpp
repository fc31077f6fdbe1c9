// Random histories of the whole: core processes, stores and sidecars are killed, frozen, cut off,
// wiped and power-cycled within what the deployment bears, while an operator changes the
// configuration. One seed is one history. Afterwards and throughout:
// - no acknowledged configuration is lost, and none that was refused is in force;
// - no sidecar steps back, and every one that is in touch follows in time once things are calm;
// - an epoch of a row has one primary, which was complete before, and every row ends whole;
// - a window of use is reported with one set of counts; fences rise and belong to one holder.
#define BOOST_TEST_MODULE cluster_history
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "cluster/group_rig.h"
#include "tier/cluster/control_state.h"
#include "tier/cluster/placement.h"

namespace shelflink::cluster {
namespace {

class History {
 public:
  explicit History(std::uint64_t seed) : tier_(seed), random_(seed * 7919) {}

  void Play(int steps) {
    for (int step = 0; step < steps; ++step) {
      switch (Draw(7)) {
        case 0:
          TroubleCore();
          break;
        case 1:
          TroubleStore();
          break;
        case 2:
          TroubleProxy();
          break;
        default:
          Change();
          break;
      }
      Pass(milliseconds(100 + Draw(1400)));
    }
    HealAll();
    Calm();
  }

 private:
  std::size_t Draw(std::size_t below) { return random_() % below; }

  // Time in which stores copy and everything is watched.
  void Pass(net::Span span) {
    const net::Time end = tier_.net().Now() + span;
    while (tier_.net().Now() < end) {
      tier_.Run(milliseconds(50));
      CompleteJoiners();
      for (auto& store : tier_.stores()) {
        if (store->up() && store->agent().view().placement) Watch(*store->agent().view().placement);
      }
      HealDue();
    }
  }

  // One machine with a disk at a time, and the next only when this one has had its time to catch
  // up.
  bool MayLose() { return !losing_ && tier_.net().Now() >= healed_at_ + seconds(6) && RowsWhole(); }

  void HealDue() {
    const net::Time now = tier_.net().Now();
    for (std::size_t index = 0; index < heals_.size();) {
      if (heals_[index].first > now) {
        ++index;
        continue;
      }
      const auto step = std::move(heals_[index].second);
      heals_.erase(heals_.begin() + static_cast<std::ptrdiff_t>(index));
      step();
    }
  }

  void Heal(net::Span after, std::function<void()> step) {
    heals_.emplace_back(tier_.net().Now() + after, std::move(step));
  }
  // Of a machine with a disk.
  void HealCounted(net::Span after, const std::function<void()>& step) {
    losing_ = true;
    Heal(after, [this, step] {
      step();
      losing_ = false;
      healed_at_ = tier_.net().Now();
    });
  }

  // What ends the trouble.
  std::function<void()> Trouble(RigMachine& machine, const std::function<void()>& wipe) {
    switch (Draw(4)) {
      case 0:
        machine.Stop();
        return [&machine] { machine.Start(); };
      case 1:
        machine.process().SetPaused(true);
        return [&machine] { machine.process().SetPaused(false); };
      case 2:
        tier_.net().SetCutOff(machine.host(), true);
        return [this, &machine] { tier_.net().SetCutOff(machine.host(), false); };
      default:
        machine.Stop();
        wipe();
        return [&machine] { machine.Start(); };
    }
  }
  net::Span SomeSpan() { return milliseconds(100 + Draw(4000)); }

  void TroubleCore() {
    if (!MayLose()) return;
    if (Draw(4) == 0) {
      for (auto& core : tier_.cores) core->Stop();
      HealCounted(milliseconds(300 + Draw(600)), [this] {
        for (auto& core : tier_.cores) core->Start();
      });
      return;
    }
    GroupCore* core = Draw(2) == 0 ? tier_.Primary() : nullptr;
    if (core == nullptr) core = tier_.cores[Draw(tier_.cores.size())].get();
    HealCounted(SomeSpan(), Trouble(*core, [core] { core->Wipe(); }));
  }

  void TroubleStore() {
    if (!MayLose()) return;
    RigAgent& store = *tier_.stores()[Draw(tier_.stores().size())];
    HealCounted(SomeSpan(),
                Trouble(store, [this, &store] { store.disk += "+" + std::to_string(Draw(1000)); }));
  }

  void TroubleProxy() {
    const std::size_t index = Draw(tier_.proxies().size());
    if (!troubled_.insert(index).second) return;
    Heal(SomeSpan(), [this, index, end = Trouble(*tier_.proxies()[index], [] {})] {
      end();
      troubled_.erase(index);
    });
  }

  void HealAll() {
    while (!heals_.empty()) Pass(milliseconds(100));
  }

  // An order is sent once to whoever leads, and again if there was no clear answer.
  void Change() {
    const std::uint64_t base = acknowledged_;
    const std::uint64_t next = newest_sent_ + 1 + Draw(3);
    newest_sent_ = next;
    for (int attempt = 0; attempt < 40; ++attempt) {
      GroupCore* primary = tier_.Primary();
      if (primary == nullptr) {
        Pass(milliseconds(100));
        continue;
      }
      const auto outcome = std::make_shared<std::optional<Result<void>>>();
      primary->service().ChangeConfiguration(
          {configuration::ChangeMethod::kPut, base, RigConfiguration(next)},
          [outcome](const auto& told) { *outcome = operator_api::AcceptedAtOnce(told); });
      const net::Time give_up = tier_.net().Now() + milliseconds(800);
      while (!outcome->has_value() && tier_.net().Now() < give_up) Pass(milliseconds(50));
      if (!outcome->has_value()) continue;
      if ((*outcome)->has_value()) {
        acknowledged_ = next;
        return;
      }
      const ErrorCode code = (*outcome)->error().code;
      BOOST_REQUIRE_MESSAGE(
          code != ErrorCode::kConflict && code != ErrorCode::kInvalid,
          "version " << next << " on " << base << " was refused: " << (*outcome)->error().text);
    }
    BOOST_FAIL("no acknowledgement for version " << next);
  }

  void CompleteJoiners() {
    for (auto& store : tier_.stores()) {
      if (!store->up() || !store->agent().view().placement) continue;
      const auto placement = store->agent().view().placement;
      for (std::size_t partition = 0; partition < placement->rows.size(); ++partition) {
        const PartitionRow& row = placement->rows[partition];
        if (row.primary_disk != store->disk) continue;
        for (std::size_t index = 0; index < row.backups.size(); ++index) {
          if (row.complete[index] || !Reported(partition, row, index)) continue;
          store->agent().ReportBackup({static_cast<std::uint32_t>(partition), row.epoch,
                                       row.backup_disks[index], BackupCondition::kComplete},
                                      [](const Result<void>&) {});
        }
      }
    }
  }
  // Copying takes 150 ms, and a live store at the other end.
  bool Reported(std::size_t partition, const PartitionRow& row, std::size_t index) {
    const auto joiner = std::find_if(
        tier_.stores().begin(), tier_.stores().end(),
        [&](const auto& store) { return store->up() && store->disk == row.backup_disks[index]; });
    if (joiner == tier_.stores().end()) return false;
    const auto [entry, is_new] =
        joined_.insert({{partition, row.backup_disks[index]}, tier_.net().Now()});
    return tier_.net().Now() >= entry->second + milliseconds(150);
  }

  static bool IsComplete(const PartitionRow& row, const std::string& disk) {
    if (row.primary_disk == disk) return true;
    for (std::size_t index = 0; index < row.backup_disks.size(); ++index) {
      if (row.backup_disks[index] == disk) return row.complete[index];
    }
    return false;
  }

  void Watch(const Placement& placement) {
    if (placement.version <= watched_) return;
    watched_ = placement.version;
    for (std::size_t partition = 0; partition < placement.rows.size(); ++partition) {
      const PartitionRow& row = placement.rows[partition];
      const auto [entry, is_new] = rows_.insert({{partition, row.epoch}, row});
      BOOST_REQUIRE_EQUAL(entry->second.primary_disk, row.primary_disk);
      if (!is_new) continue;
      const auto before = rows_.find({partition, row.epoch - 1});
      if (before != rows_.end()) BOOST_REQUIRE(IsComplete(before->second, row.primary_disk));
    }
  }

  bool RowsWhole() {
    const auto& store = tier_.stores()[0];
    if (!store->up() || !store->agent().view().placement) return false;
    for (const PartitionRow& row : store->agent().view().placement->rows) {
      if (row.backups.size() != 1 || !row.complete[0]) return false;
    }
    return true;
  }

  void Calm() {
    Pass(seconds(12));
    BOOST_TEST(tier_.AllFollowOnePrimary());
    tier_.CheckAllFollow(acknowledged_);
    Change();
    tier_.CheckAllFollow(acknowledged_);
    BOOST_TEST(RowsWhole());
    CheckDuties();
  }

  void CheckDuties() {
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> windows;
    std::map<std::uint64_t, std::string> holders;
    for (const PlatformWorld::UsageCall& call : tier_.platform().usage) {
      BOOST_TEST((windows.insert({call.window, call.counts}).first->second == call.counts));
      BOOST_TEST(holders.insert({call.fence, call.holder}).first->second == call.holder);
    }
    BOOST_TEST(!windows.empty());
  }

  Tier tier_;
  std::mt19937_64 random_;
  std::vector<std::pair<net::Time, std::function<void()>>> heals_;
  std::set<std::size_t> troubled_;  // Proxies.
  bool losing_ = false;
  net::Time healed_at_{};
  std::uint64_t acknowledged_ = 0;
  std::uint64_t newest_sent_ = 0;
  Version watched_;
  std::map<std::pair<std::size_t, std::uint64_t>, PartitionRow> rows_;
  std::map<std::pair<std::size_t, std::string>, net::Time> joined_;
};

BOOST_AUTO_TEST_CASE(histories_within_tolerance_keep_every_promise) {
  constexpr std::uint64_t kSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      History history(seed);
      history.Play(100);
    }
  }
}

}  // namespace
}  // namespace shelflink::cluster
