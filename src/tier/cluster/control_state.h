// Records of the cluster in the replicated map, besides the configuration (configuration/book.h):
// rows of the placement, known stores with their disks, retirement, and usage counts that are to be
// reported. Keys, encoding and decoding.
//
// Limits: kPartitions rows; a record for each store ever seen (a few hundred bytes); at most
// kMostCommittedWindows usage windows, beyond which the oldest are not reported.
#ifndef SHELFLINK_TIER_CLUSTER_CONTROL_STATE_H_
#define SHELFLINK_TIER_CLUSTER_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "tier/cluster/usage_ledger.h"
#include "tier/cluster/view.h"
#include "tier/coordination/replicator.h"

namespace shelflink::cluster {

constexpr std::string_view kRowPrefix = "placement/row/";
constexpr std::string_view kPlacementCountKey = "placement/count";  // Increases with each change.
constexpr std::string_view kStorePrefix = "store/";
constexpr std::string_view kRetirePrefix = "retire/";
constexpr std::string_view kUsagePrefix = "usage/window/";
constexpr std::string_view kReportedBeforeKey = "usage/reported_before";
constexpr std::size_t kMostCommittedWindows = 64;

std::string RowKey(std::size_t partition);
std::string StoreKey(const std::string& node);
std::string RetireKey(const std::string& node);
std::string UsageKey(std::uint64_t window);

// A store as it was last seen; its lease is not recorded.
struct StoreRecord {
  std::string zone;
  net::Address address;
  std::string disk;
  bool operator==(const StoreRecord&) const = default;
};

std::string EncodeStoreRecord(const StoreRecord& record);
std::string EncodeNumber(std::uint64_t number);

// Decoders of the map. A record that cannot be decoded is skipped: it was written by this program,
// and the replicator checks what the disk holds.
std::vector<PartitionRow> RowsOf(const coordination::Contents& contents);
std::uint64_t NumberAt(const coordination::Contents& contents, std::string_view key);
std::map<std::string, StoreRecord> StoresOf(const coordination::Contents& contents);
std::set<std::string> RetiringOf(const coordination::Contents& contents);
std::map<std::uint64_t, UsageCounts> UsageOf(const coordination::Contents& contents);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CONTROL_STATE_H_
