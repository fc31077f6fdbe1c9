#include "lab/experiment.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <stdexcept>
#include <thread>

#include "emulator/account.h"
#include "lab/clock.h"
#include "lab/emulation.h"
#include "lab/loadrun.h"
#include "lab/result.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;

// Granted by the protocol to every time limit on sockets.
constexpr Micros kSlack = 50'000;
// After the last request: for what is still under way at the endpoints.
// Of the service times in a recording.
constexpr Micros kServiceWindow = 500'000;
constexpr auto kSettle = std::chrono::milliseconds(300);

// One play. The emulation and its processes live on this thread, the load on one of its own.
class Play {
 public:
  Play(const Plan& plan, const ExperimentOptions& options, std::uint64_t seed)
      : plan_(plan),
        options_(options),
        emulation_(io_, plan_, {options.sidecar_program, options.folder, seed, true},
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
    Json run = RunOf(plan_, load_.tally(), account, StateOf(load_, emulation_));
    run["seed"] = seed_;
    PutTiers(run, account);
    run["service_window_s"] = static_cast<double>(kServiceWindow) / 1e6;
    run["nodes"] = NodesOf();
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

  void PutTiers(Json& run, const Account& account) const {
    Json& windows = run["windows"];
    for (std::size_t w = 0; w < windows.size() && w < node_windows_.size(); ++w) {
      windows[w]["tiers"] = TiersOf(node_windows_[w]);
    }
    Json& totals = run["totals"];
    const double arrivals = std::max<double>(1, totals.at("arrivals").get<double>());
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

  // For a recording: what each node took for its own part of each request, by when that came.
  Json NodesOf() const {
    const auto slots = static_cast<std::size_t>(plan_.load.Length() / kServiceWindow) + 1;
    Json nodes = Json::array();
    for (NodeId n = 0; n < emulation_.fleet().size(); ++n) {
      nodes.push_back(
          {{"name", NodeName(plan_.fleet, n)}, {"service_ms", Json(slots, Json::array())}});
    }
    for (const ServiceTime& s : emulation_.service_times()) {
      const Micros at = s.came - start_;
      if (at < 0 || static_cast<std::size_t>(at / kServiceWindow) >= slots) continue;
      nodes[s.node]["service_ms"][static_cast<std::size_t>(at / kServiceWindow)].push_back(
          std::round(static_cast<double>(s.own) / 10) / 100);
    }
    return nodes;
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
