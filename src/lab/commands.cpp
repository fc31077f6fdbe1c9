#include "lab/commands.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "lab/bench.h"
#include "lab/control.h"
#include "lab/coordinator.h"
#include "lab/emulation.h"
#include "lab/experiment.h"
#include "lab/folder.h"
#include "lab/plan.h"
#include "lab/playback.h"
#include "lab/rehearsal.h"
#include "lab/seeds.h"
#include "lab/storm.h"

namespace shelflab {
namespace {

std::string SidecarProgram(const std::string& given) {
  std::string program =
      given.empty() ? (std::filesystem::path(ProgramFolder()) / "kelpspring").string() : given;
  if (!std::filesystem::exists(program)) {
    throw BadPlan(program + ": expected the sidecar's program (--program)");
  }
  return program;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) throw std::runtime_error(path + ": cannot be written");
}

// Descriptors beyond those of the clients: listeners, nodes' connections, files.
constexpr std::uint64_t kOtherDescriptors = 64;

// More clients than descriptors would be told as sidecars that nobody can reach.
void NeedDescriptors(const Plan& plan, const std::string& path, bool with_fleet) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur == RLIM_INFINITY) return;
  std::uint64_t others = kOtherDescriptors;
  if (with_fleet) {
    // A listener for each sidecar that may call a node, and a connection or two on each.
    others += std::uint64_t{4} * NodeCount(plan.fleet) * plan.fleet.tiers.front().sidecars;
  }
  if (plan.load.client.clients + others <= files.rlim_cur) return;
  throw BadPlan(fmt::format("{}: load.clients: expected at most {}, for there are {} descriptors",
                            path, files.rlim_cur > others ? files.rlim_cur - others : 0,
                            files.rlim_cur));
}

// As a shell tells of a program that Ctrl-C has ended.
void ExitIfInterrupted(const nlohmann::json& result) {
  constexpr int kInterrupted = 130;
  if (result.at("interrupted").get<bool>()) {
    std::cout.flush();
    throw CLI::RuntimeError(kInterrupted);
  }
}

std::function<void(const std::string&)> Progress(bool quiet) {
  if (quiet) return nullptr;
  return [](const std::string& line) { std::cerr << line << '\n'; };
}

