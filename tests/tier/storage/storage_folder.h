// What tests of storages in real files share: a folder of their own, and a loop that runs when
// told.
#ifndef SHELFLINK_TESTS_TIER_STORAGE_STORAGE_FOLDER_H_
#define SHELFLINK_TESTS_TIER_STORAGE_STORAGE_FOLDER_H_

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::storage {

// Runs posted steps when told; storage needs nothing else of a loop.
class StepLoop : public net::Loop {
 public:
  net::Time Now() const override { return {}; }
  std::int64_t WallMicros() const override { return 0; }
  std::int64_t LastingMicros() const override { return 0; }
  net::TimerPtr NewTimer(std::function<void()>) override { return nullptr; }
  void Post(std::function<void()> step) override { steps_.push_back(std::move(step)); }
  net::StreamPtr Dial(const net::Address&, net::StreamUser&) override { return nullptr; }
  net::ListenerPtr Listen(const net::Address&) override { return nullptr; }
  net::DatagramsPtr Bind(const net::Address&, net::Datagrams::OnMessage) override {
    return nullptr;
  }
  void Run() {
    while (!steps_.empty()) {
      const auto step = std::move(steps_.front());
      steps_.pop_front();
      step();
    }
  }

 private:
  std::deque<std::function<void()>> steps_;
};

struct Folder {
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "storageXXXXXX").string();
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path = pattern;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  LmdbStorage::Options Options(std::uint64_t limit = 4U << 20) const {
    return {(path / "core").string(), limit, true};
  }
  std::filesystem::path path;
};

inline std::vector<std::string> KeysOf(const Storage& storage, std::string_view prefix,
                                       std::string_view from = "") {
  std::vector<std::string> keys;
  storage.Scan(prefix, from, [&](std::string_view key, std::string_view) {
    keys.emplace_back(key);
    return true;
  });
  return keys;
}

}  // namespace shelflink::storage

#endif  // SHELFLINK_TESTS_TIER_STORAGE_STORAGE_FOLDER_H_
