#include "lab/commands.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>

#include "lab/emulation.h"
#include "lab/experiment.h"
#include "lab/folder.h"
#include "lab/plan.h"

namespace shelflab {
namespace {

std::string SidecarProgram(const std::string& given) {
  const std::string program =
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
    if (o->repeats > 0) plan.experiment.repeats = o->repeats;
    const Folder folder(o->logs);
    ExperimentOptions options;
    options.sidecar_program = SidecarProgram(o->program);
    options.folder = folder.path();
    if (!o->quiet) options.progress = [](const std::string& line) { std::cerr << line << '\n'; };
    const nlohmann::json result = RunExperiment(plan, options);
    if (!o->out.empty()) WriteFile(o->out, result.dump(1) + "\n");
    if (!o->report.empty()) WriteFile(o->report, ReportOf(result));
    std::cout << Summary(result);
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

}  // namespace

void AddCommands(CLI::App& app) {
  AddExperiment(app);
  AddReport(app);
  AddCompare(app);
}

}  // namespace shelflab
