// soak_node proxy|core|store: the product's own processes on a loop whose connections can be cut,
// for tests/soak. SHELFLINK_CONFIG names the settings file as it does for the product's binaries,
// SHELFLINK_SOAK_CUTS the file of cuts. Exit codes as theirs: 1 settings, addresses or disk, 2
// usage.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string_view>

#include "soak/cutting_loop.h"
#include "tier/batch/store_program.h"
#include "tier/cluster/core_program.h"
#include "tier/foundation/log.h"
#include "tier/foundation/settings.h"
#include "tier/proxy/proxy_process.h"

namespace {

constexpr int kBadSettings = 1;
constexpr int kUsage = 2;

std::string_view Variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

int Run(std::string_view role) {
  const auto settings = shelflink::ReadSettings(std::string(Variable("SHELFLINK_CONFIG")));
  if (!settings) {
    std::cerr << "soak_node: " << shelflink::TextOf(settings.error()) << '\n';
    return kBadSettings;
  }
  shelflink::log::Start(settings.value().node, shelflink::log::Level::kInfo);
  shelflink::soak::CuttingLoop loop{std::string(Variable("SHELFLINK_SOAK_CUTS"))};
  if (role == "proxy") return shelflink::proxy::RunProxy(settings.value(), loop);
  if (role == "core") return shelflink::cluster::RunCore(settings.value(), loop);
  if (role == "store") return shelflink::batch::RunStore(settings.value(), loop);
  std::cerr << "soak_node proxy|core|store\n";
  return kUsage;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return argc == 2 ? Run(argv[1]) : kUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "soak_node: %s\n", error.what());
    return kBadSettings;
  }
}

}  // namespace

int main(int argc, char** argv) { shelflink::log::EndProcess(Main(argc, argv)); }
