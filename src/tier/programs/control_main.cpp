// shelflink-control: the control plane's binary. `core` serves the operator and the cluster,
// `store` keeps batch jobs, each until SIGTERM; SIGHUP reads the settings file again. Exit codes: 0
// left in order; 1 settings or addresses that cannot be used, for `core` also a disk that it may
// not use (a disk that is full, or any of a `store`, is tried again); 2 usage.
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

namespace {

constexpr int kBadSettings = 1;
constexpr int kUsage = 2;

using RunProcess = int (*)(const shelflink::ProcessSettings&, net::GlibLoop&);

int Run(RunProcess run) {
  const char* path = std::getenv("SHELFLINK_CONFIG");
  if (path == nullptr || *path == '\0') {
    std::cerr << "shelflink-control: SHELFLINK_CONFIG: expected the path of the settings file\n";
    return kBadSettings;
  }
  const auto settings = shelflink::ReadSettings(path);
  if (!settings) {
    for (const shelflink::Finding& finding : settings.error()) {
      std::cerr << "shelflink-control: " << finding.place << ": " << finding.expected << '\n';
    }
    return kBadSettings;
  }
  shelflink::log::Start(settings.value().node, shelflink::log::Level::kInfo);
  net::GlibLoop loop;
  return run(settings.value(), loop);
}

int RunCommand(int argc, char** argv) {
  CLI::App app("Control plane of the shelflink serving tier");
  app.require_subcommand(1);
  const CLI::App* core = app.add_subcommand(
      "core",
      "Serve the operator and the cluster; settings from the file named by SHELFLINK_CONFIG");
  const CLI::App* store = app.add_subcommand(
      "store", "Keep batch jobs; settings from the file named by SHELFLINK_CONFIG");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kUsage;
  }
  if (core->parsed()) return Run(shelflink::cluster::RunCore);
  return store->parsed() ? Run(shelflink::batch::RunStore) : kUsage;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // A limit of the files' size is told as an error, as a full disk.
  try {
    return RunCommand(argc, argv);
  } catch (const std::exception& error) {
    std::fputs("shelflink-control: ", stderr);
    std::fputs(error.what(), stderr);
    std::fputs("\n", stderr);
    return kBadSettings;
  }
}

}  // namespace

int main(int argc, char** argv) { shelflink::log::EndProcess(Main(argc, argv)); }
