#include "lab/bench.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

#include "lab/caller.h"
#include "lab/catalog_wire.h"
#include "lab/clock.h"
#include "lab/loadrun.h"
#include "lab/plan.h"
#include "lab/process.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr unsigned kDrivers = 2;  // Threads of the closed loop: it must not be the limit.
constexpr Micros kPatience = 5 * kSecond;
constexpr auto kStartWithin = std::chrono::seconds(10);

Plan BenchPlan() {
  return ParsePlan(
      "[[class]]\nname = 'look'\nwork_ms = 0\naim = 1.0\ngive_up = 5.0\nrepeat = 'safe'\n"
      "[[tenant]]\nname = 't0'\nquota = 1000000\n[load]\n[[load.phase]]\nfor = 1\nrate = 1\n",
      "bench");
}

tcp::endpoint EndpointOf(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

// Lines that a peer printed at its start, up to an empty one.
std::vector<std::string> AwaitLines(const std::string& path) {
  const auto until = std::chrono::steady_clock::now() + kStartWithin;
  while (std::chrono::steady_clock::now() < until) {
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
      if (line.empty()) return lines;
      lines.push_back(line);
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  throw std::runtime_error(path + ": the peer did not start");
}

void AwaitListening(const tcp::endpoint& at) {
  const auto until = std::chrono::steady_clock::now() + kStartWithin;
  asio::io_context io;
  for (;;) {
    error_code ec;
    tcp::socket socket(io);
    socket.connect(at, ec);
    if (!ec) return;
    if (std::chrono::steady_clock::now() > until) {
      throw std::runtime_error("the sidecar does not listen");
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
}

// Callers that each send the next request as soon as the last is answered.
class ClosedLoop {
 public:
  ClosedLoop(const Plan& plan, const tcp::endpoint& target, std::uint32_t callers,
             std::uint64_t seed)
      : plan_(plan), random_(seed, 0xc105) {
    for (std::uint32_t i = 0; i < callers; ++i) {
      callers_.push_back(std::make_shared<Caller>(
          io_, [target] { return std::optional<tcp::endpoint>(target); }, [](const Seen&) {}));
    }
  }
  // Runs until that time; requests answered before `from` do not count.
  void Run(Micros from, Micros until) {
    from_ = from;
    until_ = until;
    for (const auto& c : callers_) Next(c);
    asio::steady_timer end(io_, At(until));
    end.async_wait([this](error_code) { io_.stop(); });
    io_.run();
    for (const auto& c : callers_) c->Stop();
  }
  std::uint64_t served() const { return served_; }
  std::uint64_t other() const { return other_; }

 private:
  void Next(const std::shared_ptr<Caller>& caller) {
    CallRequest request;
    request.txn = random_.Bits();
    request.cls = &plan_.fleet.classes.front();
    request.tenant = plan_.fleet.tenants.front().name;
    request.due = Now() + kPatience;
    caller->Call(request, [this, caller](const CallResult& r) {
      const bool counts = r.at >= from_ && r.at < until_;
      if (counts) ++(r.end == TryEnd::kServed ? served_ : other_);
      if (r.at < until_) Next(caller);
    });
  }

  const Plan& plan_;
  asio::io_context io_{1};
  Random random_;
  std::vector<std::shared_ptr<Caller>> callers_;
  Micros from_ = 0;
  Micros until_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t other_ = 0;
};

struct Saturated {
  double per_second = 0;
  double cpu_us = 0;  // Of the process between, for each request.
  double other_share = 0;
};

Saturated Saturate(const Plan& plan, const tcp::endpoint& target, pid_t between,
                   const BenchOptions& o) {
  constexpr Micros kRampUp = 500'000;
  const Micros from = Now() + kRampUp;
  const Micros until = from + static_cast<Micros>(o.seconds * 1e6);
  std::vector<std::unique_ptr<ClosedLoop>> loops;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kDrivers; ++i) {
    const std::uint32_t share = (o.connections + i) / kDrivers;
    ClosedLoop& loop =
        *loops.emplace_back(std::make_unique<ClosedLoop>(plan, target, share, i + 1));
    threads.emplace_back([&loop, from, until] { loop.Run(from, until); });
  }
  std::this_thread::sleep_until(At(from));
  const double before = between > 0 ? UseOf(between).cpu_seconds : 0;
  std::this_thread::sleep_until(At(until));
  const double after = between > 0 ? UseOf(between).cpu_seconds : 0;
  double served = 0;
  double other = 0;
  for (unsigned i = 0; i < kDrivers; ++i) {
    threads[i].join();
    served += static_cast<double>(loops[i]->served());
    other += static_cast<double>(loops[i]->other());
  }
  const double all = std::max(1.0, served + other);
  return {served / o.seconds, (after - before) * 1e6 / all, other / all};
}

struct Paced {
  double p50_ms = 0;
  double p99_ms = 0;
  double late_p99_ms = 0;
};

Paced Pace(Plan plan, const tcp::endpoint& target, double rate, const BenchOptions& o) {
  plan.load.phases = {{static_cast<Micros>(o.seconds * 1e6), rate, rate}};
  plan.load.client.clients = std::max(o.connections, 64U);
  plan.load.client.retries = 0;
  asio::io_context io(1);
  LoadRun load(io, plan, {target}, 1, [](const Seen&) {});
  // What is measured is requests, not the opening of connections.
  load.Connect();
  io.run_for(milliseconds(500));
  io.restart();
  load.Start(Now() + 50'000, [&] { io.stop(); });
  io.run();
  const Cell cell = load.tally().OfClass(0);
  return {cell.latency.Quantile(0.5), cell.latency.Quantile(0.99),
          static_cast<double>(load.lateness().Quantile(0.99)) / 1000};
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

struct Memory {
  double idle_kb = 0;
  double per_1000_kb = 0;
};

// Each connection carries one request and is then left open; looked at before the sidecar closes
// what stands idle.
Memory Hold(const Plan& plan, const tcp::endpoint& target, pid_t pid, std::uint32_t connections) {
  Memory memory;
  memory.idle_kb = UseOf(pid).resident_kb;
  asio::io_context io(1);
  Random random(1, 0x4e11);
  std::vector<std::shared_ptr<Caller>> callers;
  std::uint32_t ended = 0;
  std::uint32_t next = 0;
  const std::function<void()> start = [&] {
    if (next == connections) return;
    const auto caller = callers[next++];
    CallRequest request;
    request.txn = random.Bits();
    request.cls = &plan.fleet.classes.front();
    request.tenant = plan.fleet.tenants.front().name;
    request.due = Now() + kPatience;
    caller->Call(request, [&](const CallResult&) {
      ++ended;
      start();
      if (ended == connections) io.stop();
    });
  };
  for (std::uint32_t i = 0; i < connections; ++i) {
    callers.push_back(std::make_shared<Caller>(
        io, [target] { return std::optional<tcp::endpoint>(target); }, [](const Seen&) {}));
  }
  for (int i = 0; i < 32; ++i) start();
  io.run();
  std::uint32_t open = 0;
  for (const auto& c : callers) open += c->connected() ? 1 : 0;
  memory.per_1000_kb = (UseOf(pid).resident_kb - memory.idle_kb) * 1000 / std::max(1U, open);
  for (const auto& c : callers) c->Stop();
  return memory;
}

class Bench {
 public:
  explicit Bench(const BenchOptions& o) : o_(o), plan_(BenchPlan()) {
    const std::string self = ProgramFolder() + "/shelflab";
    echo_ = Process({self, "peer-echo", std::to_string(o.endpoints)}, {}, o.folder + "/echo.log");
    endpoints_ = AwaitLines(o.folder + "/echo.log");
    relay_ = Process({self, "peer-relay", endpoints_.front()}, {}, o.folder + "/relay.log");
    relay_at_ = EndpointOf(AwaitLines(o.folder + "/relay.log").at(0));
    StartSidecar();
  }

  Json Run() {
    struct Way {
      const char* name;
      tcp::endpoint target;
      pid_t pid;
      std::vector<double> rate, cpu, other, p50, p99, late;
    };
    std::vector<Way> ways = {{"direct", EndpointOf(endpoints_.front()), -1, {}, {}, {}, {}, {}, {}},
                             {"relay", relay_at_, relay_.pid(), {}, {}, {}, {}, {}, {}},
                             {"sidecar", sidecar_at_, sidecar_.pid(), {}, {}, {}, {}, {}, {}}};
    const Memory memory = Hold(plan_, sidecar_at_, sidecar_.pid(), o_.idle_connections);
    const Memory relay_memory = Hold(plan_, relay_at_, relay_.pid(), o_.idle_connections);
    double half = 0;
    for (std::uint32_t r = 0; r < o_.repeats; ++r) {
      for (Way& way : ways) {
        const Saturated s = Saturate(plan_, way.target, way.pid, o_);
        way.rate.push_back(s.per_second);
        way.cpu.push_back(s.cpu_us);
        way.other.push_back(s.other_share);
        Say(fmt::format("{:<8} {:>8.0f} requests a second, {:.1f} us of CPU each", way.name,
                        s.per_second, s.cpu_us));
      }
      // Half of what the sidecar holds, for all three alike.
      if (r == 0) half = ways[2].rate.front() / 2;
      for (Way& way : ways) {
        const Paced p = Pace(plan_, way.target, half, o_);
        way.p50.push_back(p.p50_ms);
        way.p99.push_back(p.p99_ms);
        way.late.push_back(p.late_p99_ms);
        Say(fmt::format("{:<8} at {:.0f} a second: p50 {:.3f} ms, p99 {:.3f} ms", way.name, half,
                        p.p50_ms, p.p99_ms));
      }
    }
    Json result = {{"schema", "shelflab.bench.1"}, {"connections", o_.connections},
                   {"seconds", o_.seconds},        {"repeats", o_.repeats},
                   {"half_load_per_s", half},      {"ways", Json::object()}};
    for (const Way& way : ways) {
      result["ways"][way.name] = {
          {"per_second", Median(way.rate)},  {"cpu_us", Median(way.cpu)},
          {"not_served", Median(way.other)}, {"p50_ms", Median(way.p50)},
          {"p99_ms", Median(way.p99)},       {"load_late_p99_ms", Median(way.late)}};
    }
    result["memory"] = {{"idle_kb", memory.idle_kb},
                        {"per_1000_connections_kb", memory.per_1000_kb},
                        {"relay_per_1000_connections_kb", relay_memory.per_1000_kb}};
    const Json& d = result["ways"]["direct"];
    const Json& y = result["ways"]["relay"];
    const Json& s = result["ways"]["sidecar"];
    const auto figure = [](const Json& way, const char* key) { return way[key].get<double>(); };
    result["ratios"] = {{"per_second_to_relay", figure(s, "per_second") / figure(y, "per_second")},
                        {"per_second_to_direct", figure(s, "per_second") / figure(d, "per_second")},
                        {"cpu_to_relay", figure(s, "cpu_us") / figure(y, "cpu_us")},
                        {"added_p50_ms", figure(s, "p50_ms") - figure(d, "p50_ms")},
                        {"added_p99_ms", figure(s, "p99_ms") - figure(d, "p99_ms")},
                        {"relay_added_p50_ms", figure(y, "p50_ms") - figure(d, "p50_ms")},
                        {"relay_added_p99_ms", figure(y, "p99_ms") - figure(d, "p99_ms")}};
    return result;
  }

 private:
  void Say(const std::string& line) const {
    if (o_.progress) o_.progress(line);
  }

  void StartSidecar() {
    const auto mine = static_cast<std::uint32_t>(64 + ::getpid() % 128);
    sidecar_at_ = {asio::ip::address_v4((127U << 24) | (mine << 16) | (200U << 8) | 1U), 7000};
    Json hosts = Json::array();
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      hosts.push_back(JsonOf(MemberRow{"echo-" + std::to_string(i), endpoints_[i], "z0", "echo"}));
    }
    const ClassSpec& c = plan_.fleet.classes.front();
    const Json config = {
        {"name", "bench"},
        {"listen", sidecar_at_.address().to_string() + ":7000"},
        {"discovery", endpoints_.front()},
        {"seed", "1"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 2048}, {"sockets", 16384}}},
        {"known", {{"seq", 1}, {"whole", true}, {"hosts", hosts}}},
        {"settings",
         {{"classes",
           {{{"name", c.name}, {"aim", c.aim}, {"giveUp", c.give_up}, {"repeat", "idempotent"}}}},
          {"tenants", {{{"name", "t0"}, {"share", 1.0}, {"quotaPerS", 1e6}}}},
          {"localities", {"z0"}},
          {"zone", "z0"},
          {"discovery", "ask"},
          {"round", 5000},
          {"permissions",
           {{"cancelling", true},
            {"maxAttempts", 3},
            {"connectTimeout", 200'000},
            {"retryAfter", true},
            {"maxRetryAfter", 2'000'000}}}}}};
    const std::string path = o_.folder + "/sidecar.json";
    std::ofstream(path) << config.dump();
    sidecar_ = Process({o_.sidecar_program}, {{"PROXY_CONFIG", path}}, o_.folder + "/sidecar.log");
    AwaitListening(sidecar_at_);
  }

  const BenchOptions& o_;
  Plan plan_;
  Process echo_;
  Process relay_;
  Process sidecar_;
  std::vector<std::string> endpoints_;
  tcp::endpoint relay_at_;
  tcp::endpoint sidecar_at_;
};

}  // namespace

Json RunBench(const BenchOptions& options) { return Bench(options).Run(); }

std::string BenchSummary(const Json& result) {
  std::string text = fmt::format("{:<10}{:>14}{:>14}{:>12}{:>12}{:>12}\n", "way", "requests/s",
                                 "CPU us each", "p50 ms", "p99 ms", "not served");
  for (const auto& [name, way] : result.at("ways").items()) {
    text += fmt::format("{:<10}{:>14.0f}{:>14.1f}{:>12.3f}{:>12.3f}{:>12.4f}\n", name,
                        way.at("per_second").get<double>(), way.at("cpu_us").get<double>(),
                        way.at("p50_ms").get<double>(), way.at("p99_ms").get<double>(),
                        way.at("not_served").get<double>());
  }
  for (const char* part : {"ratios", "memory"}) {
    for (const auto& [name, value] : result.at(part).items()) {
      text += fmt::format("{:<34}{:>10.3f}\n", name, value.get<double>());
    }
  }
  return text;
}

}  // namespace shelflab
