#include "tier/cluster/view_codec.h"

#include "tier/cluster/field_codec.h"

namespace shelflink::cluster {
namespace {

void WriteEndpoint(cbor::Writer& writer, const EndpointEntry& entry) {
  writer.Array(7).Text(entry.id).Text(entry.service);
  Write(writer, entry.address);
  writer.Text(entry.zone).Uint(static_cast<std::uint64_t>(std::max(entry.slots, 0)));
  writer.Bool(entry.draining);
  writer.Uint(static_cast<std::uint64_t>(std::max<std::int64_t>(entry.cold_left.count(), 0)));
}

EndpointEntry ReadEndpoint(cbor::Reader& reader) {
  const FieldsReader fields(reader, 7);
  EndpointEntry entry;
  entry.id = reader.Text();
  entry.service = reader.Text();
  entry.address = ReadAddress(reader);
  entry.zone = reader.Text();
  entry.slots = static_cast<int>(reader.Uint());
  entry.draining = reader.Bool();
  entry.cold_left = std::chrono::milliseconds(reader.Uint());
  return entry;
}

void WriteMember(cbor::Writer& writer, const Member& member) {
  writer.Array(5).Text(member.node).Text(member.role).Text(member.zone);
  Write(writer, member.address);
  writer.Bool(member.ready);
}

Member ReadMember(cbor::Reader& reader) {
  const FieldsReader fields(reader, 5);
  Member member;
  member.node = reader.Text();
  member.role = reader.Text();
  member.zone = reader.Text();
  member.address = ReadAddress(reader);
  member.ready = reader.Bool();
  return member;
}

void WriteRow(cbor::Writer& writer, const PartitionRow& row) {
  writer.Array(6).Uint(row.epoch);
  Write(writer, row.primary);
  writer.Text(row.primary_disk);
  WriteAddresses(writer, row.backups);
  WriteList(writer, row.backup_disks,
            [](cbor::Writer& to, const std::string& disk) { to.Text(disk); });
  writer.Array(row.complete.size());
  for (const bool complete : row.complete) writer.Bool(complete);
}

PartitionRow ReadRow(cbor::Reader& reader) {
  const FieldsReader fields(reader, 6);
  PartitionRow row;
  row.epoch = reader.Uint();
  row.primary = ReadAddress(reader);
  row.primary_disk = reader.Text();
  row.backups = ReadAddresses(reader);
  row.backup_disks =
      ReadList<std::string>(reader, [](cbor::Reader& from) { return std::string(from.Text()); });
  row.complete = ReadList<bool>(reader, [](cbor::Reader& from) { return from.Bool(); });
  const std::size_t backups = row.backups.size();
  if (row.backup_disks.size() != backups || row.complete.size() != backups) reader.Fail();
  return row;
}

std::vector<EndpointEntry> ReadEndpoints(cbor::Reader& reader) {
  return ReadList<EndpointEntry>(reader, ReadEndpoint);
}

std::vector<PartitionRow> ReadRows(cbor::Reader& reader) {
  return ReadList<PartitionRow>(reader, ReadRow);
}

std::vector<Member> ReadMembers(cbor::Reader& reader) {
  return ReadList<Member>(reader, ReadMember);
}

template <typename T, typename WriteOne>
std::string EncodeList(const std::vector<T>& list, WriteOne write_one) {
  cbor::Writer writer;
  WriteList(writer, list, write_one);
  return writer.Take();
}

}  // namespace

std::string EncodeEndpoints(const std::vector<EndpointEntry>& entries) {
  return EncodeList(entries, WriteEndpoint);
}

std::string EncodePlacement(const std::vector<PartitionRow>& rows) {
  return EncodeList(rows, WriteRow);
}

std::string EncodeMembers(const std::vector<Member>& members) {
  return EncodeList(members, WriteMember);
}

std::string EncodeRow(const PartitionRow& row) {
  cbor::Writer writer;
  WriteRow(writer, row);
  return writer.Take();
}

Result<std::vector<EndpointEntry>> DecodeEndpoints(std::string_view body) {
  return DecodeWhole<std::vector<EndpointEntry>>(body, "part of the view: endpoints",
                                                 ReadEndpoints);
}

Result<std::vector<PartitionRow>> DecodePlacement(std::string_view body) {
  return DecodeWhole<std::vector<PartitionRow>>(body, "part of the view: placement", ReadRows);
}

Result<std::vector<Member>> DecodeMembers(std::string_view body) {
  return DecodeWhole<std::vector<Member>>(body, "part of the view: members", ReadMembers);
}

Result<PartitionRow> DecodeRow(std::string_view body) {
  return DecodeWhole<PartitionRow>(body, "part of the view: row of a partition", ReadRow);
}

}  // namespace shelflink::cluster
