#include "tier/foundation/cbor.h"

#include <cbor.h>

#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace shelflink::cbor {
namespace {

constexpr std::size_t kLongestHead = 9;  // Initial byte and up to eight more.
constexpr int kDeepestSkip = 32;         // Nested arrays that Skip follows.

using Head = std::array<unsigned char, kLongestHead>;

void Append(std::string& data, const Head& head, std::size_t size) {
  data.append(reinterpret_cast<const char*>(head.data()), size);
}

// What one item's head tells, by libcbor's streaming decoder.
struct Item {
  enum class Kind { kUint, kNegative, kBool, kNull, kDouble, kText, kBytes, kArray, kOther };
  Kind kind = Kind::kOther;
  std::uint64_t number = 0;  // Unsigned value, -1 - value, or the number of items.
  double real = 0;
  std::string_view bytes;
};

void Set(void* to, Item::Kind kind, std::uint64_t number) {
  auto& item = *static_cast<Item*>(to);
  item.kind = kind;
  item.number = number;
}
void SetBytes(void* to, Item::Kind kind, cbor_data data, std::size_t size) {
  Set(to, kind, size);
  static_cast<Item*>(to)->bytes = {reinterpret_cast<const char*>(data), size};
}
template <Item::Kind kKind, typename Number>
void SetNumber(void* to, Number value) {
  Set(to, kKind, value);
}

cbor_callbacks Callbacks() {
  using Kind = Item::Kind;
  cbor_callbacks all = cbor_empty_callbacks;
  all.uint8 = SetNumber<Kind::kUint, std::uint8_t>;
  all.uint16 = SetNumber<Kind::kUint, std::uint16_t>;
  all.uint32 = SetNumber<Kind::kUint, std::uint32_t>;
  all.uint64 = SetNumber<Kind::kUint, std::uint64_t>;
  all.negint8 = SetNumber<Kind::kNegative, std::uint8_t>;
  all.negint16 = SetNumber<Kind::kNegative, std::uint16_t>;
  all.negint32 = SetNumber<Kind::kNegative, std::uint32_t>;
  all.negint64 = SetNumber<Kind::kNegative, std::uint64_t>;
  all.array_start = SetNumber<Kind::kArray, std::size_t>;
  all.byte_string = [](void* to, cbor_data data, std::size_t size) {
    SetBytes(to, Kind::kBytes, data, size);
  };
  all.string = [](void* to, cbor_data data, std::size_t size) {
    SetBytes(to, Kind::kText, data, size);
  };
  all.float8 = [](void* to, double value) {
    Set(to, Kind::kDouble, 0);
    static_cast<Item*>(to)->real = value;
  };
  all.boolean = [](void* to, bool value) { Set(to, Kind::kBool, value ? 1 : 0); };
  all.null = [](void* to) { Set(to, Kind::kNull, 0); };
  return all;
}

// The next item's head; its size is added to `position`. None if the input holds no whole one.
std::optional<Item> Decode(std::string_view data, std::size_t& position) {
  static const cbor_callbacks kCallbacks = Callbacks();
  Item item;
  const auto* start = reinterpret_cast<const unsigned char*>(data.data()) + position;
  const cbor_decoder_result got =
      cbor_stream_decode(start, data.size() - position, &kCallbacks, &item);
  if (got.status != CBOR_DECODER_FINISHED) return std::nullopt;
  position += got.read;
  return item;
}

}  // namespace

