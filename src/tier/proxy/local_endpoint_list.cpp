#include "tier/proxy/local_endpoint_list.h"

#include "tier/cluster/same_endpoints.h"

namespace shelflink::proxy {

bool LocalEndpointList::Store(const ListPointer& current,
                              std::vector<cluster::EndpointEntry> entries, net::Time read_at) {
  read_at_ = read_at;
  if (current && cluster::SameEndpoints(current->entries, entries)) {
    list_ = current;
    return false;
  }
  const cluster::Version version = current ? current->version : cluster::Version();
  list_ = std::make_shared<const cluster::EndpointList>(
      cluster::EndpointList{version, std::move(entries)});
  return true;
}

bool LocalEndpointList::DropIfOlderThan(net::Time core_read_at) {
  if (!list_ || core_read_at <= read_at_) return false;
  Drop();
  return true;
}

}  // namespace shelflink::proxy
