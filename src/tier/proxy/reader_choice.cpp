#include "tier/proxy/reader_choice.h"

#include <algorithm>

namespace shelflink::proxy {
namespace {

// The readers of a group may notice that the group before has failed a little later than the other
// proxies do, so that a single kNotReading proves nothing.
constexpr std::size_t kMaxConsecutiveNotReading = 2;

bool IsFailure(ReaderAnswer answer) {
  return answer != ReaderAnswer::kNewerList && answer != ReaderAnswer::kNothingNewer;
}

}  // namespace

void ReaderChoice::SetFleet(std::size_t rank, std::size_t proxies, std::size_t readers) {
  rank_ = rank;
  proxies_ = std::max<std::size_t>(1, proxies);
  readers_ = std::clamp<std::size_t>(readers, 1, proxies_);
  active_group_ = std::min(active_group_, group_count() - 1);
}

void ReaderChoice::Reset() {
  SetActiveGroup(0);
  next_reader_ = rank_;  // Spreads the calls of the fleet over the readers.
}

std::size_t ReaderChoice::ActiveGroupSize() const {
  return std::min(readers_, proxies_ - std::min(proxies_, ActiveGroupBegin()));
}

std::size_t ReaderChoice::OthersInActiveGroup() const {
  return ActiveGroupSize() - (own_group() == active_group_ ? 1 : 0);
}

std::optional<std::size_t> ReaderChoice::NextReaderToAsk(bool own_reads_fail) {
  if (IsStandbyReader()) return next_reader_ % ActiveGroupBegin();
  if (ShouldRead() && !own_reads_fail) return std::nullopt;
  if (OthersInActiveGroup() == 0) ActivateNextGroup();
  if (OthersInActiveGroup() == 0) return std::nullopt;
  std::size_t rank = ActiveGroupBegin() + next_reader_ % ActiveGroupSize();
  if (rank == rank_) rank = ActiveGroupBegin() + ++next_reader_ % ActiveGroupSize();
  return rank;
}

bool ReaderChoice::OnAnswer(std::size_t rank, ReaderAnswer answer) {
  if (IsStandbyReader()) {
    OnAnswerToStandby(rank, answer);
    return false;
  }
  if (IsFailure(answer)) return OnFailure(answer);
  consecutive_failures_ = 0;
  consecutive_not_reading_ = 0;
  return false;
}

void ReaderChoice::OnListRead() {
  if (own_group() < active_group_) SetActiveGroup(own_group());
}

void ReaderChoice::OnAnswerToStandby(std::size_t rank, ReaderAnswer answer) {
  if (IsFailure(answer)) {
    ++next_reader_;
  } else {
    SetActiveGroup(std::min(active_group_, rank / readers_));
  }
}

// Beyond the first group only kNoAnswer counts as a failure. If kPlatformFailing counted there too,
// a failing platform would be read by the whole fleet, one group after the other.
bool ReaderChoice::OnFailure(ReaderAnswer answer) {
  ++next_reader_;
  if (answer == ReaderAnswer::kNotReading && active_group_ > 0) {
    if (++consecutive_not_reading_ >= kMaxConsecutiveNotReading) SetActiveGroup(0);
    return false;
  }
  if (answer == ReaderAnswer::kPlatformFailing && active_group_ > 0) return false;
  if (++consecutive_failures_ >= OthersInActiveGroup()) ActivateNextGroup();
  return true;
}

void ReaderChoice::SetActiveGroup(std::size_t group) {
  active_group_ = group;
  consecutive_failures_ = 0;
  consecutive_not_reading_ = 0;
}

void ReaderChoice::ActivateNextGroup() {
  SetActiveGroup(active_group_ + 1 < group_count() ? active_group_ + 1 : own_group());
}

}  // namespace shelflink::proxy
