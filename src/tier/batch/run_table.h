// The items that this proxy holds, by lease.
#ifndef SHELFLINK_TIER_BATCH_RUN_TABLE_H_
#define SHELFLINK_TIER_BATCH_RUN_TABLE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "tier/batch/item_run.h"

namespace shelflink::batch {

class RunTable {
 public:
  using Runs = std::map<LeaseId, std::unique_ptr<ItemRun>>;

  ItemRun& Add(std::unique_ptr<ItemRun> run);
  void Erase(const LeaseId& lease) { runs_.erase(lease); }  // Cancels its call where there is one.
  ItemRun* Find(const LeaseId& lease);
  // A run of that item which is not over.
  std::optional<LeaseId> UnfinishedOf(const ItemRef& item) const;

  const Runs& all() const { return runs_; }
  // To walk while runs may end.
  std::vector<ItemRun*> Snapshot();
  std::size_t size() const { return runs_.size(); }
  bool empty() const { return runs_.empty(); }
  std::size_t bytes() const;           // Bodies and outputs held.
  std::size_t awaiting_lease() const;  // Runs that have not begun.

 private:
  Runs runs_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_RUN_TABLE_H_
