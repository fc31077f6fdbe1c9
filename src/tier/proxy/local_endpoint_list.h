// The list of endpoints that a proxy got without the core: it has read the platform's list itself
// or fetched the list of another proxy. The list and the time of its reading change together.
// No I/O.
#ifndef SHELFLINK_TIER_PROXY_LOCAL_ENDPOINT_LIST_H_
#define SHELFLINK_TIER_PROXY_LOCAL_ENDPOINT_LIST_H_

#include <memory>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/view.h"

namespace shelflink::proxy {

class LocalEndpointList {
 public:
  using ListPointer = std::shared_ptr<const cluster::EndpointList>;

  // Null: no list is stored.
  const ListPointer& list() const { return list_; }
  // When the reading of the stored list began; net::Time() while no list is stored.
  net::Time read_at() const { return read_at_; }

  // Stores `entries` with the time at which their reading began. `current`: the list in use. If it
  // has the same entries, it is stored itself, so that a later list of the core does not take its
  // place under the time of this reading. Returns whether the list in use changes.
  bool Store(const ListPointer& current, std::vector<cluster::EndpointEntry> entries,
             net::Time read_at);
  void Drop() { *this = LocalEndpointList(); }
  // Drops a stored list that is older than the core's reading; returns whether it did.
  bool DropIfOlderThan(net::Time core_read_at);

 private:
  ListPointer list_;
  net::Time read_at_{};
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_LOCAL_ENDPOINT_LIST_H_
