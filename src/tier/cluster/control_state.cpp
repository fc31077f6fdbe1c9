#include "tier/cluster/control_state.h"

#include "tier/cluster/field_codec.h"
#include "tier/cluster/view_codec.h"
#include "tier/coordination/decimal_number.h"

namespace shelflink::cluster {
namespace {

constexpr std::size_t kRowDigits = 4;
constexpr std::size_t kWindowDigits = 20;

std::string Padded(std::uint64_t number, std::size_t digits) {
  const std::string text = std::to_string(number);
  return std::string(digits - std::min(digits, text.size()), '0') + text;
}

// Calls `take` with what stands behind the prefix and the value, for each key that has it.
template <typename Take>
void ForPrefix(const coordination::Contents& contents, std::string_view prefix, Take take) {
  for (auto entry = contents.lower_bound(prefix);
       entry != contents.end() && entry->first.starts_with(prefix); ++entry) {
    take(std::string_view(entry->first).substr(prefix.size()), entry->second);
  }
}

}  // namespace

std::string RowKey(std::size_t partition) {
  return std::string(kRowPrefix) + Padded(partition, kRowDigits);
}
std::string StoreKey(const std::string& node) { return std::string(kStorePrefix) + node; }
std::string RetireKey(const std::string& node) { return std::string(kRetirePrefix) + node; }
std::string UsageKey(std::uint64_t window) {
  return std::string(kUsagePrefix) + Padded(window, kWindowDigits);
}

std::string EncodeStoreRecord(const StoreRecord& record) {
  cbor::Writer writer;
  writer.Array(3).Text(record.zone);
  Write(writer, record.address);
  writer.Text(record.disk);
  return writer.Take();
}

std::string EncodeNumber(std::uint64_t number) {
  cbor::Writer writer;
  writer.Uint(number);
  return writer.Take();
}

std::vector<PartitionRow> RowsOf(const coordination::Contents& contents) {
  std::vector<PartitionRow> rows;
  ForPrefix(contents, kRowPrefix, [&](std::string_view, const std::string& value) {
    const Result<PartitionRow> row = DecodeRow(value);
    if (row) rows.push_back(row.value());
  });
  return rows;
}

std::uint64_t NumberAt(const coordination::Contents& contents, std::string_view key) {
  const auto found = contents.find(key);
  if (found == contents.end()) return 0;
  cbor::Reader reader(found->second);
  const std::uint64_t number = reader.Uint();
  return reader.ok() ? number : 0;
}

std::map<std::string, StoreRecord> StoresOf(const coordination::Contents& contents) {
  std::map<std::string, StoreRecord> stores;
  ForPrefix(contents, kStorePrefix, [&](std::string_view node, const std::string& value) {
    cbor::Reader reader(value);
    StoreRecord record;
    {
      const FieldsReader fields(reader, 3);
      record.zone = reader.Text();
      record.address = ReadAddress(reader);
      record.disk = reader.Text();
    }
    if (reader.ok()) stores[std::string(node)] = record;
  });
  return stores;
}

std::set<std::string> RetiringOf(const coordination::Contents& contents) {
  std::set<std::string> nodes;
  ForPrefix(contents, kRetirePrefix,
            [&](std::string_view node, const std::string&) { nodes.emplace(node); });
  return nodes;
}

std::map<std::uint64_t, UsageCounts> UsageOf(const coordination::Contents& contents) {
  std::map<std::uint64_t, UsageCounts> windows;
  ForPrefix(contents, kUsagePrefix, [&](std::string_view digits, const std::string& value) {
    const Result<UsageCounts> counts = DecodeUsage(value);
    if (counts) windows[coordination::DecimalNumber(digits)] = counts.value();
  });
  return windows;
}

}  // namespace shelflink::cluster
