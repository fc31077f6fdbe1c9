// Headers of requests and responses: which are forwarded, and parsing of their values. Pure.
#ifndef SHELFLINK_TIER_PROXY_HEADERS_H_
#define SHELFLINK_TIER_PROXY_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "sidecar/http.h"
#include "tier/policy/module.h"
#include "tier/proxy/calls.h"

namespace shelflink::proxy {

// Headers of a client's request that are forwarded to an endpoint: all except hop-by-hop headers
// (known ones and those listed in Connection), the body's framing, credentials, and headers that
// the proxy itself sets.
HeaderList RequestHeaders(const kelpspring::HttpRequest& request);
// Headers of an endpoint's response that are forwarded to the client: all except hop-by-hop headers
// and the body's framing.
HeaderList ResponseHeaders(const kelpspring::HttpResponse& response);

// Limit for the name and for the value of a header: Beast throws if a length exceeds 16 bits.
constexpr std::size_t kMaxFieldBytes = 65000;
// Whether a header of a batch item may be sent: it is not a hop-by-hop header, is not set by the
// proxy, has no characters that could end the header line, and is at most kMaxFieldBytes long.
bool IsAllowedItemHeader(std::string_view name, std::string_view value);

// Parses a decimal number that consists of digits only.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);

struct TokenCount {
  std::uint32_t prompt = 0;
  std::uint32_t max_output = 0;
};
// Parses e.g. "1460,80" (prompt, maximum output). A number that cannot be parsed becomes 0.
TokenCount ParseTokenCount(std::string_view text);
// Parses e.g. "5c1e07a2:800,91bd3f06:410" (id:tokens). Stops at the first invalid part.
std::vector<policy::PromptPart> ParsePromptPrefix(std::string_view text);

struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};
// Parses e.g. "3,0,8" (running, waiting, slots); none if it is invalid.
std::optional<ServerLoad> ParseServerLoad(std::string_view text);

// Value of the first header with that name, ignoring case; empty if there is none.
std::string_view ValueOf(const HeaderList& headers, std::string_view name);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_HEADERS_H_
