#include "lab/experiment.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <stdexcept>
#include <thread>

#include "emulator/account.h"
#include "lab/clock.h"
#include "lab/emulation.h"
#include "lab/loadrun.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;

// A tool that is late by more than this, one time in a hundred, tells of itself.
constexpr Micros kTrustedLateness = 5000;
constexpr double kTrustedStarved = 0.005;
// Granted by the protocol to every time limit on sockets.
constexpr Micros kSlack = 50'000;
// After the last request: for what is still under way at the endpoints.
constexpr auto kSettle = std::chrono::milliseconds(300);

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

// What all runs of a plan have in common.
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

// One play. The emulation and its processes live on this thread, the load on one of its own.
class Play {
 public:
  Play(const Plan& plan, const ExperimentOptions& options, std::uint64_t seed)
      : plan_(plan),
        options_(options),
        emulation_(io_, plan_, {options.sidecar_program, options.folder, seed},
                   [this](const Seen& s) { seen_.push_back(s); }),
        signals_(io_, SIGINT, SIGTERM),
        window_timer_(io_),
        settle_timer_(io_),
        load_(load_io_, Burst(plan, seed), emulation_.Targets(), seed,
              [this](const Seen& s) { load_seen_.push_back(s); }),
        seed_(seed) {}

  // The result of this run; `interrupted` if it was cut short.
  Json Run(bool& interrupted) {
    signals_.async_wait([&](error_code ec, int) {
      if (ec) return;
      interrupted_ = true;
      asio::post(load_io_, [this] { load_.Stop(); });
      if (!load_thread_.joinable()) io_.stop();
      // Open requests get no time to end: the account leaves them out.
      Finish();
    });
    emulation_.Start([this](const std::string& error) { Ready(error); });
    io_.run();
    load_io_.stop();
    if (load_thread_.joinable()) load_thread_.join();
    ended_at_ = Now();
    emulation_.Stop();
    if (!error_.empty()) throw std::runtime_error(error_);
    interrupted = interrupted_;
    return Collect();
  }

 private:
  // Bursts of the script are part of the load.
  static Plan Burst(Plan plan, std::uint64_t seed) {
    for (const Step& s : Compile(plan.incidents, plan.fleet, seed)) {
      if (s.kind != Step::Kind::kBurst || s.size <= 1) continue;
      BurstSpec burst;
      burst.at = s.at;
      burst.factor = s.size;
      burst.lasts = plan.load.Length() - s.at;
      for (const Incident& i : plan.incidents) {
        if (i.trouble == Trouble::kBurst && i.at == s.at && i.lasts > 0) burst.lasts = i.lasts;
      }
      plan.load.bursts.push_back(burst);
    }
    return plan;
  }

  void Ready(const std::string& error) {
    if (!error.empty()) {
      error_ = error;
      return io_.stop();
    }
    start_ = Now() + 100'000;
    std::vector<Step> steps = Compile(plan_.incidents, plan_.fleet, seed_);
    for (Step& s : steps) s.at += 100'000;
    emulation_.Play(steps);
    emulation_.TakeWindows();
    load_.Start(start_, [this] { asio::post(io_, [this] { Finish(); }); });
    load_thread_ = std::thread([this] {
      const auto work = asio::make_work_guard(load_io_);
      load_io_.run();
    });
    AwaitWindow(0);
  }

  void AwaitWindow(std::size_t n) {
    window_timer_.expires_at(At(start_ + static_cast<Micros>(n + 1) * plan_.experiment.window));
    window_timer_.async_wait([this, n](error_code ec) {
      if (ec) return;
      node_windows_.push_back(emulation_.TakeWindows());
      if (options_.progress) {
        options_.progress(
            fmt::format("{:5.1f} s  {} requests, {} ended; {} attempts at nodes, {} connections",
                        static_cast<double>(Now() - start_) / 1e6, load_.arrivals(), load_.ended(),
                        emulation_.attempts(), emulation_.connections()));
      }
      AwaitWindow(n + 1);
    });
  }

