// Fields that several messages of the cluster share, in CBOR.
#ifndef SHELFLINK_TIER_CLUSTER_FIELD_CODEC_H_
#define SHELFLINK_TIER_CLUSTER_FIELD_CODEC_H_

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/address.h"
#include "tier/cluster/view.h"
#include "tier/foundation/cbor.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

// Reads an array of `known` fields at least; those behind them are skipped by its destructor, so
// that a later program may add some.
class FieldsReader {
 public:
  FieldsReader(cbor::Reader& reader, std::size_t known) : reader_(reader) {
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
  cbor::Reader& reader_;
  std::size_t surplus_ = 0;
};

// kInvalid, with "malformed " and `what`, unless all of the body could be read and nothing follows.
template <typename T>
Result<T> CheckWhole(const cbor::Reader& reader, T value, const char* what) {
  if (!reader.ok() || !reader.AtEnd()) {
    return MakeError(ErrorCode::kInvalid, std::string("malformed ") + what);
  }
  return value;
}

// The one value that a body holds, by the reader of such values; errors as above.
template <typename T, typename ReadValue>
Result<T> DecodeWhole(std::string_view body, const char* what, ReadValue read_value) {
  cbor::Reader reader(body);
  T value = read_value(reader);
  return CheckWhole(reader, std::move(value), what);
}

inline void Write(cbor::Writer& writer, const Version& version) {
  writer.Array(2).Uint(version.epoch).Uint(version.count);
}

inline Version ReadVersion(cbor::Reader& reader) {
  const FieldsReader fields(reader, 2);
  Version version;
  version.epoch = reader.Uint();
  version.count = reader.Uint();
  return version;
}

inline void Write(cbor::Writer& writer, const net::Address& address) {
  writer.Text(address.Text());
}

inline net::Address ReadAddress(cbor::Reader& reader) {
  const std::optional<net::Address> address = net::Address::Parse(reader.Text());
  if (!address) reader.Fail();
  return address.value_or(net::Address());
}

inline void Write(cbor::Writer& writer, const std::optional<net::Address>& address) {
  if (address) {
    Write(writer, *address);
  } else {
    writer.Null();
  }
}

inline std::optional<net::Address> ReadOptionalAddress(cbor::Reader& reader) {
  if (reader.TakeNull()) return std::nullopt;
  return ReadAddress(reader);
}

template <typename T, typename WriteOne>
void WriteList(cbor::Writer& writer, const std::vector<T>& list, WriteOne write_one) {
  writer.Array(list.size());
  for (const T& item : list) write_one(writer, item);
}

// Stops at the first item that cannot be read; memory grows with what was read, not with what the
// message claims to hold.
template <typename T, typename ReadOne>
std::vector<T> ReadList(cbor::Reader& reader, ReadOne read_one) {
  const std::size_t items = reader.Array();
  std::vector<T> list;
  for (std::size_t index = 0; index < items && reader.ok(); ++index) {
    list.push_back(read_one(reader));
  }
  return list;
}

inline void WriteAddresses(cbor::Writer& writer, const std::vector<net::Address>& list) {
  WriteList(writer, list, [](cbor::Writer& to, const net::Address& item) { Write(to, item); });
}

inline std::vector<net::Address> ReadAddresses(cbor::Reader& reader) {
  return ReadList<net::Address>(reader, ReadAddress);
}

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_FIELD_CODEC_H_
