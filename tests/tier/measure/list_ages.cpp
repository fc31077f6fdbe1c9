#include <cstdio>
#include <functional>
#include <utility>
#include <vector>

#include "measure/loads.h"
#include "measure/tables.h"

namespace shelflink::measure {
namespace {

constexpr seconds kCoreTrouble{4};
constexpr seconds kShortTrouble{1};
constexpr milliseconds kSlowerEachWay{300};
constexpr seconds kAfterwards{5};
constexpr seconds kLoadBegins{2};

struct Trouble {
  const char* name;
  std::function<void(MeasuredTier& tier)> play;
};

void KillLeader(MeasuredTier& tier) {
  tier_seeds::CoreMachine* const leader = tier.Primary();
  if (leader == nullptr) return;
  leader->Kill();
  tier.Run(kCoreTrouble);
  leader->Start();
}

void FillLeader(MeasuredTier& tier) {
  tier_seeds::CoreMachine* const leader = tier.Primary();
  if (leader == nullptr) return;
  leader->FillDisk(0);
  tier.Run(kCoreTrouble);
  leader->EmptyDisk();
}

// The first proxy of its zone.
void CutRelayParent(MeasuredTier& tier) {
  const std::uint32_t host = tier.proxies[0]->host();
  tier.SetHeeded(0, false);
  tier.net().SetCutOff(host, true);
  tier.Run(kCoreTrouble);
  tier.net().SetCutOff(host, false);
}

void StopPlatform(MeasuredTier& tier) {
  tier.platform().SetUp(false);
  tier.Run(kShortTrouble);
  tier.platform().SetUp(true);
}

void SlowPlatform(MeasuredTier& tier) {
  tier.platform().SetSlower(kSlowerEachWay);
  tier.Run(kShortTrouble);
  tier.platform().SetSlower(net::Span());
}

// Counted from its thaw on.
void PauseProxy(MeasuredTier& tier) {
  tier.SetHeeded(1, false);
  tier.proxies[1]->SetFrozen(true);
  tier.Run(kShortTrouble);
  tier.proxies[1]->SetFrozen(false);
  tier.SetHeeded(1, true);
}

const std::vector<Trouble>& Troubles() {
  static const std::vector<Trouble> all{
      {"none", [](MeasuredTier& tier) { tier.Run(kCoreTrouble); }},
      {"primary killed, started after 4 s", KillLeader},
      {"the primary's disk full for 4 s", FillLeader},
      {"a relay parent cut off for 4 s", CutRelayParent},
      {"platform down for 1 s", StopPlatform},
      {"platform answers 0.6 s later for 1 s", SlowPlatform},
      {"a proxy stands still for 1 s", PauseProxy},
  };
  return all;
}

void PlayOne(const Wanted& wanted, const Load& load, const Trouble& trouble, std::uint64_t seed,
             Samples& ages) {
  TierSize size;
  size.seed = seed;
  size.proxies = wanted.proxies;
  size.megabits_per_second = wanted.megabits_per_second;
  MeasuredTier tier(size);
  tier.changer().Every(load.period, load.padding);
  tier.Run(kLoadBegins);
  tier.Observe();
  trouble.play(tier);
  tier.Run(kAfterwards);
  ages.AddAll(tier.ages);
}

}  // namespace

void PrintListAges(const Wanted& wanted) {
  std::printf("%zu proxies, %.0f Mbit/s a machine, %zu seeds; p50 / p99 / most, ms\n\n",
              wanted.proxies, wanted.megabits_per_second, static_cast<std::size_t>(wanted.seeds));
  std::printf("| trouble |");
  for (const Load& load : kLoads) std::printf(" %s |", load.name);
  std::printf("\n| --- |");
  for (std::size_t column = 0; column < kLoads.size(); ++column) std::printf(" --- |");
  std::printf("\n");
  for (const Trouble& trouble : Troubles()) {
    std::printf("| %s |", trouble.name);
    for (const Load& load : kLoads) {
      Samples ages;
      for (std::uint64_t seed = 1; seed <= wanted.seeds; ++seed) {
        PlayOne(wanted, load, trouble, seed, ages);
      }
      std::printf(" %s / %s / %s |", ages.Median().c_str(), ages.Quantile(0.99).c_str(),
                  ages.Most().c_str());
      std::fflush(stdout);
    }
    std::printf("\n");
  }
}

}  // namespace shelflink::measure
