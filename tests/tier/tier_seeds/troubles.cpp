#include "tier_seeds/troubles.h"

#include <algorithm>
#include <utility>

namespace shelflink::tier_seeds {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kTroubleStream = 7;
constexpr milliseconds kRestartTakes{300};
constexpr milliseconds kLooksAgain{100};
constexpr milliseconds kUsualSync{4};
constexpr double kStrikeShare = 0.15;        // Of all acknowledgements.
constexpr milliseconds kClosingWaits{2000};  // For an acknowledgement.
constexpr double kPrimaryLostShare =
    0.7;  // Of the losses that close a day: the primary's disk too.
// Of the days: disks are full one after the other, and little else befalls what counts.
constexpr double kDisksInTurnShare = 0.3;
constexpr double kCountedShareInTurn = 0.15;  // Of the usual troubles of what counts, on such days.
constexpr std::uint64_t kMostKeptOfFullDisk = 4;
constexpr double kAllDisksShare = 0.4;        // Of the troubles that befall all of the core.
constexpr double kAllDisksInTurnShare = 0.2;  // All core disks, in place of the next one alone.
constexpr double kCoreDiskShare = 2.0 / 3;    // Of the disks that are full in turn.
// While something goes on, its machine is lost for a time that nobody knows yet.
constexpr net::Time kUntilHealed = net::Time::max();

}  // namespace

Troubles::Troubles(net::VirtualNet& net, Journal& journal, ContactRecord& contact, TierParts parts,
                   const Deployment& deployment)
    : net_(net),
      journal_(journal),
      contact_(contact),
      parts_(parts),
      deployment_(deployment),
      random_(deployment.seed, kTroubleStream),
      replacements_(net, parts.platform, parts.cores, parts.stores, parts.proxies) {}

net::Span Troubles::Between(int least_ms, int most_ms) {
  return milliseconds(least_ms + static_cast<int>(random_.Below(
                                     static_cast<std::uint64_t>(most_ms - least_ms + 1))));
}

std::vector<Machine*> Troubles::Counted() {
  std::vector<Machine*> all;
  for (auto& core : parts_.cores) all.push_back(core.get());
  for (auto& store : parts_.stores) all.push_back(store.get());
  return all;
}

std::vector<Machine*> Troubles::AllMachines() {
  std::vector<Machine*> all = Counted();
  for (auto& proxy : parts_.proxies) all.push_back(proxy.get());
  return all;
}

void Troubles::Start(net::Time until) {
  parts_.endpoints.SetMischief(random_.Between(0, 0.12));
  parts_.operators.SetLosses(random_.Between(0, 0.25));
  until_ = until;
  if (deployment_.fills_all_disks) return FillEachThenAll();
  parts_.operators.on_acknowledged = [this] {
    if (closing_) return StrikeAll();
    if (net_.Now() < until_ && random_.Chance(kStrikeShare)) TroubleAtAcknowledgement();
  };
  disks_in_turn_ = random_.Chance(kDisksInTurnShare) && !deployment_.of_disks;
  if (disks_in_turn_) FillNextDisk();
  if (deployment_.of_disks) NextOfDisks();
  Next(until);
}

void Troubles::Next(net::Time until) {
  net_.At(net_.Now() + Between(20, 700), [this, until] {
    if (net_.Now() >= until) return;
    Draw();
    Next(until);
  });
}

void Troubles::Draw() {
  const double draw = random_.Unit();
  if (draw < 0.50) return TroubleCounted();
  if (draw < 0.53) return TroubleAll();
  if (draw < 0.72) return TroubleProxy();
  if (draw < 0.86) return TroubleEndpoint();
  if (draw < 0.90) return TroublePlatform();
  if (draw < 0.95) return TroubleOperator();
  TroubleNetwork();
}

