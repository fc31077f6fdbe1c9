// shelflink-data: the binary of the data plane. `shelflink-data proxy` serves clients until
// SIGTERM; SIGHUP reloads the settings file. Exit codes: 0 orderly shutdown, 1 invalid settings or
// addresses, 2 usage.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "net/glib_loop.h"
#include "tier/foundation/log.h"
#include "tier/foundation/settings.h"
#include "tier/proxy/proxy_process.h"

namespace {

constexpr int kExitBadSettings = 1;
constexpr int kExitUsage = 2;

std::string SettingsPath() {
  const char* path = std::getenv("SHELFLINK_CONFIG");
  return path == nullptr ? std::string() : std::string(path);
}

void PrintFindings(const shelflink::Findings& findings) {
  for (const shelflink::Finding& finding : findings) {
    std::cerr << "shelflink-data: " << finding.place << ": " << finding.expected << '\n';
  }
}

int RunProxy() {
  if (SettingsPath().empty()) {
    std::cerr << "shelflink-data: SHELFLINK_CONFIG: expected the path of the settings file\n";
    return kExitBadSettings;
  }
  const auto settings = shelflink::ReadSettings(SettingsPath());
  if (!settings) {
    PrintFindings(settings.error());
    return kExitBadSettings;
  }
  shelflink::log::Start(settings.value().node, shelflink::log::Level::kInfo);
  net::GlibLoop loop;
  return shelflink::proxy::RunProxy(settings.value(), loop);
}

int Run(int argc, char** argv) {
  CLI::App app("Data plane of the shelflink serving tier");
  app.require_subcommand(1);
  const CLI::App* proxy = app.add_subcommand(
      "proxy", "Serve clients; settings from the file named by SHELFLINK_CONFIG");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kExitUsage;
  }
  return proxy->parsed() ? RunProxy() : kExitUsage;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "shelflink-data: %s\n", error.what());
    return kExitBadSettings;
  }
}

}  // namespace

int main(int argc, char** argv) { shelflink::log::EndProcess(Main(argc, argv)); }
