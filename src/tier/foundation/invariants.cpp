#include "tier/foundation/invariants.h"

#include <cstdlib>
#include <numeric>
#include <utility>

#include "tier/foundation/log.h"

namespace shelflink {
namespace {

constexpr const char* kModule = "invariants";

#ifdef SHELFLINK_FATAL_INVARIANTS
void DefaultHandler(Invariant, const std::string&) { std::abort(); }
#else
void DefaultHandler(Invariant, const std::string&) {}
#endif

}  // namespace

const char* NameOf(Invariant invariant) {
  switch (invariant) {
    case Invariant::kEndpointListIsFresh:
      return "endpoint_list_is_fresh";
    case Invariant::kAcknowledgedIsSynced:
      return "acknowledged_is_synced";
    case Invariant::kMemberCanStore:
      return "member_can_store";
    case Invariant::kReadListIsPublished:
      return "read_list_is_published";
    case Invariant::kDrainingStaysDraining:
      return "draining_stays_draining";
  }
  return "unknown";
}

Invariants::Invariants() : handler_(DefaultHandler) {}

void Invariants::Violate(Invariant invariant, const std::string& detail, std::int64_t now_micros) {
  ++violations_[static_cast<std::size_t>(invariant)];
  const std::string name = NameOf(invariant);
  log::Bounded(log::Level::kError, kModule, name, "violated: " + name + ": " + detail, now_micros);
  handler_(invariant, detail);
}

std::uint64_t Invariants::violations() const {
  return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

Invariants::Handler Invariants::SetHandler(Handler handler) {
  return std::exchange(handler_, std::move(handler));
}

Invariants& ProcessInvariants() {
  static Invariants invariants;
  return invariants;
}

}  // namespace shelflink