bool Troubles::MayLose(const std::vector<const Machine*>& machines) const {
  std::set<const Machine*> lost;
  for (const auto& [machine, until] : lost_until_) {
    if (until > net_.Now()) lost.insert(machine);
  }
  for (const Machine* machine : machines) lost.insert(machine);
  return lost.size() <= deployment_.failures;
}

void Troubles::SetLost(const Machine& machine, net::Time until) {
  if (machine.settings().role != "proxy") lost_until_[&machine] = until;
}

void Troubles::TroubleCounted() {
  if (AwaitsQuiet()) return;
  const bool is_rare = disks_in_turn_ || deployment_.of_disks;
  if (is_rare && !random_.Chance(kCountedShareInTurn)) return;
  std::vector<Machine*> all = Counted();
  Machine* first = all[random_.Below(all.size())];
  if (troubled_.contains(first) || !MayLose({first})) return;
  TroubleOne(*first);
  if (!random_.Chance(0.4)) return;
  // Another at the same instant, where the tolerance bears it.
  Machine* second = all[random_.Below(all.size())];
  if (second != first && !troubled_.contains(second) && MayLose({second})) TroubleOne(*second);
}

void Troubles::TroubleOne(Machine& machine) {
  switch (random_.Below(18)) {
    case 0:
      return KillFor(machine, Between(50, 1500), "is killed", [&] { machine.Kill(); });
    case 1:
      return KillFor(machine, Between(100, 3000), "loses power",
                     [&] { machine.LosePower(KeptWrites(machine)); });
    case 2:
    case 3:
      return KillFor(machine, Between(100, 3000), "loses its disk", [&] { machine.Wipe(); });
    case 4:
      return FreezeFor(machine, Between(100, 5000));
    case 5:
      return CutOffFor(machine, Between(100, 6000));
    case 6:
      return CutFromSomeFor(machine, Between(200, 6000), false);
    case 7:
      return CutFromSomeFor(machine, Between(200, 6000), true);
    case 8:
      return Restart(machine);
    case 9:
    case 10:
      return StallDiskFor(machine, Between(100, 3000));
    case 11:
    case 12:
      return SlowDiskFor(machine, Between(500, 4000));
    case 13:
      return ResetFor(machine);
    default:
      return FillDiskFor(machine, Between(500, 6000));
  }
}

void Troubles::TroubleAtAcknowledgement() {
  if (random_.Chance(0.35)) return TroubleAll();
  std::vector<Machine*> primaries;
  for (auto& core : parts_.cores) {
    if (core->up() && core->is_primary()) primaries.push_back(core.get());
  }
  if (primaries.empty()) return;
  Machine* primary = primaries[random_.Below(primaries.size())];
  if (troubled_.contains(primary) || !MayLose({primary})) return;
  journal_.Count("trouble at an acknowledgement");
  switch (random_.Below(3)) {
    case 0:
      return KillFor(*primary, Between(100, 1500), "loses power", [&] { primary->LosePower(0); });
    case 1:
      return CutOffFor(*primary, Between(500, 5000));
    default:
      return KillFor(*primary, Between(100, 3000), "loses its disk", [&] { primary->Wipe(); });
  }
}

void Troubles::CloseWithLoss() {
  closing_ = true;
  net_.At(net_.Now() + kClosingWaits, [this] {
    if (closing_) StrikeAll();
  });
}

void Troubles::StrikeAll() {
  closing_ = false;
  std::vector<Machine*> counted = Counted();
  std::vector<Machine*> lost;
  for (auto& core : parts_.cores) {
    const bool leads = core->up() && core->is_primary();
    if (leads && random_.Chance(kPrimaryLostShare)) lost.push_back(core.get());
  }
  while (lost.size() < deployment_.failures) {
    Machine* machine = counted[random_.Below(counted.size())];
    if (std::find(lost.begin(), lost.end(), machine) == lost.end()) lost.push_back(machine);
  }
  journal_.Count("days that close with a loss");
  for (Machine* machine : AllMachines()) {
    const bool loses_disk = std::find(lost.begin(), lost.end(), machine) != lost.end();
    if (loses_disk) journal_.Count("disks lost while all others lose power");
    const net::Span span = Between(100, 1000);
    KillFor(
        *machine, span, loses_disk ? "loses its disk" : "loses power with all",
        [&] { loses_disk ? machine->Wipe() : machine->LosePower(KeptWrites(*machine)); },
        TroubleReach::kMostOfCore);
  }
}

