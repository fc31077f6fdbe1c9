#include "tier/platform/list_reader.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace shelflink::platform {
namespace {

using std::chrono::milliseconds;

constexpr double kLeastRate = 0.1;  // Calls a second.
constexpr int kWalksPerDrain = 4;   // So that one walk that fails leaves time for another.
constexpr milliseconds kShortestPeriod{300};
constexpr milliseconds kLongestPeriod{1500};
constexpr milliseconds kFirstPause{100};  // After a failure; doubles.
constexpr milliseconds kLeastWait{50};
// Parts of the time in which a drain must bind. Patience and pause together are a third of it: the
// platform's recovery is noticed so soon, and a sixth of it is left for the walk itself within the
// half that is promised.
constexpr int kPatiencePart = 4;           // For an answer.
constexpr int kPausePart = 12;             // Between failures, at the longest.
constexpr int kSlowAnswerPart = 12;        // From here on an answer counts as slow.
constexpr int kAdvicePart = 4;             // Heeded of a Retry-After, at the longest.
constexpr std::uint32_t kTriesOfPage = 3;  // Then the walk starts anew.
constexpr std::size_t kMostEntries = 200000;

net::Span SpacingOf(double rate_per_s, double share) {
  const double calls_per_s = std::max(rate_per_s, kLeastRate) * share;
  return std::chrono::duration_cast<net::Span>(std::chrono::duration<double>(1.0 / calls_per_s));
}

net::Span PartOf(net::Span drain, int part) {
  return std::max<net::Span>(kLeastWait, drain / part);
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
    : rate_per_s_(options.rate_per_s),
      call_spacing_(SpacingOf(options.rate_per_s, options.share_of_rate)),
      walk_period_(std::clamp(options.drain / kWalksPerDrain, kShortestPeriod, kLongestPeriod)),
      drain_(options.drain) {}

void ListReader::SetShareOfRate(double share) { call_spacing_ = SpacingOf(rate_per_s_, share); }

net::Span ListReader::answer_patience() const { return PartOf(drain_, kPatiencePart); }

net::Span ListReader::slow_answer() const { return PartOf(drain_, kSlowAnswerPart); }

net::Span ListReader::PauseAfterFailures() const {
  const net::Span longest = PartOf(drain_, kPausePart);
  net::Span pause = kFirstPause;
  for (std::uint32_t i = 1; i < failures_ && pause < longest; ++i) pause *= 2;
  return std::min(pause, longest);
}

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
  const net::Span advised =
      std::min<net::Span>(error.retry_after.value_or(milliseconds(0)), PartOf(drain_, kAdvicePart));
  next_call_ = std::max(next_call_, now + advised);
}

std::optional<std::vector<cluster::EndpointEntry>> ListReader::OnLatePage(
    net::Time now, const ListRequest& request, net::Time sent, InstancePage page) {
  if (!running_ || request.page_token != page_token_) return std::nullopt;
  const bool first_page = page_token_.empty();
  if (first_page ? sent <= list_started_ : sent < walk_started_) return std::nullopt;
  if (first_page) walk_started_ = sent;
  under_way_ = true;  // In place of the call that has followed it.
  return OnPage(now, std::move(page));
}

void ListReader::FailWalk(net::Time now) {
  ++failures_;
  BeginWalk(AfterFailure(now));
}

net::Time ListReader::AfterFailure(net::Time now) const {
  return std::max(now + PauseAfterFailures(), last_call_ + call_spacing_);
}

std::vector<cluster::EndpointEntry> ListReader::FinishWalk() {
  failures_ = 0;
  list_started_ = walk_started_;
  std::vector<cluster::EndpointEntry> whole = WithoutRepeats(std::move(entries_));
  BeginWalk(std::max(walk_started_ + walk_period_, last_call_ + call_spacing_));
  return whole;
}

}  // namespace shelflink::platform
