#include "tier/coordination/refusals.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "tier/coordination/decimal_number.h"

namespace shelflink::coordination {
namespace {

constexpr std::string_view kRecords = "id/";         // Then the id: the number of its refusal.
constexpr std::string_view kNewestKey = "newest";    // The greatest number given so far.
constexpr std::string_view kDroppedKey = "dropped";  // A DroppedMark.

// Ids from this one on may have been refused without a record, under that number at most.
struct DroppedMark {
  std::uint64_t number = 0;
  std::string from;
};

std::string Join(std::string_view prefix, std::string_view rest) {
  return std::string(prefix).append(rest);
}

std::uint64_t NumberAt(const Contents& contents, const std::string& key) {
  const auto found = contents.find(key);
  return found == contents.end() ? 0 : DecimalNumber(found->second);
}

std::string TextOf(const DroppedMark& mark) {
  return std::to_string(mark.number) + " " + mark.from;
}

std::optional<DroppedMark> DroppedMarkIn(const Contents& contents, std::string_view prefix) {
  const auto found = contents.find(Join(prefix, kDroppedKey));
  if (found == contents.end()) return std::nullopt;
  const std::string& text = found->second;
  return DroppedMark{DecimalNumber(text),
                     text.substr(std::min(text.find(' '), text.size() - 1) + 1)};
}

}  // namespace

std::string RefusalRecords::RecordKey(std::string_view id) const {
  return Join(prefix_, kRecords).append(id);
}

std::uint64_t RefusalRecords::NumberOf(std::string_view id) const {
  const std::uint64_t recorded = NumberAt(committed_, RecordKey(id));
  if (recorded > 0) return recorded;
  const std::optional<DroppedMark> dropped = DroppedMarkIn(committed_, prefix_);
  return dropped && id >= dropped->from ? dropped->number : 0;
}

JudgedPlan RefusalRecords::Accept(std::string_view id, std::uint64_t refusals_seen,
                                  std::vector<Write> writes) const {
  const std::uint64_t refusal = NumberOf(id);
  if (refusals_seen < refusal) return {{}, ConfirmationRequired{refusal}};
  return {std::move(writes), Accepted{}};
}

JudgedPlan RefusalRecords::Refuse(std::string_view id, std::uint64_t refusals_seen,
                                  Error error) const {
  JudgedPlan plan{{}, Refused{std::move(error)}};
  // On record already, and this copy carries no later number.
  if (refusals_seen < NumberOf(id)) return plan;
  MakeRoom(plan.writes);
  const std::string newest_key = Join(prefix_, kNewestKey);
  const std::string number = std::to_string(NumberAt(committed_, newest_key) + 1);
  plan.writes.push_back({newest_key, number});
  plan.writes.push_back({RecordKey(id), number});
  return plan;
}

std::vector<Write> RefusalRecords::ForgetBelow(std::string_view id) const {
  std::vector<Write> writes;
  const auto end = committed_.lower_bound(RecordKey(id));
  for (auto record = committed_.lower_bound(RecordKey("")); record != end; ++record) {
    writes.push_back({record->first, std::nullopt});
  }
  return writes;
}

void RefusalRecords::MakeRoom(std::vector<Write>& writes) const {
  const std::string records = RecordKey("");
  std::size_t count = 0;
  auto greatest = committed_.end();
  for (auto record = committed_.lower_bound(records);
       record != committed_.end() && record->first.starts_with(records); ++record) {
    greatest = record;
    ++count;
  }
  if (count < kMostRefusals) return;
  DroppedMark mark{DecimalNumber(greatest->second), greatest->first.substr(records.size())};
  if (const auto earlier = DroppedMarkIn(committed_, prefix_)) {
    mark.number = std::max(mark.number, earlier->number);
    mark.from = std::min(mark.from, earlier->from);
  }
  writes.push_back({greatest->first, std::nullopt});
  writes.push_back({Join(prefix_, kDroppedKey), TextOf(mark)});
}

}  // namespace shelflink::coordination
