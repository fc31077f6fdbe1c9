#include "tier/proxy/own_reading.h"

#include "tier/cluster/same_endpoints.h"

namespace shelflink::proxy {

bool OwnReading::Take(const ListPointer& present, std::vector<cluster::EndpointEntry> entries,
                      net::Time read_at) {
  read_at_ = read_at;
  if (present && cluster::SameEndpoints(present->entries, entries)) {
    list_ = present;
    return false;
  }
  const cluster::Version version = present ? present->version : cluster::Version();
  list_ = std::make_shared<const cluster::EndpointList>(
      cluster::EndpointList{version, std::move(entries)});
  return true;
}

bool OwnReading::DropOlderThan(net::Time core_read_at) {
  if (!list_ || core_read_at <= read_at_) return false;
  Drop();
  return true;
}

}  // namespace shelflink::proxy
