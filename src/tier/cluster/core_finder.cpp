#include "tier/cluster/core_finder.h"

#include <algorithm>

namespace shelflink::cluster {
namespace {

constexpr int kMostHintsInRow = 3;

}  // namespace

void CoreFinder::Learn(std::vector<net::Address> cores) {
  if (!cores.empty()) learned_ = std::move(cores);
}

std::vector<net::Address> CoreFinder::Candidates() const {
  std::vector<net::Address> all = learned_;
  for (const net::Address& seed : seeds_) {
    if (std::find(all.begin(), all.end(), seed) == all.end()) all.push_back(seed);
  }
  return all;
}

std::optional<net::Address> CoreFinder::Target() const {
  if (primary_) return primary_;
  const std::vector<net::Address> all = Candidates();
  if (all.empty()) return std::nullopt;
  return all[turn_ % all.size()];
}

void CoreFinder::Accepted(const net::Address& by) {
  primary_ = by;
  last_failed_.reset();
  hints_followed_ = 0;
}

bool CoreFinder::Declined(const net::Address& by, const std::optional<net::Address>& hint) {
  primary_.reset();
  const bool usable = hint && *hint != by && hint != last_failed_;
  last_failed_.reset();
  if (usable && hints_followed_ < kMostHintsInRow) {
    ++hints_followed_;
    primary_ = hint;
    return true;
  }
  hints_followed_ = 0;
  ++turn_;
  return false;
}

void CoreFinder::Failed(const net::Address& at) {
  primary_.reset();
  last_failed_ = at;
  hints_followed_ = 0;
  ++turn_;
}

}  // namespace shelflink::cluster
