// A row of the placement as a list of copies, the primary first: the form in which it is changed.
#ifndef SHELFLINK_TIER_CLUSTER_ROW_COPIES_H_
#define SHELFLINK_TIER_CLUSTER_ROW_COPIES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "net/address.h"
#include "tier/cluster/view.h"

namespace shelflink::cluster {

// One copy of a partition in a row.
struct Copy {
  net::Address address;
  std::string disk;
  bool complete = false;
};

// The first one is the primary, which is complete.
std::vector<Copy> CopiesOf(const PartitionRow& row);
// `copies` must not be empty.
PartitionRow RowOf(std::uint64_t epoch, const std::vector<Copy>& copies);
// Whether both rows have the same copies; epochs are ignored.
bool SameCopies(const PartitionRow& a, const PartitionRow& b);
bool Contains(const std::vector<Copy>& copies, const std::string& disk);

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ROW_COPIES_H_
