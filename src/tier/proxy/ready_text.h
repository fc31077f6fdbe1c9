// The body of the response to GET /ready, meant for operators: whether the proxy is ready, then one
// line for each reason why it is not and for each other fault. The platform looks at the status
// code only, which is decided elsewhere (Readiness). No I/O.
#ifndef SHELFLINK_TIER_PROXY_READY_TEXT_H_
#define SHELFLINK_TIER_PROXY_READY_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/proxy/list_state.h"
#include "tier/proxy/readiness.h"

namespace shelflink::proxy {

// Age and state of the list of endpoints that the proxy uses.
struct ListCondition {
  ListState state = ListState::kFresh;
  std::optional<net::Span> age;  // Time since its reading began; none: unknown.
  net::Span max_age{};           // `bounds.drainMs`
};

// `refusing_cores`: number of core processes that have reported that their disks refuse writes.
std::string ReadyText(const Readiness& readiness, const ListCondition& list,
                      std::size_t refusing_cores, net::Time now);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READY_TEXT_H_
