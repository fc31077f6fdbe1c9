#include "lab/seeds.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "lab/plan.h"
#include "seeds/run.h"
#include "seeds/size.h"

namespace shelflab {
namespace {

using seeds::kMoments;
using seeds::Moment;
using seeds::RunResult;
using seeds::Script;

constexpr std::size_t kMostLines = 100;  // Of failures that are told one by one.

std::string FileText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw BadPlan(path + ": cannot be read");
  return text.str();
}

Script ScriptFor(const SeedsOptions& options, std::uint64_t seed) {
  if (!options.shape.empty()) {
    const auto shape = seeds::ShapeOf(options.shape);
    if (!shape)
      throw BadPlan("--shape " + options.shape + ": expected release, zone, join, herd or forget");
    return seeds::AtSize(*shape, seed, {options.sidecars, {options.nodes, options.nodes}});
  }
  if (options.script.empty()) return seeds::Draw(seed);
  try {
    return seeds::ParseScript(FileText(options.script), options.script);
  } catch (const seeds::BadScript& e) {
    throw BadPlan(e.what());
  }
}

// What many runs came to.
struct Tally {
  std::uint64_t runs = 0, failed = 0, events = 0, requests = 0, attempts = 0;
  double simulated = 0;
  std::array<std::uint64_t, kMoments> seeds_with{};
  std::array<std::uint64_t, kMoments> times{};
  std::map<std::string, std::uint64_t> rules;  // Seeds that broke it.
  std::vector<std::uint64_t> failing;

  void Add(std::uint64_t seed, const RunResult& r) {
    ++runs;
    events += r.events;
    requests += r.requests;
    attempts += r.attempts;
    simulated += static_cast<double>(r.simulated) / 1e6;
    for (std::size_t m = 0; m < kMoments; ++m) {
      seeds_with[m] += r.moments[m] > 0 ? 1 : 0;
      times[m] += r.moments[m];
    }
    std::set<std::string> broken;
    for (const auto& f : r.findings) broken.insert(f.rule);
    for (const auto& rule : broken) ++rules[rule];
    if (broken.empty()) return;
    ++failed;
    failing.push_back(seed);
  }
};

void PrintFailure(std::uint64_t seed, const RunResult& r) {
  const auto& f = r.findings.front();
  std::cout << fmt::format("seed {}: {} at {:.3f} s: {} ({} findings, hash {:016x})\n", seed,
                           f.rule, static_cast<double>(f.at) / 1e6, f.text, r.findings.size(),
                           r.hash)
            << std::flush;
}

void PrintTally(const Tally& t, double seconds, unsigned jobs) {
  std::cout << fmt::format(
      "{} seeds, {} failed; {:.0f} simulated seconds in {:.1f} s on {} jobs: {:.0f} a second\n"
      "{} events, {} requests, {} attempts\n",
      t.runs, t.failed, t.simulated, seconds, jobs, t.simulated / seconds, t.events, t.requests,
      t.attempts);
  std::cout << fmt::format("{:<28}{:>10}{:>12}\n", "coincidence", "of seeds", "times");
  for (std::size_t m = 0; m < kMoments; ++m) {
    std::cout << fmt::format(
        "{:<28}{:>9.1f}%{:>12}\n", seeds::WordOf(static_cast<Moment>(m)),
        100.0 * static_cast<double>(t.seeds_with[m]) / static_cast<double>(t.runs), t.times[m]);
  }
  for (const auto& [rule, count] : t.rules) {
    std::cout << fmt::format("broken: {} in {} seeds\n", rule, count);
  }
}

nlohmann::json JsonOf(const Tally& t, double seconds, unsigned jobs) {
  nlohmann::json moments;
  for (std::size_t m = 0; m < kMoments; ++m) {
    moments[seeds::WordOf(static_cast<Moment>(m))] = {{"seeds", t.seeds_with[m]},
                                                      {"times", t.times[m]}};
  }
  return {{"seeds", t.runs},         {"failed", t.failed},     {"failing", t.failing},
          {"seconds", seconds},      {"jobs", jobs},           {"simulated_seconds", t.simulated},
          {"events", t.events},      {"requests", t.requests}, {"attempts", t.attempts},
          {"coincidences", moments}, {"broken", t.rules}};
}

int PlayMany(const SeedsOptions& options) {
  const unsigned jobs =
      options.jobs != 0 ? options.jobs : std::max(1U, std::thread::hardware_concurrency());
  std::atomic<std::uint64_t> next = options.from;
  const std::uint64_t end = options.from + options.count;
  std::mutex mutex;
  Tally tally;
  const bool progress = !options.quiet && ::isatty(STDERR_FILENO) != 0;
  const auto begin = std::chrono::steady_clock::now();
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed < end; seed = next++) {
      const RunResult r = seeds::Play(seeds::Draw(seed));
      const std::lock_guard lock(mutex);
      tally.Add(seed, r);
      if (!r.findings.empty() && tally.failed <= kMostLines) PrintFailure(seed, r);
      if (progress) {
        std::cerr << fmt::format("\r{} of {} seeds, {} failed ", tally.runs, options.count,
                                 tally.failed);
      }
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 1; i < jobs; ++i) threads.emplace_back(work);
  work();
  for (std::thread& thread : threads) thread.join();
  if (progress) std::cerr << '\n';
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  PrintTally(tally, took.count(), jobs);
  if (!options.out.empty()) {
    std::ofstream file(options.out);
    file << JsonOf(tally, took.count(), jobs).dump(2) << '\n';
    file.close();
    if (!file) throw std::runtime_error(options.out + ": cannot be written");
  }
  return tally.failed == 0 ? 0 : 1;
}

