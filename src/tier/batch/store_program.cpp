#include "tier/batch/store_program.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "tier/batch/store_process.h"
#include "tier/foundation/log.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::batch {
namespace {

constexpr std::string_view kLogName = "batch.store";
constexpr std::uint64_t kBytesPerMegabyte = 1U << 20;
// What the file system itself needs of the disk.
constexpr double kMapShare = 0.95;

std::uint64_t Draw() {
  static std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::unique_ptr<storage::Storage> OpenDisk(net::Loop& loop, const ProcessSettings& settings) {
  storage::LmdbStorage::Options options;
  options.folder = settings.data_dir + "/batch";
  options.bytes_limit = static_cast<std::uint64_t>(
      kMapShare * static_cast<double>(settings.limits.disk_mb * kBytesPerMegabyte));
  return storage::LmdbStorage::OpenOrFailed(loop, options);
}

void ReloadSettings(StoreProcess& process) {
  const char* path = std::getenv("SHELFLINK_CONFIG");
  if (path == nullptr) return;
  const auto settings = ReadSettings(path);
  if (settings) {
    process.SetSeeds(settings.value().seeds);
  } else {
    log::Warning(kLogName, "settings not taken: " + TextOf(settings.error()));
  }
}

}  // namespace

int RunStore(const ProcessSettings& settings, net::GlibLoop& loop) {
  if (settings.data_dir.empty()) {
    log::Line(log::Level::kError, kLogName, "a store needs dataDir");
    return EXIT_FAILURE;
  }
  StoreProcess process(
      loop, settings, [&] { return OpenDisk(loop, settings); }, Draw);
  bool told_to_end = false;
  loop.OnSignal(SIGTERM, [&] {
    if (std::exchange(told_to_end, true)) return;
    process.Leave([&loop] { loop.Stop(); });
  });
  loop.OnSignal(SIGHUP, [&process] { ReloadSettings(process); });
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace shelflink::batch
