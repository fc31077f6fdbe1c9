// What records and messages in CBOR share: an array of fields to which later programs may add some,
// lists of one kind, and a body that holds one value whole.
#ifndef SHELFLINK_TIER_FOUNDATION_CBOR_FIELDS_H_
#define SHELFLINK_TIER_FOUNDATION_CBOR_FIELDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/foundation/cbor.h"
#include "tier/foundation/result.h"

namespace shelflink::cbor {

// Reads an array of `known` fields at least; those behind them are skipped by its destructor, so
// that a later program may add some.
class FieldsReader {
 public:
  FieldsReader(Reader& reader, std::size_t known) : reader_(reader) {
    const std::size_t items = reader.Array();
    if (items < known) {
      reader.Fail();
    } else {
      surplus_ = items - known;
    }
  }
  ~FieldsReader() {
    for (; surplus_ > 0 && reader_.ok(); --surplus_) reader_.Skip();
  }
  // Whether another field follows that an earlier program does not write; the caller reads it.
  bool TakeAdded() {
    if (surplus_ == 0 || !reader_.ok()) return false;
    --surplus_;
    return true;
  }
  FieldsReader(const FieldsReader&) = delete;
  FieldsReader& operator=(const FieldsReader&) = delete;

 private:
  Reader& reader_;
  std::size_t surplus_ = 0;
};

// kInvalid, with "malformed " and `what`, unless all of the body could be read and nothing follows.
template <typename T>
Result<T> CheckWhole(const Reader& reader, T value, const char* what) {
  if (!reader.ok() || !reader.AtEnd()) {
    return MakeError(ErrorCode::kInvalid, std::string("malformed ") + what);
  }
  return value;
}

// The one value that a body holds, by the reader of such values; errors as above.
template <typename T, typename ReadValue>
Result<T> DecodeWhole(std::string_view body, const char* what, ReadValue read_value) {
  Reader reader(body);
  T value = read_value(reader);
  return CheckWhole(reader, std::move(value), what);
}

template <typename T, typename WriteOne>
void WriteList(Writer& writer, const std::vector<T>& list, WriteOne write_one) {
  writer.Array(list.size());
  for (const T& item : list) write_one(writer, item);
}

// Stops at the first item that cannot be read; memory grows with what was read, not with what the
// message claims to hold.
template <typename T, typename ReadOne>
std::vector<T> ReadList(Reader& reader, ReadOne read_one) {
  const std::size_t items = reader.Array();
  std::vector<T> list;
  for (std::size_t index = 0; index < items && reader.ok(); ++index) {
    list.push_back(read_one(reader));
  }
  return list;
}

}  // namespace shelflink::cbor

#endif  // SHELFLINK_TIER_FOUNDATION_CBOR_FIELDS_H_
