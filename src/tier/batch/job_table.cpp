#include "tier/batch/job_table.h"

#include <algorithm>
#include <utility>

namespace shelflink::batch {

Result<void> JobTable::Load(std::string_view key, std::string_view value) {
  const std::optional<ParsedKey> parsed = ParseRecordKey(key);
  if (!parsed) return MakeError(ErrorCode::kStorage, "unknown key among the batch records");
  if (parsed->kind == RecordKind::kJob) {
    Result<JobHeader> header = DecodeRecord<JobHeader>(value);
    if (!header) return header.error();
    Add(parsed->job_key, std::move(header.value()));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  const auto number = FindKey(parsed->job_key);
  if (!number) return MakeError(ErrorCode::kStorage, "batch record of no job");
  JobEntry& job = At(*number);
  switch (parsed->kind) {
    case RecordKind::kEnded:
      job.ended = true;
      break;
    case RecordKind::kAttempts:
      return LoadAttempts(job, parsed->number, value);
    case RecordKind::kListed:
      return LoadListed(job, parsed->number, value);
    default:
      break;  // Payloads and texts stay where they are.
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> JobTable::LoadAttempts(JobEntry& job, std::uint32_t item, std::string_view value) {
  Result<Attempts> attempts = DecodeRecord<Attempts>(value);
  if (!attempts) return attempts.error();
  if (item >= job.items.size()) {
    return MakeError(ErrorCode::kStorage, "attempts of an item that its job does not have");
  }
  job.items[item].attempts = std::move(attempts.value());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> JobTable::LoadListed(JobEntry& job, std::uint32_t position, std::string_view value) {
  const Result<Listed> listed = DecodeRecord<Listed>(value);
  if (!listed) return listed.error();
  if (position != job.listed.size() || listed.value().item >= job.items.size()) {
    return MakeError(ErrorCode::kStorage, "results of a batch job with a gap");
  }
  job.listed.push_back(listed.value());
  job.items[listed.value().item].state = ItemState::kListed;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

JobNumber JobTable::Add(std::string key, JobHeader header) {
  const JobNumber number = next_number_++;
  JobEntry& job = jobs_[number];
  job.key = key;
  job.owner = OwnerOf({0, 0, header.tenant, header.host, header.job});
  job.items.resize(header.items.size());
  job.header = std::move(header);
  numbers_.emplace(std::move(key), number);
  return number;
}

void JobTable::Erase(JobNumber number) {
  const auto found = jobs_.find(number);
  if (found == jobs_.end()) return;
  numbers_.erase(found->second.key);
  jobs_.erase(found);
}

std::optional<JobNumber> JobTable::FindKey(std::string_view key) const {
  const auto found = numbers_.find(key);
  if (found == numbers_.end()) return {};
  return found->second;
}

std::optional<JobNumber> JobTable::Find(const JobRef& job) const {
  return FindKey(JobKeyOf(OwnerOf(job), job.job));
}

std::optional<Located> JobTable::Find(const ItemRef& item) {
  const std::optional<JobNumber> number = Find(item.job);
  if (!number) return {};
  JobEntry& job = jobs_.at(*number);
  const auto& items = job.header.items;
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&](const auto& known) { return known.id == item.item; });
  if (found == items.end()) return {};
  return Located{*number, &job, static_cast<std::uint32_t>(found - items.begin())};
}

}  // namespace shelflink::batch
