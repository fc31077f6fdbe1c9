// shelflink-control: the binary of the control plane. `core` serves operators and the cluster,
// `store` keeps batch jobs; both run until SIGTERM, and SIGHUP reloads the settings file. Exit
// codes: 0 orderly shutdown; 1 invalid settings or addresses, for `core` also a disk that it must
// not use (a full disk is retried, and so is any fault of the disk of a `store`); 2 usage. `status`
// asks a core process and ends: 0 everything is fully replicated, 1 something is under-replicated,
// 2 unknown.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "net/glib_loop.h"
#include "tier/batch/store_program.h"
#include "tier/cluster/core_program.h"
#include "tier/foundation/log.h"
#include "tier/foundation/settings.h"
#include "tier/programs/status_command.h"

namespace {

constexpr int kExitBadSettings = 1;
constexpr int kExitUsage = 2;
constexpr int kMaxTimeoutMs = 60000;

using RunProcess = int (*)(const shelflink::ProcessSettings&, net::GlibLoop&);

int Run(RunProcess run) {
  const char* path = std::getenv("SHELFLINK_CONFIG");
  if (path == nullptr || *path == '\0') {
    std::cerr << "shelflink-control: SHELFLINK_CONFIG: expected the path of the settings file\n";
    return kExitBadSettings;
  }
  const auto settings = shelflink::ReadSettings(path);
  if (!settings) {
    for (const shelflink::Finding& finding : settings.error()) {
      std::cerr << "shelflink-control: " << finding.place << ": " << finding.expected << '\n';
    }
    return kExitBadSettings;
  }
  shelflink::log::Start(settings.value().node, shelflink::log::Level::kInfo);
  net::GlibLoop loop;
  return run(settings.value(), loop);
}

const CLI::App* AddStatus(CLI::App& app, shelflink::programs::StatusOptions& options) {
  CLI::App* status = app.add_subcommand(
      "status",
      "Print which processes hold copies of what, and how long copies were missing; exit status 0: "
      "everything is fully replicated, 1: something is under-replicated, 2: unknown");
  status->add_option("--address", options.addresses,
                     "listen.control of a core process, ADDRESS:PORT; may be given again. Without "
                     "it: listen.control and seeds of the file named by SHELFLINK_CONFIG");
  status
      ->add_option_function<int>(
          "--timeout-ms",
          [&options](int millis) { options.timeout = std::chrono::milliseconds(millis); },
          "Longest time to wait for the answer of a core process")
      ->check(CLI::Range(1, kMaxTimeoutMs))
      ->default_str(std::to_string(options.timeout.count()));
  status->add_flag("--json", options.json, "Print the answer of the core process unchanged");
  return status;
}

int RunCommand(int argc, char** argv) {
  CLI::App app("Control plane of the shelflink serving tier");
  app.require_subcommand(1);
  const CLI::App* core = app.add_subcommand(
      "core",
      "Serve the operator and the cluster; settings from the file named by SHELFLINK_CONFIG");
  const CLI::App* store = app.add_subcommand(
      "store", "Keep batch jobs; settings from the file named by SHELFLINK_CONFIG");
  shelflink::programs::StatusOptions status_options;
  const CLI::App* status = AddStatus(app, status_options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kExitUsage;
  }
  if (status->parsed()) return shelflink::programs::RunStatus(status_options);
  if (core->parsed()) return Run(shelflink::cluster::RunCore);
  return store->parsed() ? Run(shelflink::batch::RunStore) : kExitUsage;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // Makes writes beyond the file size limit fail with an error, as on a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  try {
    return RunCommand(argc, argv);
  } catch (const std::exception& error) {
    std::fputs("shelflink-control: ", stderr);
    std::fputs(error.what(), stderr);
    std::fputs("\n", stderr);
    return kExitBadSettings;
  }
}

}  // namespace

int main(int argc, char** argv) { shelflink::log::EndProcess(Main(argc, argv)); }
