#include "tier/cluster/messages.h"

#include <algorithm>

#include "tier/cluster/field_codec.h"

namespace shelflink::cluster {
namespace {

void Write(cbor::Writer& writer, const PartVersions& versions) {
  writer.Array(kParts);
  for (const Version& version : versions.of) cluster::Write(writer, version);
}

PartVersions ReadPartVersions(cbor::Reader& reader) {
  const FieldsReader fields(reader, kParts);
  PartVersions versions;
  for (Version& version : versions.of) version = ReadVersion(reader);
  return versions;
}

Part ReadPart(cbor::Reader& reader) {
  const std::uint64_t number = reader.Uint();
  if (number >= kParts) reader.Fail();
  return static_cast<Part>(number < kParts ? number : 0);
}

void WriteUse(cbor::Writer& writer, const UseCount& use) {
  writer.Array(3).Uint(use.window).Text(use.tenant).Uint(use.count);
}

UseCount ReadUse(cbor::Reader& reader) {
  const FieldsReader fields(reader, 3);
  UseCount use;
  use.window = reader.Uint();
  use.tenant = reader.Text();
  use.count = reader.Uint();
  return use;
}

void WriteLoad(cbor::Writer& writer, const ServiceLoad& load) {
  writer.Array(3).Text(load.service).Uint(load.tokens_running).Uint(load.tokens_waiting);
}

ServiceLoad ReadLoad(cbor::Reader& reader) {
  const FieldsReader fields(reader, 3);
  ServiceLoad load;
  load.service = reader.Text();
  load.tokens_running = reader.Uint();
  load.tokens_waiting = reader.Uint();
  return load;
}

void WriteStore(cbor::Writer& writer, const std::optional<StoreState>& store) {
  if (!store) {
    writer.Null();
    return;
  }
  writer.Array(4).Text(store->disk).Uint(store->bytes_used).Uint(store->bytes_free);
  writer.Uint(store->tokens_queued);
}

std::optional<StoreState> ReadStore(cbor::Reader& reader) {
  if (reader.TakeNull()) return std::nullopt;
  const FieldsReader fields(reader, 4);
  StoreState store;
  store.disk = reader.Text();
  store.bytes_used = reader.Uint();
  store.bytes_free = reader.Uint();
  store.tokens_queued = reader.Uint();
  return store;
}

constexpr std::uint64_t kMostAgeMs = std::uint64_t{1} << 40U;

void WriteAge(cbor::Writer& writer, std::chrono::milliseconds age) {
  const std::int64_t least = std::max<std::int64_t>(0, age.count());
  writer.Uint(std::min(static_cast<std::uint64_t>(least), kMostAgeMs));
}

std::chrono::milliseconds ReadAge(cbor::Reader& reader) {
  const std::uint64_t age = reader.Uint();
  if (age > kMostAgeMs) reader.Fail();
  return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(age, kMostAgeMs)));
}

// A message is usable when all of it could be read and nothing follows.
template <typename T>
Result<T> Checked(const cbor::Reader& reader, T message, const char* name) {
  if (!reader.ok() || !reader.AtEnd()) {
    return MakeError(ErrorCode::kInvalid, std::string("malformed message: ") + name);
  }
  return message;
}

}  // namespace

std::string Encode(const Renewal& message) {
  cbor::Writer writer;
  writer.Array(9).Bool(message.ready);
  Write(writer, message.versions);
  writer.Bool(message.parent_silent);
  cluster::Write(writer, message.parent);
  writer.Int(message.wall_micros);
  writer.Uint(message.window_open);
  WriteList(writer, message.uses, WriteUse);
  WriteList(writer, message.loads, WriteLoad);
  WriteStore(writer, message.store);
  return writer.Take();
}

Result<Renewal> DecodeRenewal(std::string_view body) {
  cbor::Reader reader(body);
  Renewal message;
  {
    const FieldsReader fields(reader, 9);
    message.ready = reader.Bool();
    message.versions = ReadPartVersions(reader);
    message.parent_silent = reader.Bool();
    message.parent = ReadOptionalAddress(reader);
    message.wall_micros = reader.Int();
    message.window_open = reader.Uint();
    message.uses = ReadList<UseCount>(reader, ReadUse);
    message.loads = ReadList<ServiceLoad>(reader, ReadLoad);
    message.store = ReadStore(reader);
  }
  return Checked(reader, std::move(message), "renewal");
}

std::string Encode(const Detour& message) {
  const transport::PeerIdentity& origin = message.origin;
  cbor::Writer writer;
  writer.Array(6).Text(origin.node).Text(origin.role).Text(origin.zone);
  cluster::Write(writer, origin.address);
  writer.Uint(origin.incarnation).Bytes(Encode(message.renewal));
  return writer.Take();
}

Result<Detour> DecodeDetour(std::string_view body) {
  cbor::Reader reader(body);
  Detour message;
  std::string_view renewal;
  {
    const FieldsReader fields(reader, 6);
    message.origin.node = reader.Text();
    message.origin.role = reader.Text();
    message.origin.zone = reader.Text();
    message.origin.address = ReadAddress(reader);
    message.origin.incarnation = reader.Uint();
    renewal = reader.Bytes();
  }
  Result<Renewal> decoded = DecodeRenewal(renewal);
  if (!decoded) return decoded.error();
  message.renewal = std::move(decoded.value());
  return Checked(reader, std::move(message), "detour of a renewal");
}

