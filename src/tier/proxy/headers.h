// Headers of requests and answers: what is passed on, and what their values say. Pure.
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

// What of a client's request goes on to an endpoint: all but what concerns one connection (by name
// or because Connection names it), the body's framing, keys, and what the proxy itself sets.
HeaderList RequestHeaders(const kelpspring::HttpRequest& request);
// What of an endpoint's answer goes back: all but what concerns one connection and the framing.
HeaderList ResponseHeaders(const kelpspring::HttpResponse& answer);

// The longest name or value that a message holds: Beast throws where one needs more than 16 bits.
constexpr std::size_t kLongestField = 65000;
// Whether a header of a batch item may be sent: not of one connection, not the proxy's own, nothing
// in it that could end the line, and not too long.
bool MayBeSent(std::string_view name, std::string_view value);

// Digits and nothing else.
std::optional<std::uint64_t> WholeNumber(std::string_view text);

struct TokenCount {
  std::uint32_t prompt = 0;
  std::uint32_t most_out = 0;
};
// "1460,80"; zeros for what cannot be read.
TokenCount ParseTokenCount(std::string_view text);
// "5c1e07a2:800,91bd3f06:410": the parts up to the first that cannot be read.
std::vector<policy::PromptPart> ParsePromptPrefix(std::string_view text);

struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};
// "3,0,8"
std::optional<ServerLoad> ParseServerLoad(std::string_view text);

// The value of the header in the list, case ignored; empty: none.
std::string_view ValueOf(const HeaderList& headers, std::string_view name);

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_HEADERS_H_
