#include <cstdio>
#include <vector>

#include "measure/loads.h"
#include "measure/tables.h"

namespace shelflink::measure {
namespace {

constexpr int kDepartures = 20;  // A run.
constexpr milliseconds kBetweenDepartures{730};
constexpr seconds kLoadBegins{3};  // Before the first one.
constexpr seconds kLongestWait{20};

struct Figures {
  Samples departures;
  Samples configurations;
  Samples ages;
  double changes = 0;  // A second.
};

void PlayOne(const Wanted& wanted, const Load& load, std::uint64_t seed, Figures& figures) {
  TierSize size;
  size.seed = seed;
  size.proxies = wanted.proxies;
  size.megabits_per_second = wanted.megabits_per_second;
  MeasuredTier tier(size);
  tier.Observe();
  tier.changer().Every(load.period, load.padding);
  const std::uint64_t before = tier.changer().acknowledged();
  const net::Time began = tier.now();
  tier.Run(kLoadBegins);
  for (int number = 0; number < kDepartures; ++number) {
    tier.LeaveOne();
    tier.Run(kBetweenDepartures);
  }
  const std::chrono::duration<double> span = tier.now() - began;
  figures.changes += static_cast<double>(tier.changer().acknowledged() - before) / span.count();
  tier.RunUntil([&] { return tier.departures_open() == 0; }, kLongestWait);
  for (std::size_t open = tier.departures_open(); open > 0; --open) {
    figures.departures.AddMissing();
  }
  figures.departures.AddAll(tier.departures);
  figures.configurations.AddAll(tier.configurations);
  figures.ages.AddAll(tier.ages);
}

void PrintRow(const Wanted& wanted, const Load& load) {
  Figures figures;
  for (std::uint64_t seed = 1; seed <= wanted.seeds; ++seed) PlayOne(wanted, load, seed, figures);
  std::printf("| %s | %.1f | %zu | %s | %s | %s | %zu | %s | %s | %s |\n", load.name,
              figures.changes / static_cast<double>(wanted.seeds), figures.departures.count(),
              figures.departures.Median().c_str(), figures.departures.Quantile(0.99).c_str(),
              figures.departures.Most().c_str(), figures.departures.missing(),
              figures.configurations.Median().c_str(), figures.configurations.Most().c_str(),
              figures.ages.Most().c_str());
  std::fflush(stdout);
}

}  // namespace

void PrintDepartures(const Wanted& wanted) {
  std::printf("%zu proxies, %.0f Mbit/s a machine, %d departures in each of %zu seeds; ms\n\n",
              wanted.proxies, wanted.megabits_per_second, kDepartures,
              static_cast<std::size_t>(wanted.seeds));
  std::printf(
      "| changes | taken a second | departures | median | p99 | most | never | "
      "configuration, median | most | age of a list, most |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const Load& load : kLoads) PrintRow(wanted, load);
  for (const Load& load : kMinuteLoads) PrintRow(wanted, load);
}

}  // namespace shelflink::measure
