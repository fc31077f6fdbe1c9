// Whether a list that an earlier process remembered may be started from. Pure.
#ifndef SHELFLINK_RECOVERY_RECALL_H_
#define SHELFLINK_RECOVERY_RECALL_H_

#include <cstdint>
#include <optional>

namespace recovery {

enum class Recall {
  kTake,
  kAgeUnknown,  // The clock has gone back since, or another start of the machine lies between.
  kTooOld,      // Others may hold the addresses that it names.
  kNotNewer     // The process was started with a list at least as new.
};

// `age` of what is remembered, none where it cannot be told; `most` that it may be, in
// microseconds; its version, and that of the list that the process was started with, if it was.
constexpr Recall MayRecall(std::optional<std::int64_t> age, std::int64_t most, std::int64_t version,
                           std::optional<std::int64_t> known) {
  if (!age) return Recall::kAgeUnknown;
  if (*age > most) return Recall::kTooOld;
  if (known && version <= *known) return Recall::kNotNewer;
  return Recall::kTake;
}

constexpr const char* WordOf(Recall recall) {
  switch (recall) {
    case Recall::kTake:
      return "taken";
    case Recall::kAgeUnknown:
      return "left: its age cannot be told";
    case Recall::kTooOld:
      return "left: too old";
    case Recall::kNotNewer:
      break;
  }
  return "left: not newer than the list given";
}

}  // namespace recovery

#endif  // SHELFLINK_RECOVERY_RECALL_H_
