// Chooses the core process that an agent contacts next to find the primary: the known primary, the
// one named by another core process, or all core processes in turn. Pure.
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
  // All core processes, as reported by the primary; the seeds remain candidates.
  void Learn(std::vector<net::Address> cores);
  // None: no core process is known.
  std::optional<net::Address> Target() const;
  std::optional<net::Address> primary() const { return primary_; }

  void Accepted(const net::Address& by);
  // Returns whether to try again at once.
  bool Declined(const net::Address& by, const std::optional<net::Address>& hint);
  void Failed(const net::Address& at);

 private:
  std::vector<net::Address> Candidates() const;

  std::vector<net::Address> seeds_;
  std::vector<net::Address> learned_;
  std::optional<net::Address> primary_;
  std::optional<net::Address> last_failed_;  // The first hint to it is ignored.
  std::size_t turn_ = 0;
  int hints_followed_ = 0;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CORE_FINDER_H_
