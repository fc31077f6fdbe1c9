// The bodies of the parts of the view, as pushes carry them. The configuration: see
// configuration_history.h.
#ifndef SHELFLINK_TIER_CLUSTER_VIEW_CODEC_H_
#define SHELFLINK_TIER_CLUSTER_VIEW_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "tier/cluster/view.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

std::string EncodeEndpoints(const std::vector<EndpointEntry>& entries);
std::string EncodePlacement(const std::vector<PartitionRow>& rows);
std::string EncodeMembers(const std::vector<Member>& members);
// Also what the replicated map holds of a partition.
std::string EncodeRow(const PartitionRow& row);

Result<std::vector<EndpointEntry>> DecodeEndpoints(std::string_view body);
Result<std::vector<PartitionRow>> DecodePlacement(std::string_view body);
Result<std::vector<Member>> DecodeMembers(std::string_view body);
Result<PartitionRow> DecodeRow(std::string_view body);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_CODEC_H_
