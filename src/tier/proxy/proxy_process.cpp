#include "tier/proxy/proxy_process.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "tier/foundation/log.h"
#include "tier/platform/soup_platform.h"
#include "tier/proxy/program.h"

namespace shelflink::proxy {
namespace {

constexpr const char* kModule = "proxy";

// If the settings file is invalid, the previous settings stay in effect.
void ReloadSettings(Program& program) {
  const char* path = std::getenv("SHELFLINK_CONFIG");
  const auto settings = ReadSettings(path == nullptr ? "" : path);
  if (settings) {
    program.Reload(settings.value());
    log::Info(kModule, "settings reloaded");
  } else {
    log::Warning(kModule, "settings not reloaded, the previous ones stay in effect: " +
                              TextOf(settings.error()));
  }
}

Program::PlatformFactory PlatformFactoryOf(const ProcessSettings& settings) {
  if (!settings.cloud.address) return {};
  return [address = *settings.cloud.address] {
    return std::make_unique<platform::SoupPlatform>(address);
  };
}

}  // namespace

int RunProxy(const ProcessSettings& settings, net::GlibLoop& loop) {
  try {
    Program program(loop, settings, PlatformFactoryOf(settings));
    loop.OnSignal(SIGTERM, [&] { program.Leave([&] { loop.Stop(); }); });
    loop.OnSignal(SIGHUP, [&] { ReloadSettings(program); });
    loop.Run();
  } catch (const net::Error& error) {
    std::cerr << "shelflink-data: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace shelflink::proxy
