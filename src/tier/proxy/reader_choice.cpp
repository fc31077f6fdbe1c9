#include "tier/proxy/reader_choice.h"

#include <algorithm>

namespace shelflink::proxy {
namespace {

// A later group may notice the end of the one before it a moment later than others do.
constexpr std::size_t kMostNotReading = 2;

bool IsFailure(ReaderAnswer answer) {
  return answer != ReaderAnswer::kList && answer != ReaderAnswer::kNothingNewer;
}

}  // namespace

void ReaderChoice::SetFleet(std::size_t rank, std::size_t proxies, std::size_t readers) {
  rank_ = rank;
  proxies_ = std::max<std::size_t>(1, proxies);
  readers_ = std::clamp<std::size_t>(readers, 1, proxies_);
  group_ = std::min(group_, groups() - 1);
}

void ReaderChoice::Reset() {
  SetGroup(0);
  turn_ = rank_;  // So that the fleet does not ask one reader only.
}

std::size_t ReaderChoice::GroupSize() const {
  return std::min(readers_, proxies_ - std::min(proxies_, GroupBegin()));
}

std::size_t ReaderChoice::OthersInGroup() const {
  return GroupSize() - (own_group() == group_ ? 1 : 0);
}

std::optional<std::size_t> ReaderChoice::NextToAsk(bool in_trouble) {
  if (StandsIn()) return turn_ % GroupBegin();
  if (Reads() && !in_trouble) return std::nullopt;
  if (OthersInGroup() == 0) GoToNextGroup();
  if (OthersInGroup() == 0) return std::nullopt;
  std::size_t rank = GroupBegin() + turn_ % GroupSize();
  if (rank == rank_) rank = GroupBegin() + ++turn_ % GroupSize();
  return rank;
}

bool ReaderChoice::OnAnswer(std::size_t rank, ReaderAnswer answer) {
  if (StandsIn()) {
    OnAnswerToStandIn(rank, answer);
    return false;
  }
  if (IsFailure(answer)) return OnFailure(answer);
  failed_in_a_row_ = 0;
  not_reading_in_a_row_ = 0;
  return false;
}

void ReaderChoice::OnOwnReading() {
  if (own_group() < group_) SetGroup(own_group());
}

void ReaderChoice::OnAnswerToStandIn(std::size_t rank, ReaderAnswer answer) {
  if (IsFailure(answer)) {
    ++turn_;
  } else {
    SetGroup(std::min(group_, rank / readers_));
  }
}

// Only silence counts beyond the first group: a platform that is in trouble itself would have the
// whole fleet read, one group after the other.
bool ReaderChoice::OnFailure(ReaderAnswer answer) {
  ++turn_;
  if (answer == ReaderAnswer::kNotReading && group_ > 0) {
    if (++not_reading_in_a_row_ >= kMostNotReading) SetGroup(0);
    return false;
  }
  if (answer == ReaderAnswer::kTrouble && group_ > 0) return false;
  if (++failed_in_a_row_ >= OthersInGroup()) GoToNextGroup();
  return true;
}

void ReaderChoice::SetGroup(std::size_t group) {
  group_ = group;
  failed_in_a_row_ = 0;
  not_reading_in_a_row_ = 0;
}

void ReaderChoice::GoToNextGroup() { SetGroup(group_ + 1 < groups() ? group_ + 1 : own_group()); }

}  // namespace shelflink::proxy
