// `shelflab limits`: how much the lab itself holds before it is late.
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "lab/bench.h"
#include "lab/clock.h"
#include "lab/control.h"
#include "lab/loadrun.h"
#include "lab/plan.h"
#include "lab/process.h"
#include "lab/rehearsal.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr auto kStartWithin = std::chrono::seconds(20);
// A step is held if neither tool was later than this 99 times in 100.
constexpr double kHeldMs = 5;

std::string FleetText(const LimitsOptions& o) {
  return fmt::format(
      "[[class]]\nname = 'look'\nwork_ms = [0.5, 1.5]\naim = 1.0\ngive_up = 4.0\nrepeat = 'safe'\n"
      "[[tier]]\nname = 'node'\nnodes = {}\ncores = 2\nslots = 64\nwaiting_room = 64\n"
      "connections = 100000\n"
      "[load]\nclients = {}\nretries = 0\n[[load.phase]]\nfor = {}\nrate = {}\n",
      o.nodes, o.connections, o.seconds, o.rates.front());
}

Json AwaitState(const std::string& path) {
  const auto until = std::chrono::steady_clock::now() + kStartWithin;
  while (std::chrono::steady_clock::now() < until) {
    std::ifstream file(path);
    Json state = Json::parse(file, nullptr, false);
    if (state.is_object()) return state;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  throw std::runtime_error("the emulation did not start");
}

Json Measure(const LimitsOptions& o, double rate) {
  const std::string fleet = o.folder + "/fleet.toml";
  const std::string state = o.folder + "/state.json";
  const std::string control = o.folder + "/control.sock";
  std::ofstream(fleet) << FleetText(o);
  std::ofstream(state) << "";
  Process emulation({ProgramFolder() + "/shelflab", "emulate", fleet, "--no-sidecars", "--state",
                     state, "--control", control},
                    {}, o.folder + "/emulate.log");
  const Json addresses = AwaitState(state);
  std::vector<Caller::Endpoint> targets;
  for (const auto& [name, address] : addresses.at("nodes").items()) {
    targets.push_back(ParseTarget(address.get<std::string>()));
  }
  Plan plan = ReadPlan(fleet);
  plan.load.phases = {{static_cast<Micros>(o.seconds * 1e6), rate, rate}};
  asio::io_context io(1);
  LoadRun load(io, plan, targets, 1, [](const Seen&) {});
  // Every connection is up before the first request.
  load.Connect();
  io.run_for(std::chrono::seconds(2));
  io.restart();
  const double cpu_before = UseOf(emulation.pid()).cpu_seconds;
  const double own_before = UseOf(::getpid()).cpu_seconds;
  load.Start(Now() + 50'000, [&] { io.stop(); });
  io.run();
  const ProcessUse use = UseOf(emulation.pid());
  const Json status = AskControl(control, {{"do", "status"}});
  const Cell cell = load.tally().OfClass(0);
  const double late = static_cast<double>(load.lateness().Quantile(0.99)) / 1000;
  const double fleet_late = status.at("late_p99_ms").get<double>();
  const bool held = late < kHeldMs && fleet_late < kHeldMs && load.starved() == 0;
  return {{"rate", rate},
          {"connections", status.at("connections")},
          {"served", cell.in_time + cell.late},
          {"arrivals", cell.arrivals},
          {"p50_ms", cell.latency.Quantile(0.5)},
          {"p99_ms", cell.latency.Quantile(0.99)},
          {"load_late_p99_ms", late},
          {"fleet_late_p99_ms", fleet_late},
          {"fleet_cores", (use.cpu_seconds - cpu_before) / o.seconds},
          {"load_cores", (UseOf(::getpid()).cpu_seconds - own_before) / o.seconds},
          {"fleet_resident_kb", use.resident_kb},
          {"held", held}};
}

}  // namespace

Json RunLimits(const LimitsOptions& options) {
  Json result = {
      {"schema", "shelflab.limits.1"}, {"nodes", options.nodes}, {"steps", Json::array()}};
  for (const double rate : options.rates) {
    result["steps"].push_back(Measure(options, rate));
    if (!options.progress) continue;
    const Json& s = result["steps"].back();
    const auto get = [&](const char* key) { return s.at(key).get<double>(); };
    options.progress(fmt::format(
        "{:>7.0f} a second, {:.0f} connections: load late {:.2f} ms, fleet late {:.2f} ms (p99); "
        "p99 {:.2f} ms; fleet {:.2f} cores, {:.0f} MB; load {:.2f} cores; served {:.0f} of "
        "{:.0f}{}",
        rate, get("connections"), get("load_late_p99_ms"), get("fleet_late_p99_ms"), get("p99_ms"),
        get("fleet_cores"), get("fleet_resident_kb") / 1024, get("load_cores"), get("served"),
        get("arrivals"), s.at("held").get<bool>() ? "" : "  NOT HELD"));
  }
  return result;
}

}  // namespace shelflab
