// Whom an agent asks next while it looks for the core's primary: the primary it knows, whom a core
// process names as such, or the core processes in turn. Pure.
#ifndef SHELFLINK_TIER_CLUSTER_CORE_FINDER_H_
#define SHELFLINK_TIER_CLUSTER_CORE_FINDER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "net/address.h"

namespace shelflink::cluster {

class CoreFinder {
 public:
  void SetSeeds(std::vector<net::Address> seeds) { seeds_ = std::move(seeds); }
  // All core processes, as the primary tells; seeds count beside them.
  void Learn(std::vector<net::Address> cores);
  // None: nobody is known at all.
  std::optional<net::Address> Target() const;
  std::optional<net::Address> primary() const { return primary_; }

  void Accepted(const net::Address& by);
  // Whether another try makes sense at once.
  bool Declined(const net::Address& by, const std::optional<net::Address>& hint);
  void Failed(const net::Address& at);

 private:
  std::vector<net::Address> Candidates() const;

  std::vector<net::Address> seeds_;
  std::vector<net::Address> learned_;
  std::optional<net::Address> primary_;
  std::optional<net::Address> last_failed_;  // A hint to it counts only the second time.
  std::size_t turn_ = 0;
  int hints_followed_ = 0;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_FINDER_H_
