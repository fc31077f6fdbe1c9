// Checks of what must hold in a running process whatever befalls it. A violation is counted, told
// in the log by one line a minute for each invariant, and handed to the handler: in builds with
// tests the default handler ends the process.
//
// Not for errors that others can bring about (malformed messages, full disks): those are counted
// and answered where they come in. The pure state machines do not use it; whoever runs them does.
#ifndef SHELFLINK_TIER_FOUNDATION_INVARIANTS_H_
#define SHELFLINK_TIER_FOUNDATION_INVARIANTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace shelflink {

enum class Invariant : std::uint8_t {
  // A process in touch sends no request on a list of endpoints older than `drainMs`.
  kEndpointListIsFresh,
  // No write is acknowledged that no sync covers on this disk.
  kAcknowledgedIsSynced,
  // A process whose storage refuses writes grants no lease and casts no vote.
  kMemberCanStore,
  // A list of endpoints that was read is published by the primary that read it.
  kReadListIsPublished,
  // An endpoint that was seen draining takes no new request from this process.
  kDrainingStaysDraining,
};
constexpr std::size_t kInvariants = 5;

// As in metrics and logs: lower case with underscores.
const char* NameOf(Invariant invariant);

class Invariants {
 public:
  using Handler = std::function<void(Invariant violated, const std::string& detail)>;

  Invariants();
  // `detail` says what of whom; it is built only by the caller, so keep it out of hot paths.
  // `now_micros` is any steady clock; it bounds what goes into the log.
  void Check(bool holds, Invariant invariant, const std::string& detail, std::int64_t now_micros) {
    if (!holds) Violate(invariant, detail, now_micros);
  }
  void Violate(Invariant invariant, const std::string& detail, std::int64_t now_micros);
  std::uint64_t violations(Invariant invariant) const {
    return violations_[static_cast<std::size_t>(invariant)];
  }
  std::uint64_t violations() const;
  // For tests of the checks themselves; returns the handler before.
  Handler SetHandler(Handler handler);

 private:
  std::array<std::uint64_t, kInvariants> violations_{};
  Handler handler_;
};

// Of this process. One thread.
Invariants& ProcessInvariants();

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_INVARIANTS_H_
