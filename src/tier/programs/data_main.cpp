// shelflink-data: the data plane's binary. `shelflink-data proxy` serves clients until SIGTERM;
// SIGHUP reads the settings file again. Exit codes: 0 left in order, 1 settings or addresses that
// cannot be used, 2 usage.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

#include "net/glib_loop.h"
#include "tier/foundation/log.h"
#include "tier/foundation/settings.h"
#include "tier/platform/soup_platform.h"
#include "tier/proxy/program.h"

namespace {

constexpr int kBadSettings = 1;
constexpr int kUsage = 2;

std::string SettingsPath() {
  const char* path = std::getenv("SHELFLINK_CONFIG");
  return path == nullptr ? std::string() : std::string(path);
}

void PrintFindings(const shelflink::Findings& findings) {
  for (const shelflink::Finding& finding : findings) {
    std::cerr << "shelflink-data: " << finding.place << ": " << finding.expected << '\n';
  }
}

// Settings that cannot be used leave the old ones in force.
void Reload(shelflink::proxy::Program& program) {
  const auto settings = shelflink::ReadSettings(SettingsPath());
  if (settings) {
    program.Reload(settings.value());
    shelflink::log::Info("proxy", "settings read again");
  } else {
    shelflink::log::Warning(
        "proxy", "the old settings stay in force: " + shelflink::TextOf(settings.error()));
  }
}

std::unique_ptr<shelflink::platform::Platform> MakePlatform(const net::Address& address) {
  return std::make_unique<shelflink::platform::SoupPlatform>(address);
}

shelflink::proxy::Program::PlatformFactory PlatformFactoryOf(
    const shelflink::ProcessSettings& settings) {
  if (!settings.cloud.address) return {};
  return [address = *settings.cloud.address] { return MakePlatform(address); };
}

int RunProxy() {
  if (SettingsPath().empty()) {
    std::cerr << "shelflink-data: SHELFLINK_CONFIG: expected the path of the settings file\n";
    return kBadSettings;
  }
  const auto settings = shelflink::ReadSettings(SettingsPath());
  if (!settings) {
    PrintFindings(settings.error());
    return kBadSettings;
  }
  shelflink::log::Start(settings.value().node, shelflink::log::Level::kInfo);
  net::GlibLoop loop;
  try {
    shelflink::proxy::Program program(loop, settings.value(), PlatformFactoryOf(settings.value()));
    loop.OnSignal(SIGTERM, [&] { program.Leave([&] { loop.Stop(); }); });
    loop.OnSignal(SIGHUP, [&] { Reload(program); });
    loop.Run();
  } catch (const net::Error& error) {
    std::cerr << "shelflink-data: " << error.what() << '\n';
    return kBadSettings;
  }
  return 0;
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
    return code == 0 ? 0 : kUsage;
  }
  return proxy->parsed() ? RunProxy() : kUsage;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "shelflink-data: %s\n", error.what());
    return kBadSettings;
  }
}

}  // namespace

int main(int argc, char** argv) { shelflink::log::EndProcess(Main(argc, argv)); }
