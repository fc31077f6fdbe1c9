#include "peers/message.h"

#include <algorithm>
#include <limits>

#include "mix.h"

namespace peers {
namespace {

constexpr std::string_view kMagic = "SLP1";
constexpr std::size_t kHead = 45;
constexpr Micros kMilli = 1000;

template <typename T>
void Put(std::string& out, T value) {
  for (int shift = static_cast<int>(sizeof(T) - 1) * 8; shift >= 0; shift -= 8) {
    out += static_cast<char>(static_cast<std::uint64_t>(value) >> shift & 0xff);
  }
}

template <typename T>
T Take(std::string_view& in) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = value << 8 | static_cast<unsigned char>(in[i]);
  }
  in.remove_prefix(sizeof(T));
  return static_cast<T>(value);
}

std::uint32_t AgeField(Micros age) {
  const Micros milli = (std::max<Micros>(age, 0) + kMilli - 1) / kMilli;
  return static_cast<std::uint32_t>(
      std::min<Micros>(milli, std::numeric_limits<std::uint32_t>::max()));
}

// Every part but the last is full, and none is empty.
bool FitsItsPlace(const Message& m) {
  if (m.parts == 0 || m.parts > kMostParts || m.part >= m.parts || m.version <= 0) return false;
  if (m.part + 1 < m.parts) return m.bytes.size() == kPartBytes;
  return !m.bytes.empty() && m.bytes.size() <= kPartBytes;
}

bool InForm(const Message& m) {
  switch (m.kind) {
    case Kind::kAsk:
      return m.parts == 0 && m.version >= 0 && m.part < kMostParts && m.bytes.empty();
    case Kind::kPart:
      return FitsItsPlace(m);
    case Kind::kNone:
      return m.parts == 0 && m.bytes.empty();
  }
  return false;
}

}  // namespace

std::string Encode(const Message& m) {
  std::string out(kMagic);
  Put(out, static_cast<std::uint8_t>(m.kind));
  Put(out, m.fleet);
  Put(out, m.nonce);
  Put(out, m.version);
  Put(out, AgeField(m.age));
  Put(out, m.parts);
  Put(out, m.part);
  Put(out, m.checksum);
  return out += m.bytes;
}

std::optional<Message> Decode(std::string_view bytes) {
  if (bytes.size() < kHead || bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  bytes.remove_prefix(kMagic.size());
  Message m;
  m.kind = static_cast<Kind>(Take<std::uint8_t>(bytes));
  m.fleet = Take<std::uint64_t>(bytes);
  m.nonce = Take<std::uint64_t>(bytes);
  m.version = Take<std::int64_t>(bytes);
  m.age = Micros{Take<std::uint32_t>(bytes)} * kMilli;
  m.parts = Take<std::uint16_t>(bytes);
  m.part = Take<std::uint16_t>(bytes);
  m.checksum = Take<std::uint64_t>(bytes);
  m.bytes = bytes;
  return InForm(m) ? std::optional(std::move(m)) : std::nullopt;
}

std::uint64_t ChecksumOf(std::string_view text) { return gaugecart::Fnv1a(text); }

std::uint16_t PartsOf(std::string_view text) {
  return static_cast<std::uint16_t>((text.size() + kPartBytes - 1) / kPartBytes);
}

std::string_view PartOf(std::string_view text, std::uint16_t part) {
  return text.substr(std::min(text.size(), part * kPartBytes), kPartBytes);
}

}  // namespace peers
