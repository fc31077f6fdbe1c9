#include "tier/cluster/usage_ledger.h"

#include <algorithm>

#include "tier/cluster/field_codec.h"

namespace shelflink::cluster {

std::string EncodeUsage(const UsageCounts& counts) {
  cbor::Writer writer;
  writer.Array(counts.size());
  for (const auto& [tenant, count] : counts) writer.Array(2).Text(tenant).Uint(count);
  return writer.Take();
}

Result<UsageCounts> DecodeUsage(std::string_view body) {
  cbor::Reader reader(body);
  UsageCounts counts;
  const std::size_t tenants = reader.Array();
  for (std::size_t index = 0; index < tenants && reader.ok(); ++index) {
    const FieldsReader fields(reader, 2);
    const std::string tenant(reader.Text());
    counts[tenant] = reader.Uint();
  }
  if (!reader.ok() || !reader.AtEnd()) {
    return MakeError(ErrorCode::kInvalid, "malformed counts of a usage window");
  }
  return counts;
}

void UsageLedger::Hear(const net::Address& member, std::uint64_t incarnation,
                       const std::vector<UseCount>& uses) {
  for (const UseCount& use : uses) {
    if (use.window < settled_before_) continue;
    std::uint64_t& count = windows_[use.window][{member, incarnation}][use.tenant];
    count = std::max(count, use.count);
  }
  while (windows_.size() > kMostOpenWindows) {
    windows_.erase(windows_.begin());
    ++dropped_;
  }
}

UsageCounts UsageLedger::Total(std::uint64_t window) const {
  UsageCounts total;
  const auto found = windows_.find(window);
  if (found == windows_.end()) return total;
  for (const auto& [life, counts] : found->second) {
    for (const auto& [tenant, count] : counts) total[tenant] += count;
  }
  return total;
}

void UsageLedger::Settle(std::uint64_t window) {
  settled_before_ = std::max(settled_before_, window + 1);
  windows_.erase(windows_.begin(), windows_.lower_bound(settled_before_));
}

void UsageLedger::Clear() {
  windows_.clear();
  settled_before_ = 0;
}

}  // namespace shelflink::cluster
