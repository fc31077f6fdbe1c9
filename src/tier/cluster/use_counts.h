// One sidecar's counts of requests that began to run, kept until the core has settled their window.
// Pure.
//
// Limit: kMostCountedWindows windows; beyond that the oldest is dropped (the core was unreachable
// for longer than it accepts counts).
#ifndef SHELFLINK_TIER_CLUSTER_USE_COUNTS_H_
#define SHELFLINK_TIER_CLUSTER_USE_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tier/cluster/messages.h"

namespace shelflink::cluster {

constexpr std::size_t kMostCountedWindows = 64;

class UseCounts {
 public:
  void Count(std::uint64_t window, const std::string& tenant);
  // Counts not yet acknowledged by the core process that acknowledged last.
  std::vector<UseCount> Unacknowledged() const;
  // The core process of that incarnation has stored these counts.
  void Acknowledge(std::uint64_t core_incarnation, const std::vector<UseCount>& uses);
  void Settle(std::uint64_t settled_before);

 private:
  struct Counter {
    std::uint64_t counted = 0;
    std::uint64_t acknowledged = 0;
  };
  std::map<std::uint64_t, std::map<std::string, Counter>> windows_;
  std::uint64_t core_incarnation_ = 0;  // Of the core process that acknowledged last.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_USE_COUNTS_H_
