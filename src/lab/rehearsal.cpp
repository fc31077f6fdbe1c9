#include "lab/rehearsal.h"

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>

#include "emulator/account.h"
#include "lab/clock.h"
#include "lab/control.h"
#include "lab/emulation.h"
#include "lab/loadrun.h"
#include "lab/result.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Json = nlohmann::json;

constexpr Micros kSlack = 50'000;

std::string Text(const tcp::endpoint& e) {
  return fmt::format("{}:{}", e.address().to_string(), e.port());
}

class Rehearsal {
 public:
  Rehearsal(const Plan& plan, const RehearsalOptions& options)
      : plan_(plan),
        options_(options),
        account_(plan.fleet, kSlack, {false, true}),
        emulation_(io_, plan, {options.sidecar_program, options.folder, options.seed, false},
                   [this](const Seen& s) { account_.On(s); }),
        signals_(io_, SIGINT, SIGTERM),
        timer_(io_) {
    if (!options.control.empty()) {
      control_.emplace(io_, options.control, [this](const Json& q) { return Control(q); });
    }
  }

  void Run() {
    signals_.async_wait([this](error_code ec, int) {
      if (!ec) io_.stop();
    });
    emulation_.OnBurst([](double factor) {
      std::cerr << fmt::format("burst: the load is the load tool's; it would be {:g} times\n",
                               factor);
    });
    emulation_.Start([this](const std::string& error) {
      error_ = error;
      error.empty() ? Ready() : io_.stop();
    });
    io_.run();
    emulation_.Stop();
    if (!error_.empty()) throw std::runtime_error(error_);
    PrintAccount();
  }

 private:
  void Ready() {
    const Json state = Addresses();
    if (!options_.state_file.empty()) std::ofstream(options_.state_file) << state.dump(1) << "\n";
    std::cerr << "ready";
    for (const Json& t : state.at("targets")) std::cerr << " " << t.get<std::string>();
    std::cerr << std::endl;
    emulation_.Play(Compile(plan_.incidents, plan_.fleet, options_.seed));
    if (options_.seconds <= 0) return;
    timer_.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(options_.seconds)));
    timer_.async_wait([this](error_code ec) {
      if (!ec) io_.stop();
    });
  }

  Json Addresses() const {
    Json targets = Json::array();
    for (const auto& t : emulation_.Targets()) targets.push_back(Text(t));
    Json nodes = Json::object();
    for (NodeId n = 0; n < emulation_.fleet().size(); ++n) {
      nodes[NodeName(plan_.fleet, n)] = Text(emulation_.NodeAddress(n));
    }
    return {{"targets", targets}, {"nodes", nodes}, {"control", options_.control}};
  }

  Json Control(const Json& question) {
    const std::string what = question.value("do", "");
    if (what == "status") return Status();
    if (what == "stop") {
      asio::post(io_, [this] { io_.stop(); });
      return Json::object();
    }
    if (what == "incident") {
      const auto incidents = ParseIncidents(question.value("toml", ""), "incident");
      if (incidents.empty()) throw std::runtime_error("toml: expected [[incident]]");
      // Each command has a draw of its own: two of them pick different nodes.
      const auto steps = Compile(incidents, plan_.fleet, options_.seed + ++commands_);
      emulation_.Play(steps);
      return {{"steps", steps.size()}};
    }
    throw std::runtime_error("do: expected incident, status or stop");
  }

  Json Status() const {
    Json nodes = Json::array();
    for (NodeId n = 0; n < emulation_.fleet().size(); ++n) {
      const NodeView v = emulation_.fleet().View(n);
      const char* state = v.state == NodeState::kServing    ? "serving"
                          : v.state == NodeState::kDraining ? "draining"
                                                            : "down";
      nodes.push_back({{"name", NodeName(plan_.fleet, n)},
                       {"state", state},
                       {"slow", v.slow},
                       {"choked", v.choked},
                       {"stalled", v.stalled},
                       {"paused", v.paused},
                       {"silent", v.silent},
                       {"held", v.held},
                       {"came", v.came},
                       {"served", v.served},
                       {"turned_away", v.turned_away},
                       {"failed", v.failed}});
    }
    Json status = Addresses();
    status["node_states"] = nodes;
    status["attempts"] = account_.attempts();
    status["rules_broken"] = account_.all_broken();
    status["connections"] = emulation_.connections();
    status["crashes"] = emulation_.crashes();
    status["late_p99_ms"] = static_cast<double>(emulation_.lateness().Quantile(0.99)) / 1000;
    return status;
  }

  void PrintAccount() {
    account_.Expire(Now());
    std::cout << fmt::format("{} attempts at nodes, {} rules broken\n", account_.attempts(),
                             account_.all_broken());
    for (const Broken& b : account_.examples()) {
      std::cout << fmt::format("rule broken: {}: {}\n", WordOf(b.rule), b.text);
    }
    const Lateness& late = emulation_.lateness();
    std::cout << fmt::format(
        "the emulator was at most {:.1f} ms late 99 times in 100, {:.1f} ms at worst\n",
        static_cast<double>(late.Quantile(0.99)) / 1000, static_cast<double>(late.worst()) / 1000);
  }

  const Plan& plan_;
  const RehearsalOptions& options_;
  asio::io_context io_{1};
  Account account_;
  Emulation emulation_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  std::optional<ControlServer> control_;
  std::uint64_t commands_ = 0;
  std::string error_;
};

}  // namespace

