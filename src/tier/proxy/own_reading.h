// The list of endpoints that a proxy holds by its own reading, or by another proxy's, together with
// the time at which that reading began. Pure.
#ifndef SHELFLINK_TIER_PROXY_OWN_READING_H_
#define SHELFLINK_TIER_PROXY_OWN_READING_H_

#include <memory>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/view.h"

namespace shelflink::proxy {

class OwnReading {
 public:
  using ListPointer = std::shared_ptr<const cluster::EndpointList>;

  // Null: none is held.
  const ListPointer& list() const { return list_; }
  // Of that list; net::Time() while none is held.
  net::Time read_at() const { return read_at_; }

  // `present` is the list that is acted by. Where the entries are the same, that list is held, so
  // that a later one of the core's does not take its place under this reading's time. Whether
  // another list is to be acted by.
  bool Take(const ListPointer& present, std::vector<cluster::EndpointEntry> entries,
            net::Time read_at);
  void Drop() { *this = OwnReading(); }
  // Whether one was held that is older than the core's reading and has been dropped.
  bool DropOlderThan(net::Time core_read_at);

 private:
  ListPointer list_;
  net::Time read_at_{};
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_OWN_READING_H_
