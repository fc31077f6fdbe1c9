// shelflab: the command line of the emulator, the load tool and the experiments. Exit codes: 0
// well, 1 a run went wrong, 2 bad input, 130 interrupted.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <string>

#include "lab/clock.h"
#include "lab/commands.h"
#include "lab/plan.h"

namespace {

constexpr int kBadInput = 2;
constexpr int kWentWrong = 1;

// Every connection is a descriptor: as many as the system lets us have.
void RaiseDescriptors() {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0) return;
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
}

int Run(CLI::App& app, int argc, char** argv) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::RuntimeError& e) {
    return e.get_exit_code();
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadInput;
  } catch (const shelflab::BadPlan& e) {
    std::cerr << e.what() << '\n';
    return kBadInput;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    RaiseDescriptors();
    shelflab::ClockOrigin();
    spdlog::set_default_logger(spdlog::stderr_logger_st("shelflab"));
    spdlog::set_pattern("%H:%M:%S.%e %l %v");
    CLI::App app{"An emulated fleet, load on it, incidents, experiments"};
    app.require_subcommand(1);
    shelflab::AddCommands(app);
    return Run(app, argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "shelflab: %s\n", e.what());
    return kWentWrong;
  }
}