std::size_t Troubles::KeptWrites(const Machine& machine) {
  return random_.Chance(0.5) ? 0 : random_.Below(machine.unsynced() + 1);
}

bool Troubles::IsAnyLost() const {
  return std::any_of(lost_until_.begin(), lost_until_.end(),
                     [&](const auto& entry) { return entry.second > net_.Now(); });
}

// Every core process is killed, or all that counts loses power, or all core disks are full, at the
// same instant. Nothing else is lost then.
void Troubles::TroubleAll() {
  if (IsAnyLost()) return;
  if (random_.Chance(kAllDisksShare)) return FillAllCoreDisks();
  const bool power = random_.Chance(0.4);
  std::vector<Machine*> all;
  if (power) {
    all = Counted();
  } else {
    for (auto& core : parts_.cores) all.push_back(core.get());
  }
  for (Machine* machine : all) {
    if (troubled_.contains(machine)) return;
  }
  journal_.Count(power ? "all lose power" : "all core processes are killed");
  for (Machine* machine : all) {
    const net::Span span = Between(100, 1000);
    if (power) {
      KillFor(
          *machine, span, "loses power with all", [&] { machine->LosePower(KeptWrites(*machine)); },
          TroubleReach::kMostOfCore);
    } else {
      KillFor(
          *machine, span, "is killed with all", [&] { machine->Kill(); },
          TroubleReach::kMostOfCore);
    }
  }
}

// They have room again one by one.
void Troubles::FillAllCoreDisks() {
  for (auto& core : parts_.cores) {
    if (troubled_.contains(core.get())) return;
  }
  journal_.Count("all core disks are full");
  for (auto& core : parts_.cores) FillDiskFor(*core, Between(500, 6000));
}

// One disk after the other, each as soon as the tolerance has room for it.
void Troubles::FillNextDisk() {
  net_.At(net_.Now() + Between(100, 600), [this] {
    if (net_.Now() >= until_) return;
    FillNextDisk();
    if (!IsAnyLost() && random_.Chance(kAllDisksInTurnShare)) return FillAllCoreDisks();
    Machine* machine = &OneOf(parts_.stores);
    if (random_.Chance(kCoreDiskShare)) machine = &OneOf(parts_.cores);
    if (!troubled_.contains(machine) && MayLose({machine})) {
      journal_.Count("disks that are full in turn");
      FillDiskFor(*machine, Between(500, 6000));
    }
  });
}

void Troubles::TroubleProxy() {
  ProxyMachine& proxy = OneOf(parts_.proxies);
  if (troubled_.contains(&proxy)) return;
  switch (random_.Below(7)) {
    case 0:
      return KillFor(proxy, Between(50, 1500), "is killed", [&] { proxy.Kill(); });
    case 1:
      return FreezeFor(proxy, Between(100, 4000));
    case 2:
      return CutOffFor(proxy, Between(100, 5000));
    case 3:
      return CutFromSomeFor(proxy, Between(200, 8000), false);
    case 4:
      return CutFromSomeFor(proxy, Between(200, 8000), true);
    case 5:
      return Restart(proxy);
    default:
      return ResetFor(proxy);
  }
}

void Troubles::TroubleEndpoint() {
  const std::size_t place = parts_.endpoints.AnyPlace(random_);
  switch (random_.Below(3)) {
    case 0:
      return parts_.endpoints.Crash(place);
    case 1:
      return parts_.endpoints.ResetConnections(place);
    default:
      return parts_.endpoints.Drain(place);
  }
}

