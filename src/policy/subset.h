// The subset of endpoints in use: its size and its members.
#ifndef GAUGECART_POLICY_SUBSET_H_
#define GAUGECART_POLICY_SUBSET_H_

#include <utility>

#include "policy/endpoint_state.h"

namespace gaugecart {

constexpr std::size_t kInitialSubsetSize = 3;
constexpr double kGoldenRatio = 0.6180339887498949;
constexpr std::size_t kSharedRanks = 12;  // Ranks spread over the group; later ones are private.

// Number of endpoints in use: one more whenever the calls in flight exceed it.
class SubsetSize {
 public:
  bool Grow(std::size_t in_flight, std::size_t max) {
    if (in_flight <= size_ || size_ >= max) return false;
    ++size_;
    return true;
  }
  void Shrink() { size_ = std::max(kInitialSubsetSize, size_ - 1); }
  std::size_t size() const { return size_; }

 private:
  std::size_t size_ = kInitialSubsetSize;
};

// The order in which this balancer of its group takes endpoints into use.
class Ranking {
 public:
  explicit Ranking(const Settings& settings) : settings_(settings) {}

  // `ready` must stay valid until the next call.
  void Reset(const std::vector<EndpointState*>& ready) {
    ready_ = &ready;
    ranks_.clear();
    private_ranks_added_ = false;
  }

  // The first ranks are shuffles common to the group, divided over the balancers' numbers by size:
  // every endpoint is in equally many subsets; a plain hash would crowd some. Then a private one.
  EndpointState* AtRank(std::size_t rank) {
    while (ranks_.size() <= rank) {
      if (ranks_.size() < kSharedRanks && AddSharedRank()) continue;
      if (!private_ranks_added_) AddPrivateRanks();
    }
    return ranks_[rank];
  }

 private:
  using Keyed = std::vector<std::pair<std::uint64_t, EndpointState*>>;

  static void Sort(Keyed& keyed) {
    const auto key = [](const auto& e) { return std::pair(e.first, e.second->info.hash); };
    std::ranges::sort(keyed, {}, key);
  }

  double Size(const EndpointState& s) const {
    return settings_.weights_are_sizes && s.info.size > 0 ? s.info.size : 1.0;
  }

  // Own zone first, while it has unranked endpoints: crossing zones costs and gains nothing.
  // Endpoints of other zones follow as the subset outgrows the zone.
  bool AddSharedRank() { return AddSharedRank(true) || AddSharedRank(false); }
  bool AddSharedRank(bool own_zone) {
    // Within one zone the ranks of all balancers together go round the endpoints in whole laps,
    // each in its own order, so that none is in many more subsets than another.
    const std::size_t slot =
        ranks_.size() * settings_.group_size + settings_.me % settings_.group_size;
    const bool one_zone =
        own_zone && std::all_of(ready_->begin(), ready_->end(),
                                [&](const EndpointState* s) { return InOwnZone(s); });
    const std::uint64_t salt = Mix(0x5ba7 + (one_zone ? slot / ready_->size() : ranks_.size()));
    Keyed order;
    double total = 0.0;
    for (EndpointState* s : *ready_) {
      if (InOwnZone(s) != own_zone) continue;
      order.emplace_back(Mix(s->info.hash ^ salt), s);
      total += Size(*s);
    }
    if (order.empty()) return false;
    Sort(order);
    // Which numbers share a zone is unknown; golden-ratio steps suit a block as well as every
    // third.
    const double me = static_cast<double>(settings_.me % settings_.group_size) + 0.5;
    const double count = static_cast<double>(ready_->size());
    const double position = one_zone ? (static_cast<double>(slot % ready_->size()) + 0.5) / count
                                     : std::fmod(me * kGoldenRatio, 1.0);
    double remaining = total * position;
    std::size_t at = 0;
    while (at + 1 < order.size() && remaining >= Size(*order[at].second)) {
      remaining -= Size(*order[at++].second);
    }
    for (std::size_t i = 0; i < order.size(); ++i) {  // Skips earlier ranks.
      EndpointState* s = order[(at + i) % order.size()].second;
      if (IsRanked(s)) continue;
      ranks_.push_back(s);
      return true;
    }
    return false;
  }

  bool InOwnZone(const EndpointState* s) const { return s->info.zone == settings_.zone; }
  bool IsRanked(const EndpointState* s) const {
    return std::find(ranks_.begin(), ranks_.end(), s) != ranks_.end();
  }

  void AddPrivateRanks() {
    private_ranks_added_ = true;
    Keyed rest;
    for (EndpointState* s : *ready_) {
      if (!IsRanked(s)) unranked.emplace_back(Mix(s->info.hash ^ Mix(settings_.me)), s);
    }
    Sort(unranked);
    for (const auto& [key, s] : unranked) ranks_.push_back(s);
  }

  const Settings& settings_;
  const std::vector<EndpointState*>* ready_ = nullptr;
  std::vector<EndpointState*> ranks_;
  bool private_ranks_added_ = false;
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_SUBSET_H_
