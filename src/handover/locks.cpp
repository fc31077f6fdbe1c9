#include "handover/locks.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace handover {

// Not through a link, and without waiting at what is no plain file.
FileLocks::File::File(const std::string& path)
    : descriptor_(
          ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK, 0600)) {
  if (descriptor_ < 0) {
    throw std::runtime_error(path + ": expected a file to lock: " + std::strerror(errno));
  }
}

FileLocks::File::~File() { ::close(descriptor_); }

bool FileLocks::File::Take() const { return ::flock(descriptor_, LOCK_EX | LOCK_NB) == 0; }

void FileLocks::File::Drop() const { ::flock(descriptor_, LOCK_UN); }

FileLocks::FileLocks(const std::string& folder)
    : serving_(folder + "/shelflink-serving.lock"), coming_(folder + "/shelflink-coming.lock") {}

FileLocks::~FileLocks() = default;

bool FileLocks::TakeServing() { return serving_.Take(); }
bool FileLocks::TakeComing() { return coming_.Take(); }
void FileLocks::DropComing() { coming_.Drop(); }

}  // namespace handover
