#include "tier/proxy/headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

#include "tier/proxy/header_names.h"

namespace shelflink::proxy {
namespace {

using kelpspring::View;

// Hop-by-hop headers (RFC 9110, 7.6.1) and the body's framing, which is generated for each
// connection.
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length",    "Proxy-Authenticate"};
// Set by the proxy; values from the client are dropped.
constexpr std::array<std::string_view, 7> kProxyControlledHeaders = {
    kRequestIdHeader,      kDeadlineHeader, kCredentialHeader,   kTenantHeader,
    kExpectInstanceHeader, kPriorityHeader, kExpectVersionHeader};

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

template <std::size_t N>
bool ContainsName(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view listed) { return EqualsIgnoreCase(listed, name); });
}

// Whether a Connection header of the message lists `name`.
template <typename Fields>
bool IsConnectionOption(const Fields& fields, boost::beast::string_view name) {
  const auto range = fields.equal_range(boost::beast::http::field::connection);
  return std::any_of(range.first, range.second, [name](const auto& field) {
    return boost::beast::http::token_list(field.value()).exists(name);
  });
}

bool IsProtocolHeader(std::string_view name) {
  return EqualsIgnoreCase(name.substr(0, std::string_view(kProtocolHeaderPrefix).size()),
                          kProtocolHeaderPrefix);
}

template <typename Fields, typename Skip>
HeaderList SelectHeaders(const Fields& fields, const Skip& skip) {
  const bool has_options = fields.count(boost::beast::http::field::connection) != 0;
  HeaderList selected;
  for (const auto& field : fields) {
    const std::string_view name = View(field.name_string());
    if (ContainsName(kHopByHopHeaders, name) || skip(name)) continue;
    // The protocol's headers are end-to-end even if Connection lists them.
    if (has_options && !IsProtocolHeader(name) && IsConnectionOption(fields, field.name_string())) {
      continue;
    }
    selected.emplace_back(name, View(field.value()));
  }
  return selected;
}

// Parses the number at the start of `text`; removes it and the separator after it.
std::optional<std::uint32_t> TakeNumber(std::string_view& text, char separator) {
  const std::size_t end = std::min(text.find(separator), text.size());
  const auto value = ParseUnsigned(text.substr(0, end));
  text.remove_prefix(std::min(end + 1, text.size()));
  if (!value || *value > UINT32_MAX) return std::nullopt;
  return static_cast<std::uint32_t>(*value);
}

std::optional<policy::PromptPart> ParsePromptPart(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == text.npos) return std::nullopt;
  policy::PromptPart part;
  const char* end = text.data() + colon;
  const auto read = std::from_chars(text.data(), end, part.id, 16);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  const auto tokens = ParseUnsigned(text.substr(colon + 1));
  if (!tokens || *tokens > UINT32_MAX) return std::nullopt;
  part.tokens = static_cast<std::uint32_t>(*tokens);
  return part;
}

}  // namespace

HeaderList RequestHeaders(const kelpspring::HttpRequest& request) {
  return SelectHeaders(request.base(), [](std::string_view name) {
    return ContainsName(kProxyControlledHeaders, name);
  });
}

HeaderList ResponseHeaders(const kelpspring::HttpResponse& response) {
  return SelectHeaders(response.base(), [](std::string_view) { return false; });
}

bool IsAllowedItemHeader(std::string_view name, std::string_view value) {
  const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
  const auto not_token = [&](char c) { return control(c) || c == ' ' || c == ':'; };
  return !name.empty() && name.size() <= kMaxFieldBytes && value.size() <= kMaxFieldBytes &&
         std::none_of(name.begin(), name.end(), not_token) &&
         std::none_of(value.begin(), value.end(), control) &&
         !ContainsName(kHopByHopHeaders, name) && !ContainsName(kProxyControlledHeaders, name);
}

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return value;
}

TokenCount ParseTokenCount(std::string_view text) {
  TokenCount count;
  count.prompt = TakeNumber(text, ',').value_or(0);
  count.max_output = TakeNumber(text, ',').value_or(0);
  return count;
}

std::vector<policy::PromptPart> ParsePromptPrefix(std::string_view text) {
  std::vector<policy::PromptPart> parts;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    const auto part = ParsePromptPart(text.substr(0, end));
    if (!part) break;
    parts.push_back(*part);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

std::optional<ServerLoad> ParseServerLoad(std::string_view text) {
  const auto running = TakeNumber(text, ',');
  const auto waiting = TakeNumber(text, ',');
  const auto slots = TakeNumber(text, ',');
  if (!running || !waiting || !slots) return std::nullopt;
  return ServerLoad{*running, *waiting, *slots};
}

std::string_view ValueOf(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return value;
  }
  return {};
}

}  // namespace shelflink::proxy
