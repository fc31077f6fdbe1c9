// How far apart the attempts lie to recover a disk that refuses writes: often enough that one with
// room again is back within a second, seldom enough that an attempt, which reads the whole file, is
// no load.
#ifndef SHELFLINK_TIER_STORAGE_RECOVERY_PAUSES_H_
#define SHELFLINK_TIER_STORAGE_RECOVERY_PAUSES_H_

#include <chrono>

#include "tier/foundation/back_off.h"

namespace shelflink::storage {

constexpr BackOff::Bounds kRecoveryPauses{std::chrono::milliseconds(100),
                                          std::chrono::milliseconds(1000)};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_RECOVERY_PAUSES_H_