void PrintResult(const RunResult& r) {
  for (const auto& f : r.findings) {
    std::cout << fmt::format("broken: {} at {:.6f} s: {}\n", f.rule,
                             static_cast<double>(f.at) / 1e6, f.text);
  }
  std::cout << fmt::format(
      "{} events, {} requests, {} attempts; {:.1f} % served, {:.1f} % after the faults\n"
      "hash {:016x}\n",
      r.events, r.requests, r.attempts, 100 * r.served, 100 * r.served_after, r.hash);
}

void PrintReturns(const RunResult& r) {
  if (r.returns.empty()) return;
  std::vector<Micros> ready;
  std::uint64_t calls = 0;
  for (const seeds::Return& back : r.returns) {
    calls += back.list_calls;
    if (back.ready) ready.push_back(*back.ready - back.started);
  }
  std::sort(ready.begin(), ready.end());
  std::cout << fmt::format(
      "{} started again, {} of them ready; {} list calls in 10 s: {:.2f} each\n", r.returns.size(),
      ready.size(), calls, static_cast<double>(calls) / static_cast<double>(r.returns.size()));
  if (ready.empty()) return;
  std::cout << fmt::format("ready after {:.2f} s (median), {:.2f} s (last)\n",
                           static_cast<double>(ready[ready.size() / 2]) / 1e6,
                           static_cast<double>(ready.back()) / 1e6);
}

void PrintSeconds(const RunResult& r) {
  constexpr const char* kRow = "{:>6}{:>10}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>8}{:>9}\n";
  std::cout << fmt::format(kRow, "second", "connects", "lists", "sends", "young", "errors", "full",
                           "served", "refused", "failed", "retries");
  for (std::size_t i = 0; i < r.seconds.size(); ++i) {
    const seeds::Second& s = r.seconds[i];
    std::cout << fmt::format(kRow, i, s.connects, s.list_calls, s.sends, s.young, s.errors,
                             s.turned_away, s.served, s.refused, s.failed, s.retries);
  }
  std::cout << fmt::format("the fullest tenth of a second holds {} list calls\n", r.fullest_tenth);
  PrintReturns(r);
}

// A scene at size: what the fleet did by second, and whether the rules held.
int PlayAtSize(const SeedsOptions& options) {
  const RunResult r = seeds::Play(ScriptFor(options, options.from));
  PrintSeconds(r);
  PrintResult(r);
  return r.findings.empty() ? 0 : 1;
}

int Replay(const SeedsOptions& options, std::uint64_t seed) {
  const Script script = ScriptFor(options, seed);
  std::cout << seeds::TextOf(script) << '\n';
  const RunResult r = seeds::Play(
      script, options.quiet ? seeds::Timeline() : [](Micros at, const std::string& t) {
        std::cout << fmt::format("{:>10.6f} {}\n", static_cast<double>(at) / 1e6, t);
      });
  PrintResult(r);
  return r.findings.empty() ? 0 : 1;
}

int ShrinkOne(const SeedsOptions& options, std::uint64_t seed) {
  const Script script = ScriptFor(options, seed);
  const RunResult whole = seeds::Play(script);
  if (whole.findings.empty()) {
    std::cout << fmt::format("seed {} breaks no rule\n", seed);
    return 0;
  }
  const std::string rule = whole.findings.front().rule;
  const Script less = seeds::Shrink(script, [&](const Script& s) {
    const RunResult r = seeds::Play(s);
    return std::any_of(r.findings.begin(), r.findings.end(),
                       [&](const auto& f) { return f.rule == rule; });
  });
  const std::string text = fmt::format("# Shrunk from seed {}: {}.\n", seed, rule) + TextOf(less);
  std::cout << fmt::format("{} of {} faults left\n", less.faults.size(), script.faults.size());
  if (options.out.empty()) {
    std::cout << text;
  } else {
    std::ofstream file(options.out);
    file << text;
    file.close();
    if (!file) throw std::runtime_error(options.out + ": cannot be written");
  }
  return 1;
}

}  // namespace

int RunSeeds(const SeedsOptions& options) {
  if (options.shrink) return ShrinkOne(options, *options.shrink);
  if (!options.shape.empty()) return PlayAtSize(options);
  if (options.replay) return Replay(options, *options.replay);
  if (!options.script.empty()) return Replay(options, 0);
  return PlayMany(options);
}

}  // namespace shelflab
