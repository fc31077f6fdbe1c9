#include "tier/batch/run_table.h"

#include <algorithm>
#include <utility>

namespace shelflink::batch {
namespace {

bool SameItem(const ItemRef& one, const ItemRef& other) {
  return one.item == other.item && one.job.job == other.job.job &&
         one.job.tenant == other.job.tenant && one.job.host == other.job.host;
}

}  // namespace

ItemRun& RunTable::Add(std::unique_ptr<ItemRun> run) {
  const LeaseId lease = run->lease();
  return *runs_.emplace(lease, std::move(run)).first->second;
}

ItemRun* RunTable::Find(const LeaseId& lease) {
  const auto found = runs_.find(lease);
  return found == runs_.end() ? nullptr : found->second.get();
}

std::optional<LeaseId> RunTable::UnfinishedOf(const ItemRef& item) const {
  for (const auto& [lease, run] : runs_) {
    if (run->state() != ItemRun::State::kReporting && SameItem(run->item(), item)) return lease;
  }
  return {};
}

std::vector<ItemRun*> RunTable::Snapshot() {
  std::vector<ItemRun*> all;
  all.reserve(runs_.size());
  for (auto& [lease, run] : runs_) all.push_back(run.get());
  return all;
}

std::size_t RunTable::bytes() const {
  std::size_t bytes = 0;
  for (const auto& [lease, run] : runs_) bytes += run->bytes();
  return bytes;
}

std::size_t RunTable::awaiting_lease() const {
  return static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), [](const auto& entry) {
    return entry.second->state() == ItemRun::State::kAwaitingLease;
  }));
}

}  // namespace shelflink::batch
