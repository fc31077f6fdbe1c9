// Days of disks: each kind of trouble that a disk may have, and machines that are gone for good,
// one after the other and in overlap, as far as the tolerance has room for it.
#include <algorithm>
#include <utility>

#include "tier_seeds/troubles.h"

namespace shelflink::tier_seeds {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLooksAgain{100};
constexpr milliseconds kFullInTurn{2000};
constexpr milliseconds kFullAtOnce{3000};
constexpr net::Time kUntilHealed = net::Time::max();

}  // namespace

void Troubles::NextOfDisks() {
  net_.At(net_.Now() + Between(100, 500), [this] {
    if (net_.Now() >= until_) return;
    if (disk_troubles_.empty()) ShuffleDiskTroubles();
    if (Play(disk_troubles_.back())) {
      disk_troubles_.pop_back();
    } else if (!AwaitsQuiet()) {
      // Another kind may have its turn meanwhile.
      std::rotate(disk_troubles_.begin(), disk_troubles_.end() - 1, disk_troubles_.end());
    }
    NextOfDisks();
  });
}

bool Troubles::AwaitsQuiet() const {
  if (disk_troubles_.empty()) return false;
  const DiskTrouble next = disk_troubles_.back();
  return next == DiskTrouble::kAllCores || next == DiskTrouble::kAllStores;
}

void Troubles::ShuffleDiskTroubles() {
  for (int kind = 0; kind <= static_cast<int>(DiskTrouble::kRetireStore); ++kind) {
    const auto at = random_.Below(disk_troubles_.size() + 1);
    disk_troubles_.insert(disk_troubles_.begin() + static_cast<std::ptrdiff_t>(at),
                          static_cast<DiskTrouble>(kind));
  }
}

bool Troubles::Play(DiskTrouble trouble) {
  switch (trouble) {
    case DiskTrouble::kAllCores:
    case DiskTrouble::kAllStores:
      return PlayOnAll(trouble);
    case DiskTrouble::kReplaceCore:
    case DiskTrouble::kRetireCore:
      return PlayOnCore(trouble);
    case DiskTrouble::kReplaceStore:
    case DiskTrouble::kRetireStore:
      return PlayOnStore(trouble);
    case DiskTrouble::kFullCore:
    case DiskTrouble::kStallCore:
    case DiskTrouble::kSlowCore:
    case DiskTrouble::kWipeCore:
      return PlayOn(OneOf(parts_.cores), trouble);
    case DiskTrouble::kFullStore:
    case DiskTrouble::kStallStore:
    case DiskTrouble::kSlowStore:
    case DiskTrouble::kWipeStore:
      return PlayOn(OneOf(parts_.stores), trouble);
  }
  return true;
}

bool Troubles::MayTrouble(const Machine& machine) const {
  return !troubled_.contains(&machine) && MayLose({&machine});
}

bool Troubles::PlayOn(Machine& machine, DiskTrouble trouble) {
  if (!MayTrouble(machine)) return false;
  switch (trouble) {
    case DiskTrouble::kFullCore:
    case DiskTrouble::kFullStore:
      FillDiskFor(machine, Between(500, 4000));
      break;
    case DiskTrouble::kStallCore:
    case DiskTrouble::kStallStore:
      StallDiskFor(machine, Between(1000, 4000));
      break;
    case DiskTrouble::kSlowCore:
    case DiskTrouble::kSlowStore:
      SlowDiskFor(machine, Between(500, 3000));
      break;
    default:
      KillFor(machine, Between(100, 2000), "loses its disk", [&] { machine.Wipe(); });
      break;
  }
  return true;
}

bool Troubles::PlayOnAll(DiskTrouble trouble) {
  if (IsAnyLost()) return false;
  if (trouble == DiskTrouble::kAllCores) {
    FillAllCoreDisks();
  } else {
    FillAllStoreDisks();
  }
  return true;
}

bool Troubles::PlayOnCore(DiskTrouble trouble) {
  CoreMachine& core = OneOf(parts_.cores);
  if (!core.up() || !MayTrouble(core)) return false;
  if (trouble == DiskTrouble::kReplaceCore) {
    ReplaceCore(core);
  } else {
    RetireCore(core);
  }
  return true;
}

bool Troubles::PlayOnStore(DiskTrouble trouble) {
  StoreMachine& store = OneOf(parts_.stores);
  if (!store.up() || retiring_.contains(&store) || !MayTrouble(store)) return false;
  if (trouble == DiskTrouble::kReplaceStore) {
    ReplaceStore(store);
  } else {
    RetireStore(store);
  }
  return true;
}

