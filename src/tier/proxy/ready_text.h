// The body of an answer to GET /ready, for whoever operates the proxy: whether it is ready and, a
// line each, what stands in the way and what is wrong beside it. The platform reads the status
// alone, which nothing here decides. Pure.
#ifndef SHELFLINK_TIER_PROXY_READY_TEXT_H_
#define SHELFLINK_TIER_PROXY_READY_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/proxy/list_state.h"
#include "tier/proxy/readiness.h"

namespace shelflink::proxy {

// Of the list of endpoints that the proxy goes by.
struct ListCondition {
  ListState state = ListState::kFresh;
  std::optional<net::Span> age;  // Since its reading; none: not known.
  net::Span bound{};             // `bounds.drainMs`
};

// `refusing_cores`: core processes that said that their disks refuse writes.
std::string ReadyText(const Readiness& readiness, const ListCondition& list,
                      std::size_t refusing_cores, net::Time now);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_READY_TEXT_H_