Writer& Writer::Array(std::size_t items) {
  Head head;
  Append(data_, head, cbor_encode_array_start(items, head.data(), head.size()));
  return *this;
}
Writer& Writer::Uint(std::uint64_t value) {
  Head head;
  Append(data_, head, cbor_encode_uint(value, head.data(), head.size()));
  return *this;
}
Writer& Writer::Int(std::int64_t value) {
  if (value >= 0) return Uint(static_cast<std::uint64_t>(value));
  Head head;
  const auto negative = static_cast<std::uint64_t>(-1 - value);
  Append(data_, head, cbor_encode_negint(negative, head.data(), head.size()));
  return *this;
}
Writer& Writer::Bool(bool value) {
  Head head;
  Append(data_, head, cbor_encode_bool(value, head.data(), head.size()));
  return *this;
}
Writer& Writer::Double(double value) {
  Head head;
  Append(data_, head, cbor_encode_double(value, head.data(), head.size()));
  return *this;
}
Writer& Writer::Text(std::string_view value) {
  Head head;
  Append(data_, head, cbor_encode_string_start(value.size(), head.data(), head.size()));
  data_ += value;
  return *this;
}
Writer& Writer::Bytes(std::string_view value) {
  Head head;
  Append(data_, head, cbor_encode_bytestring_start(value.size(), head.data(), head.size()));
  data_ += value;
  return *this;
}
Writer& Writer::Null() {
  Head head;
  Append(data_, head, cbor_encode_null(head.data(), head.size()));
  return *this;
}

namespace {

std::optional<Item> Take(std::string_view data, std::size_t& position, bool& ok, Item::Kind kind) {
  if (!ok) return std::nullopt;
  std::optional<Item> item = Decode(data, position);
  if (!item || item->kind != kind) {
    ok = false;
    return std::nullopt;
  }
  return item;
}

}  // namespace

std::size_t Reader::Array() {
  const auto item = Take(data_, position_, ok_, Item::Kind::kArray);
  if (!item) return 0;
  // Each item takes one byte at least: a longer array is a lie.
  if (item->number > data_.size() - position_) {
    ok_ = false;
    return 0;
  }
  return item->number;
}
std::uint64_t Reader::Uint() {
  const auto item = Take(data_, position_, ok_, Item::Kind::kUint);
  return item ? item->number : 0;
}
std::int64_t Reader::Int() {
  if (!ok_) return 0;
  constexpr auto kMost = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const std::optional<Item> item = Decode(data_, position_);
  if (item && item->number <= kMost) {
    if (item->kind == Item::Kind::kUint) return static_cast<std::int64_t>(item->number);
    if (item->kind == Item::Kind::kNegative) return -1 - static_cast<std::int64_t>(item->number);
  }
  ok_ = false;
  return 0;
}
bool Reader::Bool() {
  const auto item = Take(data_, position_, ok_, Item::Kind::kBool);
  return item && item->number == 1;
}
double Reader::Double() {
  const auto item = Take(data_, position_, ok_, Item::Kind::kDouble);
  if (!item || !std::isfinite(item->real)) {
    ok_ = false;
    return 0;
  }
  return item->real;
}
std::string_view Reader::Text() {
  const auto item = Take(data_, position_, ok_, Item::Kind::kText);
  return item ? item->bytes : std::string_view();
}
std::string_view Reader::Bytes() {
  const auto item = Take(data_, position_, ok_, Item::Kind::kBytes);
  return item ? item->bytes : std::string_view();
}
bool Reader::TakeNull() {
  if (!ok_) return false;
  std::size_t position = position_;
  const std::optional<Item> item = Decode(data_, position);
  if (!item || item->kind != Item::Kind::kNull) return false;
  position_ = position;
  return true;
}
void Reader::Skip() {
  if (!ok_) return;
  std::array<std::uint64_t, kDeepestSkip> left{1};
  for (int depth = 0; depth >= 0;) {
    if (left[depth] == 0) {
      --depth;
      continue;
    }
    --left[depth];
    const std::optional<Item> item = Decode(data_, position_);
    if (!item || item->kind == Item::Kind::kOther) return Fail();
    if (item->kind != Item::Kind::kArray) continue;
    if (++depth == kDeepestSkip) return Fail();
    left[depth] = item->number;
  }
}

}  // namespace shelflink::cbor