void Troubles::FillAllStoreDisks() {
  for (auto& store : parts_.stores) {
    if (troubled_.contains(store.get())) return;
  }
  journal_.Count("all disks of stores are full");
  for (auto& store : parts_.stores) FillDiskFor(*store, Between(500, 6000));
}

// ---- For good.

void Troubles::ReplaceCore(CoreMachine& core) {
  journal_.Note([&] { return core.node() + " is gone for good"; });
  journal_.Count("trouble: a core machine is replaced by an empty one");
  contact_.Begin(core.host(), TroubleReach::kCore);
  StartSuccessor(core, replacements_.Replace(core));
}

void Troubles::ReplaceStore(StoreMachine& store) {
  journal_.Note([&] { return store.node() + " is gone for good"; });
  journal_.Count("trouble: a store is replaced by an empty one");
  contact_.Begin(store.host(), ReachOf(store));
  StartSuccessor(store, replacements_.Replace(store));
}

// The one that is gone counts as lost until its successor has had the time to catch up.
void Troubles::StartSuccessor(const Machine& gone, Machine& successor) {
  SetLost(gone, kUntilHealed);
  troubled_.insert(&successor);
  const std::uint64_t number = ++numbers_;
  heals_[number] = [this, &gone, &successor] {
    journal_.Note([&] { return successor.node() + " starts in place of " + gone.node(); });
    successor.Start();
    contact_.End(gone.host(), ReachOf(gone));
    troubled_.erase(&successor);
    SetLost(gone, net_.Now() + deployment_.base.bounds.catch_up);
  };
  net_.At(net_.Now() + Between(300, 2500), [this, number] { Heal(number); });
}

// SIGTERM; what is left once its process has ended is taken away, disk and all.
void Troubles::RetireCore(CoreMachine& core) {
  journal_.Note([&] { return core.node() + " is told to end for good"; });
  journal_.Count("trouble: a core machine is retired");
  troubled_.insert(&core);
  SetLost(core, kUntilHealed);
  contact_.Begin(core.host(), TroubleReach::kCore);
  core.Terminate();
  ReplaceOnceEnded(core, core.lives());
}

void Troubles::ReplaceOnceEnded(CoreMachine& core, std::uint64_t life) {
  net_.At(net_.Now() + kLooksAgain, [this, &core, life] {
    if (core.up() && core.lives() == life) return ReplaceOnceEnded(core, life);
    troubled_.erase(&core);
    if (!core.up()) return StartSuccessor(core, replacements_.Replace(core));
    // All trouble has ended meanwhile: it was started again.
    contact_.End(core.host(), ReachOf(core));
    SetLost(core, net_.Now() + deployment_.base.bounds.catch_up);
  });
}

// Another one is added first, so that enough are left.
void Troubles::RetireStore(StoreMachine& store) {
  journal_.Note([&] { return store.node() + " is to be retired"; });
  journal_.Count("trouble: a store is retired");
  retiring_.insert(&store);
  StoreMachine& added = replacements_.AddBeside(store);
  added.Start();
  SetLost(added, net_.Now() + deployment_.base.bounds.catch_up);
  parts_.operators.Retire(store.node(), [this, &store] { RemoveOnceCalm(store); });
}

// Nothing that goes on with it may start it again afterwards.
void Troubles::RemoveOnceCalm(StoreMachine& store) {
  if (troubled_.contains(&store)) {
    net_.At(net_.Now() + kLooksAgain, [this, &store] { RemoveOnceCalm(store); });
    return;
  }
  journal_.Note([&] { return store.node() + " is empty and taken away"; });
  journal_.Count("stores that were retired");
  SetLost(store, net_.Now());
  replacements_.Remove(store);
}

// ---- A day on which every disk is full.

void Troubles::FillEachThenAll() {
  net_.At(net_.Now() + kLooksAgain, [this] {
    if (net_.Now() >= until_) return;
    if (IsAnyLost() || FillNextOfAll()) FillEachThenAll();
  });
}

// False: there is none left.
bool Troubles::FillNextOfAll() {
  const auto fill = [this](auto& machines, std::size_t& filled, const char* all) {
    if (filled < machines.size()) {
      FillDiskFor(*machines[filled], kFullInTurn);
    } else {
      journal_.Count(all);
      for (auto& machine : machines) FillDiskFor(*machine, kFullAtOnce);
    }
    ++filled;
  };
  if (filled_cores_ <= parts_.cores.size()) {
    fill(parts_.cores, filled_cores_, "all core disks are full");
  } else if (filled_stores_ <= parts_.stores.size()) {
    fill(parts_.stores, filled_stores_, "all disks of stores are full");
  } else {
    return false;
  }
  return true;
}

}  // namespace shelflink::tier_seeds
