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

// Of one connection only (RFC 9110, 7.6.1), and the framing, which each side makes anew.
constexpr std::array<std::string_view, 10> kOfConnection = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length",    "Proxy-Authenticate"};
// Set by the proxy, whatever the client sent.
constexpr std::array<std::string_view, 7> kOwn = {
    kRequestIdHeader,      kDeadlineHeader, kCredentialHeader,   kTenantHeader,
    kExpectInstanceHeader, kPriorityHeader, kExpectVersionHeader};

bool Same(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

template <std::size_t N>
bool Among(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view one) { return Same(one, name); });
}

// Whether a Connection header of the message names it.
template <typename Fields>
bool NamedInConnection(const Fields& fields, boost::beast::string_view name) {
  const auto range = fields.equal_range(boost::beast::http::field::connection);
  return std::any_of(range.first, range.second, [name](const auto& field) {
    return boost::beast::http::token_list(field.value()).exists(name);
  });
}

bool IsOfProtocol(std::string_view name) {
  return Same(name.substr(0, std::string_view(kProtocolHeaderPrefix).size()),
              kProtocolHeaderPrefix);
}

template <typename Fields, typename Skip>
HeaderList Selected(const Fields& fields, const Skip& skip) {
  const bool names_more = fields.count(boost::beast::http::field::connection) != 0;
  HeaderList selected;
  for (const auto& field : fields) {
    const std::string_view name = View(field.name_string());
    if (Among(kOfConnection, name) || skip(name)) continue;
    // The protocol's own headers go from end to end, whatever Connection names.
    if (names_more && !IsOfProtocol(name) && NamedInConnection(fields, field.name_string())) {
      continue;
    }
    selected.emplace_back(name, View(field.value()));
  }
  return selected;
}

// Takes the next number off the front of the text, with the separator behind it.
std::optional<std::uint32_t> NextNumber(std::string_view& text, char separator) {
  const std::size_t end = std::min(text.find(separator), text.size());
  const auto value = WholeNumber(text.substr(0, end));
  text.remove_prefix(std::min(end + 1, text.size()));
  if (!value || *value > UINT32_MAX) return std::nullopt;
  return static_cast<std::uint32_t>(*value);
}

std::optional<policy::PromptPart> ParsePart(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == text.npos) return std::nullopt;
  policy::PromptPart part;
  const char* end = text.data() + colon;
  const auto read = std::from_chars(text.data(), end, part.id, 16);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  const auto tokens = WholeNumber(text.substr(colon + 1));
  if (!tokens || *tokens > UINT32_MAX) return std::nullopt;
  part.tokens = static_cast<std::uint32_t>(*tokens);
  return part;
}

}  // namespace

HeaderList RequestHeaders(const kelpspring::HttpRequest& request) {
  return Selected(request.base(), [](std::string_view name) { return Among(kOwn, name); });
}

HeaderList ResponseHeaders(const kelpspring::HttpResponse& answer) {
  return Selected(answer.base(), [](std::string_view) { return false; });
}

bool MayBeSent(std::string_view name, std::string_view value) {
  const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
  const auto not_token = [&](char c) { return control(c) || c == ' ' || c == ':'; };
  return !name.empty() && name.size() <= kLongestField && value.size() <= kLongestField &&
         std::none_of(name.begin(), name.end(), not_token) &&
         std::none_of(value.begin(), value.end(), control) && !Among(kOfConnection, name) &&
         !Among(kOwn, name);
}

std::optional<std::uint64_t> WholeNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return value;
}

TokenCount ParseTokenCount(std::string_view text) {
  TokenCount count;
  count.prompt = NextNumber(text, ',').value_or(0);
  count.most_out = NextNumber(text, ',').value_or(0);
  return count;
}

std::vector<policy::PromptPart> ParsePromptPrefix(std::string_view text) {
  std::vector<policy::PromptPart> parts;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    const auto part = ParsePart(text.substr(0, end));
    if (!part) break;
    parts.push_back(*part);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

std::optional<ServerLoad> ParseServerLoad(std::string_view text) {
  const auto running = NextNumber(text, ',');
  const auto waiting = NextNumber(text, ',');
  const auto slots = NextNumber(text, ',');
  if (!running || !waiting || !slots) return std::nullopt;
  return ServerLoad{*running, *waiting, *slots};
}

std::string_view ValueOf(const HeaderList& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (Same(key, name)) return value;
  }
  return {};
}

}  // namespace shelflink::proxy
