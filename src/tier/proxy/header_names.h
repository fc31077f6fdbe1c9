// Names of the HTTP headers that the proxy reads or sets, see PROTOCOL.
#ifndef SHELFLINK_TIER_PROXY_HEADER_NAMES_H_
#define SHELFLINK_TIER_PROXY_HEADER_NAMES_H_

namespace shelflink::proxy {

constexpr const char* kRequestIdHeader = "Shelflink-Request-Id";
constexpr const char* kDeadlineHeader = "Shelflink-Deadline-Ms";
constexpr const char* kCredentialHeader = "Shelflink-Credential";
constexpr const char* kTenantHeader = "Shelflink-Tenant";
constexpr const char* kExpectInstanceHeader = "Shelflink-Expect-Instance";
constexpr const char* kNotRunHeader = "Shelflink-Not-Run";
constexpr const char* kResponseStampHeader = "Shelflink-Response-Stamp";
constexpr const char* kServerLoadHeader = "Shelflink-Server-Load";
constexpr const char* kTokenCountHeader = "Shelflink-Token-Count";
constexpr const char* kPromptPrefixHeader = "Shelflink-Prompt-Prefix";
constexpr const char* kWaitHeader = "Shelflink-Wait-Ms";
constexpr const char* kLastEventIdHeader = "Last-Event-Id";
constexpr const char* kPriorityHeader = "Priority";
constexpr const char* kExpectVersionHeader = "Expect-Version";
constexpr const char* kProtocolHeaderPrefix = "Shelflink-";  // Common to the protocol's headers.
constexpr const char* kRetryAfterHeader = "Retry-After";

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_HEADER_NAMES_H_
