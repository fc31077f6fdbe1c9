#include "tier/storage/failure.h"

#include <cerrno>

namespace shelflink::storage {

const char* NameOf(Failure failure) {
  switch (failure) {
    case Failure::kNone:
      return "none";
    case Failure::kFull:
      return "full";
    case Failure::kTransient:
      return "transient";
    case Failure::kDamaged:
      return "damaged";
    case Failure::kFatal:
      return "fatal";
  }
  return "unknown";
}

Failure FailureOfErrno(int code) {
  switch (code) {
    case 0:
      return Failure::kNone;
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
      return Failure::kFull;
    case EIO:
    case EINTR:
    case EAGAIN:
    case EBUSY:
    case ETIMEDOUT:
      return Failure::kTransient;
    default:
      return Failure::kFatal;
  }
}

}  // namespace shelflink::storage
