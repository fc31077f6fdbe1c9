// Internal messages and stored records as CBOR (RFC 8949), by libcbor's streaming interface. A
// message is an array of fields in a fixed order; a reader ignores fields behind those it knows.
#ifndef SHELFLINK_TIER_FOUNDATION_CBOR_H_
#define SHELFLINK_TIER_FOUNDATION_CBOR_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace shelflink::cbor {

// Appends items; never fails.
class Writer {
 public:
  Writer& Array(std::size_t items);  // The next `items` items belong to it.
  Writer& Uint(std::uint64_t value);
  Writer& Int(std::int64_t value);
  Writer& Bool(bool value);
  Writer& Double(double value);
  Writer& Text(std::string_view value);
  Writer& Bytes(std::string_view value);
  Writer& Null();
  const std::string& data() const { return data_; }
  std::string Take() { return std::move(data_); }

 private:
  std::string data_;
};

// Reads items in order. The first item of another kind than asked for, or the end of the input,
// makes it fail; from then on every read returns an empty value and ok() is false. Nothing is
// allocated for a length that the input does not hold.
class Reader {
 public:
  explicit Reader(std::string_view data) : data_(data) {}
  bool ok() const { return ok_; }
  bool AtEnd() const { return position_ == data_.size(); }
  std::size_t Array();  // Its number of items; definite lengths only.
  std::uint64_t Uint();
  std::int64_t Int();  // Also takes what Uint wrote.
  bool Bool();
  double Double();
  std::string_view Text();
  std::string_view Bytes();
  bool TakeNull();  // Whether the next item is null; only then is it taken.
  void Skip();      // One whole item, nested ones included.
  void Fail() { ok_ = false; }

 private:
  std::string_view data_;
  std::size_t position_ = 0;
  bool ok_ = true;
};

}  // namespace shelflink::cbor

#endif  // SHELFLINK_TIER_FOUNDATION_CBOR_H_
