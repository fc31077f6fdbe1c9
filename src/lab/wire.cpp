#include "lab/wire.h"

#include <fmt/format.h>

#include <charconv>
#include <functional>
#include <iterator>

namespace shelflab {

std::string TxnText(std::uint64_t txn) { return fmt::format("{:016x}", txn); }

std::optional<std::uint64_t> ParseTxn(std::string_view text) {
  std::uint64_t txn = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), txn, 16);
  if (text.size() != 16 || r.ec != std::errc() || r.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return txn;
}

std::uint64_t BodyHash(std::string_view body) { return std::hash<std::string_view>{}(body); }

std::string RequestText(const CallRequest& r, Micros now) {
  std::string text;
  const bool safe = r.cls->repeat == Repeat::kIdempotent;
  fmt::format_to(std::back_inserter(text),
                 "{} /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {:016x}\r\nX-Lane: {}\r\n",
                 safe ? "GET" : "POST", r.txn, r.cls->name);
  if (!r.tenant.empty()) fmt::format_to(std::back_inserter(text), "X-Org: {}\r\n", r.tenant);
  fmt::format_to(std::back_inserter(text), "X-Remaining-Ms: {}\r\n",
                 std::max<Micros>(0, (r.due - now) / 1000));
  text += safe ? "\r\n" : "Content-Length: 2\r\n\r\n{}";
  return text;
}

std::string AnswerText(int status, std::string_view reason, std::string_view body,
                       std::string_view more_headers) {
  return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}", status, reason,
                     more_headers, body.size(), body);
}

}  // namespace shelflab