void AddExperiment(CLI::App& app) {
  struct Options {
    std::string file, out, report, program, logs;
    std::uint32_t repeats = 0;
    bool quiet = false;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("experiment", "Play fleet, load and incidents; write a result");
  c->add_option("FILE", o->file, "the experiment (TOML)")->required();
  c->add_option("-o,--out", o->out, "the result (JSON)");
  c->add_option("--report", o->report, "the report (HTML)");
  c->add_option("--repeats", o->repeats, "how many runs, in place of the file's");
  c->add_option("--program", o->program, "the sidecar, in place of the kelpspring beside this");
  c->add_option("--logs", o->logs, "keep the sidecars' configurations and logs in this folder");
  c->add_flag("-q,--quiet", o->quiet, "no progress");
  c->callback([o] {
    Plan plan = ReadPlan(o->file);
    Need(plan, o->file, true);
    NeedDescriptors(plan, o->file, true);
    if (o->repeats > 0) plan.experiment.repeats = o->repeats;
    const Folder folder(o->logs);
    ExperimentOptions options;
    options.sidecar_program = SidecarProgram(o->program);
    options.folder = folder.path();
    options.progress = Progress(o->quiet);
    const nlohmann::json result = RunExperiment(plan, options);
    if (!o->out.empty()) WriteFile(o->out, result.dump(1) + "\n");
    if (!o->report.empty()) WriteFile(o->report, ReportOf(result));
    std::cout << Summary(result);
    ExitIfInterrupted(result);
  });
}

void AddReport(CLI::App& app) {
  const auto in = std::make_shared<std::string>();
  const auto out = std::make_shared<std::string>();
  CLI::App* c = app.add_subcommand("report", "Make the HTML page of a result");
  c->add_option("RESULT", *in, "the result (JSON)")->required();
  c->add_option("OUT", *out, "the page")->required();
  c->callback([in, out] { WriteFile(*out, ReportOf(ReadResult(*in))); });
}

void AddCompare(CLI::App& app) {
  const auto a = std::make_shared<std::string>();
  const auto b = std::make_shared<std::string>();
  CLI::App* c = app.add_subcommand("compare", "Tell what moved from one result to another");
  c->add_option("A", *a, "the result before")->required();
  c->add_option("B", *b, "the result after")->required();
  c->callback([a, b] { std::cout << Compare(ReadResult(*a), ReadResult(*b)); });
}

nlohmann::json ReadJson(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadPlan(path + ": cannot be read");
  nlohmann::json json = nlohmann::json::parse(file, nullptr, false);
  if (json.is_discarded()) throw BadPlan(path + ": expected JSON");
  return json;
}

void AddEmulate(CLI::App& app) {
  struct Options {
    std::string file, program, logs, control = DefaultControlPath(), state;
    double seconds = 0;
    bool bare = false;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("emulate", "Run a fleet until it is stopped");
  c->add_option("FLEET", o->file, "the fleet, and incidents if it has any (TOML)")->required();
  c->add_option("--program", o->program, "the sidecar, in place of the kelpspring beside this");
  c->add_flag("--no-sidecars", o->bare, "endpoints and discovery only");
  c->add_option("--logs", o->logs, "keep the sidecars' configurations and logs in this folder");
  c->add_option("--control", o->control, "path of the control socket")->capture_default_str();
  c->add_option("--state", o->state, "write the addresses to this file (JSON) once it is ready");
  c->add_option("--for", o->seconds, "seconds until it stops by itself")
      ->check(CLI::PositiveNumber);
  c->callback([o] {
    const Plan plan = ReadPlan(o->file);
    Need(plan, o->file, false);
    const Folder folder(o->logs);
    RehearsalOptions options;
    if (!o->bare) options.sidecar_program = SidecarProgram(o->program);
    options.folder = folder.path();
    options.control = o->control;
    options.state_file = o->state;
    options.seconds = o->seconds;
    options.seed = plan.experiment.seed;
    Rehearse(plan, options);
  });
}

void AddLoad(CLI::App& app) {
  struct Options {
    std::string file, state, out, report;
    std::vector<std::string> targets;
    bool quiet = false;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("load", "Send a load to sidecars and tell what came of it");
  c->add_option("FILE", o->file, "classes, tenants and load (TOML)")->required();
  c->add_option("-t,--target", o->targets, "ADDRESS:PORT of a sidecar; may be given again")
      ->delimiter(',');
  c->add_option("--state", o->state, "take the targets from the file that emulate wrote");
  c->add_option("-o,--out", o->out, "the result (JSON)");
  c->add_option("--report", o->report, "the report (HTML)");
  c->add_flag("-q,--quiet", o->quiet, "no progress");
  c->callback([o] {
    const Plan plan = ReadPlan(o->file);
    if (plan.fleet.classes.empty()) throw BadPlan(o->file + ": [[class]]: missing");
    if (!plan.has_load) throw BadPlan(o->file + ": [load]: missing");
    NeedDescriptors(plan, o->file, false);
    LoadOptions options;
    options.targets = o->targets;
    if (!o->state.empty()) {
      for (const auto& t : ReadJson(o->state).value("targets", nlohmann::json::array())) {
        options.targets.push_back(t.get<std::string>());
      }
    }
    if (options.targets.empty()) throw BadPlan("--target or --state: expected one of them");
    options.seed = plan.experiment.seed;
    options.quiet = o->quiet;
    const nlohmann::json result = RunLoad(plan, options);
    if (!o->out.empty()) WriteFile(o->out, result.dump(1) + "\n");
    if (!o->report.empty()) WriteFile(o->report, ReportOf(result));
    std::cout << Summary(result);
    ExitIfInterrupted(result);
  });
}

void AddIncident(CLI::App& app) {
  struct Options {
    std::string kind, control = DefaultControlPath(), tier;
    std::vector<std::string> nodes;
    double share = 0, size = 0, lasts = 0, after = 0;
  };
  const auto o = std::make_shared<Options>();
  std::string kinds;
  for (const std::string& word : TroubleWords()) kinds += (kinds.empty() ? "" : ", ") + word;
  CLI::App* c = app.add_subcommand("incident", "Start an incident in a running emulation");
  c->add_option("KIND", o->kind, "status, stop, or one of: " + kinds)->required();
  c->add_option("--control", o->control, "path of the control socket")->capture_default_str();
  c->add_option("--tier", o->tier, "only this tier");
  c->add_option("--node", o->nodes, "only this node; may be given again")->delimiter(',');
  c->add_option("--share", o->share, "this share of the nodes");
  c->add_option("--size", o->size, "how bad it is; what that means depends on the kind");
  c->add_option("--for", o->lasts, "seconds it lasts; left out: until it is undone");
  c->add_option("--in", o->after, "seconds until it begins");
  c->callback([o] {
    nlohmann::json question = {{"do", o->kind}};
    if (o->kind != "status" && o->kind != "stop") {
      std::string toml = fmt::format("[[incident]]\nkind = {}\n", nlohmann::json(o->kind).dump());
      if (!o->tier.empty()) toml += "tier = " + nlohmann::json(o->tier).dump() + "\n";
      if (!o->nodes.empty()) toml += "nodes = " + nlohmann::json(o->nodes).dump() + "\n";
      if (o->share > 0) toml += fmt::format("share = {}\n", o->share);
      if (o->size > 0) toml += fmt::format("size = {}\n", o->size);
      if (o->lasts > 0) toml += fmt::format("for = {}\n", o->lasts);
      toml += fmt::format("at = {}\n", o->after);
      ParseIncidents(toml, "incident");  // What is wrong with it is told here, and exits with 2.
      question = {{"do", "incident"}, {"toml", toml}};
    }
    std::cout << AskControl(o->control, question).dump(1) << "\n";
  });
}

void AddBench(CLI::App& app) {
  struct Options {
    BenchOptions bench;
    std::string out, program;
    bool quiet = false;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand(
      "bench", "Measure a sidecar's cost against no sidecar and a bare byte relay");
  c->add_option("--connections", o->bench.connections, "of the closed loop")
      ->check(CLI::Range(2, 10000))
      ->capture_default_str();
  c->add_option("--endpoints", o->bench.endpoints)
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  c->add_option("--seconds", o->bench.seconds, "for each measurement")
      ->check(CLI::Range(0.5, 600.0))
      ->capture_default_str();
  c->add_option("--repeats", o->bench.repeats, "figures are medians over these")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  c->add_option("--idle", o->bench.idle_connections, "connections held for the memory figure")
      ->check(CLI::Range(100, 15000))
      ->capture_default_str();
  c->add_option("--program", o->program, "the sidecar, in place of the kelpspring beside this");
  c->add_option("-o,--out", o->out, "the result (JSON)");
  c->add_flag("-q,--quiet", o->quiet, "no progress");
  c->callback([o] {
    const Folder folder("");
    o->bench.sidecar_program = SidecarProgram(o->program);
    o->bench.folder = folder.path();
    o->bench.progress = Progress(o->quiet);
    const nlohmann::json result = RunBench(o->bench);
    if (!o->out.empty()) WriteFile(o->out, result.dump(1) + "\n");
    std::cout << BenchSummary(result);
  });
  const auto endpoints = std::make_shared<std::uint32_t>(1);
  CLI::App* echo = app.add_subcommand("peer-echo", "The bench's endpoint");
  echo->group("");
  echo->add_option("N", *endpoints)->check(CLI::Range(1, 1000));
  echo->callback([endpoints] { RunEcho(*endpoints); });
  const auto target = std::make_shared<std::string>();
  CLI::App* relay = app.add_subcommand("peer-relay", "The bench's relay");
  relay->group("");
  relay->add_option("TARGET", *target)->required();
  relay->callback([target] { RunRelay(ParseTarget(*target)); });
}

void AddLimits(CLI::App& app) {
  struct Options {
    LimitsOptions limits;
    std::string out;
  };
  const auto o = std::make_shared<Options>();
  o->limits.rates = {5000, 10000, 15000, 20000, 25000, 30000};
  CLI::App* c = app.add_subcommand("limits", "Measure what the lab itself holds before it is late");
  c->add_option("--rates", o->limits.rates, "requests a second, a step each")->delimiter(',');
  c->add_option("--nodes", o->limits.nodes)->check(CLI::Range(1, 5000))->capture_default_str();
  c->add_option("--connections", o->limits.connections)
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  c->add_option("--seconds", o->limits.seconds, "for each step")
      ->check(CLI::Range(0.5, 600.0))
      ->capture_default_str();
  c->add_option("-o,--out", o->out, "the result (JSON)");
  c->callback([o] {
    const Folder folder("");
    o->limits.folder = folder.path();
    o->limits.progress = [](const std::string& line) { std::cout << line << std::endl; };
    const nlohmann::json result = RunLimits(o->limits);
    if (!o->out.empty()) WriteFile(o->out, result.dump(1) + "\n");
  });
}

void AddCapture(CLI::App& app) {
  struct Options {
    std::string result, out;
    std::size_t run = 0;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("capture", "Make a recording of a day out of a result");
  c->add_option("RESULT", o->result, "the result (JSON)")->required();
  c->add_option("-o,--out", o->out, "the recording (JSON)")->required();
  c->add_option("--run", o->run, "which run, from 0")->capture_default_str();
  c->callback([o] { WriteFile(o->out, Capture(ReadResult(o->result), o->run).dump() + "\n"); });
}

void AddPlayback(CLI::App& app) {
  struct Options {
    std::string day, fleet, program, out, report;
    std::uint32_t repeats = 5;
    std::uint32_t passes = 2;
    double least = 50;
    bool quiet = false;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("playback", "Fit a recorded day to a fleet and play it");
  c->add_option("DAY", o->day, "the recording (JSON)")->required();
  c->add_option("FLEET", o->fleet, "the fleet (TOML); its speeds and incidents are not used")
      ->required();
  c->add_option("--repeats", o->repeats, "how many plays, each with its seed")
      ->capture_default_str();
  c->add_option("--passes", o->passes, "plays ahead of those, each to refine the fit")
      ->capture_default_str();
  c->add_option("--least", o->least, "leave out windows with fewer requests of a class")
      ->capture_default_str();
  c->add_option("--program", o->program, "the sidecar, in place of the kelpspring beside this");
  c->add_option("-o,--out", o->out, "the result (JSON)");
  c->add_option("--report", o->report, "the report (HTML)");
  c->add_flag("-q,--quiet", o->quiet, "no progress");
  c->callback([o] {
    const nlohmann::json day = ReadJson(o->day);
    Plan fleet = ReadPlan(o->fleet);
    Need(fleet, o->fleet, false);
    Fit fit;
    try {
      fit = FitDay(day, fleet.fleet);
    } catch (const std::runtime_error& e) {
      throw BadPlan(o->day + ": " + e.what());
    }
    const Folder folder("");
    ExperimentOptions options;
    options.sidecar_program = SidecarProgram(o->program);
    options.folder = folder.path();
    options.progress = Progress(o->quiet);
    const std::uint64_t seed = fleet.experiment.seed + 1000;  // Other draws than those of the day.
    for (std::uint32_t pass = 0; pass < o->passes; ++pass) {
      Plan plan = PlanOf(day, fleet, fit);
      plan.experiment.repeats = 1;
      plan.experiment.seed = seed + 1000 + pass;
      const nlohmann::json played = RunExperiment(plan, options);
      ExitIfInterrupted(played);
      fit = Refine(day, Capture(played, 0), fit);
    }
    for (const SlowStretch& s : fit.stretches) {
      std::cerr << fmt::format(
          "fitted: {} {:.1f} times slower from {:g} to {:g} s\n", NodeName(fleet.fleet, s.node),
          s.factor, static_cast<double>(s.from) / 1e6, static_cast<double>(s.until) / 1e6);
    }
    Plan plan = PlanOf(day, fleet, fit);
    plan.experiment.repeats = o->repeats;
    plan.experiment.seed = seed;
    const nlohmann::json result = RunExperiment(plan, options);
    if (!o->out.empty()) WriteFile(o->out, result.dump(1) + "\n");
    if (!o->report.empty()) WriteFile(o->report, ReportOf(result));
    std::cout << Summary(result) << NearnessText(Nearness(day, result, o->least));
    ExitIfInterrupted(result);
  });
}

void AddStorm(CLI::App& app) {
  struct Options {
    std::string file, out, report, program, logs, history, judge;
    std::optional<std::uint64_t> seed;
    bool draw = false, coordination = false, compare = false, quiet = false;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand(
      "storm", "Start real sidecar processes, befall them and their links, and judge the history");
  auto* file = c->add_option("file", o->file, "fleet, load and [storm] (TOML)");
  c->add_option("--seed", o->seed, "in place of the file's");
  c->add_flag("--draw", o->draw, "draw the storm from the seed, in place of the file's");
  c->add_flag("--coordination", o->coordination,
              "with --draw: with a coordination store, and deeds to it and to owners");
  c->add_flag("--compare", o->compare,
              "play it without the storm first, for the time to full service");
  c->add_option("--program", o->program, "the sidecar, in place of the kelpspring beside this");
  c->add_option("--logs", o->logs, "keep configurations and traces in this folder");
  c->add_option("--history", o->history, "where the history goes (JSON lines)");
  c->add_option("-o,--out", o->out, "the result (JSON)");
  c->add_option("--report", o->report, "the report (HTML)");
  c->add_flag("-q,--quiet", o->quiet, "no progress");
  c->add_option("--judge", o->judge, "judge this history again, and play nothing")->excludes(file);
  c->callback([o] {
    if (!o->judge.empty()) {
      const std::string findings = JudgeFile(o->judge);
      std::cout << findings;
      if (!findings.empty()) throw CLI::RuntimeError(1);
      return;
    }
    if (o->file.empty()) throw BadPlan("storm: expected a file, or --judge");
    Plan plan = ReadPlan(o->file);
    Need(plan, o->file, true);
    if (o->seed) plan.experiment.seed = *o->seed;
    if (o->draw) {
      storm::Drawing drawing;
      drawing.length = plan.load.Length();
      drawing.coordination = o->coordination;
      plan.storm = storm::Draw(plan.experiment.seed, drawing);
    }
    if (!plan.storm.present) throw BadPlan(o->file + ": [storm]: missing");
    if (storm::EndOf(plan.storm) > plan.load.Length()) {
      throw BadPlan(o->file + ": storm.event: expected an end before that of the load");
    }
    NeedDescriptors(plan, o->file, true);
    const Folder folder(o->logs);
    StormOptions options;
    options.sidecar_program = SidecarProgram(o->program);
    options.folder = folder.path();
    options.progress = Progress(o->quiet);
    nlohmann::json calm;
    if (o->compare) {
      options.calm = true;
      calm = RunStorm(plan, options);
      ExitIfInterrupted(calm);
      options.calm = false;
    }
    options.history = o->history;
    const nlohmann::json result = RunStorm(plan, options);
    if (!o->out.empty()) WriteFile(o->out, result.dump(1) + "\n");
    if (!o->report.empty()) WriteFile(o->report, ReportOf(result));
    std::cout << StormSummary(result);
    if (o->compare) {
      std::cout << fmt::format(
          "full service from {:g} s of the load on, the last fault over at {:g} s\n"
          "without the storm: {} connections, the fullest tenth {}\n",
          FullService(result, calm, 0.99), static_cast<double>(storm::EndOf(plan.storm)) / 1e6,
          calm["runs"][0]["storm"]["connections"].get<std::size_t>(),
          calm["runs"][0]["storm"]["fullest_tenth_connections"].get<std::size_t>());
    }
    ExitIfInterrupted(result);
    const auto& run = result.at("runs").at(0);
    const bool broken = run.at("storm").at("found").get<std::size_t>() > 0 ||
                        run.at("account").at("broken").get<std::uint64_t>() > 0;
    if (broken) throw CLI::RuntimeError(1);
  });
}

void AddCoordinator(CLI::App& app) {
  const auto o = std::make_shared<CoordinatorOptions>();
  CLI::App* c = app.add_subcommand(
      "coordinator", "Stand in for a coordination store, over its published interface");
  c->add_option("--listen", o->listen, "address and port")->capture_default_str();
  c->add_option("--journal", o->journal, "keep what is acknowledged in this file");
  c->add_option("--seed", o->seed, "of the answers that are lost")->capture_default_str();
  c->callback([o] { RunCoordinator(*o); });
}

// drain and restart begin an order; the others speak of the one that is open.
void AddFleet(CLI::App& app) {
  struct Options {
    FleetCall call;
    std::string what;
    std::vector<std::string> members;
    std::uint32_t at_once = 1;
    double back_within = 60;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("fleet", "Ask a fleet through the door of one of its sidecars");
  c->add_option("--door", o->call.door, "address and port of an operators' door")->required();
  c->add_option("what", o->what, "show, drain, restart, pause, resume or off")
      ->required()
      ->check(CLI::IsMember({"show", "drain", "restart", "pause", "resume", "off"}));
  c->add_option("--members", o->members, "these alone, in this order; all if not given")
      ->delimiter(',');
  c->add_option("--at-once", o->at_once, "how many may be out")->capture_default_str();
  c->add_option("--back-within", o->back_within, "seconds, beyond which the order stops")
      ->capture_default_str();
  c->callback([o] {
    if (o->what != "show") o->call.method = "POST";
    if (o->what == "drain" || o->what == "restart") {
      o->call.path = "/orders";
      nlohmann::json wish = {
          {"what", o->what}, {"at_once", o->at_once}, {"back_within_s", o->back_within}};
      if (!o->members.empty()) wish["members"] = o->members;
      o->call.body = wish.dump();
    } else if (o->what != "show") {
      o->call.path = "/orders/" + o->what;
    }
    const int code = AskFleet(o->call);
    if (code != 0) throw CLI::RuntimeError(code);
  });
}

void AddSeeds(CLI::App& app) {
  const auto o = std::make_shared<SeedsOptions>();
  CLI::App* c = app.add_subcommand(
      "seeds", "Play scripted faults drawn from seeds on a virtual clock, every rule checked");
  c->add_option("--from", o->from, "the first seed")->capture_default_str();
  c->add_option("--count", o->count, "how many seeds")->capture_default_str();
  c->add_option("--jobs", o->jobs, "at a time; as many as there are cores if not given")
      ->check(CLI::Range(1, 1024));
  auto* replay = c->add_option("--replay", o->replay, "play this seed and tell its timeline");
  c->add_option("--shrink", o->shrink, "find the least script of this seed that still fails")
      ->excludes(replay);
  c->add_option("--script", o->script, "play this file, in place of what a seed draws");
  c->add_option("--shape", o->shape,
                "play a whole fleet's scene: release, zone, join, herd or forget")
      ->check(CLI::IsMember({"release", "zone", "join", "herd", "forget"}));
  c->add_option("--sidecars", o->sidecars, "with --shape: sidecars of the clients")
      ->capture_default_str()
      ->check(CLI::Range(1, 1024));
  c->add_option("--nodes", o->nodes, "with --shape: nodes of each tier")
      ->capture_default_str()
      ->check(CLI::Range(2, 64));
  c->add_option("-o,--out", o->out, "where the figures (JSON) or the shrunk script go");
  c->add_flag("-q,--quiet", o->quiet, "no progress, no timeline");
  c->callback([o] {
    const int code = RunSeeds(*o);
    if (code != 0) throw CLI::RuntimeError(code);
  });
}

}  // namespace

void AddCommands(CLI::App& app) {
  AddEmulate(app);
  AddIncident(app);
  AddLoad(app);
  AddExperiment(app);
  AddReport(app);
  AddCompare(app);
  AddBench(app);
  AddLimits(app);
  AddCapture(app);
  AddPlayback(app);
  AddSeeds(app);
  AddStorm(app);
  AddCoordinator(app);
  AddFleet(app);
}

}  // namespace shelflab
