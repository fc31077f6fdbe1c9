#include "tier/platform/list_reader.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace shelflink::platform {
namespace {

using std::chrono::milliseconds;

constexpr double kLeastRate = 0.1;    // Calls a second.
constexpr double kShareOfRate = 0.5;  // Others call too, and a former primary may still.
constexpr int kWalksPerDrain = 4;     // So that one walk that fails leaves time for another.
constexpr milliseconds kShortestPeriod{300};
constexpr milliseconds kLongestPeriod{1500};
constexpr milliseconds kFirstPause{100};  // After a failure; doubles.
constexpr milliseconds kLongestPause{1000};
constexpr milliseconds kLongestAdvice{5000};  // Of a Retry-After.
constexpr std::uint32_t kTriesOfPage = 3;     // Then the walk starts anew.
constexpr std::size_t kMostEntries = 200000;

net::Span SpacingOf(double rate_per_s) {
  const double calls_per_s = std::max(rate_per_s, kLeastRate) * kShareOfRate;
  return std::chrono::duration_cast<net::Span>(std::chrono::duration<double>(1.0 / calls_per_s));
}

net::Span PauseAfter(std::uint32_t failures) {
  milliseconds pause = kFirstPause;
  for (std::uint32_t i = 1; i < failures && pause < kLongestPause; ++i) pause *= 2;
  return std::min(pause, kLongestPause);
}

// An endpoint that moves from one page to another while the list is walked may stand on both; what
// was read last holds.
std::vector<cluster::EndpointEntry> WithoutRepeats(std::vector<cluster::EndpointEntry> entries) {
  std::map<std::string, cluster::EndpointEntry> by_id;
  for (cluster::EndpointEntry& entry : entries) {
    std::string id = entry.id;
    by_id.insert_or_assign(std::move(id), std::move(entry));
  }
  std::vector<cluster::EndpointEntry> kept;
  kept.reserve(by_id.size());
  for (auto& [id, entry] : by_id) kept.push_back(std::move(entry));
  return kept;
}

}  // namespace

ListReader::ListReader(const Options& options)
    : call_spacing_(SpacingOf(options.rate_per_s)),
      walk_period_(std::clamp(options.drain / kWalksPerDrain, kShortestPeriod, kLongestPeriod)) {}

void ListReader::Start(net::Time now) {
  running_ = true;
  under_way_ = false;
  failures_ = 0;
  BeginWalk(now);
}

void ListReader::Stop() {
  running_ = false;
  under_way_ = false;
  entries_.clear();
}

void ListReader::BeginWalk(net::Time due) {
  next_call_ = due;
  page_token_.clear();
  page_failures_ = 0;
  tokens_seen_.clear();
  entries_.clear();
}

std::optional<net::Time> ListReader::next_due() const {
  if (!running_ || under_way_) return std::nullopt;
  return next_call_;
}

std::optional<ListRequest> ListReader::TakeDue(net::Time now) {
  if (!running_ || under_way_ || now < next_call_) return std::nullopt;
  under_way_ = true;
  last_call_ = now;
  if (page_token_.empty()) walk_started_ = now;
  return ListRequest{{}, page_token_};
}

std::optional<std::vector<cluster::EndpointEntry>> ListReader::OnPage(net::Time now,
                                                                      InstancePage page) {
  if (!running_ || !under_way_) return std::nullopt;
  under_way_ = false;
  const bool last_page = page.next_token.empty();
  const bool token_is_new = last_page || tokens_seen_.insert(page.next_token).second;
  const bool fits = entries_.size() + page.entries.size() <= kMostEntries;
  if (!token_is_new || !fits) {
    FailWalk(now);
    return std::nullopt;
  }
  page_failures_ = 0;
  std::move(page.entries.begin(), page.entries.end(), std::back_inserter(entries_));
  if (last_page) return FinishWalk();
  page_token_ = std::move(page.next_token);
  next_call_ = last_call_ + call_spacing_;
  return std::nullopt;
}

void ListReader::OnFailure(net::Time now, const CallError& error) {
  if (!running_ || !under_way_) return;
  under_way_ = false;
  ++page_failures_;
  if (page_failures_ >= kTriesOfPage) {
    FailWalk(now);
  } else {
    ++failures_;
    next_call_ = AfterFailure(now);
  }
  const milliseconds advised =
      std::min(error.retry_after.value_or(milliseconds(0)), kLongestAdvice);
  next_call_ = std::max(next_call_, now + advised);
}

void ListReader::FailWalk(net::Time now) {
  ++failures_;
  BeginWalk(AfterFailure(now));
}

net::Time ListReader::AfterFailure(net::Time now) const {
  return std::max(now + PauseAfter(failures_), last_call_ + call_spacing_);
}

std::vector<cluster::EndpointEntry> ListReader::FinishWalk() {
  failures_ = 0;
  std::vector<cluster::EndpointEntry> whole = WithoutRepeats(std::move(entries_));
  BeginWalk(std::max(walk_started_ + walk_period_, last_call_ + call_spacing_));
  return whole;
}

}  // namespace shelflink::platform
