// The subset of endpoints in use: how large it is, and which stand in it.
#ifndef GAUGECART_POLICY_SUBSET_H_
#define GAUGECART_POLICY_SUBSET_H_

#include <utility>

#include "policy/server.h"

namespace gaugecart {

constexpr std::size_t kInitialSubsetSize = 3;  // Endpoints in use at the start.
constexpr double kGolden = 0.6180339887498949;
constexpr std::size_t kEvenRanks = 12;  // Ranks dealt evenly over the group; private beyond.

// How many endpoints are in use: one more whenever the calls in flight exceed them.
class SubsetSize {
 public:
  bool Grow(std::size_t in_flight, std::size_t most) {
    if (in_flight <= size_ || size_ >= most) return false;
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

  // `ready` stays until the next.
  void Reset(const std::vector<Server*>& ready) {
    ready_ = &ready;
    ranks_.clear();
    tail_dealt_ = false;
  }

  // The endpoint at this rank of this balancer's order. The first ranks are shuffles common to the
  // group, laid over the balancers' numbers by size, so that every endpoint stands in equally many
  // subsets; a plain hash would crowd some. Later ranks follow a private shuffle.
  Server* Ranked(std::size_t rank) {
    while (ranks_.size() <= rank) {
      if (ranks_.size() < kEvenRanks && DealEvenRank()) continue;
      if (!tail_dealt_) DealTail();
    }
    return ranks_[rank];
  }

 private:
  using Keyed = std::vector<std::pair<std::uint64_t, Server*>>;

  static void Sort(Keyed& all) {
    const auto key = [](const auto& e) { return std::pair(e.first, e.second->info.hash); };
    std::ranges::sort(all, {}, key);
  }

  double Size(const Server& s) const {
    return settings_.weights_are_sizes && s.info.size > 0 ? s.info.size : 1.0;
  }

  // Own zone first, while it has endpoints that no rank has dealt: a crossing costs and gains
  // nothing. Members elsewhere come in as the subset grows past the zone.
  bool DealEvenRank() { return DealEvenRank(true) || DealEvenRank(false); }
  bool DealEvenRank(bool near) {
    // In one zone the ranks of all balancers together go round the endpoints: whole laps, each in
    // an order of its own, so that none stands in many more subsets than another.
    const std::size_t pick =
        ranks_.size() * settings_.group_size + settings_.me % settings_.group_size;
    const bool lap = near && std::all_of(ready_->begin(), ready_->end(),
                                         [&](const Server* s) { return Near(s); });
    const std::uint64_t salt = Mix(0x5ba7 + (lap ? pick / ready_->size() : ranks_.size()));
    Keyed order;
    double total = 0.0;
    for (Server* s : *ready_) {
      if (Near(s) != near) continue;
      order.emplace_back(Mix(s->info.hash ^ salt), s);
      total += Size(*s);
    }
    if (order.empty()) return false;
    Sort(order);
    // Which of the group's numbers share a zone is told nowhere; steps of the golden ratio lie
    // evenly for a block of them as for every third.
    const double me = static_cast<double>(settings_.me % settings_.group_size) + 0.5;
    const double count = static_cast<double>(ready_->size());
    const double place = lap ? (static_cast<double>(pick % ready_->size()) + 0.5) / count
                             : std::fmod(me * kGolden, 1.0);
    double left = total * place;
    std::size_t at = 0;
    while (at + 1 < order.size() && left >= Size(*order[at].second)) {
      left -= Size(*order[at++].second);
    }
    for (std::size_t i = 0; i < order.size(); ++i) {  // Skip what an earlier rank has dealt.
      Server* s = order[(at + i) % order.size()].second;
      if (Dealt(s)) continue;
      ranks_.push_back(s);
      return true;
    }
    return false;
  }

  bool Near(const Server* s) const { return s->info.zone == settings_.zone; }
  bool Dealt(const Server* s) const {
    return std::find(ranks_.begin(), ranks_.end(), s) != ranks_.end();
  }

  void DealTail() {
    tail_dealt_ = true;
    Keyed rest;
    for (Server* s : *ready_) {
      if (!Dealt(s)) rest.emplace_back(Mix(s->info.hash ^ Mix(settings_.me)), s);
    }
    Sort(rest);
    for (const auto& [key, s] : rest) ranks_.push_back(s);
  }

  const Settings& settings_;
  const std::vector<Server*>* ready_ = nullptr;
  std::vector<Server*> ranks_;
  bool tail_dealt_ = false;
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_SUBSET_H_
