// CBOR encoding of fields that several cluster messages share.
#ifndef SHELFLINK_TIER_CLUSTER_FIELD_CODEC_H_
#define SHELFLINK_TIER_CLUSTER_FIELD_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "tier/cluster/view.h"
#include "tier/foundation/cbor.h"
#include "tier/foundation/cbor_fields.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

using cbor::CheckWhole;
using cbor::DecodeWhole;
using cbor::FieldsReader;
using cbor::ReadList;
using cbor::WriteList;

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

inline void WriteAddresses(cbor::Writer& writer, const std::vector<net::Address>& list) {
  WriteList(writer, list, [](cbor::Writer& to, const net::Address& item) { Write(to, item); });
}

inline std::vector<net::Address> ReadAddresses(cbor::Reader& reader) {
  return ReadList<net::Address>(reader, ReadAddress);
}

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_FIELD_CODEC_H_