tcp::endpoint ParseTarget(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  error_code ec;
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const auto address = asio::ip::make_address(text.substr(0, colon), ec);
    const char* end = text.data() + text.size();
    const auto r = std::from_chars(text.data() + colon + 1, end, port);
    if (!ec && r.ec == std::errc() && r.ptr == end && address.is_loopback()) return {address, port};
  }
  throw BadPlan("--target: '" + text + "': expected a loopback ADDRESS:PORT");
}

void Rehearse(const Plan& plan, const RehearsalOptions& options) { Rehearsal(plan, options).Run(); }

Json RunLoad(const Plan& plan, const LoadOptions& options) {
  std::vector<Caller::Endpoint> targets;
  for (const std::string& t : options.targets) targets.push_back(ParseTarget(t));
  asio::io_context io(1);
  Account account(plan.fleet, kSlack + kClientGrace, {true, false});
  LoadRun load(io, plan, targets, options.seed, [&](const Seen& s) { account.On(s); });
  asio::signal_set signals(io, SIGINT, SIGTERM);
  asio::steady_timer progress(io);
  bool interrupted = false;
  signals.async_wait([&](error_code ec, int) {
    if (ec) return;
    interrupted = true;
    load.Stop();
    io.stop();
  });
  const Micros start = Now() + 50'000;
  std::function<void()> tell = [&] {
    progress.expires_after(std::chrono::seconds(1));
    progress.async_wait([&](error_code ec) {
      if (ec) return;
      std::cerr << fmt::format("{:5.1f} s  {} requests, {} ended, {} open, {} connections made\n",
                               static_cast<double>(Now() - start) / 1e6, load.arrivals(),
                               load.ended(), load.open(), load.connections());
      tell();
    });
  };
  if (!options.quiet) tell();
  load.Start(start, [&] { io.stop(); });
  io.run();
  if (!interrupted) account.Expire(Now() + kClientGrace);
  ToolState tools;
  tools.load = load.lateness();
  tools.arrivals = load.arrivals();
  tools.starved = load.starved();
  Json result = HeadOf(plan);
  result["tiers"] = Json::array();
  result["interrupted"] = interrupted;
  Json run = RunOf(plan, load.tally(), account, tools);
  run["seed"] = options.seed;
  result["runs"].push_back(run);
  return result;
}

}  // namespace shelflab
