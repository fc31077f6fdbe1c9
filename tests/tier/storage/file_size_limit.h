// Writes that really fail: a limit of the sizes of files.
#ifndef SHELFLINK_TESTS_TIER_STORAGE_FILE_SIZE_LIMIT_H_
#define SHELFLINK_TESTS_TIER_STORAGE_FILE_SIZE_LIMIT_H_

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace shelflink::storage {

// While it lives no file of this process grows beyond the limit.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(rlim_t bytes) : handler_(std::signal(SIGXFSZ, SIG_IGN)) {
    BOOST_REQUIRE(getrlimit(RLIMIT_FSIZE, &before_) == 0);
    Set(bytes);
  }
  ~FileSizeLimit() {
    setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, handler_);
  }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;
  void Set(rlim_t bytes) {
    const rlimit limit{bytes, before_.rlim_max};
    BOOST_REQUIRE(setrlimit(RLIMIT_FSIZE, &limit) == 0);
  }

 private:
  void (*handler_)(int);
  rlimit before_{};
};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TESTS_TIER_STORAGE_FILE_SIZE_LIMIT_H_