std::string Encode(const RenewalAnswer& message) {
  cbor::Writer writer;
  writer.Array(13).Bool(message.accepted);
  cluster::Write(writer, message.primary);
  writer.Uint(message.epoch).Uint(message.incarnation);
  writer.Uint(message.lease_ms).Uint(message.interval_ms);
  Write(writer, message.versions);
  cluster::Write(writer, message.parent);
  WriteAddresses(writer, message.children);
  writer.Int(message.true_micros).Uint(message.settled_before);
  WriteAddresses(writer, message.cores);
  if (message.endpoints_age) {
    WriteAge(writer, *message.endpoints_age);
  } else {
    writer.Null();
  }
  return writer.Take();
}

Result<RenewalAnswer> DecodeRenewalAnswer(std::string_view body) {
  cbor::Reader reader(body);
  RenewalAnswer message;
  {
    FieldsReader fields(reader, 12);
    message.accepted = reader.Bool();
    message.primary = ReadOptionalAddress(reader);
    message.epoch = reader.Uint();
    message.incarnation = reader.Uint();
    message.lease_ms = static_cast<std::uint32_t>(reader.Uint());
    message.interval_ms = static_cast<std::uint32_t>(reader.Uint());
    message.versions = ReadPartVersions(reader);
    message.parent = ReadOptionalAddress(reader);
    message.children = ReadAddresses(reader);
    message.true_micros = reader.Int();
    message.settled_before = reader.Uint();
    message.cores = ReadAddresses(reader);
    if (fields.TakeAdded() && !reader.TakeNull()) message.endpoints_age = ReadAge(reader);
  }
  return Checked(reader, std::move(message), "answer to a renewal");
}

std::string Encode(const Push& message) {
  cbor::Writer writer;
  writer.Array(3).Uint(static_cast<std::uint64_t>(message.part));
  cluster::Write(writer, message.version);
  writer.Bytes(message.body);
  return writer.Take();
}

Result<Push> DecodePush(std::string_view body) {
  cbor::Reader reader(body);
  Push message;
  {
    const FieldsReader fields(reader, 3);
    message.part = ReadPart(reader);
    message.version = ReadVersion(reader);
    message.body = reader.Bytes();
  }
  return Checked(reader, std::move(message), "push");
}

std::string Encode(const Fetch& message) {
  cbor::Writer writer;
  writer.Array(2).Uint(static_cast<std::uint64_t>(message.part));
  cluster::Write(writer, message.least);
  return writer.Take();
}

Result<Fetch> DecodeFetch(std::string_view body) {
  cbor::Reader reader(body);
  Fetch message;
  {
    const FieldsReader fields(reader, 2);
    message.part = ReadPart(reader);
    message.least = ReadVersion(reader);
  }
  return Checked(reader, message, "fetch");
}

std::string Encode(const BackupReport& message) {
  cbor::Writer writer;
  writer.Array(4).Uint(message.partition).Uint(message.epoch).Text(message.disk);
  writer.Uint(static_cast<std::uint64_t>(message.condition));
  return writer.Take();
}

Result<BackupReport> DecodeBackupReport(std::string_view body) {
  cbor::Reader reader(body);
  BackupReport message;
  {
    const FieldsReader fields(reader, 4);
    message.partition = static_cast<std::uint32_t>(reader.Uint());
    message.epoch = reader.Uint();
    message.disk = reader.Text();
    const std::uint64_t condition = reader.Uint();
    if (condition > static_cast<std::uint64_t>(BackupCondition::kStalled)) reader.Fail();
    message.condition = condition == 1 ? BackupCondition::kStalled : BackupCondition::kComplete;
  }
  return Checked(reader, std::move(message), "report on a backup");
}

std::string Encode(const ListReadingFetch& message) {
  cbor::Writer writer;
  writer.Array(1);
  WriteAge(writer, message.age);
  return writer.Take();
}

Result<ListReadingFetch> DecodeListReadingFetch(std::string_view body) {
  cbor::Reader reader(body);
  ListReadingFetch message;
  {
    const FieldsReader fields(reader, 1);
    message.age = ReadAge(reader);
  }
  return Checked(reader, message, "fetch of a reading");
}

std::string Encode(const ListReading& message) {
  cbor::Writer writer;
  writer.Array(3);
  WriteAge(writer, message.age);
  writer.Bytes(message.endpoints).Bool(message.in_trouble);
  return writer.Take();
}

Result<ListReading> DecodeListReading(std::string_view body) {
  cbor::Reader reader(body);
  ListReading message;
  {
    FieldsReader fields(reader, 2);
    message.age = ReadAge(reader);
    message.endpoints = reader.Bytes();
    if (fields.TakeAdded()) message.in_trouble = reader.Bool();
  }
  return Checked(reader, std::move(message), "reading of the list");
}

}  // namespace shelflink::cluster
