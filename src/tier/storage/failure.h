// Why a storage refuses: what its owner may expect of trying again.
#ifndef SHELFLINK_TIER_STORAGE_FAILURE_H_
#define SHELFLINK_TIER_STORAGE_FAILURE_H_

#include <cstdint>

namespace shelflink::storage {

enum class Failure : std::uint8_t {
  kNone,
  kFull,       // No room: the disk, a quota, a limit of the file's size or of the map.
  kTransient,  // The device or the system failed for once: what is stored is not in doubt.
  kDamaged,    // What is stored is not what was written.
  kFatal,      // Anything else, as a missing right.
};

// As in logs: lower case.
const char* NameOf(Failure failure);
// Of an error code of the operating system; 0: kNone.
Failure FailureOfErrno(int code);

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_FAILURE_H_
