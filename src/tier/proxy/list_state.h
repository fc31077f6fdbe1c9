// Freshness of the list of endpoints that a proxy uses, and what it may send while the list is old.
#ifndef SHELFLINK_TIER_PROXY_LIST_STATE_H_
#define SHELFLINK_TIER_PROXY_LIST_STATE_H_

#include <cstdint>

namespace shelflink::proxy {

// Every state but kFresh is that of a list older than `drainMs` or of unknown age.
enum class ListState : std::uint8_t {
  kFresh,    // The reading that the list stands for began at most `drainMs` ago.
  kResumed,  // This process started, or resumed after a pause, less than `contactMs` ago.
  // The first list of this process; no attempt to get a newer one has failed yet.
  kUnverified,
  kPlatformUnavailable,  // The platform does not answer in time, or none is configured.
  kStale,                // None of the above: a request sent by it is an invariant violation.
};

// Whether the process may send any request; for batch items AllowsBatchItems must hold as well.
inline bool AllowsRequests(ListState state) { return state != ListState::kUnverified; }

// Batch items can wait in their store until a resumed process has renewed its lease.
inline bool AllowsBatchItems(ListState state) {
  return AllowsRequests(state) && state != ListState::kResumed;
}

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_LIST_STATE_H_
