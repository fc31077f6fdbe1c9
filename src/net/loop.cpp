#include "net/loop.h"

namespace net {

const char* WordOf(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "nothing wrong";
    case Fault::kEnd:
      return "ended by the other side";
    case Fault::kReset:
      return "reset";
    case Fault::kRefused:
      return "refused";
    case Fault::kUnreachable:
      return "not reachable";
    case Fault::kNoDescriptors:
      return "no descriptors left";
    case Fault::kClosed:
      return "closed";
    case Fault::kOther:
      break;
  }
  return "failed";
}

}  // namespace net
