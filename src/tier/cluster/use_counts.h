// What one sidecar counts of requests that began to run, until the core has settled their window.
// Pure.
//
// Limit: kMostCountedWindows windows; the oldest is dropped beyond that (the core has been out of
// reach for longer than it would still take them).
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
  // What the core process that acknowledged last has not acknowledged yet.
  std::vector<UseCount> Unacknowledged() const;
  // The core process of that incarnation has taken those.
  void Acknowledge(std::uint64_t core_incarnation, const std::vector<UseCount>& uses);
  void Settle(std::uint64_t settled_before);

 private:
  struct Counter {
    std::uint64_t counted = 0;
    std::uint64_t acknowledged = 0;
  };
  std::map<std::uint64_t, std::map<std::string, Counter>> windows_;
  std::uint64_t core_incarnation_ = 0;  // Of the process that has acknowledged.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_USE_COUNTS_H_