  void Finish() {
    if (finishing_) return;
    finishing_ = true;
    settle_timer_.expires_after(kSettle);
    settle_timer_.async_wait([this](error_code) { io_.stop(); });
  }

  Json Collect() {
    seen_.insert(seen_.end(), load_seen_.begin(), load_seen_.end());
    std::stable_sort(seen_.begin(), seen_.end(), [](const Seen& a, const Seen& b) {
      return std::make_pair(a.at, Order(a.kind)) < std::make_pair(b.at, Order(b.kind));
    });
    // Both threads take part in what the clock shows, so their lateness is the observer's.
    Account account(plan_.fleet, kSlack + std::max(load_.lateness().Quantile(0.999),
                                                   emulation_.lateness().Quantile(0.999)));
    for (const Seen& s : seen_) account.On(s);
    if (!interrupted_) account.Expire(ended_at_);
    Json run = {{"seed", seed_}};
    run["windows"] = Windows();
    run["totals"] = Totals(account);
    run["classes"] = Json::array();
    for (std::size_t c = 0; c < plan_.fleet.classes.size(); ++c) {
      run["classes"].push_back(JsonOf(load_.tally().OfClass(c)));
    }
    run["tenants"] = Json::array();
    for (const Cell& cell : load_.tally().tenants()) run["tenants"].push_back(JsonOf(cell));
    run["account"] = AccountOf(account);
    run["tool"] = Tool();
    return run;
  }

  static int Order(Seen::Kind kind) {
    switch (kind) {
      case Seen::Kind::kTaken:
        return 0;
      case Seen::Kind::kAttemptBegan:
        return 1;
      case Seen::Kind::kAttemptEnded:
        return 2;
      default:
        return 3;
    }
  }

  Json Windows() const {
    Json windows = Json::array();
    const Tally& tally = load_.tally();
    for (std::size_t w = 0; w < tally.windows(); ++w) {
      Json classes = Json::array();
      for (std::size_t c = 0; c < plan_.fleet.classes.size(); ++c) {
        classes.push_back(JsonOf(tally.At(w, c)));
      }
      Json window = {{"classes", classes}, {"goodput", tally.Goodput(w, w + 1)}};
      if (w < node_windows_.size()) window["tiers"] = TiersOf(node_windows_[w]);
      windows.push_back(window);
    }
    return windows;
  }

  Json TiersOf(const std::vector<NodeWindow>& nodes) const {
    Json tiers = Json::array();
    for (std::uint32_t t = 0; t < plan_.fleet.tiers.size(); ++t) {
      const NodeId first = FirstNode(plan_.fleet, t);
      NodeWindow sum;
      Json came = Json::array();
      for (NodeId n = first; n < first + plan_.fleet.tiers[t].nodes; ++n) {
        const NodeWindow& node = nodes[n];
        sum.came += node.came;
        sum.served += node.served;
        sum.turned_away += node.turned_away;
        sum.failed += node.failed;
        sum.service += node.service;
        sum.timed += node.timed;
        came.push_back(node.came);
      }
      const double timed = static_cast<double>(std::max<std::uint64_t>(1, sum.timed));
      tiers.push_back({{"came", sum.came},
                       {"served", sum.served},
                       {"turned_away", sum.turned_away},
                       {"failed", sum.failed},
                       {"service_ms", sum.service / timed / 1000},
                       {"by_node", came}});
    }
    return tiers;
  }

