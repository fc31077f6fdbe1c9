// Requests that began to run, by window of true time and tenant: the counts of all sidecars, merged
// on the core's primary until a window is complete. Pure.
//
// Counts are cumulative for each window and incarnation of a sidecar, so repeated and reordered
// messages have no effect. Limits: kMostOpenWindows windows; counts of older ones are dropped, and
// the drops are counted.
#ifndef SHELFLINK_TIER_CLUSTER_USAGE_LEDGER_H_
#define SHELFLINK_TIER_CLUSTER_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/address.h"
#include "tier/cluster/messages.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

constexpr std::size_t kMostOpenWindows = 64;

// Counts of one window by tenant.
using UsageCounts = std::map<std::string, std::uint64_t>;

std::string EncodeUsage(const UsageCounts& counts);
Result<UsageCounts> DecodeUsage(std::string_view body);

class UsageLedger {
 public:
  void Hear(const net::Address& member, std::uint64_t incarnation,
            const std::vector<UseCount>& uses);
  // Sum over all known incarnations; empty if nothing was counted.
  UsageCounts Total(std::uint64_t window) const;
  // The window and all before it are reported or given up.
  void Settle(std::uint64_t window);
  std::uint64_t settled_before() const { return settled_before_; }
  std::uint64_t dropped() const { return dropped_; }
  void Clear();

 private:
  using Life = std::pair<net::Address, std::uint64_t>;
  std::map<std::uint64_t, std::map<Life, UsageCounts>> windows_;
  std::uint64_t settled_before_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_USAGE_LEDGER_H_
