// Which batch jobs a partition has, and how far each of their items is. Pure. Built from the stored
// records; what changes a job also writes its records (job_book.h).
#ifndef SHELFLINK_TIER_BATCH_JOB_TABLE_H_
#define SHELFLINK_TIER_BATCH_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/batch/job_records.h"
#include "tier/batch/lease_table.h"
#include "tier/batch/messages.h"
#include "tier/foundation/result.h"

namespace shelflink::batch {

enum class ItemState { kWaiting, kLeased, kListed };

struct ItemEntry {
  ItemState state = ItemState::kWaiting;
  LeaseId lease;  // Of kLeased.
  Attempts attempts;
  Output output;
};

struct JobEntry {
  std::string key;
  std::string owner;
  JobHeader header;
  std::vector<ItemEntry> items;
  std::vector<Listed> listed;  // By position.
  std::size_t visible = 0;     // How many of these are durable.
  bool ended = false;
  bool durable = false;
  bool read_to_end = false;
  Micros next_check = 0;  // When it is looked at again; the job book's.

  bool AllListed() const { return listed.size() == items.size(); }
};

// An item's place.
struct Located {
  JobNumber number = 0;
  JobEntry* job = nullptr;
  std::uint32_t item = 0;
};

class JobTable {
 public:
  // Takes a stored record; those of a job's header come before its others.
  Result<void> Load(std::string_view key, std::string_view value);

  JobNumber Add(std::string key, JobHeader header);
  void Erase(JobNumber number);

  std::optional<JobNumber> Find(const JobRef& job) const;
  std::optional<JobNumber> FindKey(std::string_view key) const;
  std::optional<Located> Find(const ItemRef& item);
  JobEntry& At(JobNumber number) { return jobs_.at(number); }
  const JobEntry& At(JobNumber number) const { return jobs_.at(number); }
  std::map<JobNumber, JobEntry>& all() { return jobs_; }
  std::size_t size() const { return jobs_.size(); }

 private:
  static Result<void> LoadAttempts(JobEntry& job, std::uint32_t item, std::string_view value);
  static Result<void> LoadListed(JobEntry& job, std::uint32_t position, std::string_view value);

  std::map<JobNumber, JobEntry> jobs_;
  std::map<std::string, JobNumber, std::less<>> numbers_;  // By job key.
  JobNumber next_number_ = 1;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_JOB_TABLE_H_