  Json Totals(const Account& account) const {
    Cell all;
    for (std::size_t c = 0; c < plan_.fleet.classes.size(); ++c) all.Add(load_.tally().OfClass(c));
    Json totals = JsonOf(all);
    totals["goodput"] = load_.tally().Goodput();
    double worst = 1;
    const auto span = static_cast<std::size_t>(
        std::max(1.0, std::ceil(10e6 / static_cast<double>(plan_.experiment.window))));
    for (std::size_t w = 0; w + span <= load_.tally().windows(); ++w) {
      worst = std::min(worst, load_.tally().Goodput(w, w + span));
    }
    totals["goodput_worst_10s"] = worst;
    const double arrivals = static_cast<double>(std::max<std::uint64_t>(1, all.arrivals));
    totals["attempts_per_request"] = static_cast<double>(account.attempts()) / arrivals;
    Json by_tier = Json::array();
    for (std::uint32_t t = 0; t < plan_.fleet.tiers.size(); ++t) {
      std::uint64_t came = 0;
      const NodeId first = FirstNode(plan_.fleet, t);
      for (NodeId n = first; n < first + plan_.fleet.tiers[t].nodes; ++n) {
        came += emulation_.fleet().View(n).came;
      }
      by_tier.push_back(static_cast<double>(came) / arrivals);
    }
    totals["attempts_per_request_by_tier"] = by_tier;
    return totals;
  }

  static Json AccountOf(const Account& account) {
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

  Json Tool() const {
    const Lateness& load = load_.lateness();
    const Lateness& fleet = emulation_.lateness();
    const double starved = static_cast<double>(load_.starved()) /
                           static_cast<double>(std::max<std::uint64_t>(1, load_.arrivals()));
    Json distrust = Json::array();
    if (load.Quantile(0.99) > kTrustedLateness) {
      distrust.push_back(fmt::format("the load tool sent 1 in 100 requests over {:.1f} ms late",
                                     static_cast<double>(load.Quantile(0.99)) / 1000));
    }
    if (fleet.Quantile(0.99) > kTrustedLateness) {
      distrust.push_back(fmt::format("the emulator was over {:.1f} ms late 1 time in 100",
                                     static_cast<double>(fleet.Quantile(0.99)) / 1000));
    }
    if (starved > kTrustedStarved) {
      distrust.push_back(
          fmt::format("{:.1f} % of requests found every client busy", starved * 100));
    }
    if (emulation_.crashes() > 0) {
      distrust.push_back(fmt::format("{} sidecars ended by themselves", emulation_.crashes()));
    }
    return {{"load_late_p99_ms", static_cast<double>(load.Quantile(0.99)) / 1000},
            {"load_late_worst_ms", static_cast<double>(load.worst()) / 1000},
            {"fleet_late_p99_ms", static_cast<double>(fleet.Quantile(0.99)) / 1000},
            {"fleet_late_worst_ms", static_cast<double>(fleet.worst()) / 1000},
            {"starved", load_.starved()},
            {"crashes", emulation_.crashes()},
            {"trusted", distrust.empty()},
            {"distrust", distrust}};
  }

  Plan plan_;
  const ExperimentOptions& options_;
  asio::io_context io_{1};
  asio::io_context load_io_{1};
  std::vector<Seen> seen_;
  std::vector<Seen> load_seen_;
  Emulation emulation_;
  asio::signal_set signals_;
  asio::steady_timer window_timer_;
  asio::steady_timer settle_timer_;
  LoadRun load_;
  std::thread load_thread_;
  std::vector<std::vector<NodeWindow>> node_windows_;
  std::uint64_t seed_;
  Micros start_ = 0;
  Micros ended_at_ = 0;
  bool finishing_ = false;
  bool interrupted_ = false;
  std::string error_;
};

}  // namespace

Json RunExperiment(const Plan& plan, const ExperimentOptions& options) {
  Json result = HeadOf(plan);
  for (std::uint32_t r = 0; r < plan.experiment.repeats; ++r) {
    if (options.progress && plan.experiment.repeats > 1) {
      options.progress(fmt::format("run {} of {}", r + 1, plan.experiment.repeats));
    }
    bool interrupted = false;
    Play play(plan, options, plan.experiment.seed + r);
    result["runs"].push_back(play.Run(interrupted));
    result["interrupted"] = interrupted;
    if (interrupted) break;
  }
  return result;
}

}  // namespace shelflab