void Troubles::TroublePlatform() {
  const bool down = random_.Chance(0.5);
  journal_.Note([&] { return down ? "the platform is down" : "the platform's answers get lost"; });
  if (down) {
    parts_.platform.SetUp(false);
  } else {
    parts_.platform.SetLostAnswers(0.5);
  }
  const std::uint64_t number = ++numbers_;
  heals_[number] = [this] {
    parts_.platform.SetUp(true);
    parts_.platform.SetLostAnswers(0);
  };
  net_.At(net_.Now() + Between(500, 4000), [this, number] { Heal(number); });
}

// One of the two is cut off from some of the core.
void Troubles::TroubleOperator() {
  const std::uint32_t host = kFirstOperator + static_cast<std::uint32_t>(random_.Below(2));
  std::vector<std::uint32_t> cut;
  for (auto& core : parts_.cores) {
    if (random_.Chance(0.6)) cut.push_back(core->host());
  }
  for (const std::uint32_t core : cut) net_.SetCut(host, core, true);
  const std::uint64_t number = ++numbers_;
  heals_[number] = [this, host, cut] {
    for (const std::uint32_t core : cut) net_.SetCut(host, core, false);
  };
  net_.At(net_.Now() + Between(300, 4000), [this, number] { Heal(number); });
}

void Troubles::TroubleNetwork() {
  net::Weather weather;
  weather.cut = random_.Between(0, 0.5);
  weather.late = random_.Between(0, 0.1);
  weather.late_by = Between(5, 60);
  net_.SetWeather(weather);
}

// ---- One machine ----

void Troubles::During(Machine& machine, net::Span span, const std::string& what, const Step& begin,
                      const Step& end, TroubleReach reach) {
  journal_.Note([&] { return machine.node() + " " + what; });
  journal_.Count("trouble: " + what);
  troubled_.insert(&machine);
  SetLost(machine, kUntilHealed);
  contact_.Begin(machine.host(), reach);
  begin();
  const std::uint64_t number = ++numbers_;
  heals_[number] = [this, &machine, what, end, reach] {
    journal_.Note([&] { return machine.node() + " no longer " + what; });
    end();
    contact_.End(machine.host(), reach);
    troubled_.erase(&machine);
    SetLost(machine, net_.Now() + deployment_.base.bounds.catch_up);
  };
  net_.At(net_.Now() + span, [this, number] { Heal(number); });
}

void Troubles::Heal(std::uint64_t number) {
  const auto found = heals_.find(number);
  if (found == heals_.end()) return;
  const Step step = std::move(found->second);
  heals_.erase(found);
  step();
}

void Troubles::HealAll() {
  while (!heals_.empty()) Heal(heals_.begin()->first);
  net_.SetWeather(net::Weather());
  parts_.endpoints.SetMischief(0);
  parts_.operators.SetLosses(0);
  for (Machine* machine : AllMachines()) {
    if (!machine->up()) machine->Start();
  }
}

TroubleReach Troubles::ReachOf(const Machine& machine) {
  return machine.settings().role == "proxy" ? TroubleReach::kMachine : TroubleReach::kCore;
}

void Troubles::During(Machine& machine, net::Span span, const std::string& what, const Step& begin,
                      const Step& end) {
  During(machine, span, what, begin, end, ReachOf(machine));
}

void Troubles::KillFor(Machine& machine, net::Span span, const std::string& how, const Step& kill,
                       TroubleReach reach) {
  During(
      machine, span, how, kill, [&machine] { machine.Start(); }, reach);
}

void Troubles::KillFor(Machine& machine, net::Span span, const std::string& how, const Step& kill) {
  KillFor(machine, span, how, kill, ReachOf(machine));
}

void Troubles::FreezeFor(Machine& machine, net::Span span) {
  During(
      machine, span, "is frozen", [&] { machine.SetFrozen(true); },
      [&machine] { machine.SetFrozen(false); });
}

