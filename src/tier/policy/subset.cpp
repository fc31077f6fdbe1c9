#include "tier/policy/subset.h"

#include <algorithm>
#include <utility>

#include "mix.h"
#include "tier/policy/mutant.h"

namespace shelflink::policy {
namespace {

constexpr Micros kRebuildInterval = 500'000;    // Ejections expire without an event.
constexpr Micros kShrinkInterval = 60'000'000;  // Time with few calls per removed member.
constexpr std::size_t kInitialSortedRanks = 32;
// Set in the keys of endpoints of other zones, so that they sort last.
constexpr std::uint64_t kOtherZoneBit = std::uint64_t{1} << 63;

}  // namespace

std::uint64_t HashOf(const std::string& text) { return gaugecart::Mix(gaugecart::Fnv1a(text)); }

std::uint64_t RendezvousScore(std::uint64_t prefix, std::uint64_t endpoint_hash) {
  return gaugecart::Mix(gaugecart::Mix(prefix) ^ endpoint_hash);
}

void Subset::SetNode(const std::string& node, const std::string& zone) {
  const std::uint64_t hash = HashOf(node);
  if (hash == node_hash_ && zone == zone_) return;
  node_hash_ = hash;
  zone_ = zone;
  Rank();
}

void Subset::SetEndpoints(const std::vector<EndpointInfo>& endpoints) {
  endpoints_ = endpoints;
  hashes_.clear();
  hashes_.reserve(endpoints_.size());
  for (const EndpointInfo& info : endpoints_) hashes_.push_back(HashOf(info.id));
  std::erase_if(prefix_owners_, [&](std::uint64_t hash) {
    return std::find(hashes_.begin(), hashes_.end(), hash) == hashes_.end();
  });
  members_.clear();  // The endpoints may be removed.
  Rank();
}

void Subset::Rank() {
  ranks_.clear();
  ranks_.reserve(endpoints_.size());
  for (std::uint32_t i = 0; i < endpoints_.size(); ++i) {
    const std::uint64_t key = gaugecart::Mix(node_hash_ ^ hashes_[i]) >> 1;
    ranks_.push_back({endpoints_[i].zone == zone_ ? key : key | kOtherZoneBit, i});
  }
  sorted_ = 0;
  stale_ = true;
}

std::optional<std::uint32_t> Subset::AtRank(std::size_t rank) {
  if (rank >= ranks_.size()) return std::nullopt;
  if (rank >= sorted_) {
    // Sort twice as many each time: a small subset of a long list does not need all of it sorted.
    const std::size_t target =
        std::min(ranks_.size(), std::max(kInitialSortedRanks, 2 * (rank + 1)));
    const auto at = [&](std::size_t i) { return ranks_.begin() + static_cast<std::ptrdiff_t>(i); };
    std::partial_sort(at(sorted_), at(target), ranks_.end());
    sorted_ = target;
  }
  return ranks_[rank].index;
}

const std::vector<Endpoint*>& Subset::Members(Micros now) {
  if (!stale_ && now < rebuild_at_) return members_;
  stale_ = false;
  rebuild_at_ = now + kRebuildInterval;
  members_.clear();
  healthy_count_ = 0;
  for (const std::uint64_t hash : prefix_owners_) {
    const auto it = std::find(hashes_.begin(), hashes_.end(), hash);
    AddMember(static_cast<std::uint32_t>(it - hashes_.begin()), now);
  }
  for (std::size_t rank = 0; healthy_count_ < size_.size(); ++rank) {
    const std::optional<std::uint32_t> index = AtRank(rank);
    if (!index) break;
    if (std::find(prefix_owners_.begin(), prefix_owners_.end(), hashes_[*index]) ==
        prefix_owners_.end()) {
      AddMember(*index, now);
    }
  }
  return members_;
}

void Subset::AddMember(std::uint32_t index, Micros now) {
  Endpoint& endpoint = lookup_(endpoints_[index], hashes_[index]);
  if (!endpoint.Usable(now)) return;
  members_.push_back(&endpoint);
  if (!endpoint.health().ejected()) ++healthy_count_;
}

void Subset::NoteInFlight(Micros now, std::size_t in_flight, std::optional<std::uint64_t> prefix) {
  window_peak_ = std::max(window_peak_, in_flight);
  if (now >= window_end_) {
    if (window_end_ > 0 && window_peak_ < size_.size()) {
      size_.Shrink();
      prefix_owners_.resize(
          std::min(prefix_owners_.size(), size_.size() - gaugecart::kInitialSubsetSize));
      stale_ = true;
    }
    window_end_ = now + kShrinkInterval;
    window_peak_ = in_flight;
  }
  if (Mutated(Mutant::kFixedSubset) || !size_.Grow(in_flight, endpoints_.size())) return;
  stale_ = true;
  if (prefix) AddPrefixOwner(*prefix, now);
}

void Subset::AddPrefixOwner(std::uint64_t prefix, Micros now) {
  std::size_t owner = endpoints_.size();
  std::uint64_t best = 0;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const std::uint64_t score = RendezvousScore(prefix, hashes_[i]);
    if (endpoints_[i].draining || score < best) continue;
    best = score;
    owner = i;
  }
  if (owner == endpoints_.size()) return;
  const Endpoint& endpoint = lookup_(endpoints_[owner], hashes_[owner]);
  if (Contains(endpoint) || !endpoint.Usable(now) || endpoint.health().ejected()) return;
  prefix_owners_.push_back(hashes_[owner]);
}

bool Subset::Contains(const Endpoint& endpoint) const {
  return std::find(members_.begin(), members_.end(), &endpoint) != members_.end();
}

}  // namespace shelflink::policy
