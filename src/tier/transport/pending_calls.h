// Calls of this process that wait for their answer: whom to tell, by when, and on which connection
// each left. Pure: times come in.
#ifndef SHELFLINK_TIER_TRANSPORT_PENDING_CALLS_H_
#define SHELFLINK_TIER_TRANSPORT_PENDING_CALLS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "net/loop.h"
#include "tier/transport/hub.h"

namespace shelflink::transport {

struct PendingCall {
  Hub::Reply done;
  net::Time deadline;
  bool handed_over = false;      // To a connection or to this process itself.
  std::uint64_t connection = 0;  // Whose queue it stands in, or stood.
  std::uint64_t place = 0;       // Of its frame in that connection's stream.
};

class PendingCalls {
 public:
  // The number of the new call, from 1.
  std::uint64_t Open(Hub::Reply done, net::Time deadline) {
    const std::uint64_t call = ++last_;
    calls_[call] = {std::move(done), deadline};
    deadlines_.emplace(deadline, call);
    return call;
  }

  // Null once it is over.
  PendingCall* Find(std::uint64_t call) {
    const auto found = calls_.find(call);
    return found == calls_.end() ? nullptr : &found->second;
  }

  // Out of the table; none if it is over already.
  std::optional<PendingCall> Take(std::uint64_t call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return std::nullopt;
    PendingCall taken = std::move(found->second);
    calls_.erase(found);
    deadlines_.erase({taken.deadline, call});
    return taken;
  }

  // Time::max() without one.
  net::Time NextDeadline() const {
    return deadlines_.empty() ? net::Time::max() : deadlines_.begin()->first;
  }
  // A call whose time is over.
  std::optional<std::uint64_t> Overdue(net::Time now) const {
    if (NextDeadline() > now || deadlines_.empty()) return std::nullopt;
    return deadlines_.begin()->second;
  }

 private:
  std::uint64_t last_ = 0;
  std::unordered_map<std::uint64_t, PendingCall> calls_;
  std::set<std::pair<net::Time, std::uint64_t>> deadlines_;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_PENDING_CALLS_H_
