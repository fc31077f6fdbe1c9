// What tests of storages in real files share: a folder of their own.
#ifndef SHELFLINK_TESTS_TIER_STORAGE_STORAGE_FOLDER_H_
#define SHELFLINK_TESTS_TIER_STORAGE_STORAGE_FOLDER_H_

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "storage/step_loop.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::storage {

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
