#include "tier/batch/base64.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace shelflink::batch {
namespace {

constexpr std::uint8_t kNoDigit = 0xff;
constexpr std::size_t kDigitsInGroup = 4;
constexpr std::size_t kBytesInGroup = 3;
constexpr char kPadding = '=';

constexpr std::array<std::uint8_t, 256> MakeDigitTable() {
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::array<std::uint8_t, 256> table{};
  table.fill(kNoDigit);
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    table[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::uint8_t>(i);
  }
  return table;
}
constexpr std::array<std::uint8_t, 256> kDigits = MakeDigitTable();

std::uint8_t DigitOf(char c) { return kDigits[static_cast<unsigned char>(c)]; }

// Up to two padding characters end a text.
std::size_t PaddingOf(std::string_view text) {
  if (!text.ends_with(kPadding)) return 0;
  return text[text.size() - 2] == kPadding ? 2 : 1;
}

}  // namespace

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kDigitsInGroup != 0) return std::nullopt;
  if (text.empty()) return std::string();
  const std::size_t padding = PaddingOf(text);
  const std::string_view digits = text.substr(0, text.size() - padding);
  std::string bytes;
  bytes.reserve(text.size() / kDigitsInGroup * kBytesInGroup);
  std::uint32_t pending = 0;  // Its lowest `pending_bits` bits are not written yet.
  unsigned pending_bits = 0;
  for (const char c : digits) {
    const std::uint8_t digit = DigitOf(c);
    if (digit == kNoDigit) return std::nullopt;
    pending = (pending << 6U) | digit;
    pending_bits += 6;
    if (pending_bits < 8) continue;
    pending_bits -= 8;
    bytes.push_back(static_cast<char>((pending >> pending_bits) & 0xffU));
  }
  const std::uint32_t left_over = pending & ((1U << pending_bits) - 1U);
  if (left_over != 0) return std::nullopt;  // Two texts would stand for the same bytes.
  return bytes;
}

}  // namespace shelflink::batch
