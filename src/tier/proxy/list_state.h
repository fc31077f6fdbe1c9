// How far the list of endpoints that a proxy acts by can be trusted.
#ifndef SHELFLINK_TIER_PROXY_LIST_STATE_H_
#define SHELFLINK_TIER_PROXY_LIST_STATE_H_

#include <cstdint>

namespace shelflink::proxy {

enum class ListState : std::uint8_t {
  kFresh,      // Read within `drainMs`.
  kUnrenewed,  // Older; this process started, or stood still, less than `contactMs` ago.
  kUnchecked,  // The first list, older or of unknown age; nothing newer was asked for in vain yet.
  kExcused,    // Older; the platform does not answer in time, or there is none.
  kStale,      // Older without an excuse.
};

// Whether the process may send requests at all.
inline bool RequestsMayGo(ListState state) { return state != ListState::kUnchecked; }

// A batch item can wait in its store until a process that stood still has renewed.
inline bool ItemsMayGo(ListState state) {
  return RequestsMayGo(state) && state != ListState::kUnrenewed;
}

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_LIST_STATE_H_
