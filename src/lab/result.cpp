#include "lab/result.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>

#include "lab/emulation.h"
#include "lab/loadrun.h"

namespace shelflab {
namespace {

using Json = nlohmann::json;

// A tool that is late by more than this, one time in a hundred, tells of itself.
constexpr Micros kTrustedLateness = 5000;
constexpr double kTrustedStarved = 0.005;
constexpr double kWorstSpan = 10e6;  // The worst stretch that is looked for, microseconds.

Json JsonOf(const Cell& cell) {
  return {{"arrivals", cell.arrivals},
          {"in_time", cell.in_time},
          {"late", cell.late},
          {"refused", cell.refused},
          {"failed", cell.failed},
          {"timed_out", cell.timed_out},
          {"unreached", cell.unreached},
          {"tries", cell.tries},
          {"refusals", cell.refusals},
          {"p50_ms", cell.latency.Quantile(0.5)},
          {"p90_ms", cell.latency.Quantile(0.9)},
          {"p99_ms", cell.latency.Quantile(0.99)},
          {"mean_ms", cell.latency.Mean()}};
}

Json JsonOf(const std::vector<Incident>& incidents) {
  Json list = Json::array();
  for (const Incident& i : incidents) {
    list.push_back({{"kind", WordOf(i.trouble)},
                    {"at_s", static_cast<double>(i.at) / 1e6},
                    {"for_s", static_cast<double>(i.lasts) / 1e6},
                    {"size", i.size},
                    {"tier", i.tier.value_or("")},
                    {"share", i.share},
                    {"nodes", i.nodes}});
  }
  return list;
}

Json Windows(const Plan& plan, const Tally& tally) {
  Json windows = Json::array();
  for (std::size_t w = 0; w < tally.windows(); ++w) {
    Json classes = Json::array();
    for (std::size_t c = 0; c < plan.fleet.classes.size(); ++c) {
      classes.push_back(JsonOf(tally.At(w, c)));
    }
    windows.push_back({{"classes", classes}, {"goodput", tally.Goodput(w, w + 1)}});
  }
  return windows;
}

Json Totals(const Plan& plan, const Tally& tally) {
  Cell all;
  for (std::size_t c = 0; c < plan.fleet.classes.size(); ++c) all.Add(tally.OfClass(c));
  Json totals = JsonOf(all);
  totals["goodput"] = tally.Goodput();
  const auto span = static_cast<std::size_t>(
      std::max(1.0, std::ceil(kWorstSpan / static_cast<double>(tally.window()))));
  double worst = tally.Goodput();
  for (std::size_t w = 0; w + span <= tally.windows(); ++w) {
    worst = std::min(worst, tally.Goodput(w, w + span));
  }
  totals["goodput_worst_10s"] = worst;
  totals["attempts_per_request"] = 0;
  return totals;
}

Json AccountOf(const Account& account) {
  Json rules = Json::object();
  for (std::size_t r = 0; r < kRules; ++r) {
    rules[WordOf(static_cast<Rule>(r))] = account.broken()[r];
  }
  Json examples = Json::array();
  for (const Broken& b : account.examples()) {
    examples.push_back({{"rule", WordOf(b.rule)}, {"text", b.text}});
  }
  return {{"requests", account.taken()},
          {"attempts", account.attempts()},
          {"broken", account.all_broken()},
          {"rules", rules},
          {"examples", examples}};
}

Json ToolsOf(const ToolState& t) {
  const auto ms = [](Micros span) { return static_cast<double>(span) / 1000; };
  const double starved =
      static_cast<double>(t.starved) / static_cast<double>(std::max<std::uint64_t>(1, t.arrivals));
  Json distrust = Json::array();
  if (t.load.Quantile(0.99) > kTrustedLateness) {
    distrust.push_back(fmt::format("the load tool sent 1 in 100 requests over {:.1f} ms late",
                                   ms(t.load.Quantile(0.99))));
  }
  if (t.fleet.Quantile(0.99) > kTrustedLateness) {
    distrust.push_back(fmt::format("the emulator was over {:.1f} ms late 1 time in 100",
                                   ms(t.fleet.Quantile(0.99))));
  }
  if (starved > kTrustedStarved) {
    distrust.push_back(fmt::format("{:.1f} % of requests found every client busy", starved * 100));
  }
  if (t.crashes > 0) distrust.push_back(fmt::format("{} sidecars ended by themselves", t.crashes));
  return {{"load_late_p99_ms", ms(t.load.Quantile(0.99))},
          {"load_late_worst_ms", ms(t.load.worst())},
          {"fleet_late_p99_ms", ms(t.fleet.Quantile(0.99))},
          {"fleet_late_worst_ms", ms(t.fleet.worst())},
          {"starved", t.starved},
          {"crashes", t.crashes},
          {"trusted", distrust.empty()},
          {"distrust", distrust}};
}

}  // namespace

ToolState StateOf(const LoadRun& load, const Emulation& emulation) {
  return {load.lateness(), emulation.lateness(), load.arrivals(), load.starved(),
          emulation.crashes()};
}

Json HeadOf(const Plan& plan) {
  Json classes = Json::array();
  for (const ClassSpec& c : plan.fleet.classes) {
    classes.push_back({{"name", c.name},
                       {"aim_ms", static_cast<double>(c.aim) / 1000},
                       {"worth", c.worth},
                       {"repeat", c.repeat == Repeat::kIdempotent ? "safe" : "never"}});
  }
  Json tenants = Json::array();
  for (const TenantSpec& t : plan.fleet.tenants) tenants.push_back({{"name", t.name}});
  Json tiers = Json::array();
  for (const TierSpec& t : plan.fleet.tiers) {
    tiers.push_back({{"name", t.name}, {"nodes", t.nodes}, {"sidecars", t.sidecars}});
  }
  return {{"schema", "shelflab.result.1"},
          {"name", plan.experiment.name},
          {"made_at", fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time(nullptr)))},
          {"seed", plan.experiment.seed},
          {"window_s", static_cast<double>(plan.experiment.window) / 1e6},
          {"classes", classes},
          {"tenants", tenants},
          {"tiers", tiers},
          {"incidents", JsonOf(plan.incidents)},
          {"interrupted", false},
          {"runs", Json::array()}};
}

Json RunOf(const Plan& plan, const Tally& tally, const Account& account, const ToolState& tools) {
  Json run = {{"windows", Windows(plan, tally)},
              {"totals", Totals(plan, tally)},
              {"account", AccountOf(account)},
              {"tool", ToolsOf(tools)}};
  run["classes"] = Json::array();
  for (std::size_t c = 0; c < plan.fleet.classes.size(); ++c) {
    run["classes"].push_back(JsonOf(tally.OfClass(c)));
  }
  run["tenants"] = Json::array();
  for (const Cell& cell : tally.tenants()) run["tenants"].push_back(JsonOf(cell));
  return run;
}

}  // namespace shelflab
