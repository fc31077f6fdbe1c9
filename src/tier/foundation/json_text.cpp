#include "tier/foundation/json_text.h"

#include <cstddef>
#include <cstdint>

namespace shelflink {
namespace {

constexpr std::string_view kReplacement = "\xef\xbf\xbd";

bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte >= 0x20 && byte < 0x80 && c != '"' && c != '\\';
}

void AppendEscaped(std::string& out, char c) {
  constexpr std::string_view kHex = "0123456789abcdef";
  switch (c) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  const auto byte = static_cast<unsigned char>(c);
  out += "\\u00";
  out += kHex[byte >> 4U];
  out += kHex[byte & 0xfU];
}

// The span of second bytes that may follow a lead byte (Unicode, table 3-7): it shuts out overlong
// forms, surrogates and what lies beyond U+10FFFF.
struct LeadByte {
  std::size_t length;  // Of the whole sequence; 0: no lead byte.
  std::uint8_t second_low;
  std::uint8_t second_high;
};

LeadByte Classify(std::uint8_t lead) {
  if (lead >= 0xc2 && lead <= 0xdf) return {2, 0x80, 0xbf};
  if (lead == 0xe0) return {3, 0xa0, 0xbf};
  if (lead == 0xed) return {3, 0x80, 0x9f};
  if (lead >= 0xe1 && lead <= 0xef) return {3, 0x80, 0xbf};
  if (lead == 0xf0) return {4, 0x90, 0xbf};
  if (lead >= 0xf1 && lead <= 0xf3) return {4, 0x80, 0xbf};
  if (lead == 0xf4) return {4, 0x80, 0x8f};
  return {0, 0, 0};
}

// Length of the whole multi-byte character at the start of `text`; 0 where there is none.
std::size_t MultiByteLength(std::string_view text) {
  const LeadByte lead = Classify(static_cast<std::uint8_t>(text[0]));
  if (lead.length == 0 || text.size() < lead.length) return 0;
  const auto second = static_cast<std::uint8_t>(text[1]);
  if (second < lead.second_low || second > lead.second_high) return 0;
  for (std::size_t i = 2; i < lead.length; ++i) {
    const auto byte = static_cast<std::uint8_t>(text[i]);
    if (byte < 0x80 || byte > 0xbf) return 0;
  }
  return lead.length;
}

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  out += '"';
  while (!text.empty()) {
    std::size_t plain = 0;
    while (plain < text.size() && IsPlain(text[plain])) ++plain;
    out += text.substr(0, plain);
    text.remove_prefix(plain);
    if (text.empty()) break;
    std::size_t taken = 1;
    if (static_cast<unsigned char>(text[0]) < 0x80) {
      AppendEscaped(out, text[0]);
    } else if (const std::size_t length = MultiByteLength(text); length != 0) {
      out += text.substr(0, length);
      taken = length;
    } else {
      out += kReplacement;
    }
    text.remove_prefix(taken);
  }
  out += '"';
}

}  // namespace shelflink
