#include "tier/cluster/messages.h"

#include <algorithm>

#include "tier/cluster/configuration_history.h"
#include "tier/cluster/field_codec.h"

namespace shelflink::cluster {
namespace {

constexpr std::uint32_t kFirstSlot = kPushKind;  // One for each part.

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

void WriteCopy(cbor::Writer& writer, const CopyUnderWay& copy) {
  writer.Array(4).Uint(copy.partition).Text(copy.disk);
  writer.Uint(copy.bytes_copied).Uint(copy.bytes_left);
}

CopyUnderWay ReadCopy(cbor::Reader& reader) {
  const FieldsReader fields(reader, 4);
  CopyUnderWay copy;
  copy.partition = static_cast<std::uint32_t>(reader.Uint());
  copy.disk = reader.Text();
  copy.bytes_copied = reader.Uint();
  copy.bytes_left = reader.Uint();
  return copy;
}

void WriteStore(cbor::Writer& writer, const std::optional<StoreState>& store) {
  if (!store) {
    writer.Null();
    return;
  }
  writer.Array(5).Text(store->disk).Uint(store->bytes_used).Uint(store->bytes_free);
  writer.Uint(store->tokens_queued);
  WriteList(writer, store->copying, WriteCopy);
}

std::optional<StoreState> ReadStore(cbor::Reader& reader) {
  if (reader.TakeNull()) return std::nullopt;
  FieldsReader fields(reader, 4);
  StoreState store;
  store.disk = reader.Text();
  store.bytes_used = reader.Uint();
  store.bytes_free = reader.Uint();
  store.tokens_queued = reader.Uint();
  if (fields.TakeAdded()) store.copying = ReadList<CopyUnderWay>(reader, ReadCopy);
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

void WriteOptionalAge(cbor::Writer& writer, const std::optional<std::chrono::milliseconds>& age) {
  if (age) {
    WriteAge(writer, *age);
  } else {
    writer.Null();
  }
}

std::optional<std::chrono::milliseconds> ReadOptionalAge(cbor::Reader& reader) {
  if (reader.TakeNull()) return std::nullopt;
  return ReadAge(reader);
}

constexpr std::size_t kFigures = 20;

void WriteFigures(cbor::Writer& writer, const std::optional<StoreFigures>& figures) {
  if (!figures) {
    writer.Null();
    return;
  }
  writer.Array(kFigures);
  WriteAge(writer, figures->uptime);
  writer.Bool(figures->disk_refuses).Uint(figures->bytes_used).Uint(figures->bytes_limit);
  writer.Uint(figures->primaries).Uint(figures->backups);
  writer.Uint(figures->incomplete).Uint(figures->left);
  writer.Uint(figures->jobs).Uint(figures->items_waiting).Uint(figures->items_overdue);
  writer.Uint(figures->items_leased).Uint(figures->jobs_accepted).Uint(figures->jobs_over_quota);
  writer.Uint(figures->jobs_without_room).Uint(figures->jobs_refused_busy).Uint(figures->leases);
  WriteAge(writer, figures->lease_wait);
  writer.Uint(figures->violations);
  WriteOptionalAge(writer, figures->endpoints_age);
}

std::optional<StoreFigures> ReadFigures(cbor::Reader& reader) {
  if (reader.TakeNull()) return std::nullopt;
  const FieldsReader fields(reader, kFigures);
  StoreFigures figures;
  figures.uptime = ReadAge(reader);
  figures.disk_refuses = reader.Bool();
  figures.bytes_used = reader.Uint();
  figures.bytes_limit = reader.Uint();
  figures.primaries = reader.Uint();
  figures.backups = reader.Uint();
  figures.incomplete = reader.Uint();
  figures.left = reader.Uint();
  figures.jobs = reader.Uint();
  figures.items_waiting = reader.Uint();
  figures.items_overdue = reader.Uint();
  figures.items_leased = reader.Uint();
  figures.jobs_accepted = reader.Uint();
  figures.jobs_over_quota = reader.Uint();
  figures.jobs_without_room = reader.Uint();
  figures.jobs_refused_busy = reader.Uint();
  figures.leases = reader.Uint();
  figures.lease_wait = ReadAge(reader);
  figures.violations = reader.Uint();
  figures.endpoints_age = ReadOptionalAge(reader);
  return figures;
}

Renewal ReadRenewal(cbor::Reader& reader) {
  FieldsReader fields(reader, 9);
  Renewal message;
  message.ready = reader.Bool();
  message.versions = ReadPartVersions(reader);
  message.parent_silent = reader.Bool();
  message.parent = ReadOptionalAddress(reader);
  message.wall_micros = reader.Int();
  message.window_open = reader.Uint();
  message.uses = ReadList<UseCount>(reader, ReadUse);
  message.loads = ReadList<ServiceLoad>(reader, ReadLoad);
  message.store = ReadStore(reader);
  if (fields.TakeAdded()) message.figures = ReadFigures(reader);
  return message;
}

RenewalAnswer ReadRenewalAnswer(cbor::Reader& reader) {
  FieldsReader fields(reader, 12);
  RenewalAnswer message;
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
  if (fields.TakeAdded()) message.endpoints_age = ReadOptionalAge(reader);
  if (fields.TakeAdded()) message.disk_refuses = reader.Bool();
  return message;
}

Push ReadPush(cbor::Reader& reader) {
  const FieldsReader fields(reader, 3);
  Push message;
  message.part = ReadPart(reader);
  message.version = ReadVersion(reader);
  message.body = reader.Bytes();
  return message;
}

Fetch ReadFetch(cbor::Reader& reader) {
  FieldsReader fields(reader, 2);
  Fetch message;
  message.part = ReadPart(reader);
  message.least = ReadVersion(reader);
  if (fields.TakeAdded()) message.have = ReadVersion(reader);
  return message;
}

BackupReport ReadBackupReport(cbor::Reader& reader) {
  FieldsReader fields(reader, 4);
  BackupReport message;
  message.partition = static_cast<std::uint32_t>(reader.Uint());
  message.epoch = reader.Uint();
  message.disk = reader.Text();
  const std::uint64_t condition = reader.Uint();
  if (condition > static_cast<std::uint64_t>(BackupCondition::kStalled)) reader.Fail();
  message.condition = condition == 1 ? BackupCondition::kStalled : BackupCondition::kComplete;
  if (fields.TakeAdded()) message.bytes_copied = reader.Uint();
  return message;
}

ListReadingFetch ReadListReadingFetch(cbor::Reader& reader) {
  const FieldsReader fields(reader, 1);
  ListReadingFetch message;
  message.age = ReadAge(reader);
  return message;
}

ListReading ReadListReading(cbor::Reader& reader) {
  FieldsReader fields(reader, 2);
  ListReading message;
  message.age = ReadAge(reader);
  message.endpoints = reader.Bytes();
  if (fields.TakeAdded()) message.in_trouble = reader.Bool();
  return message;
}

}  // namespace

transport::Delivery DeliveryOf(const Push& push) {
  transport::Delivery delivery;
  const bool is_step =
      push.part == Part::kConfiguration && push.body != ConfigurationHistory::Announcement();
  if (is_step) return delivery;
  delivery.urgent = push.part == Part::kEndpoints;
  delivery.slot = kFirstSlot + static_cast<std::uint32_t>(push.part);
  return delivery;
}

std::string Encode(const Renewal& message) {
  cbor::Writer writer;
  writer.Array(10).Bool(message.ready);
  Write(writer, message.versions);
  writer.Bool(message.parent_silent);
  cluster::Write(writer, message.parent);
  writer.Int(message.wall_micros);
  writer.Uint(message.window_open);
  WriteList(writer, message.uses, WriteUse);
  WriteList(writer, message.loads, WriteLoad);
  WriteStore(writer, message.store);
  WriteFigures(writer, message.figures);
  return writer.Take();
}

Result<Renewal> DecodeRenewal(std::string_view body) {
  return DecodeWhole<Renewal>(body, "message: renewal", ReadRenewal);
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
  return CheckWhole(reader, std::move(message), "message: detour of a renewal");
}

std::string Encode(const RenewalAnswer& message) {
  cbor::Writer writer;
  writer.Array(14).Bool(message.accepted);
  cluster::Write(writer, message.primary);
  writer.Uint(message.epoch).Uint(message.incarnation);
  writer.Uint(message.lease_ms).Uint(message.interval_ms);
  Write(writer, message.versions);
  cluster::Write(writer, message.parent);
  WriteAddresses(writer, message.children);
  writer.Int(message.true_micros).Uint(message.settled_before);
  WriteAddresses(writer, message.cores);
  WriteOptionalAge(writer, message.endpoints_age);
  writer.Bool(message.disk_refuses);
  return writer.Take();
}

Result<RenewalAnswer> DecodeRenewalAnswer(std::string_view body) {
  return DecodeWhole<RenewalAnswer>(body, "message: answer to a renewal", ReadRenewalAnswer);
}

std::string Encode(const Push& message) {
  cbor::Writer writer;
  writer.Array(3).Uint(static_cast<std::uint64_t>(message.part));
  cluster::Write(writer, message.version);
  writer.Bytes(message.body);
  return writer.Take();
}

Result<Push> DecodePush(std::string_view body) {
  return DecodeWhole<Push>(body, "message: push", ReadPush);
}

std::string Encode(const Fetch& message) {
  cbor::Writer writer;
  writer.Array(3).Uint(static_cast<std::uint64_t>(message.part));
  cluster::Write(writer, message.least);
  cluster::Write(writer, message.have);
  return writer.Take();
}

Result<Fetch> DecodeFetch(std::string_view body) {
  return DecodeWhole<Fetch>(body, "message: fetch", ReadFetch);
}

std::string Encode(const BackupReport& message) {
  cbor::Writer writer;
  writer.Array(5).Uint(message.partition).Uint(message.epoch).Text(message.disk);
  writer.Uint(static_cast<std::uint64_t>(message.condition)).Uint(message.bytes_copied);
  return writer.Take();
}

Result<BackupReport> DecodeBackupReport(std::string_view body) {
  return DecodeWhole<BackupReport>(body, "message: report on a backup", ReadBackupReport);
}

std::string Encode(const ListReadingFetch& message) {
  cbor::Writer writer;
  writer.Array(1);
  WriteAge(writer, message.age);
  return writer.Take();
}

Result<ListReadingFetch> DecodeListReadingFetch(std::string_view body) {
  return DecodeWhole<ListReadingFetch>(body, "message: fetch of a reading", ReadListReadingFetch);
}

std::string Encode(const ListReading& message) {
  cbor::Writer writer;
  writer.Array(3);
  WriteAge(writer, message.age);
  writer.Bytes(message.endpoints).Bool(message.in_trouble);
  return writer.Take();
}

Result<ListReading> DecodeListReading(std::string_view body) {
  return DecodeWhole<ListReading>(body, "message: reading of the list", ReadListReading);
}

}  // namespace shelflink::cluster
