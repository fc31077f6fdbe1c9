// A file descriptor that is closed at the end of its scope.
#ifndef SHELFLINK_TIER_STORAGE_DESCRIPTOR_H_
#define SHELFLINK_TIER_STORAGE_DESCRIPTOR_H_

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <string>

namespace shelflink::storage {

class Descriptor {
 public:
  static constexpr mode_t kFileMode = 0600;

  Descriptor(const std::string& path, int flags)
      : number_(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {}
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  bool open() const { return number_ >= 0; }
  int number() const { return number_; }

 private:
  int number_;
};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_DESCRIPTOR_H_
