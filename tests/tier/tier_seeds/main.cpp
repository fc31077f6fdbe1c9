// tier_seeds: plays days of whole tiers, one a seed, and prints what it found. Exit codes: 0
// nothing found, 1 something found, 2 usage; with --until-found 0 something found, 1 nothing.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "tier/foundation/log.h"
#include "tier_seeds/day.h"
#include "tier_seeds/repair_scene.h"

namespace {

using shelflink::tier_seeds::DayResult;

constexpr int kUsage = 2;

struct Wanted {
  std::uint64_t from = 1;
  std::uint64_t count = 1;
  std::uint64_t seed = 0;  // Above 0: this one alone.
  double length_s = 0;     // Above 0: how long there is trouble.
  bool fills_all_disks = false;
  bool closes_with_loss = false;
  bool trace = false;
  bool counts = false;
  bool until_found = false;
  std::uint64_t loss_bytes = 0;  // With `losses`: of bodies in each partition.
  double returns_s = -1;         // Of the lost store; below 0: it stays away.
  bool losses = false;
  std::size_t core_machines = 0;  // With `losses`, above 0: one of so many core machines is lost.
};

void Print(const DayResult& day, bool always) {
  if (!always && day.findings.empty()) return;
  std::cout << TextOf(day.deployment) << ", " << day.events << " events, hash " << std::hex
            << day.hash << std::dec << ": " << day.findings.size() << " findings\n";
  for (const auto& finding : day.findings) std::cout << "  " << TextOf(finding) << '\n';
  std::cout.flush();
}

DayResult PlayOne(const Wanted& wanted, std::uint64_t seed) {
  shelflink::tier_seeds::DayOptions options;
  options.trace = wanted.trace;
  options.fills_all_disks = wanted.fills_all_disks;
  options.closes_with_loss = wanted.closes_with_loss;
  if (wanted.length_s > 0) {
    options.length =
        std::chrono::duration_cast<net::Span>(std::chrono::duration<double>(wanted.length_s));
  }
  return shelflink::tier_seeds::PlayDay(seed, options);
}

// For a program with a fault compiled in: succeeds with the first seed that finds it.
int PlayUntilFound(const Wanted& wanted) {
  for (std::uint64_t seed = wanted.from; seed < wanted.from + wanted.count; ++seed) {
    const DayResult day = PlayOne(wanted, seed);
    if (day.findings.empty()) continue;
    Print(day, true);
    return EXIT_SUCCESS;
  }
  std::cout << "nothing found by seeds " << wanted.from << " to " << wanted.from + wanted.count - 1
            << '\n';
  return EXIT_FAILURE;
}

int Play(const Wanted& wanted) {
  const std::uint64_t first = wanted.seed > 0 ? wanted.seed : wanted.from;
  const std::uint64_t count = wanted.seed > 0 ? 1 : wanted.count;
  std::map<std::string, std::uint64_t> counts;
  std::uint64_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const DayResult day = PlayOne(wanted, seed);
    if (!day.findings.empty()) ++broken;
    Print(day, count == 1);
    for (const auto& [what, times] : day.counts) counts[what] += times;
  }
  if (wanted.counts) {
    for (const auto& [what, times] : counts) std::cout << "  " << times << " x " << what << '\n';
  }
  std::cout << "seeds " << first << " to " << first + count - 1 << ": " << count << " played, "
            << broken << " with findings\n";
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

double MillisOf(net::Span span) { return std::chrono::duration<double, std::milli>(span).count(); }

void PlayCoreLosses(const Wanted& wanted, shelflink::tier_seeds::RepairPlan plan) {
  plan.cores = wanted.core_machines;
  const auto outcome = shelflink::tier_seeds::PlayCoreLoss(plan);
  const shelflink::cluster::LossHistory& control = outcome.after.control;
  std::cout << "seed " << plan.seed << ": " << control.begun << " losses of redundancy, "
            << control.ended << " ended, " << control.handed_on << " handed on, known after "
            << MillisOf(outcome.known_after) << " ms, whole after " << MillisOf(outcome.whole_after)
            << " ms; without redundancy worst " << MillisOf(control.worst) << " ms; "
            << control.bytes_copied << " bytes copied\n";
  std::cout.flush();
}

// One line a seed, and the medians and worst as the primary tells them.
int PlayLosses(const Wanted& wanted) {
  for (std::uint64_t seed = wanted.from; seed < wanted.from + wanted.count; ++seed) {
    shelflink::tier_seeds::RepairPlan plan;
    plan.seed = seed;
    plan.bytes_each = wanted.loss_bytes;
    if (wanted.returns_s >= 0) {
      plan.returns_after =
          std::chrono::duration_cast<net::Span>(std::chrono::duration<double>(wanted.returns_s));
    }
    if (wanted.core_machines > 0) {
      PlayCoreLosses(wanted, plan);
      continue;
    }
    const auto outcome = shelflink::tier_seeds::PlayStoreLoss(plan);
    const shelflink::cluster::LossHistory& batch = outcome.after.batch;
    std::cout << "seed " << seed << ": " << outcome.rows_of_lost << " partitions, known after "
              << MillisOf(outcome.known_after) << " ms, first bytes "
              << MillisOf(outcome.copies_after) << " ms later, whole after "
              << MillisOf(outcome.whole_after) << " ms; without redundancy median "
              << MillisOf(batch.median) << " ms, worst " << MillisOf(batch.worst) << " ms; "
              << batch.bytes_copied << " bytes copied\n";
    std::cout.flush();
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  Wanted wanted;
  CLI::App app("Plays days of whole tiers on the virtual clock and network, one a seed");
  app.add_option("--from", wanted.from, "First seed");
  app.add_option("--count", wanted.count, "How many seeds");
  app.add_option("--seed", wanted.seed, "Only this seed");
  app.add_option("--length", wanted.length_s,
                 "Seconds of trouble, with changes several a second; default: drawn from the seed");
  app.add_flag("--fill-all-disks", wanted.fills_all_disks,
               "Only this: each core disk full, then all at once, then the same of the stores");
  app.add_flag("--close-with-loss", wanted.closes_with_loss,
               "at the end disks are lost while all other machines lose power");
  app.add_flag("--trace", wanted.trace, "Print what happens");
  app.add_flag("--counts", wanted.counts, "Print what was played, and how often");
  app.add_flag("--losses", wanted.losses,
               "In place of days: a quiet tier that loses one store, and how long copies lack");
  app.add_option("--loss-bytes", wanted.loss_bytes, "Of bodies in each partition, with --losses");
  app.add_option("--returns", wanted.returns_s,
                 "Seconds until the lost store returns with an empty disk, with --losses; default: "
                 "it stays away");
  app.add_option("--core-machines", wanted.core_machines,
                 "With --losses: one of so many core machines is lost instead, --loss-bytes are of "
                 "the control state");
  app.add_flag("--until-found", wanted.until_found, "Succeed once something is found");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kUsage;
  }
  if (wanted.trace) shelflink::log::Start("tier", shelflink::log::Level::kInfo);
  if (wanted.losses) return PlayLosses(wanted);
  return wanted.until_found ? PlayUntilFound(wanted) : Play(wanted);
}