void Troubles::CutOffFor(Machine& machine, net::Span span) {
  During(
      machine, span, "is cut off", [&] { net_.SetCutOff(machine.host(), true); },
      [this, &machine] { net_.SetCutOff(machine.host(), false); });
}

// From a subset of all others: of one kind, or of any.
void Troubles::CutFromSomeFor(Machine& machine, net::Span span, bool one_way) {
  std::vector<std::uint32_t> others;
  const bool inwards = random_.Chance(0.5);
  const std::uint64_t kind = random_.Below(4);
  for (Machine* other : AllMachines()) {
    const std::string& role = other->settings().role;
    const bool is_meant = kind == 3 || (kind == 0 && role == "core") ||
                          (kind == 1 && role == "store") || (kind == 2 && role == "proxy");
    if (other != &machine && is_meant && random_.Chance(0.7)) others.push_back(other->host());
  }
  const std::uint32_t host = machine.host();
  const auto set = [this, host, others, one_way, inwards](bool cut) {
    for (const std::uint32_t other : others) {
      if (!one_way) {
        net_.SetCut(host, other, cut);
      } else if (inwards) {
        net_.SetOneWayCut(other, host, cut);
      } else {
        net_.SetOneWayCut(host, other, cut);
      }
    }
  };
  const std::string what = std::string("is cut from some") + (one_way ? ", one way" : "");
  During(
      machine, span, what, [set] { set(true); }, [set] { set(false); });
}

void Troubles::ResetFor(Machine& machine) {
  During(
      machine, Between(1, 50), "has its connections reset",
      [&] {
        for (Machine* other : AllMachines()) net_.ResetBetween(machine.host(), other->host());
        for (std::uint32_t zone = 0; zone < deployment_.zones; ++zone) {
          net_.ResetBetween(machine.host(), kFirstClients + zone);
        }
      },
      [] {});
}

void Troubles::StallDiskFor(Machine& machine, net::Span span) {
  During(
      machine, span, "has a disk that stands still", [&] { machine.SetDiskStalled(true); },
      [&machine] { machine.SetDiskStalled(false); });
}

void Troubles::SlowDiskFor(Machine& machine, net::Span span) {
  During(
      machine, span, "has a slow disk", [&] { machine.SetSyncSpan(Between(30, 250)); },
      [&machine] { machine.SetSyncSpan(kUsualSync); });
}

// Its machine runs and is connected meanwhile, so the core counts as stable.
void Troubles::FillDiskFor(Machine& machine, net::Span span) {
  During(
      machine, span, "has a full disk",
      [&] { machine.FillDisk(random_.Below(kMostKeptOfFullDisk)); },
      [this, &machine] {
        if (machine.knows_disk_refuses()) {
          journal_.Count("full disks that were noticed by a " + machine.settings().role);
        }
        machine.EmptyDisk();
      },
      TroubleReach::kMachine);
}

// SIGTERM; another start once the process has ended.
void Troubles::Restart(Machine& machine) {
  if (!machine.up()) return;
  journal_.Note([&] { return machine.node() + " is told to end"; });
  journal_.Count("trouble: is told to end");
  troubled_.insert(&machine);
  SetLost(machine, kUntilHealed);
  contact_.Begin(machine.host(), ReachOf(machine));
  machine.Terminate();
  AwaitEnd(machine, machine.lives());
}

void Troubles::AwaitEnd(Machine& machine, std::uint64_t life) {
  net_.At(net_.Now() + kLooksAgain, [this, &machine, life] {
    if (machine.up() && machine.lives() == life) return AwaitEnd(machine, life);
    net_.At(net_.Now() + kRestartTakes, [this, &machine] {
      machine.Start();
      contact_.End(machine.host(), ReachOf(machine));
      troubled_.erase(&machine);
      SetLost(machine, net_.Now() + deployment_.base.bounds.catch_up);
    });
  });
}

}  // namespace shelflink::tier_seeds
