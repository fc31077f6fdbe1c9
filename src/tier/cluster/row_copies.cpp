#include "tier/cluster/row_copies.h"

#include <algorithm>
#include <tuple>

namespace shelflink::cluster {

std::vector<Copy> CopiesOf(const PartitionRow& row) {
  std::vector<Copy> copies{{row.primary, row.primary_disk, true}};
  for (std::size_t index = 0; index < row.backups.size(); ++index) {
    copies.push_back({row.backups[index], row.backup_disks[index], row.complete[index]});
  }
  return copies;
}

PartitionRow RowOf(std::uint64_t epoch, const std::vector<Copy>& copies) {
  PartitionRow row;
  row.epoch = epoch;
  row.primary = copies.front().address;
  row.primary_disk = copies.front().disk;
  for (std::size_t index = 1; index < copies.size(); ++index) {
    row.backups.push_back(copies[index].address);
    row.backup_disks.push_back(copies[index].disk);
    row.complete.push_back(copies[index].complete);
  }
  return row;
}

bool SameCopies(const PartitionRow& a, const PartitionRow& b) {
  return std::tie(a.primary, a.primary_disk, a.backups, a.backup_disks, a.complete) ==
         std::tie(b.primary, b.primary_disk, b.backups, b.backup_disks, b.complete);
}

bool Contains(const std::vector<Copy>& copies, const std::string& disk) {
  return std::any_of(copies.begin(), copies.end(),
                     [&](const Copy& copy) { return copy.disk == disk; });
}

}  // namespace shelflink::cluster
