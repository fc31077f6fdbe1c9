#include "tier/cluster/redundancy.h"

#include <algorithm>

namespace shelflink::cluster {
namespace {

// The upper one of the two in the middle, so that two losses do not look better than they were.
net::Span MedianOf(std::vector<net::Span> spans) {
  if (spans.empty()) return {};
  const auto middle = spans.begin() + static_cast<std::ptrdiff_t>(spans.size() / 2);
  std::nth_element(spans.begin(), middle, spans.end());
  return *middle;
}

std::size_t SizeClassOf(std::uint64_t bytes) {
  const auto place = std::lower_bound(kLossSizes.begin(), kLossSizes.end(), bytes);
  return static_cast<std::size_t>(place - kLossSizes.begin());
}

}  // namespace

void RedundancyBook::Observe(net::Time now, const Copies& copies) {
  const bool lacks = copies.whole < copies.wanted;
  const auto found = open_.find(copies.subject);
  if (!lacks) {
    if (found != open_.end()) End(now, copies.subject);
    return;
  }
  if (found == open_.end()) {
    Begin(now, copies);
    return;
  }
  found->second.loss.whole = copies.whole;
  found->second.loss.wanted = copies.wanted;
}

void RedundancyBook::Begin(net::Time now, const Copies& copies) {
  Open open;
  open.since = std::min(now, copies.missing_since);
  // While the loss before this one lasted, the time was counted there.
  const auto ended_at = ended_at_.find(copies.subject);
  if (ended_at != ended_at_.end()) open.since = std::max(open.since, ended_at->second);
  open.loss.subject = copies.subject;
  open.loss.whole = copies.whole;
  open.loss.wanted = copies.wanted;
  open.loss.at_least = copies.at_least;
  open_.emplace(copies.subject, open);
  ++KindOf(copies.subject).begun;
}

void RedundancyBook::End(net::Time now, const CopySubject& subject) {
  const auto found = open_.find(subject);
  Kind& kind = KindOf(subject);
  const Ended ended{now - found->second.since, found->second.loss.bytes_copied};
  ++kind.ended;
  kind.worst = std::max(kind.worst, ended.lasted);
  kind.remembered.push_back(ended);
  if (kind.remembered.size() > kMostRememberedLosses) kind.remembered.pop_front();
  ended_at_[subject] = now;
  open_.erase(found);
}

void RedundancyBook::OnCopied(const CopySubject& subject, std::uint64_t bytes) {
  const auto found = open_.find(subject);
  if (found == open_.end()) return;
  found->second.loss.bytes_copied += bytes;
  KindOf(subject).bytes_copied += bytes;
}

void RedundancyBook::OnLeft(const CopySubject& subject, std::optional<std::uint64_t> bytes) {
  const auto found = open_.find(subject);
  if (found != open_.end()) found->second.loss.bytes_left = bytes;
}

void RedundancyBook::HandOn() {
  for (const auto& [subject, open] : open_) ++KindOf(subject).handed_on;
  open_.clear();
  ended_at_.clear();
}

std::vector<OpenLoss> RedundancyBook::open(net::Time now) const {
  std::vector<OpenLoss> losses;
  losses.reserve(open_.size());
  for (const auto& [subject, open] : open_) {
    losses.push_back(open.loss);
    losses.back().lasts = now - open.since;
  }
  return losses;
}

LossHistory RedundancyBook::history(CopyKind which) const {
  const Kind& kind = kinds_[static_cast<std::size_t>(which)];
  LossHistory history;
  history.begun = kind.begun;
  history.ended = kind.ended;
  history.handed_on = kind.handed_on;
  history.worst = kind.worst;
  history.bytes_copied = kind.bytes_copied;
  std::vector<net::Span> all;
  std::array<std::vector<net::Span>, kLossSizes.size() + 1> by_size;
  for (const Ended& ended : kind.remembered) {
    all.push_back(ended.lasted);
    by_size[SizeClassOf(ended.bytes)].push_back(ended.lasted);
  }
  history.median = MedianOf(std::move(all));
  for (std::size_t size = 0; size < by_size.size(); ++size) {
    const std::vector<net::Span>& spans = by_size[size];
    if (spans.empty()) continue;
    LossSizeClass one;
    if (size < kLossSizes.size()) one.most_bytes = kLossSizes[size];
    one.losses = spans.size();
    one.median = MedianOf(spans);
    one.worst = *std::max_element(spans.begin(), spans.end());
    history.by_size.push_back(one);
  }
  return history;
}

}  // namespace shelflink::cluster
