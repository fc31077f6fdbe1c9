#include <stdlib.h>
#include <sys/resource.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "measure/samples.h"
#include "measure/tables.h"
#include "storage/step_loop.h"
#include "tier/coordination/group.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::measure {
namespace {

using storage::Batch;
using storage::LmdbStorage;
using storage::StepLoop;

constexpr std::size_t kMegabyte = 1U << 20;
constexpr std::size_t kValue = 64U << 10;
constexpr rlim_t kNoRoom = 16U << 10;  // Less than a recovery writes to prove room.
constexpr int kRounds = 5;

struct FileSize {
  const char* owner;
  std::size_t map;   // Megabytes.
  std::size_t held;  // Megabytes wanted; fewer where the map takes no more.
};
// A core process has half of `diskMb` 64, a store half of 610.
constexpr std::array<FileSize, 7> kSizes{{{"core", 32, 0},
                                          {"core", 32, 1},
                                          {"core", 32, 8},
                                          {"core", 32, 32},
                                          {"store", 305, 32},
                                          {"store", 305, 100},
                                          {"store", 305, 305}}};

class NewFolder {
 public:
  NewFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "measureXXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no folder can be made");
    path_ = pattern;
  }
  ~NewFolder() { std::filesystem::remove_all(path_); }
  NewFolder(const NewFolder&) = delete;
  NewFolder& operator=(const NewFolder&) = delete;
  std::string core() const { return (path_ / "core").string(); }

 private:
  std::filesystem::path path_;
};

// While it lives no file of this process grows.
class NoRoom {
 public:
  NoRoom() : handler_(std::signal(SIGXFSZ, SIG_IGN)) {
    getrlimit(RLIMIT_FSIZE, &before_);
    const rlimit limit{kNoRoom, before_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~NoRoom() {
    setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, handler_);
  }
  NoRoom(const NoRoom&) = delete;
  NoRoom& operator=(const NoRoom&) = delete;

 private:
  void (*handler_)(int);
  rlimit before_{};
};

bool Store(StepLoop& loop, LmdbStorage& storage, const Batch& batch) {
  bool stored = false;
  storage.Apply(batch);
  storage.Sync([&](const Result<void>& result) { stored = result.has_value(); });
  loop.Run();
  return stored;
}

// Up to what a group leaves free.
std::size_t Fill(StepLoop& loop, LmdbStorage& storage, std::size_t megabytes) {
  std::size_t held = 0;
  while (held < megabytes * kMegabyte) {
    const storage::Usage usage = storage.usage();
    const std::uint64_t most = usage.bytes_limit / 100 * coordination::kMaxDiskUsePercent;
    if (usage.bytes_used + 2 * kValue > most) break;
    Batch batch;
    batch.Put("key" + std::to_string(100'000 + held / kValue), std::string(kValue, 'v'));
    if (!Store(loop, storage, batch)) throw std::runtime_error("it is not stored");
    held += kValue;
  }
  return held;
}

net::Span Timed(const std::function<void()>& step) {
  const auto began = std::chrono::steady_clock::now();
  step();
  return std::chrono::steady_clock::now() - began;
}

void PrintRow(const FileSize& size) {
  const NewFolder folder;
  StepLoop loop;
  LmdbStorage::Options options;
  options.folder = folder.core();
  options.bytes_limit = size.map * kMegabyte;
  options.log_failures = false;
  const auto opened = LmdbStorage::Open(loop, options);
  if (!opened) throw std::runtime_error(opened.error().text);
  LmdbStorage& storage = *opened.value();
  const std::size_t held = Fill(loop, storage, size.held);
  Samples looks;
  Samples recoveries;
  for (int round = 0; round < kRounds; ++round) {
    {
      const NoRoom full;
      Batch batch;
      batch.Put("refused", std::string(kValue, 'v'));
      if (Store(loop, storage, batch)) throw std::runtime_error("a full disk has stored");
      looks.Add(Timed([&] {
        if (storage.Recover()) throw std::runtime_error("a full disk has room");
      }));
    }
    recoveries.Add(Timed([&] {
      if (!storage.Recover()) throw std::runtime_error("it does not recover");
    }));
  }
  std::printf("| %s | %zu | %.1f | %s | %s | %s | %s |\n", size.owner, size.map,
              static_cast<double>(held) / kMegabyte, looks.Median().c_str(), looks.Most().c_str(),
              recoveries.Median().c_str(), recoveries.Most().c_str());
  std::fflush(stdout);
}

}  // namespace

void PrintFileRecoveries(const Wanted&) {
  std::printf("Real files, real time, %d rounds; ms\n\n", kRounds);
  std::printf(
      "| of a | map, MB | holds, MB | a look at a full disk, median | most | recovery with "
      "room, median | most |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const FileSize& size : kSizes) PrintRow(size);
}

}  // namespace shelflink::measure
